#include "control/replica.h"

#include <algorithm>
#include <utility>

#include "consensus/members.h"
#include "core/events.h"
#include "core/json.h"

namespace hickorywood::control {
namespace {

using consensus::raft_state;

consensus::group_replica_settings GroupSettings(
    const replica_settings& settings) {
  consensus::group_replica_settings group;
  group.node = settings.node;
  group.raft = settings.raft;
  group.snapshot_every = settings.snapshot_every;
  group.random_seed = settings.random_seed;
  return group;
}

}  // namespace

replica::replica(const core::runtime_clock& clock, replica_settings settings,
                 consensus::log_storage& storage, message_sender& sender,
                 std::function<void()> on_storage_failure)
    : clock_(clock),
      settings_(std::move(settings)),
      on_storage_failure_(std::move(on_storage_failure)),
      group_(clock, GroupSettings(settings_), storage, sender, *this) {}

void replica::Restore(uint64_t index, const std::string& data) {
  state_ = control_state{};
  view_version_ = index;
  if (data.empty()) return;
  auto saved = core::Decode<control_state>(data);
  if (saved) {
    state_ = std::move(*saved);
    return;
  }
  core::LogEvent(
      core::event_id::kLogCorrupt,
      {{"node", settings_.node}, {"reason", core::LastReason().text}});
  OnStorageFailure();
}

void replica::Tick() {
  group_.Tick();
  MarkUnreachableSites(leases_, IncludedSites(), clock_.Now());
  if (IsServing()) RemoveTerminatedInstances();
  RetryQueuedSubmissions();
  AnswerSubmissions();
  AnswerPendingViews();
}

void replica::Apply(const consensus::log_entry& entry) {
  last_result_ = command_result{};
  const std::optional<command> input = core::Decode<command>(entry.data);
  if (!input) return;
  last_result_ = control::Apply(state_, *input);
  const bool is_accepted = last_result_.outcome == command_outcome::kAccepted;
  if (is_accepted && ChangesView(input->kind)) view_version_ = entry.index;
}

void replica::OnApplied() {
  AnswerSubmissions();
  AnswerPendingViews();
}

std::string replica::EncodeState() const { return core::Encode(state_); }

void replica::OnLeadership(bool is_leader) {
  if (is_leader) {
    StartLeaseTable(leases_, settings_.configuration_lease, clock_.Now());
    return;
  }
  FailPendingSubmissions();
}

void replica::FailPendingSubmissions() {
  std::vector<pending_submission> submissions = std::move(submissions_);
  std::vector<queued_submission> queued = std::move(queued_submissions_);
  submissions_.clear();
  queued_submissions_.clear();
  proposal_answer lost = NotLeader();
  for (queued_submission& item : queued) item.done(lost);
  lost.status = proposal_status::kLost;
  for (pending_submission& item : submissions) item.done(lost);
  AnswerPendingViews();
}

proposal_answer replica::NotLeader() const {
  proposal_answer answer;
  answer.status = proposal_status::kNotLeader;
  if (LeaderNode() != settings_.node) answer.leader = LeaderNode();
  return answer;
}

bool replica::ProposeEntry(command input, proposal_callback done) {
  input.now_ms = core::ToUnixMillis(clock_.WallNow());
  return group_.Propose(
      core::Encode(input),
      [this, done = std::move(done)](consensus::proposal_outcome outcome) {
        proposal_answer answer = NotLeader();
        answer.status = proposal_status::kLost;
        if (outcome == consensus::proposal_outcome::kCommitted) {
          answer.status = proposal_status::kDone;
          answer.result = last_result_;
        }
        done(std::move(answer));
      });
}

void replica::Propose(command input, proposal_callback done) {
  if (!IsServing()) {
    done(NotLeader());
    return;
  }
  ProposeEntry(std::move(input), std::move(done));
}

std::optional<step_record> replica::ReadStep(const std::string& pool,
                                             const std::string& step) const {
  if (!IsServing()) {
    return core::Fail(core::reason_code::kUnavailable, "not the leader");
  }
  const auto found = state_.steps.find(StepKey(pool, step));
  if (found == state_.steps.end()) {
    return core::Fail(core::reason_code::kNotFound, "no such step");
  }
  return found->second;
}

replica_status replica::Status() const {
  const core::time_point now = clock_.Now();
  const raft_state& raft = group_.Raft();
  const consensus::group_members members = consensus::ActiveMembers(raft.log);
  replica_status status;
  status.group = raft.group;
  status.node = settings_.node;
  status.storage = raft.self.storage;
  status.role = consensus::RoleName(raft.role);
  status.leader = raft.leader.node;
  status.term = raft.hard.term;
  status.commit = raft.commit;
  status.last_index = consensus::LastIndex(raft.log);
  status.lease_left_ms = std::chrono::duration_cast<core::milliseconds>(
                             consensus::LeaseLeft(raft, clock_.BootNow()))
                             .count();
  status.revision = state_.revision;
  status.voters = consensus::MemberTexts(members.voters);
  status.learners = consensus::MemberTexts(members.learners);
  status.excluded_sites.assign(state_.excluded_sites.begin(),
                               state_.excluded_sites.end());
  if (IsServing()) {
    status.dark_sites = UnreachableSites(leases_, IncludedSites(), 0, now);
    for (const auto& [instance, holder] : leases_.holders) {
      if (holder.expires_at > now) status.revisions[instance] = holder.revision;
    }
  }
  status.claims = state_.claims.size();
  status.steps = state_.steps.size();
  return status;
}

}  // namespace hickorywood::control
