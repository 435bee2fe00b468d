#ifndef HICKORYWOOD_CONSENSUS_RAFT_H_
#define HICKORYWOOD_CONSENSUS_RAFT_H_

// The Raft consensus algorithm for one replica, as free functions over a plain
// struct. Inputs are messages, proposals and clock ticks; outputs are messages,
// disk writes and committed entries. There is no I/O and no clock access here,
// so tests can run complete groups through any schedule of failures.
//
// The caller must make the writes of a raft_output durable before it sends the
// messages or applies the committed entries.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_log.h"
#include "consensus/types.h"
#include "core/clock.h"

namespace hickorywood::consensus {

using core::milliseconds;
// Leases, promises and elections must also expire while a machine is suspended:
// the other members elect another leader meanwhile.
using time_point = core::boot_time_point;

enum class raft_role { kFollower, kPreCandidate, kCandidate, kLeader };

struct raft_options {
  // Minimum; each election picks a random timeout of up to twice this value.
  milliseconds election_timeout{400};
  milliseconds heartbeat{80};
  milliseconds leader_lease{300};  // less than election_timeout, see lease.h
  // An append without a reply is sent again after this time.
  milliseconds reply_timeout{250};
  size_t append_bytes = 1 << 20;
  size_t snapshot_piece_bytes = 256 * 1024;
  // Entries kept before a snapshot for followers that are slightly behind.
  uint64_t keep_entries = 2000;
  // Target number of voters; 0: every instance that asks to join becomes a
  // voter. In a group of this size an instance that asks to join is accepted
  // only to replace a voter that is leaving or unreachable.
  size_t wanted_voters = 0;
  // Learners kept in a group that has all its voters, so that a lost voter is
  // replaced by a member that already has the log. Each learner costs the
  // leader as much as a voter.
  size_t spare_learners = 1;
  // Minimum number of voters after one is removed without a replacement: twice
  // the number of failures to tolerate, plus one. Each accepted entry is stored
  // on more than half of the voters.
  size_t min_voters = 3;
  // How long a group of one voter waits for a second instance to join with the
  // first one. A group of two ends with the loss of either disk.
  milliseconds pair_wait{10000};
  // A voter that has not replied for this time may be replaced by an instance
  // that asks to join. The new instance should be a voter before the next
  // failure.
  milliseconds replace_after{2000};
};

// Replication state of one other member, as tracked by the leader.
struct follower_progress {
  uint64_t next = 1;
  uint64_t match = 0;  // last index that is durable on this member
  bool is_in_flight = false;
  time_point sent_at{};
  // Sending time of the latest message that this member replied to.
  time_point confirmed_at{};
  time_point first_sent_at{};
  uint64_t snapshot_offset = 0;
  uint64_t snapshot_index = 0;  // of the snapshot being sent; 0: none
};

struct raft_state {
  raft_options options;
  member self;
  std::string group;  // empty until the replica bootstraps or joins a group
  hard_state hard;
  raft_log log;
  uint64_t commit = 0;
  // Index of the last committed entry passed to the caller.
  uint64_t delivered_index = 0;
  raft_role role = raft_role::kFollower;
  member leader;  // empty node: unknown
  // Time of the last valid message of the leader, initially the start of the
  // process.
  time_point leader_contact{};
  time_point election_deadline{};
  std::set<member> votes;
  // Leader only:
  std::map<member, follower_progress> followers;
  uint64_t term_start_index = 0;
  // Set by a leadership transfer for the rest of the term.
  bool is_lease_released = false;
  time_point transfer_started_at{};
  time_point elected_at{};
  // The latest term that this replica led, and since when it has led without
  // another leader in between: in each term there is one leader at most.
  uint64_t led_term = 0;
  time_point led_since{};
  std::set<std::string> leaving;  // nodes that must not be members
  // Follower only: the snapshot being received, in pieces.
  snapshot incoming;
  std::mt19937_64 random;
};

struct raft_output {
  bool hard_state_changed = false;
  uint64_t truncate_from = 0;  // 0: no truncation
  std::vector<log_entry> appended;
  // log.snap replaces the stored log and the state of the state machine.
  bool snapshot_installed = false;
  std::vector<message> messages;
  std::vector<log_entry> committed;  // to be applied in this order
};

// Initializes the state after loading. Committed entries can then be read with
// NextCommittedEntry(). The replica doesn't vote until one election timeout
// after `started`, because promises that it gave a leader before the restart
// are not stored. `started` is a time at which this process was running and had
// not yet replied to any leader; `now` is the time after loading, which takes
// long for a long log.
void StartReplica(raft_state& state, time_point started, time_point now);

// Returns the next committed entry to be applied, or nullptr if there is none.
// Entries are returned one by one: returning all of them at once doubled their
// memory, and a restart needed more memory than normal operation.
const log_entry* NextCommittedEntry(raft_state& state);

// Makes this empty replica one of the first voters of a new group. Each of them
// must be given the same voters. Returns false if it is already in a group.
bool BootstrapGroup(raft_state& state, const std::string& group,
                    std::vector<member> voters, time_point now,
                    raft_output& out);

void Tick(raft_state& state, time_point now, raft_output& out);
void Receive(raft_state& state, time_point now, const message& input,
             raft_output& out);

// Appends an entry if this replica is the leader. Returns its index; the
// proposal succeeded if the entry at this index is committed with the term
// state.hard.term. Returns nothing, with reason kUnavailable, if this replica
// is not the leader.
std::optional<uint64_t> Propose(raft_state& state, time_point now,
                                entry_kind kind, std::string data,
                                raft_output& out);

// Whether this replica should ask to join the group: it is not a voter (for
// example because its disk was replaced), or it has received nothing from a
// leader for replace_after. In that time it may have been removed from the
// group, and removed members don't receive the entry that removes them, so its
// own log would list it forever. A leader ignores such requests from current
// members.
bool NeedsToJoin(const raft_state& state, time_point now);

// Leader: whether the group lacks members, so that `who` may be admitted once
// the current change of the members is committed.
bool IsJoinWanted(const raft_state& state, const member& who);

// Leader: creates the messages with entries that followers lack. Call once per
// batch of work.
void SendPending(raft_state& state, time_point now, raft_output& out);

// Reports that a message to `to` was not delivered, so that it is sent again
// without waiting for the timeout.
void ReportUnreachable(raft_state& state, const member& to);

// Whether the appends in `out` may be sent before its writes are durable. A
// leader counts its own copy of an entry only after the sync. Its other
// messages depend on its durable state. So do changes of the members: an only
// voter that lost such an entry would continue as a group of its own.
bool MaySendBeforeSync(const raft_state& state, const raft_output& out);

// Leader: releases the lease for the rest of the term and asks an up-to-date
// voter to start an election. Returns false if there is no suitable voter.
bool TransferLeadership(raft_state& state, time_point now, raft_output& out);

// Creates a snapshot from `data`, the state as of `index`, and removes old
// entries.
void Compact(raft_state& state, uint64_t index, std::string data);

// Shared by raft.cc and raft_leader.cc.
namespace internal {

message MakeMessage(const raft_state& state, message_kind kind,
                    const member& to);
void BecomeFollower(raft_state& state, uint64_t term, const member& leader,
                    raft_output& out);
void BecomeLeader(raft_state& state, time_point now, raft_output& out);
void LeaderTick(raft_state& state, time_point now, raft_output& out);
void ReceiveAppendReply(raft_state& state, time_point now, const message& input,
                        raft_output& out);
void ReceiveSnapshotReply(raft_state& state, time_point now,
                          const message& input, raft_output& out);
void ReceiveJoin(raft_state& state, const message& input, raft_output& out);
void DeliverCommitted(raft_state& state, raft_output& out);
void AppendEntry(raft_state& state, const log_entry& entry, raft_output& out);

}  // namespace internal

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_RAFT_H_
