#include "peering/peer_interface.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "core/binary.h"
#include "core/ids.h"

namespace hickorywood::peering {
namespace {

// Clients close idle connections earlier than this.
constexpr std::chrono::seconds kPeerIdleTimeout{30};
// Messages between regions are large, and their round trips long.
constexpr int kReceiveBufferBytes = 256 * 1024;
constexpr int kTooLarge = 413;

}  // namespace

net::listener_options PeerListenerOptions(
    const std::string& address, std::shared_ptr<net::request_memory> memory) {
  net::listener_options options;
  options.memory = std::move(memory);
  options.is_internal = true;
  options.receive_buffer_bytes = kReceiveBufferBytes;
  options.address = address;
  options.limits = [] {
    net::caller_limits limits;
    limits.idle_timeout = kPeerIdleTimeout;
    return limits;
  };
  options.skips_abandoned = true;
  return options;
}

boost::asio::awaitable<void> ServePeer(
    net::exchange& call,
    std::function<boost::asio::awaitable<std::string>(std::string payload)>
        consensus,
    std::function<boost::asio::awaitable<envelope>(std::string method,
                                                   std::string payload)>
        handle) {
  static constexpr std::string_view kPrefix = kPeerPathPrefix;
  const std::string_view path = net::PathOf(call.Request().target);
  const std::string method(
      path.starts_with(kPrefix) ? path.substr(kPrefix.size()) : "");
  net::response answer;
  envelope reply;
  answer.headers = {{"Content-Type", "application/msgpack"}};
  const std::string_view id =
      net::Find(call.Request().headers, core::kCallIdHeader);
  if (!id.empty()) {
    answer.headers.push_back({core::kCallIdHeader, std::string(id)});
  }
  if (method.empty()) {
    answer.status = 404;
  } else if (core::HasTooManyValues(call.Request().body.Text())) {
    answer.status = kTooLarge;
  } else if (method == kConsensusMethod) {
    answer.body = co_await consensus(call.Request().body);
  } else {
    reply = co_await handle(method, call.Request().body);
    answer.body = core::EncodeBinary(reply);
    reply.payload = std::string();
  }
  co_await call.Reply(std::move(answer));
}

}  // namespace hickorywood::peering
