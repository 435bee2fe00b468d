#ifndef HICKORYWOOD_HICKORYD_PEER_API_H_
#define HICKORYWOOD_HICKORYD_PEER_API_H_

// The routes of the peer listener, for links between instances. Consensus
// messages and table exchanges are JSON-RPC. Calls that wait for an event
// (views, proposals, pulls) are plain POSTs, because a JSON-RPC handler would
// block a thread while it waits.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hickoryd/api_reply.h"
#include "hickoryd/parts.h"
#include "transport/rpc.h"

namespace hickorywood::hickoryd {

class peer_api {
 public:
  explicit peer_api(instance_parts parts);

  void Handle(const exchange_ptr& exchange);

 private:
  using route = std::function<void(const exchange_ptr&)>;

  std::optional<std::string> HandleConsensusMessage(const std::string& payload);
  std::optional<std::string> ExchangeTables(const std::string& payload);
  void AddControlRoutes();
  void AddTrafficRoutes();

  instance_parts parts_;
  std::unique_ptr<transport::rpc_dispatcher> rpc_;
  std::map<std::string, route> routes_;  // by path
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_PEER_API_H_
