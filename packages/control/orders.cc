#include "control/orders.h"

#include <algorithm>
#include <cmath>

namespace hickorywood::control {
namespace {

constexpr unsigned kSequenceBits = 32;

void Refill(order_tracker& tracker, const order_limits& limits,
            core::time_point now) {
  const double seconds =
      std::chrono::duration<double>(now - tracker.refilled_at).count();
  const double capacity = std::max(1.0, limits.per_second);
  tracker.tokens =
      std::min(capacity, tracker.tokens + seconds * limits.per_second);
  tracker.refilled_at = now;
}

// Removes the orders that have completed according to the reports, and those
// that have timed out.
void RemoveFinishedOrders(order_tracker& tracker,
                          const std::vector<engine_report>& engines,
                          const order_limits& limits, core::time_point now) {
  for (const engine_report& engine : engines) {
    const auto found = tracker.open.find(engine.id);
    if (found == tracker.open.end()) continue;
    const bool is_done =
        engine.version >= found->second.version && !engine.is_swapping;
    if (is_done) tracker.open.erase(found);
  }
  for (auto item = tracker.open.begin(); item != tracker.open.end();) {
    const bool is_late = now - item->second.sent_at > limits.timeout;
    item = is_late ? tracker.open.erase(item) : std::next(item);
  }
}

struct pool_count {
  int64_t engines = 0;
  int64_t busy = 0;  // loading, according to its report or an open order
};

std::map<std::string, pool_count> CountPools(
    const order_tracker& tracker, const std::vector<engine_report>& engines) {
  std::map<std::string, pool_count> pools;
  for (const engine_report& engine : engines) {
    pool_count& count = pools[engine.pool];
    ++count.engines;
    if (engine.is_swapping || tracker.open.count(engine.id) != 0) ++count.busy;
  }
  return pools;
}

// At least one engine may load at a time: otherwise, with a floor of 1, no new
// version could ever be loaded.
int64_t MaxLoadingEngines(const pool_count& count, double floor) {
  const auto keep = static_cast<int64_t>(
      std::ceil(floor * static_cast<double>(count.engines)));
  return std::max<int64_t>(1, count.engines - keep);
}

}  // namespace

uint64_t FencingNumber(uint64_t term, uint64_t sequence) {
  return (term << kSequenceBits) | sequence;
}

void StartOrderTracker(order_tracker& tracker, uint64_t term,
                       core::time_point now) {
  tracker = order_tracker{};
  tracker.term = term;
  tracker.refilled_at = now;
  tracker.tokens = 1;
}

std::vector<planned_order> PlanOrders(
    order_tracker& tracker, const std::vector<engine_report>& engines,
    const std::map<std::string, swap_target>& targets,
    const order_limits& limits, core::time_point now) {
  Refill(tracker, limits, now);
  RemoveFinishedOrders(tracker, engines, limits, now);
  std::map<std::string, pool_count> pools = CountPools(tracker, engines);
  std::vector<planned_order> plan;
  for (const engine_report& engine : engines) {
    const auto target = targets.find(engine.pool);
    if (target == targets.end() || engine.version >= target->second.version) {
      continue;
    }
    if (engine.is_swapping || tracker.open.count(engine.id) != 0) continue;
    pool_count& count = pools[engine.pool];
    if (count.busy >= MaxLoadingEngines(count, target->second.floor)) continue;
    if (tracker.tokens < 1) break;
    tracker.tokens -= 1;
    ++count.busy;
    const uint64_t fence = FencingNumber(tracker.term, ++tracker.sequence);
    tracker.open[engine.id] = {engine.pool, target->second.version, now};
    plan.push_back({engine.id, engine.address, engine.pool, fence,
                    target->second.version});
  }
  return plan;
}

void RecordOrderFailure(order_tracker& tracker, const std::string& engine) {
  tracker.open.erase(engine);
}

}  // namespace hickorywood::control
