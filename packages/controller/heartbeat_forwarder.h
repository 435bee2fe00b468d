#ifndef HICKORYWOOD_CONTROLLER_HEARTBEAT_FORWARDER_H_
#define HICKORYWOOD_CONTROLLER_HEARTBEAT_FORWARDER_H_

// Forwards the heartbeats that this instance receives to the control leader,
// several in one call.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "controller/heartbeat_cache.h"
#include "core/clock.h"
#include "net/event.h"
#include "peering/leader_caller.h"
#include "peering/messages.h"

namespace hickorywood::controller {

class heartbeat_forwarder {
 public:
  heartbeat_forwarder(boost::asio::io_context& loop,
                      const core::runtime_clock& clock,
                      peering::leader_caller& caller);

  void Start();
  // Returns kDone once the leader has accepted the heartbeat, or at once if it
  // only refreshes one that the leader accepted before.
  boost::asio::awaitable<peering::envelope> Forward(fleet::heartbeat input);

 private:
  struct waiting_heartbeat {
    fleet::heartbeat input;
    net::one_shot<peering::envelope> reply;
  };

  boost::asio::awaitable<void> RunForwardLoop();
  boost::asio::awaitable<void> Send(std::vector<waiting_heartbeat> waiting);
  bool IsRefreshDue() const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  peering::leader_caller& caller_;
  heartbeat_cache cache_;
  std::vector<waiting_heartbeat> queue_;
  core::time_point refreshed_at_{};
  net::event filled_;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_HEARTBEAT_FORWARDER_H_
