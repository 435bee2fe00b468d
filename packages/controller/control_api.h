#ifndef HICKORYWOOD_CONTROLLER_CONTROL_API_H_
#define HICKORYWOOD_CONTROLLER_CONTROL_API_H_

// The interface for operators, trainers and endpoints, at every control
// instance. Calls go to the leader, wherever it is.

#include <boost/asio/awaitable.hpp>
#include <string>

#include "controller/heartbeat_relay.h"
#include "fleet/protocol.h"
#include "net/listener.h"
#include "peering/leader_caller.h"

namespace hickorywood::controller {

class control_api {
 public:
  control_api(const fleet::protocol& wire, peering::leader_caller& caller,
              heartbeat_relay& heartbeats);

  boost::asio::awaitable<void> Serve(net::exchange& call);

 private:
  boost::asio::awaitable<net::response> Answer(const net::request& input);
  // Requests that are held back: listed, or one of them lifted.
  boost::asio::awaitable<net::response> AnswerQuarantine(
      const net::request& input);
  boost::asio::awaitable<net::response> ListQuarantine();
  boost::asio::awaitable<net::response> Forward(std::string method,
                                                std::string payload);
  net::response FailureOf(const peering::envelope& answer) const;

  const fleet::protocol& wire_;
  peering::leader_caller& caller_;
  heartbeat_relay& heartbeats_;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_CONTROL_API_H_
