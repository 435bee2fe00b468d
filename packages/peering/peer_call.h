#ifndef HICKORYWOOD_PEERING_PEER_CALL_H_
#define HICKORYWOOD_PEERING_PEER_CALL_H_

// The calling side of the links between the system's own processes.

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/clock.h"
#include "net/call.h"
#include "net/connection_pool.h"

namespace hickorywood::peering {

// Calls a method of the instance at `address`, once. An answer is taken only if
// it names the call; instances of the release before name none and get a
// connection for each call.
boost::asio::awaitable<net::call_result> CallPeer(net::connection_pool& pool,
                                                  std::string address,
                                                  std::string method,
                                                  std::string payload,
                                                  core::time_point deadline);

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_PEER_CALL_H_
