#include "hickoryd/call_quarantine.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/events.h"
#include "quarantine/quarantine_log.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;
using core::milliseconds;
using transport::http_response;

// A healthy endpoint accepts a connection within a few ms, also from another
// zone.
constexpr milliseconds kProbeTimeout{300};
// A terminating process may close its connections before its listening socket,
// so one probe can still succeed.
constexpr int kProbeCount = 2;
constexpr milliseconds kProbePause{100};
constexpr milliseconds kWatchPeriod{50};
// Time within which the crash of an endpoint whose connection broke is
// confirmed.
constexpr milliseconds kConfirmationTime{3000};
// An endpoint that accepts the last probe has either restarted, in which case
// its new incarnation is announced within seconds, or never crashed.
constexpr milliseconds kSuccessorTime = kConfirmationTime;
// When a machine loses power, the crash is visible only through the next
// incarnation of the endpoint.
constexpr milliseconds kRestartTime{10000};
constexpr milliseconds kUpdatePeriod{200};
constexpr milliseconds kUpdateTimeout{1000};
constexpr milliseconds kExpirePeriod{10000};
// Limit of the reports queued for one instance, about 100 KB, and of the
// requests with unconfirmed crashes.
constexpr size_t kMaxReports = 1024;
// Limit of the requests that one crash is attributed to. An endpoint runs fewer
// requests at once.
constexpr size_t kMaxRunningRequests = 256;
// Without a peer token there is no secret between instances, and a digest only
// has to identify a request.
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
  if (list.size() > kMaxReports) list.resize(kMaxReports);
}

void Append(quarantine_update& update, const quarantine_update& more) {
  Append(update.seen.reports, more.seen.reports);
  Append(update.seen.served, more.seen.served);
  Append(update.doubts, more.doubts);
  update.wants_all = update.wants_all || more.wants_all;
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
  context_.traffic.Every(kWatchPeriod, [this] { CheckBrokenEndpoints(); });
  context_.traffic.Every(kUpdatePeriod, [this] { SendQueuedUpdates(); });
  context_.traffic.Every(kExpirePeriod, [this] { Expire(); });
  context_.traffic.After(milliseconds(0), [this] { SendQueuedUpdates(); });
}

quarantine::quarantine_decision call_quarantine::Check(
    const quarantine::request_identity& input) const {
  const core::time_point now = context_.clock.Now();
  if (unconfirmed_.empty()) return quarantine::Check(ledger_, key_, input, now);
  quarantine::quarantine_decision found =
      quarantine::CheckDigest(ledger_, quarantine::DigestOf(key_, input), now);
  if (found.state == quarantine::quarantine_state::kQuarantined) {
    return found;
  }
  const size_t crash_count = CrashesOf(found.digest).size();
  found.crashes = crash_count;
  if (crash_count >= ledger_.options.max_crashes && !input.is_batch) {
    found.state = quarantine::quarantine_state::kQuarantined;
    found.remaining = kConfirmationTime;
  } else if (crash_count + 1 >= ledger_.options.max_crashes) {
    found.state = quarantine::quarantine_state::kSuspected;
  }
  return found;
}

std::set<std::string> call_quarantine::CrashesOf(
    const std::string& digest) const {
  std::set<std::string> crashes;
  const auto confirmed = ledger_.suspects.find(digest);
  if (confirmed != ledger_.suspects.end()) {
    crashes.insert(confirmed->second.ends.begin(),
                   confirmed->second.ends.end());
  }
  const auto unconfirmed_of_digest = unconfirmed_.find(digest);
  if (unconfirmed_of_digest == unconfirmed_.end()) return crashes;
  for (const auto& [incarnation, until] : unconfirmed_of_digest->second) {
    crashes.insert(incarnation);
  }
  return crashes;
}

void call_quarantine::RecordBrokenConnection(
    const quarantine::request_identity& input,
    const membership::announcement& target) {
  const fleet::crash_report suspected_request{
      quarantine::DigestOf(key_, input), std::string(input.customer),
      IncarnationOf(target), input.is_batch};
  if (!Watch(suspected_request, target)) return;
  AddUnconfirmed(suspected_request);
  quarantine_update update;
  update.doubts = {suspected_request};
  QueueForAll(update);
}

void call_quarantine::RecordAbandoned(const quarantine::request_identity& input,
                                      const membership::announcement& target) {
  Watch({quarantine::DigestOf(key_, input), std::string(input.customer),
         IncarnationOf(target), input.is_batch},
        target);
}

void call_quarantine::AddUnconfirmed(const fleet::crash_report& report) {
  if (unconfirmed_.size() >= kMaxReports) return;
  unconfirmed_[report.digest][report.incarnation] =
      context_.clock.Now() + kConfirmationTime;
}

void call_quarantine::ExpireUnconfirmedCrashes() {
  const core::time_point now = context_.clock.Now();
  for (auto& [digest, incarnations] : unconfirmed_) {
    std::erase_if(incarnations,
                  [now](const auto& item) { return now >= item.second; });
  }
  std::erase_if(unconfirmed_,
                [](const auto& item) { return item.second.empty(); });
}

bool call_quarantine::Watch(const fleet::crash_report& suspected_request,
                            const membership::announcement& target) {
  const core::time_point now = context_.clock.Now();
  const auto view = context_.view_holder.Get();
  if (FindListed(*view, target.id) == nullptr) return false;
  broken_endpoint& entry = broken_endpoints_[suspected_request.incarnation];
  if (entry.probes_left == 0) {
    entry.target = target;
    entry.probes_left = kProbeCount;
    entry.probe_at = now;
    entry.watched_until = now + kRestartTime;
  }
  AddRunningRequest(entry, suspected_request);
  CheckBrokenEndpoints();
  return true;
}

void call_quarantine::AddRunningRequest(broken_endpoint& entry,
                                        fleet::crash_report suspected_request) {
  std::vector<fleet::crash_report>& running_requests = entry.running_requests;
  const bool is_known =
      std::any_of(running_requests.begin(), running_requests.end(),
                  [&suspected_request](const fleet::crash_report& item) {
                    return item.digest == suspected_request.digest;
                  });
  if (is_known || running_requests.size() >= kMaxRunningRequests) return;
  running_requests.push_back(std::move(suspected_request));
}

void call_quarantine::CheckBrokenEndpoints() {
  ExpireUnconfirmedCrashes();
  if (broken_endpoints_.empty()) return;
  const core::time_point now = context_.clock.Now();
  const auto view = context_.view_holder.Get();
  std::vector<std::string> ended;
  for (auto& [incarnation, entry] : broken_endpoints_) {
    const membership::announcement* const listed =
        FindListed(*view, entry.target.id);
    if (listed != nullptr && listed->boot > entry.target.boot) {
      ended.push_back(incarnation);
    } else if (entry.probes_left > 0 && now >= entry.probe_at) {
      SendProbe(incarnation, entry);
    }
  }
  for (const std::string& incarnation : ended) OnCrashConfirmed(incarnation);
  std::erase_if(broken_endpoints_, [now](const auto& item) {
    return now >= item.second.watched_until;
  });
}

void call_quarantine::SendProbe(const std::string& incarnation,
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
                           HandleProbeResult(incarnation, response);
                         });
                       });
}

void call_quarantine::HandleProbeResult(const std::string& incarnation,
                                        const http_response& response) {
  const auto found = broken_endpoints_.find(incarnation);
  if (found == broken_endpoints_.end()) return;
  const bool is_connected = response.how == transport::delivery::kAnswered;
  if (!is_connected && !response.is_timeout) {
    OnCrashConfirmed(incarnation);
    return;
  }
  if (is_connected && found->second.probes_left == 0) {
    found->second.watched_until = context_.clock.Now() + kSuccessorTime;
  }
}

void call_quarantine::OnCrashConfirmed(const std::string& incarnation) {
  const auto found = broken_endpoints_.find(incarnation);
  if (found == broken_endpoints_.end()) return;
  quarantine_update update;
  update.seen.reports = std::move(found->second.running_requests);
  broken_endpoints_.erase(found);
  for (const fleet::crash_report& report : update.seen.reports) {
    LogEvent(event_id::kEndpointCrashedUnderRequest,
             {{"digest", report.digest},
              {"customer", report.customer},
              {"endpoint", incarnation}});
    quarantine::LogQuarantineChanges(
        ledger_,
        quarantine::RecordCrash(ledger_, report, context_.clock.Now()));
  }
  QueueForAll(update);
}

void call_quarantine::RecordServed(const quarantine::request_identity& input) {
  const bool may_have_crashes =
      !unconfirmed_.empty() ||
      quarantine::MayMatchSuspect(ledger_, key_, input);
  if (!may_have_crashes) return;
  quarantine_update update;
  const std::string digest = quarantine::DigestOf(key_, input);
  if (CrashesOf(digest).empty()) return;
  update.seen.served = {digest};
  ApplyServed(digest);
  QueueForAll(update);
}

void call_quarantine::ApplyServed(const std::string& digest) {
  unconfirmed_.erase(digest);
  quarantine::LogQuarantineChanges(
      ledger_,
      quarantine::Release(ledger_, digest, quarantine::release_reason::kServed,
                          context_.clock.Now()));
}

void call_quarantine::Expire() {
  quarantine::LogQuarantineChanges(
      ledger_, quarantine::Expire(ledger_, context_.clock.Now()));
}

// Each instance reports only the crashes that it detected itself. It passes
// received reports on only to instances that start: if they were relayed
// further, old crashes would never expire.
void call_quarantine::QueueForAll(const quarantine_update& update) {
  for (auto& [peer, box] : outboxes_) Append(box.next, update);
  SendQueuedUpdates();
}

void call_quarantine::SendQueuedUpdates() {
  for (const auto& [peer, box] : outboxes_) SendUpdate(peer);
}

void call_quarantine::SendUpdate(const std::string& peer) {
  outbox& box = outboxes_.at(peer);
  if (box.is_calling || box.next.IsEmpty()) return;
  box.is_calling = true;
  const quarantine_update sent_update = std::exchange(box.next, {});
  context_.links.Call(
      peer, kUpdatePath, core::Encode(sent_update), kUpdateTimeout,
      [this, peer, sent_update](const http_response& response) {
        context_.traffic.Post([this, peer, sent_update, response] {
          HandleUpdateReply(peer, sent_update, response);
        });
      });
}

void call_quarantine::HandleUpdateReply(const std::string& peer,
                                        const quarantine_update& sent_update,
                                        const http_response& response) {
  outbox& box = outboxes_.at(peer);
  box.is_calling = false;
  std::optional<quarantine_list> list;
  if (response.how == transport::delivery::kAnswered &&
      response.status == 200) {
    list = core::Decode<quarantine_list>(response.body);
  }
  if (!list) {
    quarantine_update again = sent_update;
    again.doubts.clear();  // would arrive too late to count
    Append(again, box.next);
    box.next = std::move(again);
    return;
  }
  const core::time_point now = context_.clock.Now();
  for (const fleet::request_warning& item : list->warnings) {
    const fleet::cleared_crashes forgiven{item.digest, item.customer,
                                          item.forgiven};
    quarantine::LogQuarantineChanges(
        ledger_, quarantine::ClearCrashes(ledger_, forgiven, now));
    for (const std::string& crash : item.ends) {
      const fleet::crash_report report{item.digest, item.customer, crash,
                                       item.is_batch};
      quarantine::LogQuarantineChanges(
          ledger_, quarantine::RecordCrash(ledger_, report, now));
    }
  }
  SendUpdate(peer);
}

quarantine_list call_quarantine::ApplyUpdate(const quarantine_update& input) {
  const core::time_point now = context_.clock.Now();
  for (const fleet::crash_report& report : input.seen.reports) {
    quarantine::LogQuarantineChanges(
        ledger_, quarantine::RecordCrash(ledger_, report, now));
  }
  for (const fleet::crash_report& report : input.doubts) AddUnconfirmed(report);
  for (const std::string& digest : input.seen.served) ApplyServed(digest);
  if (!input.wants_all) return {};
  return {quarantine::ListWarnings(ledger_)};
}

}  // namespace hickorywood::hickoryd
