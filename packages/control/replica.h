#ifndef HICKORYWOOD_CONTROL_REPLICA_H_
#define HICKORYWOOD_CONTROL_REPLICA_H_

// One voter of the control group: the replicated state machine for
// configuration, claims and steps. All calls are on the control thread. Work is
// collected while a batch of tasks runs; Flush() then makes it durable with one
// sync, sends the messages and calls the callbacks.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/group_replica.h"
#include "control/configuration_lease.h"
#include "control/state_machine.h"
#include "control/view.h"
#include "core/clock.h"

namespace hickorywood::control {

enum class proposal_status {
  kDone,
  kNotLeader,  // nothing was proposed; `leader` is set if it is known
  // Leadership ended first: this replica doesn't learn whether the command is
  // committed.
  kLost,
  // A site is unreachable and nothing was proposed, or the change was committed
  // but is not in force everywhere yet.
  kHeld,
  kRefused,  // the change has findings; nothing was proposed
};
NLOHMANN_JSON_SERIALIZE_ENUM(proposal_status,
                             {{proposal_status::kDone, "done"},
                              {proposal_status::kNotLeader, "not_leader"},
                              {proposal_status::kLost, "lost"},
                              {proposal_status::kHeld, "held"},
                              {proposal_status::kRefused, "refused"}})

struct proposal_answer {
  proposal_status status = proposal_status::kNotLeader;
  std::string leader;
  std::string findings;  // all findings as text, or the unreachable sites
  command_result result;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(proposal_answer, status, leader,
                                                findings, result)

using consensus::message_sender;

struct replica_settings {
  std::string node;
  consensus::raft_options raft;
  int64_t snapshot_every = 10000;  // entries
  core::milliseconds configuration_lease{1500};
  std::map<std::string, size_t> site_sizes;  // number of instances of each site
  uint64_t random_seed = 0;
};

// Status of a replica for the status page.
struct replica_status {
  std::string group;
  std::string node;
  std::string storage;
  std::string role;
  std::string leader;
  uint64_t term = 0;
  uint64_t commit = 0;
  uint64_t last_index = 0;
  int64_t lease_left_ms = 0;
  uint64_t revision = 0;
  std::vector<std::string> voters;
  std::vector<std::string> learners;
  std::vector<std::string> excluded_sites;
  std::vector<std::string> dark_sites;
  // Revision in force, by id of the instances that have a lease.
  std::map<std::string, uint64_t> revisions;
  size_t claims = 0;
  size_t steps = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    replica_status, group, node, storage, role, leader, term, commit,
    last_index, lease_left_ms, revision, voters, learners, excluded_sites,
    dark_sites, revisions, claims, steps)

class replica : private consensus::replicated_machine {
 public:
  using reply_messages = consensus::group_replica::reply_messages;
  using proposal_callback = std::function<void(proposal_answer)>;
  using view_callback = std::function<void(view_reply)>;

  // `storage` and `sender` must outlive the replica. `on_storage_failure` is
  // called when a write fails; the process must then exit.
  replica(const core::runtime_clock& clock, replica_settings settings,
          consensus::log_storage& storage, message_sender& sender,
          std::function<void()> on_storage_failure);

  // Loads the data folder. Returns false, with the reason, if it can't be used.
  bool Load() { return group_.Load(); }

  // Makes this replica the first voter of a new group. Returns false, with the
  // reason, if it is already in a group.
  bool Bootstrap(const std::string& group) { return group_.Bootstrap(group); }

  void Tick();
  void Flush() { group_.Flush(); }

  // Handles a message. `reply` is called with the replies to its sender once
  // they may be sent.
  void Receive(const consensus::message& input, reply_messages reply) {
    group_.Receive(input, std::move(reply));
  }
  void ReportUnreachable(const consensus::member& to) {
    group_.ReportUnreachable(to);
  }

  // Commits a command and calls `done` with its result.
  void Propose(command input, proposal_callback done);
  // Checks and commits a configuration change. Calls `done` once the change is
  // in force everywhere, or when it is rejected, held or lost.
  void Submit(command input, proposal_callback done);
  // Grants a configuration lease. Calls `done` at once if the requester's view
  // is outdated or `is_first` is set, otherwise when the view has changed or a
  // third of the lease has passed.
  void RenewView(const view_request& request, view_callback done);

  // Reads the step's record under the leader's lease. Returns nothing, with the
  // reason, if it is not available.
  std::optional<step_record> ReadStep(const std::string& pool,
                                      const std::string& step) const;

  // Transfers leadership before a planned shutdown. Returns false if no other
  // voter can take over.
  bool TransferLeadership() { return group_.TransferLeadership(); }

  bool IsServing() const { return group_.IsServing(); }
  // Whether this replica, identified by its instance and its current data
  // folder, is a voter.
  bool IsVoter() const { return group_.IsVoter(); }
  bool NeedsToJoin() const { return group_.NeedsToJoin(); }
  uint64_t Term() const { return group_.Raft().hard.term; }
  core::boot_time_point ElectedAt() const { return group_.Raft().elected_at; }
  const std::string& LeaderNode() const { return group_.Raft().leader.node; }
  const std::string& Group() const { return group_.Raft().group; }
  const consensus::member& Self() const { return group_.Raft().self; }
  const control_state& State() const { return state_; }
  replica_status Status() const;
  std::string EncodeState() const;

 private:
  struct pending_submission {
    uint64_t index = 0;
    core::time_point committed_at{};
    proposal_answer answer;
    proposal_callback done;
  };
  struct queued_submission {
    command input;
    proposal_callback done;
  };
  struct pending_view {
    view_request request;
    view_callback done;
    core::time_point answer_at{};
  };

  void Apply(const consensus::log_entry& entry) override;
  void Restore(uint64_t index, const std::string& data) override;
  consensus::saved_state Save(uint64_t applied) const override {
    return {applied, EncodeState()};
  }
  void OnLeadership(bool is_leader) override;
  void OnApplied() override;
  void OnStorageFailure() override { on_storage_failure_(); }
  void FailPendingSubmissions();
  void RetryQueuedSubmissions();
  void AnswerSubmissions();
  bool Decide(pending_submission& item);
  void AnswerPendingViews();
  void GrantView(const view_request& request, const view_callback& done);
  void RemoveTerminatedInstances();
  proposal_answer NotLeader() const;
  bool ProposeEntry(command input, proposal_callback done);
  std::map<std::string, size_t> IncludedSites() const;

  const core::runtime_clock& clock_;
  const replica_settings settings_;
  std::function<void()> on_storage_failure_;
  consensus::group_replica group_;
  control_state state_;
  command_result last_result_;  // result of the command applied last
  uint64_t view_version_ = 0;
  lease_table leases_;

  std::vector<pending_submission> submissions_;
  // Submissions queued until the lease table is complete.
  std::vector<queued_submission> queued_submissions_;
  std::vector<pending_view> pending_views_;
};

}  // namespace hickorywood::control

#endif  // HICKORYWOOD_CONTROL_REPLICA_H_
