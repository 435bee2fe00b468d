// The leader's part of configuration leases: views, and changes that are
// pending until they are in force.

#include <algorithm>
#include <utility>

#include "control/replica.h"
#include "core/events.h"

namespace hickorywood::control {
namespace {

using core::event_id;
using core::LogEvent;

// An instance whose lease expired this many lease durations ago is considered
// terminated. The outcome of its unfinished claims is then unknown.
constexpr int kTerminatedAfterLeases = 8;

std::set<std::string> SiteNames(const replica_settings& settings) {
  std::set<std::string> names;
  for (const auto& item : settings.site_sizes) names.insert(item.first);
  return names;
}

}  // namespace

std::map<std::string, size_t> replica::IncludedSites() const {
  std::map<std::string, size_t> sites = settings_.site_sizes;
  for (const std::string& site : state_.excluded_sites) sites.erase(site);
  return sites;
}

void replica::Submit(command input, proposal_callback done) {
  if (!IsServing()) {
    done(NotLeader());
    return;
  }
  // A new leader's lease table is incomplete, so the leader can't distinguish
  // an unreachable site from a reachable one yet.
  if (clock_.Now() < leases_.complete_at) {
    queued_submissions_.push_back({std::move(input), std::move(done)});
    return;
  }
  const bool is_repeat =
      std::any_of(state_.changes.begin(), state_.changes.end(),
                  [&input](const auto& change) {
                    return change.change_id == input.change_id;
                  });
  if (!is_repeat && input.based_on == state_.revision) {
    proposal_answer refusal;
    const std::vector<core::finding> findings =
        CheckSubmission(state_, input, SiteNames(settings_));
    if (!findings.empty()) {
      LogEvent(event_id::kConfigurationRefused,
               {{"change", input.change_id},
                {"findings", std::to_string(findings.size())}});
      refusal.status = proposal_status::kRefused;
      refusal.findings = core::FormatFindings(findings);
      done(std::move(refusal));
      return;
    }
    const std::vector<std::string> unreachable =
        UnreachableSites(leases_, IncludedSites(), 0, clock_.Now());
    if (!unreachable.empty()) {
      LogEvent(event_id::kConfigurationBlocked,
               {{"change", input.change_id}, {"site", unreachable.front()}});
      refusal.status = proposal_status::kHeld;
      for (const std::string& site : unreachable) {
        refusal.findings += "site " + site + " unreachable\n";
      }
      done(std::move(refusal));
      return;
    }
  }
  const std::string change_id = input.change_id;
  ProposeEntry(std::move(input), [this, change_id, done = std::move(done)](
                                     proposal_answer answer) {
    const bool is_accepted =
        answer.status == proposal_status::kDone &&
        answer.result.outcome == command_outcome::kAccepted;
    if (!is_accepted) {
      done(std::move(answer));
      return;
    }
    LogEvent(event_id::kConfigurationAccepted,
             {{"change", change_id},
              {"revision", std::to_string(answer.result.revision)}});
    submissions_.push_back(
        {view_version_, clock_.Now(), std::move(answer), done});
  });
}

void replica::RetryQueuedSubmissions() {
  if (queued_submissions_.empty() || clock_.Now() < leases_.complete_at) return;
  std::vector<queued_submission> queued = std::move(queued_submissions_);
  queued_submissions_.clear();
  for (queued_submission& item : queued) {
    Submit(std::move(item.input), std::move(item.done));
  }
}

void replica::AnswerSubmissions() {
  if (submissions_.empty() || !IsServing()) return;
  std::vector<pending_submission> still_pending;
  std::vector<pending_submission> decided;
  for (pending_submission& item : submissions_) {
    (Decide(item) ? decided : still_pending).push_back(std::move(item));
  }
  submissions_ = std::move(still_pending);
  for (pending_submission& item : decided) item.done(std::move(item.answer));
}

// A site can become unreachable between the check and the commit. Its leases
// expire then, but the entire site continues to serve the older revision, so
// the committed change must not be reported as accepted. The response contains
// the missing site; the operator can repeat the request with the same change
// id.
bool replica::Decide(pending_submission& item) {
  const core::time_point now = clock_.Now();
  const std::vector<std::string> unreachable =
      UnreachableSites(leases_, IncludedSites(), item.index, now);
  if (unreachable.empty() && IsInForceEverywhere(leases_, item.index, now)) {
    return true;
  }
  if (now < item.committed_at + settings_.configuration_lease * 2) return false;
  item.answer.status = proposal_status::kHeld;
  for (const std::string& site : unreachable) {
    item.answer.findings += "site " + site + " unreachable; revision " +
                            std::to_string(item.answer.result.revision) +
                            " is not in force there yet\n";
  }
  return true;
}

void replica::RenewView(const view_request& request, view_callback done) {
  if (!IsServing()) {
    view_reply reply;
    reply.leader = NotLeader().leader;
    done(reply);
    return;
  }
  if (request.is_release) {
    ReleaseLease(leases_, request.instance);
    done(view_reply{});
    AnswerSubmissions();
    return;
  }
  // Until the new process is registered, claims of the previous process would
  // count as in progress.
  const auto boot = state_.boots.find(request.instance);
  if (boot == state_.boots.end() || boot->second != request.boot) {
    command input;
    input.kind = command_kind::kRegisterInstance;
    input.instance = request.instance;
    input.boot = request.boot;
    Propose(std::move(input), [this, request, done = std::move(done)](
                                  const proposal_answer& answer) {
      if (answer.status == proposal_status::kDone) {
        RenewView(request, done);
        return;
      }
      done(view_reply{});
    });
    return;
  }
  RenewLease(leases_, request.instance, request.site, request.version,
             request.revision, clock_.Now());
  if (request.version != view_version_ || request.is_first) {
    GrantView(request, done);
  } else {
    pending_views_.push_back(
        {request, std::move(done),
         clock_.Now() + settings_.configuration_lease / 3});
  }
  AnswerSubmissions();
}

void replica::GrantView(const view_request& request,
                        const view_callback& done) {
  view_reply reply;
  reply.is_granted = IsServing();
  if (reply.is_granted) {
    RenewLease(leases_, request.instance, request.site, request.version,
               request.revision, clock_.Now());
    reply.lease_ms = settings_.configuration_lease.count();
    reply.is_changed = request.version != view_version_;
    if (reply.is_changed) {
      reply.view = MakeView(state_, view_version_, request.site);
    }
  }
  done(reply);
}

void replica::AnswerPendingViews() {
  if (pending_views_.empty()) return;
  const core::time_point now = clock_.Now();
  const bool is_serving = IsServing();
  std::vector<pending_view> still_pending;
  std::vector<pending_view> due;
  for (pending_view& item : pending_views_) {
    const bool is_due = !is_serving || item.request.version != view_version_ ||
                        now >= item.answer_at;
    (is_due ? due : still_pending).push_back(std::move(item));
  }
  pending_views_ = std::move(still_pending);
  for (const pending_view& item : due) GrantView(item.request, item.done);
}

void replica::RemoveTerminatedInstances() {
  const core::time_point now = clock_.Now();
  for (auto item = leases_.holders.begin(); item != leases_.holders.end();) {
    const bool is_terminated = now - item->second.expires_at >
                               leases_.duration * kTerminatedAfterLeases;
    if (!is_terminated) {
      ++item;
      continue;
    }
    command input;
    input.kind = command_kind::kRegisterInstance;
    input.instance = item->first;
    ProposeEntry(std::move(input), [](const proposal_answer& /*answer*/) {});
    item = leases_.holders.erase(item);
  }
}

}  // namespace hickorywood::control
