#ifndef HICKORYWOOD_CONSENSUS_GROUP_REPLICA_H_
#define HICKORYWOOD_CONSENSUS_GROUP_REPLICA_H_

// One member of a replicated group, independent of the replicated data: the
// consensus state, its storage, and the order in which a batch of work becomes
// durable, is sent and is acknowledged. All calls are on one thread. Work is
// collected while a batch of tasks runs; Flush() then makes it durable with one
// sync, sends the messages and reports the results of proposals.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/group_health.h"
#include "consensus/lease.h"
#include "consensus/raft.h"
#include "consensus/storage.h"
#include "core/clock.h"

namespace hickorywood::consensus {

// Sends messages to other replicas. Replies are passed to Receive().
class message_sender {
 public:
  virtual ~message_sender() = default;
  virtual void Send(const message& output) = 0;
};

// The state of a state machine for a snapshot.
struct saved_state {
  uint64_t index = 0;  // index of the last entry that is included
  std::string data;
};

// The replicated state machine, and callbacks about the group.
class replicated_machine {
 public:
  virtual ~replicated_machine() = default;

  // Applies one committed command. Called in log order, which is the same on
  // each replica.
  virtual void Apply(const log_entry& entry) = 0;
  // Replaces the state by the snapshot taken at `index`. Empty data is the
  // initial state.
  virtual void Restore(uint64_t index, const std::string& data) = 0;
  // Returns the state in the format of Restore(), as of an index that has been
  // applied.
  virtual saved_state Save(uint64_t applied) const = 0;

  virtual void OnLeadership(bool is_leader) = 0;
  // Called after a batch of commands was applied and their proposers were
  // notified.
  virtual void OnApplied() = 0;
  // Called after a failed write. The process must exit, because the state on
  // disk is undefined.
  virtual void OnStorageFailure() = 0;
};

// Result of a proposal on the replica that proposed it.
enum class proposal_outcome {
  kCommitted,
  // Leadership ended first: this replica doesn't learn whether the entry is
  // committed.
  kLost,
};

struct group_replica_settings {
  std::string node;
  raft_options raft;
  int64_t snapshot_every = 10000;  // entries
  // A snapshot is taken after this many bytes of commands have been applied
  // since the latest one.
  int64_t snapshot_bytes = 16LL * 1024 * 1024;
  uint64_t random_seed = 0;
};

class group_replica {
 public:
  using reply_messages = std::function<void(std::vector<message>)>;
  using proposal_callback = std::function<void(proposal_outcome)>;

  // `clock`, `storage`, `sender` and `machine` must outlive the replica.
  group_replica(const core::runtime_clock& clock,
                group_replica_settings settings, log_storage& storage,
                message_sender& sender, replicated_machine& machine);

  // Loads the data folder. Returns false, with the reason, if it can't be used.
  bool Load();
  // Makes this replica the only voter of a new group. Returns false, with the
  // reason, if it is already in a group.
  bool Bootstrap(const std::string& group);
  // The same as one of several first voters, which all must be given the same
  // list.
  bool Bootstrap(const std::string& group, std::vector<member> voters);

  void Tick();
  void Flush();

  // Handles a message. `reply` is called with the replies to its sender once
  // they may be sent.
  void Receive(const message& input, reply_messages reply);
  void ReportUnreachable(const member& to);

  // Proposes a command if this replica is the serving leader. Otherwise returns
  // false and doesn't call `done`.
  bool Propose(std::string data, proposal_callback done);

  // Sets the nodes that must not be members of the group.
  void SetLeaving(std::set<std::string> nodes) {
    raft_.leaving = std::move(nodes);
  }

  // Reads the data of a committed entry after the latest snapshot. Returns
  // nothing, with the reason, if it can't be read.
  std::optional<std::string> ReadData(uint64_t index);

  // Transfers leadership before a planned shutdown. Returns false if no other
  // voter can take over.
  bool TransferLeadership();

  // Whether this replica is the leader, its lease is valid, and it has applied
  // all entries that were committed before its term.
  bool IsServing() const;
  bool IsVoter() const;
  // See consensus::NeedsToJoin().
  bool NeedsToJoin() const;
  bool HasFailed() const { return has_failed_; }
  uint64_t Applied() const { return applied_; }
  // Whether committed entries remain to be applied by a later Flush().
  bool HasBacklog() const { return !backlog_.empty(); }
  const raft_state& Raft() const { return raft_; }

 private:
  struct pending_proposal {
    uint64_t term = 0;
    proposal_callback done;
  };
  struct inbound_message {
    member from;
    reply_messages reply;
  };

  void LogLoadedState(time_point start) const;
  void SendBeforeSync(raft_output& out);
  void SendWithData(message output);
  void RestoreFrom(const snapshot& snap);
  void RecordApplied(const log_entry& entry);
  bool Persist(raft_output& out);
  bool ApplyBacklog();
  void ApplyEntry(const log_entry& entry);
  void LogMembers(const log_entry& entry);
  void SaveSnapshotIfDue();
  void RouteMessages(const std::vector<message>& messages);
  void HandleRoleChange();
  void FailPendingProposals();
  void FailStorage();

  const core::runtime_clock& clock_;
  const group_replica_settings settings_;
  log_storage& storage_;
  message_sender& sender_;
  replicated_machine& machine_;
  bool has_failed_ = false;

  raft_state raft_;
  group_health_log health_;
  raft_output out_;
  std::deque<log_entry> backlog_;  // committed but not yet applied
  uint64_t applied_ = 0;
  int64_t applied_bytes_ = 0;  // since the latest snapshot
  // Index and size of the applied entries whose data is still in memory.
  std::deque<std::pair<uint64_t, size_t>> cached_;
  size_t cached_bytes_ = 0;
  bool was_leader_ = false;
  size_t voter_count_ = 0;  // as of the latest committed change

  std::map<uint64_t, pending_proposal> proposals_;  // by log index
  std::vector<inbound_message> inbound_;
};

// Name of a role for status pages and logs.
const char* RoleName(raft_role role);

// "NODE/first digits of the storage id" of each member.
std::vector<std::string> MemberTexts(const std::vector<member>& members);

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_GROUP_REPLICA_H_
