#include "controller/heartbeat_routing.h"

#include <iterator>

#include "access/configuration_lease.h"
#include "core/ids.h"

namespace hickorywood::controller {
namespace {

// Heartbeats that a leader takes itself in each window, some hundredths of the
// processor share of a small instance. A small deployment has fewer, and its
// endpoints stay where they are.
constexpr int64_t kMaxLeaderHeartbeats = 100;
constexpr std::chrono::seconds kWindow{1};

}  // namespace

void RecordInstance(heartbeat_routing& routing, const std::string& name,
                    const std::string& address, core::time_point now) {
  if (address != routing.own_address) routing.others[name] = {address, now};
}

std::string RouteHeartbeat(heartbeat_routing& routing,
                           const std::string& endpoint, core::time_point now) {
  if (now - routing.window_start >= kWindow) {
    routing.window_start = now;
    routing.received = 0;
  }
  if (++routing.received <= kMaxLeaderHeartbeats) return "";
  std::erase_if(routing.others, [now](const auto& item) {
    return now - item.second.last_request_at > access::kContactLease;
  });
  if (routing.others.empty()) return "";
  const auto index = core::Hash64(endpoint) % routing.others.size();
  return std::next(routing.others.begin(), static_cast<ptrdiff_t>(index))
      ->second.address;
}

}  // namespace hickorywood::controller
