#ifndef HICKORYWOOD_CONSENSUS_RAFT_H_
#define HICKORYWOOD_CONSENSUS_RAFT_H_

// A replica of a replicated log, as free functions over a plain struct: a
// message, a proposal or a tick of the clock goes in; messages, disk writes and
// committed entries come out. Nothing here does I/O or reads a clock, so tests
// drive whole groups through any schedule of failures.
//
// The caller must make the writes of a raft_output durable before it sends its
// messages or applies its committed entries.

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
using core::time_point;

enum class raft_role { kFollower, kPreCandidate, kCandidate, kLeader };

struct raft_options {
  milliseconds election_timeout{
      400};  // shortest; each election draws up to twice as long
  milliseconds heartbeat{80};
  milliseconds leader_lease{300};  // below election_timeout, see lease.h
  milliseconds reply_timeout{
      250};  // silence after which an append is sent again
  size_t append_bytes = 1 << 20;
  size_t snapshot_piece_bytes = 256 * 1024;
  uint64_t keep_entries =
      2000;  // held behind a snapshot for followers a little behind
  // Voters that the group wants; 0: every instance that asks becomes one. Past
  // it an instance that asks is taken in only for a voter that is leaving or
  // silent.
  size_t wanted_voters = 0;
  // Learners that a group with all its voters keeps at hand, so that a lost
  // voter's place is taken by one that has the log already. Every further one
  // costs the leader as much as a voter.
  size_t spare_learners = 1;
  // Voters that remain when one is dropped without a successor: twice the
  // losses to be borne plus one. Each entry that was accepted is on more than
  // half of them.
  size_t fewest_voters = 3;
  // Silence after which a voter may be replaced by an instance that asks. A
  // replaced instance must be a voter before the next loss may come.
  milliseconds replace_after{2000};
};

// What the leader knows of one other member.
struct follower_progress {
  uint64_t next = 1;
  uint64_t match = 0;  // durable there up to here
  bool is_in_flight = false;
  time_point sent_at{};
  time_point
      confirmed_at{};  // sending time of the latest message that it answered
  time_point first_sent_at{};
  uint64_t snapshot_offset = 0;
  uint64_t snapshot_index = 0;  // of the snapshot being sent; 0: none
};

struct raft_state {
  raft_options options;
  member self;
  std::string group;  // empty until the group is bootstrapped or joined
  hard_state hard;
  raft_log log;
  uint64_t commit = 0;
  uint64_t handed_out = 0;  // committed entries given to the caller so far
  raft_role role = raft_role::kFollower;
  member leader;                // empty node: not known
  time_point leader_contact{};  // last valid message of the leader, or the
                                // start of the process
  time_point election_deadline{};
  std::set<member> votes;
  // Leader only:
  std::map<member, follower_progress> followers;
  uint64_t term_start_index = 0;
  bool is_lease_given_up =
      false;  // after a hand-over, for the rest of the term
  time_point handed_over_at{};
  time_point elected_at{};
  std::set<std::string> leaving;  // nodes that shall not be members
  // Follower only: the pieces of a snapshot that is coming in.
  snapshot incoming;
  std::mt19937_64 random;
};

struct raft_output {
  bool hard_state_changed = false;
  uint64_t truncate_from = 0;  // 0: nothing to truncate
  std::vector<log_entry> appended;
  bool snapshot_installed =
      false;  // log.snap replaces the stored log and the state machine
  std::vector<message> messages;
  std::vector<log_entry> committed;  // to apply, in order
};

// Sets the state up after loading it. Entries known as committed are there to
// be handed out, see HandOutKnown(). Until one election timeout after `started`
// it votes for nobody: what it promised a leader before the restart is not on
// disk. `started`: a moment at which the process ran and had not answered any
// leader yet; `now` is after the load, which takes long where the log is long.
void StartReplica(raft_state& state, time_point started, time_point now);

// The next entry that was known as committed before the restart, to be applied;
// nullptr: all are handed out. One by one: all at once they stood in memory
// twice, and a restart needed more of it than the day before.
const log_entry* HandOutKnown(raft_state& state);

// Makes the empty replica the only voter of a new group. False when it is in a
// group already.
bool BootstrapGroup(raft_state& state, const std::string& group, time_point now,
                    raft_output& out);

void Tick(raft_state& state, time_point now, raft_output& out);
void Receive(raft_state& state, time_point now, const message& input,
             raft_output& out);

// Appends an entry when this replica leads. Returns its index; the entry counts
// once committed in the term state.hard.term. Empty with reason kUnavailable
// otherwise.
std::optional<uint64_t> Propose(raft_state& state, time_point now,
                                entry_kind kind, std::string data,
                                raft_output& out);

// Whether this replica should ask the others to take it in: it is no member, or
// its disk was replaced, or it has heard no leader for replace_after. In that
// time it may have been dropped, and nobody sends the entry that says so to one
// that is no member any more; its own log would list it for good. A leader
// ignores a member that asks.
bool NeedsToJoin(const raft_state& state, time_point now);

// Leader: queues the messages for entries that followers lack. Call once per
// burst.
void SendPending(raft_state& state, time_point now, raft_output& out);

// Tells that a message to `to` can't have arrived, so that it is sent again
// without waiting.
void ReportUnreachable(raft_state& state, const member& to);

// Leader: gives the lease up for good and asks the best follower to take over.
// False when there is none that could.
bool HandOver(raft_state& state, time_point now, raft_output& out);

// Takes a snapshot of the applied state at `index` and drops older entries.
void Compact(raft_state& state, uint64_t index, std::string data);

// Used by the parts of this package.
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
void HandOutCommitted(raft_state& state, raft_output& out);
void AppendEntry(raft_state& state, const log_entry& entry, raft_output& out);

}  // namespace internal

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_RAFT_H_
