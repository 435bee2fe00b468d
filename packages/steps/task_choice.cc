#include "steps/task_choice.h"

#include <algorithm>
#include <numeric>

namespace hickorywood::steps {
namespace {

// Streams that an engine without heartbeats counts as having more: it is used
// when the others are well filled, or when all are silent.
constexpr double kDistrust = 6;
// A prompt that is there already saves reading it again, which costs about as
// much as a stream more in the batch.
constexpr double kPromptAtHand = 1;
// Times the usual gap from which an engine counts as slow. A full batch makes
// events about half as slow again as a short one, so twice is no batch's doing.
constexpr double kClearlySlow = 2;
// ... and up to which another one is a place to go.
constexpr double kFast = 1.5;

double ExpectedCost(const engine_load& engine) {
  double cost = static_cast<double>(engine.running + 1);
  if (!engine.is_trusted) cost += kDistrust;
  if (engine.has_prompt) cost -= kPromptAtHand;
  return cost * engine.slowness;
}

}  // namespace

std::optional<size_t> ChooseEngine(const std::vector<engine_load>& engines,
                                   int64_t places, const std::string& left) {
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (engines[i].running >= std::min(engines[i].slots, places)) continue;
    if (!left.empty() && engines[i].incarnation == left) continue;
    const double cost = ExpectedCost(engines[i]);
    if (best && cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

std::vector<double> Slowness(const std::vector<double>& gaps_ms) {
  std::vector<double> known;
  for (const double gap : gaps_ms) {
    if (gap > 0) known.push_back(gap);
  }
  std::vector<double> slowness(gaps_ms.size(), 1);
  if (known.empty()) return slowness;
  const auto usual =
      known.begin() + static_cast<ptrdiff_t>((known.size() - 1) / 4);
  std::nth_element(known.begin(), usual, known.end());
  for (size_t i = 0; i < gaps_ms.size(); ++i) {
    if (gaps_ms[i] > 0) slowness[i] = gaps_ms[i] / *usual;
  }
  return slowness;
}

bool IsWorthMoving(const engine_load& from,
                   const std::vector<engine_load>& engines) {
  if (from.slowness < kClearlySlow) return false;
  return std::any_of(engines.begin(), engines.end(),
                     [](const engine_load& other) {
                       return other.is_trusted && other.running < other.slots &&
                              other.slowness < kFast;
                     });
}

std::vector<uint32_t> OrderTasks(const std::vector<int64_t>& expected) {
  std::vector<uint32_t> order(expected.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&expected](uint32_t left, uint32_t right) {
                     return expected[left] > expected[right];
                   });
  return order;
}

}  // namespace hickorywood::steps
