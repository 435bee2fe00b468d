#ifndef HICKORYWOOD_PEERING_PEER_CALL_H_
#define HICKORYWOOD_PEERING_PEER_CALL_H_

// The client side of calls between the processes of this service.

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/clock.h"
#include "net/call.h"
#include "net/connection_pool.h"

namespace hickorywood::peering {

// Calls a method of the instance at `address`, once. A response is accepted
// only if it contains the id of the call. Instances of the previous release do
// not send the id, and get a new connection for each call.
boost::asio::awaitable<net::call_result> CallPeer(net::connection_pool& pool,
                                                  std::string address,
                                                  std::string method,
                                                  std::string payload,
                                                  core::time_point deadline);

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_PEER_CALL_H_
