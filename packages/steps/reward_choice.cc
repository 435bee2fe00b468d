#include "steps/reward_choice.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace hickorywood::steps {

std::vector<size_t> OrderRewards(const std::vector<waiting_reward>& waiting) {
  const auto rank = [&waiting](size_t index) {
    const waiting_reward& item = waiting[index];
    return std::tie(item.open_in_group, item.opened_at, item.task);
  };
  std::vector<size_t> order(waiting.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(
      order.begin(), order.end(),
      [&rank](size_t left, size_t right) { return rank(left) < rank(right); });
  return order;
}

}  // namespace hickorywood::steps
