#include "hickoryd/peer_links.h"

#include <utility>

#include "core/ids.h"
#include "core/reason.h"
#include "transport/rpc.h"

namespace hickorywood::hickoryd {
namespace {

// A call with a longer timeout opens its own connection: on a shared connection
// that has become unresponsive, the failure would be detected only when the
// timeout expires.
constexpr core::milliseconds kMaxSharedConnectionTimeout{2500};
constexpr char kRpcPath[] = "/peer/v1/rpc";

}  // namespace

peer_links::peer_links(const core::runtime_clock& clock,
                       const settings::instance_settings& settings,
                       transport::http_client& client)
    : clock_(clock), settings_(settings), client_(client) {
  if (settings.IsControl()) control_.push_back(settings.id);
  for (const settings::peer_settings& peer : settings.peers) {
    addresses_[peer.id] = peer.address;
    others_.push_back(peer.id);
    if (peer.is_control) control_.push_back(peer.id);
  }
}

std::map<std::string, size_t> peer_links::SiteSizes() const {
  std::map<std::string, size_t> sizes = {{settings_.site, 1}};
  for (const settings::peer_settings& peer : settings_.peers) {
    ++sizes[peer.site];
  }
  return sizes;
}

void peer_links::SetOwnAddress(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  addresses_[settings_.id] = address;
}

std::optional<std::string> peer_links::AddressOf(
    const std::string& peer) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = addresses_.find(peer);
  if (found == addresses_.end()) {
    return core::Fail(core::reason_code::kNotFound,
                      "no instance '" + peer + "'");
  }
  return found->second;
}

bool peer_links::NeedsNewConnection(const std::string& peer) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return routing::NeedsNewConnection(stale_connections_, peer, clock_.Now());
}

void peer_links::RecordTimeout(const std::string& peer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  routing::RecordTimeout(stale_connections_, peer, clock_.Now());
}

void peer_links::Call(const std::string& peer, const std::string& path,
                      std::string body, core::milliseconds timeout,
                      completion done) {
  const std::optional<std::string> address = AddressOf(peer);
  if (!address) {
    transport::http_response response;
    response.error = core::LastReason().text;
    done(std::move(response));
    return;
  }
  transport::http_request request;
  request.url = "http://" + *address + path;
  request.headers = {{"Content-Type", "application/json"}};
  request.name = {core::kCallIdHeader, core::SequentialId()};
  if (!settings_.tokens.peers.empty()) {
    request.headers.push_back(
        {"Authorization", "Bearer " + settings_.tokens.peers});
  }
  request.body = std::move(body);
  request.connect_timeout = timeout;
  request.total_timeout = timeout;
  request.needs_fresh_connection =
      timeout > kMaxSharedConnectionTimeout || NeedsNewConnection(peer);
  client_.Send(std::move(request), [this, peer, done = std::move(done)](
                                       transport::http_response response) {
    if (response.is_timeout) RecordTimeout(peer);
    done(std::move(response));
  });
}

void peer_links::CallRpc(const std::string& peer, const std::string& method,
                         const std::string& payload, core::milliseconds timeout,
                         std::function<void(std::optional<std::string>)> done) {
  Call(peer, kRpcPath, transport::EncodeRpcCall(method, payload), timeout,
       [done = std::move(done)](const transport::http_response& response) {
         if (response.how != transport::delivery::kAnswered ||
             response.status != 200) {
           done(core::Fail(core::reason_code::kUnavailable, response.error));
           return;
         }
         done(transport::DecodeRpcAnswer(response.body));
       });
}

}  // namespace hickorywood::hickoryd
