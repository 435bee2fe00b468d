#ifndef HICKORYWOOD_CONSENSUS_GROUP_REPLICA_H_
#define HICKORYWOOD_CONSENSUS_GROUP_REPLICA_H_

// One member of a replicated group, whatever the group replicates: the
// consensus state, its storage, and the order in which a burst of work becomes
// durable, is sent and is answered. All calls are on one thread. Work is
// gathered while a burst of tasks runs; Flush() then makes it durable with one
// sync, sends the messages and answers the proposers.

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

// Carries messages to other replicas. Answers come back through Receive().
class message_sender {
 public:
  virtual ~message_sender() = default;
  virtual void Send(const message& output) = 0;
};

// A state machine's state for a snapshot.
struct saved_state {
  uint64_t index = 0;  // up to which it stands for the entries
  std::string data;
};

// What a group replicates, and what its owner hears of the group.
class replicated_machine {
 public:
  virtual ~replicated_machine() = default;

  // Applies one committed command. Called in the order of the log, the same at
  // each replica.
  virtual void Apply(const log_entry& entry) = 0;
  // Replaces the state by the snapshot taken at `index`; empty data: the
  // initial state.
  virtual void Restore(uint64_t index, const std::string& data) = 0;
  // The state as Restore() takes it, as of an index that has been applied.
  virtual saved_state Save(uint64_t applied) const = 0;

  virtual void OnLeadership(bool is_leader) = 0;
  // After a batch of commands was applied and its proposers were answered.
  virtual void OnApplied() = 0;
  // A write failed. The process must end: what is on disk is not known.
  virtual void OnStorageFailure() = 0;
};

// How a proposal ended at the replica that made it.
enum class proposal_end {
  kCommitted,
  kLost,  // leadership ended meanwhile: the fate is not known here
};

struct group_replica_settings {
  std::string node;
  raft_options raft;
  int64_t snapshot_every = 10000;  // entries
  // Bytes of commands applied since the latest snapshot after which the next
  // one is taken.
  int64_t snapshot_bytes = 16LL * 1024 * 1024;
  uint64_t random_seed = 0;
};

class group_replica {
 public:
  using reply_messages = std::function<void(std::vector<message>)>;
  using proposal_callback = std::function<void(proposal_end)>;

  // All three must outlive the replica.
  group_replica(const core::runtime_clock& clock,
                group_replica_settings settings, log_storage& storage,
                message_sender& sender, replicated_machine& machine);

  // Loads the data folder. False with the reason when it can't be used.
  bool Load();
  // Makes this replica the first voter of a new group. False with the reason
  // when it is in one.
  bool Bootstrap(const std::string& group);

  void Tick();
  void Flush();

  // Takes a message; `reply` gets the answers to its sender once they may be
  // sent.
  void Receive(const message& input, reply_messages reply);
  void ReportUnreachable(const member& to);

  // Proposes a command when this replica is the serving leader. False: nothing
  // was proposed, and `done` is not called.
  bool Propose(std::string data, proposal_callback done);

  // Nodes that shall not be members of the group.
  void SetLeaving(std::set<std::string> nodes) {
    raft_.leaving = std::move(nodes);
  }

  // The data of a committed entry after the latest snapshot. Empty with the
  // reason when it can't be read.
  std::optional<std::string> ReadData(uint64_t index);

  // Gives leadership away before a planned stop. False when there is nobody to
  // take it.
  bool HandOver();

  // Whether this replica leads under a live lease and has applied all that was
  // committed before its term.
  bool IsServing() const;
  bool IsVoter() const;
  // See consensus::NeedsToJoin().
  bool NeedsToJoin() const;
  bool HasFailed() const { return has_failed_; }
  uint64_t Applied() const { return applied_; }
  // Whether Flush() left committed entries for a later call.
  bool HasBacklog() const { return !backlog_.empty(); }
  const raft_state& Raft() const { return raft_; }

 private:
  struct waiting_proposal {
    uint64_t term = 0;
    proposal_callback done;
  };
  struct inbound_message {
    member from;
    reply_messages reply;
  };

  void NoteLoaded(core::time_point start) const;
  void SendBeforeSync(raft_output& out);
  void SendWithData(message output);
  void RestoreFrom(const snapshot& snap);
  void HoldApplied(const log_entry& entry);
  bool Persist(raft_output& out);
  bool ApplySome();
  void ApplyEntry(const log_entry& entry);
  void NoteMembers(const log_entry& entry);
  void SaveSnapshotIfDue();
  void RouteMessages(const std::vector<message>& messages);
  void NoteRole();
  void FailWaiting();
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
  std::deque<log_entry> backlog_;  // committed, not applied
  uint64_t applied_ = 0;
  int64_t applied_bytes_ = 0;  // since the latest snapshot
  // Applied entries whose data is still in memory, with their sizes.
  std::deque<std::pair<uint64_t, size_t>> held_;
  size_t held_bytes_ = 0;
  bool was_leader_ = false;
  size_t voter_count_ = 0;  // as of the latest committed change

  std::map<uint64_t, waiting_proposal> proposals_;  // by log index
  std::vector<inbound_message> inbound_;
};

// The word for a role in status pages and logs.
const char* RoleWord(raft_role role);

// "NODE/first digits of the storage id" of each member.
std::vector<std::string> MemberTexts(const std::vector<member>& members);

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_GROUP_REPLICA_H_
