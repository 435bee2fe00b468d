#ifndef HICKORYWOOD_PEERING_PEER_INTERFACE_H_
#define HICKORYWOOD_PEERING_PEER_INTERFACE_H_

// The server side of calls between the processes of this service.

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/listener.h"
#include "net/request_memory.h"
#include "peering/messages.h"

namespace hickorywood::peering {

// `memory` is that of all listeners of the process.
net::listener_options PeerListenerOptions(
    const std::string& address,
    std::shared_ptr<net::request_memory> memory = nullptr);

// Handles one call: consensus messages are passed to `consensus`, all other
// methods to `handle`.
boost::asio::awaitable<void> ServePeer(
    net::exchange& call,
    std::function<boost::asio::awaitable<std::string>(std::string payload)>
        consensus,
    std::function<boost::asio::awaitable<envelope>(std::string method,
                                                   std::string payload)>
        handle);

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_PEER_INTERFACE_H_
