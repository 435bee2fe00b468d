#ifndef HICKORYWOOD_TESTS_UNIT_CONSENSUS_GROUP_SIMULATION_H_
#define HICKORYWOOD_TESTS_UNIT_CONSENSUS_GROUP_SIMULATION_H_

// Simulates a consensus group with a paused clock. Messages are delivered,
// lost, repeated and reordered; replicas crash before and after their writes
// are durable, freeze, and lose their disks, as determined by a sequence of
// numbers. After every action the guarantees of the group are checked.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "core/clock.h"

namespace hickorywood::consensus {

class group_simulation {
 public:
  // `wanted_voters`: see raft_options; 0: all become voters. The group begins
  // with `first_voters` voters.
  group_simulation(size_t replicas, uint64_t seed, size_t wanted_voters = 0,
                   size_t first_voters = 1);

  // Executes one action. `choice` determines the action and its target.
  void Act(uint32_t choice);

  // Removes all faults and runs the group for a while. Returns true if a leader
  // serves and a new entry commits.
  bool RecoversAndCommits();

  // The first violated guarantee; empty if there is none so far.
  const std::string& Violation() const { return violation_; }

  size_t Committed() const { return committed_.size(); }
  uint64_t DisksLost() const { return disks_lost_; }
  // Whether a disk was lost while another one was still missing: that of a
  // voter, or of a replica whose admission had begun. From then on the quorum
  // is that of the larger group, and a group that tolerates one loss need not
  // make progress after two. It still must not lose or contradict committed
  // entries.
  bool HasLostTwoDisks() const { return has_lost_two_disks_; }

  // Single actions, for scripted failures. Settle() runs the group for `time`
  // and delivers all messages.
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
  // Index of the replica that serves as leader; the number of replicas if there
  // is none.
  size_t Leader() const;
  // Nodes of the voters in the latest committed members.
  std::vector<std::string> Voters() const;
  // The leader at `index` starts a leadership transfer, and its message to the
  // successor is lost.
  void LoseTransferMessage(size_t index);
  // Number of learners in the latest committed members.
  size_t Learners() const { return CommittedMembers().learners.size(); }
  std::vector<std::string> LearnerNames() const;
  void SetLeaving(const std::string& node);

  // Disable a safeguard, to verify that the checks detect the violation.
  void DisableLeaderPromise() { ignores_promise_ = true; }
  void AllowVotesWithoutDisk() { allows_votes_without_disk_ = true; }

 private:
  enum class crash_point { kNone, kBeforeWrite, kAfterWrite };
  struct replica {
    raft_state state;
    // State on disk.
    hard_state disk_hard;
    raft_log disk_log;
    bool is_up = false;
    bool is_frozen = false;
    bool is_cut_off = false;
    crash_point crash_at = crash_point::kNone;
    int disks = 0;
  };

  member IdentityOf(size_t index) const;
  // Whether all voters except `excluded` still have the disks with which they
  // were admitted.
  bool HasCurrentDisks(const group_members& members, size_t excluded) const;
  bool HasCurrentDisksEverywhere(size_t excluded) const;
  bool MayLoseDisk(size_t index) const;
  void Advance(core::milliseconds step);
  void TickAll();
  void Deliver(size_t which, bool keep);
  void Handle(size_t index, raft_output& out);
  void SendAppends(raft_output& out);
  void WriteToDisk(replica& item, const raft_output& out);
  void JoinIfNeeded(size_t index);
  void RecordCommitted(const log_entry& entry);
  void Check();
  void Fail(const std::string& text);
  replica* Find(const member& who);
  group_members CommittedMembers() const;

  core::runtime_clock clock_;
  std::vector<replica> replicas_;
  std::vector<message> network_;
  std::map<uint64_t, log_entry> committed_;  // by index, as committed first
  std::mt19937_64 random_;
  std::string violation_;
  const size_t wanted_voters_;
  uint64_t proposals_ = 0;
  uint64_t disks_lost_ = 0;
  bool has_lost_two_disks_ = false;
  bool ignores_promise_ = false;
  bool allows_votes_without_disk_ = false;
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_TESTS_UNIT_CONSENSUS_GROUP_SIMULATION_H_
