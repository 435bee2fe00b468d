#ifndef HICKORYWOOD_CONTROL_ORDERS_H_
#define HICKORYWOOD_CONTROL_ORDERS_H_

// Plans which engine is ordered to load which weight version, and when. The
// plan depends on what the engines report, not on the orders that were sent:
// after a lost or failed order the engine still reports the old version, and
// the order is sent again.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hickorywood::control {

// State of an engine in the endpoint table.
struct engine_report {
  std::string id;
  std::string address;
  std::string pool;
  int64_t version = 0;
  bool is_swapping = false;
};

// Settings of a pool that the planner needs.
struct swap_target {
  int64_t version = 0;
  double floor = 0.5;  // minimum share of the engines that keep serving
};

struct planned_order {
  std::string engine;
  std::string address;
  std::string pool;
  uint64_t fence = 0;
  int64_t version = 0;
};

// An order that was sent and has not completed yet.
struct open_order {
  std::string pool;
  int64_t version = 0;
  core::time_point sent_at{};
};

struct order_tracker {
  uint64_t term = 0;      // term of the leader; part of each fencing number
  uint64_t sequence = 0;  // last sequence number used in this term
  // By engine id; each engine has at most one order in flight.
  std::map<std::string, open_order> open;
  double tokens = 0;  // tokens of the rate limit
  core::time_point refilled_at{};
};

struct order_limits {
  double per_second = 50;
  core::milliseconds timeout{30000};
};

// Returns the fencing number of order `sequence` in `term`. The numbers of a
// later term are higher than all of an earlier one.
uint64_t FencingNumber(uint64_t term, uint64_t sequence);

// Starts the state of a new leader without open orders: the effect of the
// orders of earlier leaders shows in the reports.
void StartOrderTracker(order_tracker& tracker, uint64_t term,
                       core::time_point now);

// Returns the orders to send now and records them as open. The number of
// engines that load at the same time never exceeds what the pool's floor
// allows.
std::vector<planned_order> PlanOrders(
    order_tracker& tracker, const std::vector<engine_report>& engines,
    const std::map<std::string, swap_target>& targets,
    const order_limits& limits, core::time_point now);

// Records that the engine rejected the order or was unreachable. The order may
// be sent again at once.
void RecordOrderFailure(order_tracker& tracker, const std::string& engine);

}  // namespace hickorywood::control

#endif  // HICKORYWOOD_CONTROL_ORDERS_H_
