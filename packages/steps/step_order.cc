#include "steps/step_order.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace hickorywood::steps {
namespace {

// Share of an equal share of the running tasks below which a trainer goes
// first.
constexpr double kMinShare = 0.25;
// Slack of a task that can't be in time any more.
constexpr predicted_time kLateSlack{1};

enum class rank { kBelowShare, kWanted, kBeyondWanted };

// Returns for each group of a step whether its trainer can do without it: the
// groups that are predicted to end last, as many as are left over when the
// wanted number is complete.
std::vector<bool> GroupsBeyondWanted(const open_step& step) {
  std::vector<bool> is_beyond(step.groups.size(), false);
  if (step.wanted_groups <= 0) return is_beyond;
  // Groups that are not complete, and how many of them are still needed.
  const auto open =
      static_cast<int64_t>(step.groups.size()) - step.complete_groups;
  const int64_t missing =
      std::max<int64_t>(0, step.wanted_groups - step.complete_groups);
  std::vector<uint32_t> optional;
  for (uint32_t i = 0; i < step.groups.size(); ++i) {
    if (!step.groups[i].is_carried) optional.push_back(i);
  }
  int64_t beyond = open - missing;
  std::stable_sort(optional.begin(), optional.end(),
                   [&step](uint32_t left, uint32_t right) {
                     return step.groups[left].end > step.groups[right].end;
                   });
  for (const uint32_t group : optional) {
    if (beyond-- <= 0) break;
    is_beyond[group] = true;
  }
  return is_beyond;
}

// Trainers whose steps have less than their minimum share of the running tasks.
std::map<std::string, bool> TrainersBelowShare(
    const std::vector<open_step>& steps) {
  std::map<std::string, int64_t> running;
  int64_t total = 0;
  for (const open_step& step : steps) {
    running[step.trainer] += step.running;
    total += step.running;
  }
  std::map<std::string, bool> is_below;
  const double equal =
      running.empty()
          ? 0
          : static_cast<double>(total) / static_cast<double>(running.size());
  for (const auto& [trainer, count] : running) {
    is_below[trainer] = static_cast<double>(count) < kMinShare * equal;
  }
  return is_below;
}

}  // namespace

std::vector<ordered_task> OrderByUrgency(const std::vector<open_step>& steps) {
  // Tasks with equal slack, as all late ones have, start longest first.
  using sort_key = std::tuple<rank, double, double, size_t, uint32_t>;
  std::vector<sort_key> keys;
  const std::map<std::string, bool> is_below = TrainersBelowShare(steps);
  for (size_t i = 0; i < steps.size(); ++i) {
    const open_step& step = steps[i];
    const std::vector<bool> is_beyond = GroupsBeyondWanted(step);
    for (const waiting_task& item : step.tasks) {
      predicted_time slack = step.due - item.time;
      if (slack < predicted_time(0)) slack = kLateSlack;
      rank order = rank::kWanted;
      if (is_below.at(step.trainer)) order = rank::kBelowShare;
      if (is_beyond[item.group]) order = rank::kBeyondWanted;
      keys.emplace_back(order, slack.count(), -item.time.count(), i, item.task);
    }
  }
  std::sort(keys.begin(), keys.end());
  std::vector<ordered_task> order;
  order.reserve(keys.size());
  for (const auto& [order_rank, slack, time, step, task] : keys) {
    order.push_back({step, task});
  }
  return order;
}

}  // namespace hickorywood::steps
