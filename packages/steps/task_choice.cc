#include "steps/task_choice.h"

#include <algorithm>
#include <numeric>

namespace hickorywood::steps {
namespace {

// Additional streams that an engine without heartbeats is counted with: it is
// used when the other engines are well filled, or when none sends heartbeats.
constexpr double kNoHeartbeatPenaltyStreams = 6;
// A cached prompt saves reading it again, which costs about as much as one more
// stream in the batch.
constexpr double kCachedPromptBonusStreams = 1;
// Factor on the usual gap from which an engine counts as slow. A full batch
// makes events about half as slow again as a short one, so a batch alone does
// not reach this factor.
constexpr double kMinSlowFactor = 2;
// Factor up to which another engine is a target for moved runs.
constexpr double kMaxTargetFactor = 1.5;

double ExpectedCost(const engine_load& engine) {
  double cost = static_cast<double>(engine.running + 1);
  if (!engine.is_trusted) cost += kNoHeartbeatPenaltyStreams;
  if (engine.has_prompt) cost -= kCachedPromptBonusStreams;
  return cost * engine.slowness;
}

}  // namespace

std::optional<size_t> ChooseEngine(const std::vector<engine_load>& engines,
                                   int64_t max_streams,
                                   const std::string& excluded) {
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (engines[i].is_excluded) continue;
    if (engines[i].running >= std::min(engines[i].slots, max_streams)) continue;
    if (!excluded.empty() && engines[i].incarnation == excluded) continue;
    const double cost = ExpectedCost(engines[i]);
    if (best && cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

std::vector<double> RelativeSlowness(const std::vector<double>& gaps_ms) {
  std::vector<double> known_gaps;
  for (const double gap : gaps_ms) {
    if (gap > 0) known_gaps.push_back(gap);
  }
  std::vector<double> slowness(gaps_ms.size(), 1);
  if (known_gaps.empty()) return slowness;
  const auto usual =
      known_gaps.begin() + static_cast<ptrdiff_t>((known_gaps.size() - 1) / 4);
  std::nth_element(known_gaps.begin(), usual, known_gaps.end());
  for (size_t i = 0; i < gaps_ms.size(); ++i) {
    if (gaps_ms[i] > 0) slowness[i] = gaps_ms[i] / *usual;
  }
  return slowness;
}

bool IsMoveWorthwhile(const engine_load& from,
                      const std::vector<engine_load>& engines) {
  if (from.slowness < kMinSlowFactor) return false;
  return std::any_of(engines.begin(), engines.end(),
                     [](const engine_load& other) {
                       return other.is_trusted && other.running < other.slots &&
                              other.slowness < kMaxTargetFactor;
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
