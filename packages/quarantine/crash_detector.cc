#include "quarantine/crash_detector.h"

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
using core::time_point;

// A healthy endpoint accepts a connection within a few ms, also from another
// zone.
constexpr milliseconds kProbeTimeout{300};
// A process that terminates closes its connections and its listening socket one
// after the other, so the first probe may still succeed.
constexpr int kProbeCount = 2;
constexpr milliseconds kProbePause{100};
// An endpoint that accepts the second probe either has not crashed, or has
// restarted already; then its heartbeat arrives within about a second.
constexpr milliseconds kSuccessorTimeout{3000};
// The crash of an endpoint that lost power is detected only when it restarts
// and sends a heartbeat, which takes seconds.
constexpr milliseconds kRestartWindow{10000};
// Pause after a failed attempt to send an update to the leader.
constexpr milliseconds kSendRetryPause{100};
constexpr std::chrono::seconds kMaintenancePeriod{10};
// Reports that wait to be sent: about 100 KB, which each instance may send to a
// new leader.
constexpr size_t kMaxReports = 1024;
// Requests that are stored for one crash: more than endpoints run at once.
// Limits the memory that a caller with many connections can use.
constexpr size_t kMaxRequests = 256;

const fleet::endpoint* FindEndpoint(const fleet::view& view,
                                    const std::string& incarnation) {
  const auto found = std::lower_bound(
      view.endpoints.begin(), view.endpoints.end(), incarnation,
      [](const fleet::endpoint& item, const std::string& sought) {
        return item.incarnation < sought;
      });
  const bool is_listed =
      found != view.endpoints.end() && found->incarnation == incarnation;
  return is_listed ? &*found : nullptr;
}

bool Has(const std::vector<std::string>& crashes,
         const std::string& incarnation) {
  return std::find(crashes.begin(), crashes.end(), incarnation) !=
         crashes.end();
}

}  // namespace

crash_detector::crash_detector(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               net::connection_pool& pool,
                               const fleet::view& view,
                               update_sender send_update)
    : loop_(loop),
      clock_(clock),
      pool_(pool),
      view_(view),
      send_update_(std::move(send_update)) {}

void crash_detector::Start() {
  asio::co_spawn(loop_, RunReportLoop(), asio::detached);
  asio::co_spawn(loop_, RunMaintenanceLoop(), asio::detached);
}

std::string crash_detector::DigestOf(const request_identity& input) const {
  const std::string& key = view_.members.digest_key;
  return key.empty() ? "" : quarantine::DigestOf(key, input);
}

quarantine_decision crash_detector::Check(const request_identity& input) const {
  return quarantine::Check(ledger_, view_.members.digest_key, input,
                           clock_.Now());
}

quarantine_decision crash_detector::CheckDigest(
    const std::string& digest) const {
  return quarantine::CheckDigest(ledger_, digest, clock_.Now());
}

void crash_detector::RecordServed(const request_identity& input) {
  if (!MayMatchSuspect(ledger_, view_.members.digest_key, input)) return;
  const std::string digest = DigestOf(input);
  if (!HasCrashes(ledger_, digest)) return;
  Release(ledger_, digest, release_reason::kServed, clock_.Now());
  outbox_.served.push_back(digest);
  outbox_changed_.Notify();
}

// Whether an endpoint that is no longer listed was replaced by a later
// incarnation.
bool crash_detector::HasSuccessor(const fleet::endpoint& previous) const {
  return FindEndpoint(view_, previous.incarnation) == nullptr &&
         std::any_of(view_.endpoints.begin(), view_.endpoints.end(),
                     [&previous](const fleet::endpoint& item) {
                       return item.address == previous.address ||
                              item.name == previous.name;
                     });
}

// An endpoint that is draining or has left may terminate at any time; that is
// not a crash.
bool crash_detector::IsLeaving(const fleet::endpoint& target) const {
  const fleet::endpoint* const listed = FindEndpoint(view_, target.incarnation);
  return listed == nullptr ? !HasSuccessor(target)
                           : listed->state == fleet::endpoint_state::kDraining;
}

void crash_detector::AddUnresponsive(const fleet::endpoint& target,
                                     affected_request item) {
  unresponsive_endpoint& entry = unresponsive_[target.incarnation];
  entry.endpoint = target;
  if (entry.requests.size() >= kMaxRequests) return;
  entry.requests.emplace_back(std::move(item), clock_.Now() + kRestartWindow);
}

void crash_detector::RecordAbandoned(const request_identity& input,
                                     const fleet::endpoint& target) {
  std::string digest = DigestOf(input);
  if (digest.empty() || IsLeaving(target)) return;
  RemoveExpiredEntries();
  AddUnresponsive(
      target, {std::move(digest), std::string(input.customer), input.is_batch});
  if (HasSuccessor(target)) HandleCrash(target.incarnation);
}

void crash_detector::RecordBrokenConnection(const request_identity& input,
                                            const fleet::endpoint& target) {
  const std::string digest = DigestOf(input);
  if (digest.empty() || IsLeaving(target)) return;
  RemoveExpiredEntries();
  disconnected_endpoint& entry = disconnected_[target.incarnation];
  if (!entry.is_probing) entry = {target};
  const bool is_recorded =
      std::any_of(entry.requests.begin(), entry.requests.end(),
                  [&digest](const affected_request& item) {
                    return item.digest == digest;
                  });
  if (!is_recorded && entry.requests.size() < kMaxRequests) {
    entry.requests.push_back(
        {digest, std::string(input.customer), input.is_batch});
  }
  if (HasSuccessor(target)) {
    HandleCrash(target.incarnation);
    return;
  }
  if (entry.is_probing) return;
  entry.is_probing = true;
  entry.expires_at = clock_.Now() + kSuccessorTimeout;
  asio::co_spawn(loop_, Probe(target.incarnation, target.address),
                 asio::detached);
}

// If the endpoint accepts the last probe, its entry stays: the process that
// accepted may already be its successor. A connection that breaks there later
// is probed again. If the endpoint does not respond, only a later incarnation
// shows whether it crashed.
awaitable<void> crash_detector::Probe(std::string incarnation,
                                      std::string address) {
  bool is_unresponsive = false;
  for (int probe = 0; probe < kProbeCount; ++probe) {
    const net::connect_outcome outcome =
        co_await pool_.Probe(address, clock_.Now() + kProbeTimeout);
    if (disconnected_.count(incarnation) == 0) co_return;
    if (outcome == net::connect_outcome::kRefused) {
      HandleCrash(incarnation);
      co_return;
    }
    is_unresponsive = outcome == net::connect_outcome::kNoAnswer;
    co_await net::Sleep(kProbePause);
  }
  const auto found = disconnected_.find(incarnation);
  if (found == disconnected_.end()) co_return;
  found->second.is_probing = false;
  if (!is_unresponsive) co_return;
  for (const affected_request& item : found->second.requests) {
    AddUnresponsive(found->second.endpoint, item);
  }
  disconnected_.erase(found);
}

size_t crash_detector::ProbesInProgress() const {
  return static_cast<size_t>(
      std::count_if(disconnected_.begin(), disconnected_.end(),
                    [](const auto& item) { return item.second.is_probing; }));
}

void crash_detector::RemoveExpiredEntries() {
  const time_point now = clock_.Now();
  std::erase_if(disconnected_, [now](const auto& item) {
    return !item.second.is_probing && now >= item.second.expires_at;
  });
  for (auto& [incarnation, entry] : unresponsive_) {
    std::erase_if(entry.requests,
                  [now](const auto& item) { return now >= item.second; });
  }
  std::erase_if(unresponsive_,
                [](const auto& item) { return item.second.requests.empty(); });
}

void crash_detector::HandleCrash(const std::string& incarnation) {
  std::vector<affected_request> requests;
  if (const auto found = disconnected_.find(incarnation);
      found != disconnected_.end()) {
    requests = std::move(found->second.requests);
    disconnected_.erase(found);
  }
  if (const auto found = unresponsive_.find(incarnation);
      found != unresponsive_.end()) {
    for (auto& item : found->second.requests) {
      requests.push_back(std::move(item.first));
    }
    unresponsive_.erase(found);
  }
  const time_point now = clock_.Now();
  for (const affected_request& item : requests) {
    LogEvent(event_id::kEndpointCrashedUnderRequest,
             {{"digest", item.digest},
              {"customer", item.customer},
              {"endpoint", incarnation}});
    const fleet::crash_report report{item.digest, item.customer, incarnation,
                                     item.is_batch};
    RecordCrash(ledger_, report, now);
    outbox_.reports.push_back(report);
  }
  if (!requests.empty()) outbox_changed_.Notify();
}

void crash_detector::OnView() {
  RemoveExpiredEntries();
  std::vector<std::string> crashed;
  for (const auto& [incarnation, entry] : disconnected_) {
    if (HasSuccessor(entry.endpoint)) crashed.push_back(incarnation);
  }
  for (const auto& [incarnation, entry] : unresponsive_) {
    if (HasSuccessor(entry.endpoint)) crashed.push_back(incarnation);
  }
  for (const std::string& incarnation : crashed) HandleCrash(incarnation);
  MergeWarnings();
}

void crash_detector::MergeWarnings() {
  const bool is_new_term = view_.version.term != last_view_term_;
  last_view_term_ = view_.version.term;
  if (is_new_term) QueueMissingReports();
  if (view_.warnings == last_warnings_) return;
  const std::vector<fleet::request_warning> previous_warnings =
      std::exchange(last_warnings_, view_.warnings);
  const time_point now = clock_.Now();
  auto old = previous_warnings.begin();
  for (const fleet::request_warning& item : last_warnings_) {
    while (old != previous_warnings.end() && old->digest < item.digest) ++old;
    const bool is_same = old != previous_warnings.end() && *old == item;
    if (!is_same) MergeWarning(ledger_, item, now);
  }
  // A new leader may not have received the reports that its predecessor had, so
  // a missing warning does not clear the request.
  if (is_new_term) return;
  for (const fleet::request_warning& item : previous_warnings) {
    const bool is_listed =
        std::binary_search(last_warnings_.begin(), last_warnings_.end(), item,
                           [](const auto& left, const auto& right) {
                             return left.digest < right.digest;
                           });
    if (!is_listed) Release(ledger_, item.digest, release_reason::kServed, now);
  }
}

// A new leader starts with the warnings that it received itself, which may be
// none after a loss of all control instances.
void crash_detector::QueueMissingReports() {
  std::map<std::string_view, const fleet::request_warning*> listed_warnings;
  for (const fleet::request_warning& item : view_.warnings) {
    listed_warnings[item.digest] = &item;
  }
  outbox_.reports.clear();
  outbox_.forgiven.clear();
  for (const auto& [digest, item] : ledger_.suspects) {
    const auto found = listed_warnings.find(digest);
    const fleet::request_warning warning = found == listed_warnings.end()
                                               ? fleet::request_warning{}
                                               : *found->second;
    for (const std::string& crash : item.ends) {
      if (Has(warning.ends, crash) || Has(warning.forgiven, crash)) continue;
      if (outbox_.reports.size() >= kMaxReports) return;
      outbox_.reports.push_back({digest, item.customer, crash, item.is_batch});
    }
    fleet::cleared_crashes cleared{digest, item.customer, {}};
    for (const std::string& crash : item.cleared) {
      if (!Has(warning.forgiven, crash)) cleared.ends.push_back(crash);
    }
    if (cleared.ends.empty()) continue;
    if (outbox_.forgiven.size() >= kMaxReports) return;
    outbox_.forgiven.push_back(std::move(cleared));
  }
  outbox_changed_.Notify();
}

awaitable<void> crash_detector::RunReportLoop() {
  for (;;) {
    const bool is_empty = outbox_.reports.empty() && outbox_.served.empty() &&
                          outbox_.forgiven.empty();
    if (is_empty) {
      co_await outbox_changed_.WaitUntil(time_point::max());
      continue;
    }
    fleet::crash_update update = std::exchange(outbox_, {});
    const bool is_sent = co_await send_update_(update);
    if (is_sent) continue;
    // Appended to what was queued during the call: the order does not matter.
    outbox_.reports.insert(outbox_.reports.end(), update.reports.begin(),
                           update.reports.end());
    outbox_.served.insert(outbox_.served.end(), update.served.begin(),
                          update.served.end());
    outbox_.forgiven.insert(outbox_.forgiven.end(), update.forgiven.begin(),
                            update.forgiven.end());
    if (outbox_.reports.size() > kMaxReports) {
      outbox_.reports.resize(kMaxReports);
    }
    if (outbox_.forgiven.size() > kMaxReports) {
      outbox_.forgiven.resize(kMaxReports);
    }
    if (outbox_.served.size() > kMaxReports) {
      outbox_.served.resize(kMaxReports);
    }
    co_await net::Sleep(kSendRetryPause);
  }
}

awaitable<void> crash_detector::RunMaintenanceLoop() {
  for (;;) {
    co_await net::Sleep(kMaintenancePeriod);
    Expire(ledger_, clock_.Now());
  }
}

}  // namespace hickorywood::quarantine
