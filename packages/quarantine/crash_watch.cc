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
using core::time_point;

// A sound endpoint accepts within a few ms, also from another zone.
constexpr milliseconds kProbeTimeout{300};
// A process that ends closes its connections and its listening socket one after
// the other.
constexpr int kProbes = 2;
constexpr milliseconds kProbePause{100};
// One that listens again at the second probe has started anew, and its
// heartbeat comes within about a second, or has never ended.
constexpr milliseconds kSuccessorTime{3000};
// An endpoint without power shows its end only by its next start, which comes
// and is heard of within seconds.
constexpr milliseconds kRestartTime{10000};
// Pause before the leader is told again after a try that failed.
constexpr milliseconds kTellPause{100};
constexpr std::chrono::seconds kHousePeriod{10};
// Ends that wait to be told: about 100 KB, which each instance may send to a
// new leader.
constexpr size_t kMostReports = 1024;
// Requests that are named for one end: more than endpoints run at once. Bounds
// what a caller with many connections can make an instance remember.
constexpr size_t kMostRequests = 256;

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

bool IsAmong(const std::vector<std::string>& ends, const std::string& end) {
  return std::find(ends.begin(), ends.end(), end) != ends.end();
}

}  // namespace

crash_watch::crash_watch(asio::io_context& loop,
                         const core::runtime_clock& clock,
                         net::connection_pool& pool, const fleet::view& view,
                         teller tell)
    : loop_(loop),
      clock_(clock),
      pool_(pool),
      view_(view),
      tell_(std::move(tell)) {}

void crash_watch::Start() {
  asio::co_spawn(loop_, KeepTelling(), asio::detached);
  asio::co_spawn(loop_, KeepHouse(), asio::detached);
}

// --- What may be sent.

std::string crash_watch::DigestOf(const request_identity& input) const {
  const std::string& key = view_.members.digest_key;
  return key.empty() ? "" : quarantine::DigestOf(key, input);
}

verdict crash_watch::Check(const request_identity& input) const {
  return quarantine::Check(ledger_, view_.members.digest_key, input,
                           clock_.Now());
}

verdict crash_watch::CheckDigest(const std::string& digest) const {
  return quarantine::CheckDigest(ledger_, digest, clock_.Now());
}

void crash_watch::NoteServed(const request_identity& input) {
  if (!MayBeKnown(ledger_, view_.members.digest_key, input)) return;
  const std::string digest = DigestOf(input);
  if (!HasEnds(ledger_, digest)) return;
  Release(ledger_, digest, release_reason::kServed, clock_.Now());
  outbox_.served.push_back(digest);
  outbox_filled_.Notify();
}

// --- What has ended.

// Whether a later start has the place of one that is gone from the list.
bool crash_watch::HasSuccessor(const fleet::endpoint& gone) const {
  return FindEndpoint(view_, gone.incarnation) == nullptr &&
         std::any_of(view_.endpoints.begin(), view_.endpoints.end(),
                     [&gone](const fleet::endpoint& item) {
                       return item.address == gone.address ||
                              item.name == gone.name;
                     });
}

// One that said that it is going may end at any time.
bool crash_watch::IsLeaving(const fleet::endpoint& target) const {
  const fleet::endpoint* const listed = FindEndpoint(view_, target.incarnation);
  return listed == nullptr ? !HasSuccessor(target)
                           : listed->state == fleet::endpoint_state::kDraining;
}

void crash_watch::AddSilent(const fleet::endpoint& target, victim item) {
  silent_endpoint& entry = silent_[target.incarnation];
  entry.endpoint = target;
  if (entry.victims.size() >= kMostRequests) return;
  entry.victims.emplace_back(std::move(item), clock_.Now() + kRestartTime);
}

void crash_watch::NoteGivenUp(const request_identity& input,
                              const fleet::endpoint& target) {
  std::string digest = DigestOf(input);
  if (digest.empty() || IsLeaving(target)) return;
  ForgetSound();
  AddSilent(target, {std::move(digest), std::string(input.customer)});
  if (HasSuccessor(target)) NoteEnded(target.incarnation);
}

void crash_watch::NoteBroken(const request_identity& input,
                             const fleet::endpoint& target) {
  const std::string digest = DigestOf(input);
  if (digest.empty() || IsLeaving(target)) return;
  ForgetSound();
  broken_endpoint& entry = broken_[target.incarnation];
  if (!entry.is_probed) entry = {target};
  const bool is_known = std::any_of(
      entry.victims.begin(), entry.victims.end(),
      [&digest](const victim& item) { return item.digest == digest; });
  if (!is_known && entry.victims.size() < kMostRequests) {
    entry.victims.push_back({digest, std::string(input.customer)});
  }
  if (HasSuccessor(target)) {
    NoteEnded(target.incarnation);
    return;
  }
  if (entry.is_probed) return;
  entry.is_probed = true;
  entry.give_up_at = clock_.Now() + kSuccessorTime;
  asio::co_spawn(loop_, Probe(target.incarnation, target.address),
                 asio::detached);
}

// One that listens at the last probe stays on the list: its successor may be
// what listens. What breaks there after that is looked at anew. One that does
// not answer shows only later whether it has ended.
awaitable<void> crash_watch::Probe(std::string incarnation,
                                   std::string address) {
  bool is_silent = false;
  for (int probe = 0; probe < kProbes; ++probe) {
    const net::connect_outcome outcome =
        co_await pool_.Probe(address, clock_.Now() + kProbeTimeout);
    if (broken_.count(incarnation) == 0) co_return;
    if (outcome == net::connect_outcome::kRefused) {
      NoteEnded(incarnation);
      co_return;
    }
    is_silent = outcome == net::connect_outcome::kNoAnswer;
    co_await net::Sleep(kProbePause);
  }
  const auto found = broken_.find(incarnation);
  if (found == broken_.end()) co_return;
  found->second.is_probed = false;
  if (!is_silent) co_return;
  for (const victim& item : found->second.victims) {
    AddSilent(found->second.endpoint, item);
  }
  broken_.erase(found);
}

size_t crash_watch::Probing() const {
  return static_cast<size_t>(
      std::count_if(broken_.begin(), broken_.end(),
                    [](const auto& item) { return item.second.is_probed; }));
}

void crash_watch::ForgetSound() {
  const time_point now = clock_.Now();
  std::erase_if(broken_, [now](const auto& item) {
    return !item.second.is_probed && now >= item.second.give_up_at;
  });
  for (auto& [incarnation, entry] : silent_) {
    std::erase_if(entry.victims,
                  [now](const auto& item) { return now >= item.second; });
  }
  std::erase_if(silent_,
                [](const auto& item) { return item.second.victims.empty(); });
}

void crash_watch::NoteEnded(const std::string& incarnation) {
  std::vector<victim> victims;
  if (const auto found = broken_.find(incarnation); found != broken_.end()) {
    victims = std::move(found->second.victims);
    broken_.erase(found);
  }
  if (const auto found = silent_.find(incarnation); found != silent_.end()) {
    for (auto& item : found->second.victims) {
      victims.push_back(std::move(item.first));
    }
    silent_.erase(found);
  }
  const time_point now = clock_.Now();
  for (const victim& item : victims) {
    LogEvent(event_id::kEndpointEndedUnderRequest, {{"digest", item.digest},
                                                    {"customer", item.customer},
                                                    {"endpoint", incarnation}});
    const fleet::crash_report report{item.digest, item.customer, incarnation};
    NoteEnd(ledger_, report, now);
    outbox_.reports.push_back(report);
  }
  if (!victims.empty()) outbox_filled_.Notify();
}

// --- What others are told, and tell.

void crash_watch::OnView() {
  ForgetSound();
  std::vector<std::string> ended;
  for (const auto& [incarnation, entry] : broken_) {
    if (HasSuccessor(entry.endpoint)) ended.push_back(incarnation);
  }
  for (const auto& [incarnation, entry] : silent_) {
    if (HasSuccessor(entry.endpoint)) ended.push_back(incarnation);
  }
  for (const std::string& incarnation : ended) NoteEnded(incarnation);
  TakeWarnings();
}

void crash_watch::TakeWarnings() {
  const bool is_new_term = view_.version.term != seen_term_;
  seen_term_ = view_.version.term;
  if (is_new_term) TellWhatTheLeaderLacks();
  if (view_.warnings == seen_warnings_) return;
  const std::vector<fleet::request_warning> before =
      std::exchange(seen_warnings_, view_.warnings);
  const time_point now = clock_.Now();
  auto old = before.begin();
  for (const fleet::request_warning& item : seen_warnings_) {
    while (old != before.end() && old->digest < item.digest) ++old;
    const bool is_same = old != before.end() && *old == item;
    if (!is_same) Adopt(ledger_, item, now);
  }
  // A new leader may not know yet what the one before had told.
  if (is_new_term) return;
  for (const fleet::request_warning& item : before) {
    const bool is_listed =
        std::binary_search(seen_warnings_.begin(), seen_warnings_.end(), item,
                           [](const auto& left, const auto& right) {
                             return left.digest < right.digest;
                           });
    if (!is_listed) Release(ledger_, item.digest, release_reason::kServed, now);
  }
}

// A leader begins with what it followed itself, which may be nothing after all
// control instances were lost.
void crash_watch::TellWhatTheLeaderLacks() {
  std::map<std::string_view, const fleet::request_warning*> told;
  for (const fleet::request_warning& item : view_.warnings) {
    told[item.digest] = &item;
  }
  outbox_.reports.clear();
  outbox_.forgiven.clear();
  for (const auto& [digest, item] : ledger_.suspects) {
    const auto found = told.find(digest);
    const fleet::request_warning known =
        found == told.end() ? fleet::request_warning{} : *found->second;
    for (const std::string& end : item.ends) {
      if (IsAmong(known.ends, end) || IsAmong(known.forgiven, end)) continue;
      if (outbox_.reports.size() >= kMostReports) return;
      outbox_.reports.push_back({digest, item.customer, end});
    }
    fleet::forgiven_ends forgiven{digest, item.customer, {}};
    for (const std::string& end : item.cleared) {
      if (!IsAmong(known.forgiven, end)) forgiven.ends.push_back(end);
    }
    if (forgiven.ends.empty()) continue;
    if (outbox_.forgiven.size() >= kMostReports) return;
    outbox_.forgiven.push_back(std::move(forgiven));
  }
  outbox_filled_.Notify();
}

awaitable<void> crash_watch::KeepTelling() {
  for (;;) {
    const bool is_empty = outbox_.reports.empty() && outbox_.served.empty() &&
                          outbox_.forgiven.empty();
    if (is_empty) {
      co_await outbox_filled_.WaitUntil(time_point::max());
      continue;
    }
    fleet::crash_news news = std::exchange(outbox_, {});
    const bool is_told = co_await tell_(news);
    if (is_told) continue;
    // Behind what came in meanwhile: the order does not matter.
    outbox_.reports.insert(outbox_.reports.end(), news.reports.begin(),
                           news.reports.end());
    outbox_.served.insert(outbox_.served.end(), news.served.begin(),
                          news.served.end());
    outbox_.forgiven.insert(outbox_.forgiven.end(), news.forgiven.begin(),
                            news.forgiven.end());
    if (outbox_.reports.size() > kMostReports) {
      outbox_.reports.resize(kMostReports);
    }
    if (outbox_.forgiven.size() > kMostReports) {
      outbox_.forgiven.resize(kMostReports);
    }
    if (outbox_.served.size() > kMostReports) {
      outbox_.served.resize(kMostReports);
    }
    co_await net::Sleep(kTellPause);
  }
}

awaitable<void> crash_watch::KeepHouse() {
  for (;;) {
    co_await net::Sleep(kHousePeriod);
    Expire(ledger_, clock_.Now());
  }
}

}  // namespace hickorywood::quarantine
