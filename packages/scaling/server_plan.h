#ifndef HICKORYWOOD_SCALING_SERVER_PLAN_H_
#define HICKORYWOOD_SCALING_SERVER_PLAN_H_

// Decides how many servers of a service are ordered from the provider in each
// zone. Intended for servers that are lost, drained or reclaimed while the load
// stays, and for tasks that wait because there are too few places. Plain data
// and decisions.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "fleet/configuration.h"

namespace hickorywood::scaling {

// Regular servers stay until they are returned. Spot servers are cheaper, and
// the provider may reclaim all of a zone at once.
enum class server_kind { kRegular, kSpot };
const char* KindName(server_kind kind);

// The servers of one kind of a service in one zone.
struct server_group {
  std::string zone;
  server_kind kind = server_kind::kRegular;
  int64_t present = 0;  // registered and not leaving
  int64_t silent = 0;   // registered, without heartbeats for some time
  int64_t leaving = 0;  // draining or being reclaimed
  // The number that is to run. Nothing: none was recorded yet.
  std::optional<int64_t> target;
  core::time_point ordered_at{};         // last accepted order
  core::time_point unavailable_until{};  // the provider had none there
  core::time_point reclaimed_at{};       // last reclaim of a server
  // No order is sent while an unanswered one may still be executed.
  core::time_point blocked_until{};
};

// The work of a service.
struct service_load {
  int64_t slots = 0;  // of one server
  int64_t running = 0;
  int64_t waiting = 0;
  std::chrono::milliseconds longest_wait{0};  // of a task that has not started
  // Shortest due time, from the submission, of steps with waiting tasks; 0:
  // unknown.
  std::chrono::milliseconds nearest_due{0};
  // Since when the peak use of the places is less than half; max: it is not.
  core::time_point idle_since = core::time_point::max();
  int64_t peak_running = 0;  // since `idle_since`
};

struct plan_input {
  fleet::service_scaling terms;
  service_load load;
  // Last change of a target of the service, whether the provider has accepted
  // it or not.
  std::optional<core::time_point> changed_at;
  std::vector<server_group> groups;
};

// A new target, or a repetition of the present one because servers are missing.
struct planned_order {
  std::string zone;
  server_kind kind = server_kind::kRegular;
  int64_t count = 0;
  const char* reason = "";
  // Another group that gives up a part of its target for this one. Nothing is
  // ordered for it.
  struct reduction {
    std::string zone;
    server_kind kind = server_kind::kRegular;
    int64_t count = 0;
  };
  std::optional<reduction> moved_from;
};

// The target to record for a group without one: the servers that are there.
// Nothing is ordered for it. A number that is too low would make the provider
// stop servers, so the caller waits until all of them can have registered.
int64_t FirstTarget(const server_group& group);

// Returns the next order, or nothing. At most one at a time: its effect is
// awaited before the next decision.
std::optional<planned_order> PlanServers(const plan_input& input,
                                         core::time_point now);

}  // namespace hickorywood::scaling

#endif  // HICKORYWOOD_SCALING_SERVER_PLAN_H_
