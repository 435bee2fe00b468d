#ifndef HICKORYWOOD_CONTROLLER_CONTROL_API_H_
#define HICKORYWOOD_CONTROLLER_CONTROL_API_H_

// The API for operators, trainers and endpoints. Every control instance serves
// it and forwards the calls to the leader.

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "controller/heartbeat_forwarder.h"
#include "fleet/protocol.h"
#include "net/listener.h"
#include "peering/leader_caller.h"

namespace hickorywood::controller {

class control_api {
 public:
  control_api(const fleet::protocol& wire, peering::leader_caller& caller,
              heartbeat_forwarder& heartbeats);

  boost::asio::awaitable<void> Serve(net::exchange& call);

  // Set before Serve(): the address for the next heartbeats of an endpoint;
  // empty: this instance.
  std::function<std::string(const std::string& endpoint)> heartbeat_address;

 private:
  boost::asio::awaitable<net::response> Answer(const net::request& input);
  // Lists the quarantined requests, or releases one of them.
  boost::asio::awaitable<net::response> AnswerQuarantine(
      const net::request& input);
  boost::asio::awaitable<net::response> ListQuarantine();
  // Returns the JSON of a read for operators.
  boost::asio::awaitable<net::response> AnswerRead(std::string method);
  boost::asio::awaitable<net::response> Forward(std::string method,
                                                std::string payload);
  net::response FailureOf(const peering::envelope& answer) const;

  const fleet::protocol& wire_;
  peering::leader_caller& caller_;
  heartbeat_forwarder& heartbeats_;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_CONTROL_API_H_
