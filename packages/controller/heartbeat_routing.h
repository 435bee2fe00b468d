#ifndef HICKORYWOOD_CONTROLLER_HEARTBEAT_ROUTING_H_
#define HICKORYWOOD_CONTROLLER_HEARTBEAT_ROUTING_H_

// To which control instance an endpoint sends its heartbeats. Any of them takes
// heartbeats, but only the leader answers the other processes and decides, and
// an endpoint keeps its instance. So a leader that receives many heartbeats
// names another instance to their endpoints. Plain data and functions.

#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"

namespace hickorywood::controller {

struct heartbeat_routing {
  struct instance {
    std::string address;  // for heartbeats
    core::time_point last_request_at{};
  };
  std::string own_address;
  std::map<std::string, instance> others;  // by instance
  core::time_point window_start{};
  int64_t received = 0;  // heartbeats since `window_start`
};

// Records that the control instance `name`, which takes heartbeats at
// `address`, is in contact.
void RecordInstance(heartbeat_routing& routing, const std::string& name,
                    const std::string& address, core::time_point now);

// Counts a heartbeat that the leader received itself. Returns the address for
// the later heartbeats of this endpoint; empty: it should stay.
std::string RouteHeartbeat(heartbeat_routing& routing,
                           const std::string& endpoint, core::time_point now);

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_HEARTBEAT_ROUTING_H_
