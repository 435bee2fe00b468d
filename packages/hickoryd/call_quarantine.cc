#include "hickoryd/call_quarantine.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/events.h"
#include "quarantine/standing_log.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;
using core::milliseconds;
using transport::http_response;

// A sound endpoint accepts within a few ms, also from another zone.
constexpr milliseconds kProbeTimeout{300};
// A process that ends closes its connections and its listening socket one after
// the other.
constexpr int kProbes = 2;
constexpr milliseconds kProbePause{100};
constexpr milliseconds kWatchPeriod{50};
// Time in which the end of an endpoint whose connection broke shows.
constexpr milliseconds kDoubtTime{3000};
// One that listens again at the last probe has started anew, and is announced
// within seconds, or has never ended.
constexpr milliseconds kSuccessorTime = kDoubtTime;
// An endpoint without power shows its end only by its next start.
constexpr milliseconds kRestartTime{10000};
constexpr milliseconds kTellPeriod{200};
constexpr milliseconds kTellTimeout{1000};
constexpr milliseconds kExpirePeriod{10000};
// Ends that wait to be told to one instance: about 100 KB.
constexpr size_t kMostReports = 1024;
// Requests that are named for one end: more than endpoints run at once.
constexpr size_t kMostVictims = 256;
// Without a peer token nothing is kept secret between instances, and a digest
// only has to name a request.
constexpr char kDigestKeyPrefix[] = "quarantine:";

std::string IncarnationOf(const membership::announcement& endpoint) {
  return endpoint.id + "/" + std::to_string(endpoint.boot);
}

const membership::announcement* FindListed(const routing_view& view,
                                           const std::string& id) {
  for (const auto* const kind : {&view.engines, &view.services}) {
    for (const auto& [name, endpoints] : *kind) {
      for (const endpoint_view& item : endpoints) {
        if (item.latest.id == id) return &item.latest;
      }
    }
  }
  return nullptr;
}

template <typename Item>
void Append(std::vector<Item>& list, const std::vector<Item>& more) {
  list.insert(list.end(), more.begin(), more.end());
  if (list.size() > kMostReports) list.resize(kMostReports);
}

void Append(quarantine_news& news, const quarantine_news& more) {
  Append(news.seen.reports, more.seen.reports);
  Append(news.seen.served, more.seen.served);
  Append(news.doubts, more.doubts);
  news.wants_all = news.wants_all || more.wants_all;
}

}  // namespace

call_quarantine::call_quarantine(instance_context& context)
    : context_(context),
      key_(kDigestKeyPrefix + context.settings.tokens.peers) {
  for (const std::string& peer : context.links.Others()) {
    outboxes_[peer].next.wants_all = true;
  }
}

void call_quarantine::Start() {
  context_.traffic.Every(kWatchPeriod, [this] { CheckBroken(); });
  context_.traffic.Every(kTellPeriod, [this] { TellWaiting(); });
  context_.traffic.Every(kExpirePeriod, [this] { Expire(); });
  context_.traffic.After(milliseconds(0), [this] { TellWaiting(); });
}

quarantine::verdict call_quarantine::Check(
    const quarantine::request_identity& input) const {
  const core::time_point now = context_.clock.Now();
  if (doubts_.empty()) return quarantine::Check(ledger_, key_, input, now);
  quarantine::verdict found =
      quarantine::CheckDigest(ledger_, quarantine::DigestOf(key_, input), now);
  if (found.standing == quarantine::request_standing::kQuarantined) {
    return found;
  }
  const size_t ends = EndsOf(found.digest).size();
  if (ends >= ledger_.options.most_ends) {
    found.standing = quarantine::request_standing::kQuarantined;
    found.left = kDoubtTime;
  } else if (ends + 1 >= ledger_.options.most_ends) {
    found.standing = quarantine::request_standing::kSuspected;
  }
  return found;
}

std::set<std::string> call_quarantine::EndsOf(const std::string& digest) const {
  std::set<std::string> ends;
  const auto known = ledger_.suspects.find(digest);
  if (known != ledger_.suspects.end()) {
    ends.insert(known->second.ends.begin(), known->second.ends.end());
  }
  const auto doubted = doubts_.find(digest);
  if (doubted == doubts_.end()) return ends;
  for (const auto& [incarnation, until] : doubted->second) {
    ends.insert(incarnation);
  }
  return ends;
}

// --- What has ended.

void call_quarantine::NoteBroken(const quarantine::request_identity& input,
                                 const membership::announcement& target) {
  const fleet::crash_report victim{quarantine::DigestOf(key_, input),
                                   std::string(input.customer),
                                   IncarnationOf(target)};
  if (!Watch(victim, target)) return;
  Doubt(victim);
  quarantine_news news;
  news.doubts = {victim};
  TellAll(news);
}

void call_quarantine::NoteSilent(const quarantine::request_identity& input,
                                 const membership::announcement& target) {
  Watch({quarantine::DigestOf(key_, input), std::string(input.customer),
         IncarnationOf(target)},
        target);
}

void call_quarantine::Doubt(const fleet::crash_report& report) {
  if (doubts_.size() >= kMostReports) return;
  doubts_[report.digest][report.incarnation] =
      context_.clock.Now() + kDoubtTime;
}

void call_quarantine::ForgetDoubts() {
  const core::time_point now = context_.clock.Now();
  for (auto& [digest, starts] : doubts_) {
    std::erase_if(starts,
                  [now](const auto& item) { return now >= item.second; });
  }
  std::erase_if(doubts_, [](const auto& item) { return item.second.empty(); });
}

bool call_quarantine::Watch(const fleet::crash_report& victim,
                            const membership::announcement& target) {
  const core::time_point now = context_.clock.Now();
  const auto view = context_.board.Get();
  if (FindListed(*view, target.id) == nullptr) return false;
  broken_endpoint& entry = broken_[victim.incarnation];
  if (entry.probes_left == 0) {
    entry.target = target;
    entry.probes_left = kProbes;
    entry.probe_at = now;
    entry.give_up_at = now + kRestartTime;
  }
  AddVictim(entry, victim);
  CheckBroken();
  return true;
}

void call_quarantine::AddVictim(broken_endpoint& entry,
                                fleet::crash_report victim) {
  std::vector<fleet::crash_report>& victims = entry.victims;
  const bool is_known = std::any_of(victims.begin(), victims.end(),
                                    [&victim](const fleet::crash_report& item) {
                                      return item.digest == victim.digest;
                                    });
  if (is_known || victims.size() >= kMostVictims) return;
  victims.push_back(std::move(victim));
}

void call_quarantine::CheckBroken() {
  ForgetDoubts();
  if (broken_.empty()) return;
  const core::time_point now = context_.clock.Now();
  const auto view = context_.board.Get();
  std::vector<std::string> ended;
  for (auto& [incarnation, entry] : broken_) {
    const membership::announcement* const listed =
        FindListed(*view, entry.target.id);
    if (listed != nullptr && listed->boot > entry.target.boot) {
      ended.push_back(incarnation);
    } else if (entry.probes_left > 0 && now >= entry.probe_at) {
      Probe(incarnation, entry);
    }
  }
  for (const std::string& incarnation : ended) NoteEnded(incarnation);
  std::erase_if(broken_, [now](const auto& item) {
    return now >= item.second.give_up_at;
  });
}

void call_quarantine::Probe(const std::string& incarnation,
                            broken_endpoint& entry) {
  --entry.probes_left;
  entry.probe_at = context_.clock.Now() + kProbePause;
  transport::http_request request;
  request.url = "http://" + entry.target.address + "/";
  request.connect_timeout = kProbeTimeout;
  request.total_timeout = kProbeTimeout;
  request.only_connects = true;
  context_.client.Send(std::move(request),
                       [this, incarnation](const http_response& response) {
                         context_.traffic.Post([this, incarnation, response] {
                           TakeProbe(incarnation, response);
                         });
                       });
}

void call_quarantine::TakeProbe(const std::string& incarnation,
                                const http_response& response) {
  const auto found = broken_.find(incarnation);
  if (found == broken_.end()) return;
  const bool is_connected = response.how == transport::delivery::kAnswered;
  if (!is_connected && !response.is_timeout) {
    NoteEnded(incarnation);
    return;
  }
  if (is_connected && found->second.probes_left == 0) {
    found->second.give_up_at = context_.clock.Now() + kSuccessorTime;
  }
}

void call_quarantine::NoteEnded(const std::string& incarnation) {
  const auto found = broken_.find(incarnation);
  if (found == broken_.end()) return;
  quarantine_news news;
  news.seen.reports = std::move(found->second.victims);
  broken_.erase(found);
  for (const fleet::crash_report& report : news.seen.reports) {
    LogEvent(event_id::kEndpointEndedUnderRequest,
             {{"digest", report.digest},
              {"customer", report.customer},
              {"endpoint", incarnation}});
    quarantine::LogChanges(
        ledger_, quarantine::NoteEnd(ledger_, report, context_.clock.Now()));
  }
  TellAll(news);
}

void call_quarantine::NoteServed(const quarantine::request_identity& input) {
  const bool may_be_known =
      !doubts_.empty() || quarantine::MayBeKnown(ledger_, key_, input);
  if (!may_be_known) return;
  quarantine_news news;
  const std::string digest = quarantine::DigestOf(key_, input);
  if (EndsOf(digest).empty()) return;
  news.seen.served = {digest};
  TakeServed(digest);
  TellAll(news);
}

void call_quarantine::TakeServed(const std::string& digest) {
  doubts_.erase(digest);
  quarantine::LogChanges(
      ledger_,
      quarantine::Release(ledger_, digest, quarantine::release_reason::kServed,
                          context_.clock.Now()));
}

void call_quarantine::Expire() {
  quarantine::LogChanges(ledger_,
                         quarantine::Expire(ledger_, context_.clock.Now()));
}

// --- What others are told, and tell.

// Each instance tells only what it has seen itself. What it has heard it tells
// to none but those that start: told on, old ends would never be forgotten.
void call_quarantine::TellAll(const quarantine_news& news) {
  for (auto& [peer, box] : outboxes_) Append(box.next, news);
  TellWaiting();
}

void call_quarantine::TellWaiting() {
  for (const auto& [peer, box] : outboxes_) Tell(peer);
}

void call_quarantine::Tell(const std::string& peer) {
  outbox& box = outboxes_.at(peer);
  if (box.is_calling || box.next.IsEmpty()) return;
  box.is_calling = true;
  const quarantine_news told = std::exchange(box.next, {});
  context_.links.Call(peer, kNewsPath, core::Encode(told), kTellTimeout,
                      [this, peer, told](const http_response& response) {
                        context_.traffic.Post([this, peer, told, response] {
                          TakeReply(peer, told, response);
                        });
                      });
}

void call_quarantine::TakeReply(const std::string& peer,
                                const quarantine_news& told,
                                const http_response& response) {
  outbox& box = outboxes_.at(peer);
  box.is_calling = false;
  std::optional<quarantine_list> list;
  if (response.how == transport::delivery::kAnswered &&
      response.status == 200) {
    list = core::Decode<quarantine_list>(response.body);
  }
  if (!list) {
    quarantine_news again = told;
    again.doubts.clear();  // would be told again too late to count
    Append(again, box.next);
    box.next = std::move(again);
    return;
  }
  const core::time_point now = context_.clock.Now();
  for (const fleet::request_warning& item : list->warnings) {
    const fleet::forgiven_ends forgiven{item.digest, item.customer,
                                        item.forgiven};
    quarantine::LogChanges(ledger_,
                           quarantine::Forgive(ledger_, forgiven, now));
    for (const std::string& end : item.ends) {
      const fleet::crash_report report{item.digest, item.customer, end};
      quarantine::LogChanges(ledger_,
                             quarantine::NoteEnd(ledger_, report, now));
    }
  }
  Tell(peer);
}

quarantine_list call_quarantine::Take(const quarantine_news& input) {
  const core::time_point now = context_.clock.Now();
  for (const fleet::crash_report& report : input.seen.reports) {
    quarantine::LogChanges(ledger_, quarantine::NoteEnd(ledger_, report, now));
  }
  for (const fleet::crash_report& report : input.doubts) Doubt(report);
  for (const std::string& digest : input.seen.served) TakeServed(digest);
  if (!input.wants_all) return {};
  return {quarantine::ListWarnings(ledger_)};
}

}  // namespace hickorywood::hickoryd
