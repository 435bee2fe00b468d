#include "quarantine/crash_watch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "core/events.h"
#include "net/event.h"

namespace hickorywood::quarantine {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;

// A sound endpoint accepts within a few ms, also from another zone.
constexpr milliseconds kProbeTimeout{300};
// A process that ends closes its connections and its listening socket one after
// the other.
constexpr int kProbes = 2;
constexpr milliseconds kProbePause{100};
// One that listens again at the second probe has started anew, and its
// heartbeat comes within about a second, or has never ended.
constexpr milliseconds kSuccessorTime{3000};
// Requests that are named for one end: more than endpoints run at once. Bounds
// what a caller with many connections can make an instance remember.
constexpr size_t kMostRequests = 256;

const fleet::endpoint* FindEndpoint(const fleet::view& view,
                                    const std::string& incarnation) {
  const auto found = std::find_if(view.endpoints.begin(), view.endpoints.end(),
                                  [&incarnation](const fleet::endpoint& item) {
                                    return item.incarnation == incarnation;
                                  });
  return found == view.endpoints.end() ? nullptr : &*found;
}

}  // namespace

crash_watch::crash_watch(asio::io_context& loop,
                         const core::runtime_clock& clock,
                         net::connection_pool& pool, const fleet::view& view)
    : loop_(loop), clock_(clock), pool_(pool), view_(view) {}

// Whether a later start has the place of one that is gone from the list.
bool crash_watch::HasSuccessor(const fleet::endpoint& gone) const {
  return FindEndpoint(view_, gone.incarnation) == nullptr &&
         std::any_of(view_.endpoints.begin(), view_.endpoints.end(),
                     [&gone](const fleet::endpoint& item) {
                       return item.address == gone.address ||
                              item.name == gone.name;
                     });
}

void crash_watch::NoteBroken(const request_identity& input,
                             const fleet::endpoint& target) {
  const std::string& key = view_.members.digest_key;
  if (key.empty()) return;
  const fleet::endpoint* const listed = FindEndpoint(view_, target.incarnation);
  const bool has_successor = HasSuccessor(target);
  // One that said that it is going may end at any time.
  const bool is_leaving =
      listed == nullptr ? !has_successor
                        : listed->state == fleet::endpoint_state::kDraining;
  if (is_leaving) return;
  const auto [found, is_new] = broken_.try_emplace(target.incarnation);
  broken_endpoint& entry = found->second;
  std::string digest = DigestOf(key, input);
  const bool is_known = std::find(entry.digests.begin(), entry.digests.end(),
                                  digest) != entry.digests.end();
  if (!is_known && entry.digests.size() < kMostRequests) {
    entry.digests.push_back(std::move(digest));
  }
  if (has_successor) {
    NoteEnded(target.incarnation);
    return;
  }
  if (!is_new) return;
  entry.endpoint = target;
  entry.give_up_at = clock_.Now() + kSuccessorTime;
  asio::co_spawn(loop_, Watch(target.incarnation, target.address),
                 asio::detached);
}

awaitable<void> crash_watch::Watch(std::string incarnation,
                                   std::string address) {
  for (int probe = 0; probe < kProbes; ++probe) {
    const net::connect_outcome outcome =
        co_await pool_.Probe(address, clock_.Now() + kProbeTimeout);
    if (broken_.count(incarnation) == 0) co_return;
    if (outcome == net::connect_outcome::kRefused) {
      NoteEnded(incarnation);
      co_return;
    }
    co_await net::Sleep(kProbePause);
  }
  const auto found = broken_.find(incarnation);
  if (found == broken_.end()) co_return;
  const auto left =
      std::chrono::ceil<milliseconds>(found->second.give_up_at - clock_.Now());
  if (left > milliseconds(0)) co_await net::Sleep(left);
  broken_.erase(incarnation);
}

void crash_watch::OnView() {
  std::vector<std::string> ended;
  for (const auto& [incarnation, entry] : broken_) {
    if (HasSuccessor(entry.endpoint)) ended.push_back(incarnation);
  }
  for (const std::string& incarnation : ended) NoteEnded(incarnation);
}

void crash_watch::NoteEnded(const std::string& incarnation) {
  const auto found = broken_.find(incarnation);
  if (found == broken_.end()) return;
  const broken_endpoint ended = std::move(found->second);
  broken_.erase(found);
  for (const std::string& digest : ended.digests) {
    LogEvent(event_id::kEndpointEndedUnderRequest,
             {{"digest", digest}, {"endpoint", incarnation}});
  }
}

}  // namespace hickorywood::quarantine
