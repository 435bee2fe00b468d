#ifndef HICKORYWOOD_TESTS_UNIT_CONSENSUS_GROUP_SIMULATION_H_
#define HICKORYWOOD_TESTS_UNIT_CONSENSUS_GROUP_SIMULATION_H_

// A whole control group under a paused clock: messages are delivered, lost,
// repeated and reordered, replicas crash before and after their writes are
// durable, freeze, and lose their disks, as a schedule of numbers says. After
// every action the promises of the group are checked.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "core/clock.h"

namespace hickorywood::consensus {

class group_simulation {
 public:
  // `wanted_voters`: see raft_options; 0: all become voters.
  group_simulation(size_t replicas, uint64_t seed, size_t wanted_voters = 0);

  // Does one action; `choice` decides which and on what.
  void Act(uint32_t choice);

  // Mends everything and runs for a while. True when a leader serves and a new
  // entry commits.
  bool HealsAndCommits();

  // The first broken promise; empty: none so far.
  const std::string& Violation() const { return violation_; }

  size_t Committed() const { return committed_.size(); }
  uint64_t DisksLost() const { return disks_lost_; }
  // Whether a disk was lost while another one was missing: that of a voter, or
  // of a replica whose admission had begun. From then on the quorum is that of
  // the larger group, and a group that bears one loss owes no progress after
  // two. It still must not lose or contradict anything.
  bool HasLostTwoDisks() const { return has_lost_two_disks_; }

  // Single actions, for scripted failures. Settle() runs the group for `time`,
  // delivering all messages.
  void Settle(core::milliseconds time);
  void Start(size_t index);
  void Crash(size_t index);
  void LoseDisk(size_t index);
  void SetCutOff(size_t index, bool is_cut_off) {
    replicas_[index].is_cut_off = is_cut_off;
  }
  void SetFrozen(size_t index, bool is_frozen) {
    replicas_[index].is_frozen = is_frozen;
  }
  void ProposeSomewhere();
  // Index of the replica that serves as leader; the number of replicas when
  // there is none.
  size_t Leader() const;
  // Nodes that vote, as far as committed.
  std::vector<std::string> Voters() const;
  // The leader at `index` gives way, and its message to the successor is lost.
  void LoseHandOver(size_t index);
  // Members that only receive entries, as far as committed.
  size_t Learners() const { return CommittedMembers().learners.size(); }
  std::vector<std::string> LearnerNames() const;
  void SetLeaving(const std::string& node);

  // Removes a safeguard, to see that the checks notice.
  void DropPromiseToLeader() { drops_promise_ = true; }
  void LetLostDisksVote() { lets_lost_disks_vote_ = true; }

 private:
  enum class crash_point { kNone, kBeforeWrite, kAfterWrite };
  struct replica {
    raft_state state;
    // What is on disk.
    hard_state disk_hard;
    raft_log disk_log;
    bool is_up = false;
    bool is_frozen = false;
    bool is_cut_off = false;
    crash_point crash_at = crash_point::kNone;
    int disks = 0;
  };

  member IdentityOf(size_t index) const;
  // Whether the voters other than `besides` still have the disks under which
  // they were admitted.
  bool HasCurrentDisks(const group_members& members, size_t besides) const;
  bool HasCurrentDisksEverywhere(size_t besides) const;
  bool MayLoseDisk(size_t index) const;
  void Advance(core::milliseconds step);
  void TickAll();
  void Deliver(size_t which, bool keep);
  void Handle(size_t index, raft_output& out);
  void WriteToDisk(replica& item, const raft_output& out);
  void JoinIfNeeded(size_t index);
  void NoteCommitted(const log_entry& entry);
  void Check();
  void Fail(const std::string& text);
  replica* Find(const member& who);
  group_members CommittedMembers() const;

  core::runtime_clock clock_;
  std::vector<replica> replicas_;
  std::vector<message> network_;
  std::map<uint64_t, log_entry> committed_;  // by index, as first handed out
  std::mt19937_64 random_;
  std::string violation_;
  const size_t wanted_voters_;
  uint64_t proposals_ = 0;
  uint64_t disks_lost_ = 0;
  bool has_lost_two_disks_ = false;
  bool drops_promise_ = false;
  bool lets_lost_disks_vote_ = false;
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_TESTS_UNIT_CONSENSUS_GROUP_SIMULATION_H_
