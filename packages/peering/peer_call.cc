#include "peering/peer_call.h"

#include <absl/strings/str_cat.h>

#include <cstdint>
#include <random>
#include <utility>

#include "peering/messages.h"

namespace hickorywood::peering {
namespace {

// Names no call of another process, nor another one of this process.
std::string NextCallId() {
  static thread_local const uint32_t kProcess = std::random_device()();
  static thread_local uint64_t latest = 0;
  return absl::StrCat(absl::Hex(kProcess), "-", absl::Hex(++latest));
}

}  // namespace

boost::asio::awaitable<net::call_result> CallPeer(net::connection_pool& pool,
                                                  std::string address,
                                                  std::string method,
                                                  std::string payload,
                                                  core::time_point deadline) {
  const net::header id{kCallIdHeader, NextCallId()};
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
