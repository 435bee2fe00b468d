#include "peering/peer_call.h"

#include <utility>

#include "core/ids.h"
#include "peering/messages.h"

namespace hickorywood::peering {
boost::asio::awaitable<net::call_result> CallPeer(net::connection_pool& pool,
                                                  std::string address,
                                                  std::string method,
                                                  std::string payload,
                                                  core::time_point deadline) {
  const net::header id{core::kCallIdHeader, core::SequentialId()};
  net::request input;
  input.target = kPeerPathPrefix + method;
  input.headers = {{"Content-Type", "application/msgpack"}, id};
  input.body = std::move(payload);
  net::call_options options;
  options.deadline = deadline;
  options.connect_deadline = deadline;
  options.expected = id;
  co_return co_await net::Call(pool, address, input, options);
}

}  // namespace hickorywood::peering
