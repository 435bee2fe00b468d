// The leader's part of the protocol: replication, commit, membership changes,
// leadership transfer.

#include <algorithm>
#include <optional>
#include <utility>

#include "consensus/group_health.h"
#include "consensus/lease.h"
#include "consensus/members.h"
#include "consensus/raft.h"

namespace hickorywood::consensus {
namespace {

using internal::MakeMessage;

int64_t ToNanos(time_point time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             time.time_since_epoch())
      .count();
}

time_point FromNanos(int64_t nanos) {
  return time_point(std::chrono::nanoseconds(nanos));
}

// Updates state.followers to contain exactly the other members of the group.
void RefreshFollowers(raft_state& state) {
  const group_members members = ActiveMembers(state.log);
  std::vector<member> others = members.voters;
  others.insert(others.end(), members.learners.begin(), members.learners.end());
  for (const member& who : others) {
    if (who == state.self || state.followers.count(who) != 0) continue;
    follower_progress fresh;
    fresh.next = LastIndex(state.log) + 1;
    state.followers[who] = fresh;
  }
  for (auto item = state.followers.begin(); item != state.followers.end();) {
    const bool is_member =
        std::find(others.begin(), others.end(), item->first) != others.end();
    item = is_member ? std::next(item) : state.followers.erase(item);
  }
}

// Commits the entries that are durable on a quorum. Only an entry of the
// leader's own term may be counted: an older entry can be overwritten by a
// later leader that lacks it even if it is stored on a quorum.
void AdvanceCommit(raft_state& state, raft_output& out) {
  const group_members members = ActiveMembers(state.log);
  std::vector<uint64_t> durable;
  for (const member& voter : members.voters) {
    if (voter == state.self) {
      durable.push_back(LastIndex(state.log));
      continue;
    }
    const auto found = state.followers.find(voter);
    durable.push_back(found == state.followers.end() ? 0 : found->second.match);
  }
  std::sort(durable.rbegin(), durable.rend());
  const uint64_t candidate = durable.at(QuorumSize(members) - 1);
  if (candidate <= state.commit ||
      TermAt(state.log, candidate) != state.hard.term) {
    return;
  }
  state.commit = candidate;
  internal::DeliverCommitted(state, out);
}

uint64_t AppendAsLeader(raft_state& state, entry_kind kind, std::string data,
                        raft_output& out) {
  log_entry entry;
  entry.index = LastIndex(state.log) + 1;
  entry.term = state.hard.term;
  entry.kind = kind;
  entry.data = std::move(data);
  internal::AppendEntry(state, entry, out);
  if (kind == entry_kind::kMembers) RefreshFollowers(state);
  AdvanceCommit(state, out);
  return entry.index;
}

void SendSnapshotPiece(raft_state& state, const member& to,
                       follower_progress& progress, raft_output& out) {
  const snapshot& snap = state.log.snap;
  if (progress.snapshot_index != snap.index) {
    progress.snapshot_index = snap.index;
    progress.snapshot_offset = 0;
  }
  message piece = MakeMessage(state, message_kind::kSnapshot, to);
  piece.part = snap;
  piece.part.data = snap.data.substr(progress.snapshot_offset,
                                     state.options.snapshot_piece_bytes);
  piece.offset = progress.snapshot_offset;
  piece.is_last = piece.offset + piece.part.data.size() == snap.data.size();
  piece.sent_ns = ToNanos(progress.sent_at);
  out.messages.push_back(std::move(piece));
}

void SendTo(raft_state& state, time_point now, const member& to,
            follower_progress& progress, raft_output& out) {
  progress.is_in_flight = true;
  progress.sent_at = now;
  if (progress.first_sent_at == time_point{}) progress.first_sent_at = now;
  const std::optional<uint64_t> log_term = TermAt(state.log, progress.next - 1);
  const bool is_in_memory = log_term && progress.next > state.log.base_index;
  if (!is_in_memory) {
    SendSnapshotPiece(state, to, progress, out);
    return;
  }
  message append = MakeMessage(state, message_kind::kAppend, to);
  append.index = progress.next - 1;
  append.log_term = *log_term;
  append.commit = state.commit;
  append.entries =
      EntriesFrom(state.log, progress.next, state.options.append_bytes);
  append.sent_ns = ToNanos(now);
  out.messages.push_back(std::move(append));
}

// Only one change at a time, and none before an entry of this term is
// committed: two leaders with different uncommitted changes could otherwise
// form quorums that share no member.
bool MayChangeMembers(const raft_state& state) {
  return state.commit >= state.term_start_index &&
         LastMembersIndex(state.log) <= state.commit;
}

// Whether the group has its target number of voters.
bool HasAllVoters(const raft_state& state, const group_members& members) {
  return state.options.wanted_voters != 0 &&
         members.voters.size() >= state.options.wanted_voters;
}

// Returns the voter that another instance may replace: one that is leaving,
// otherwise one that is unreachable.
std::optional<member> ReplaceableVoter(const raft_state& state,
                                       const group_members& members,
                                       time_point now) {
  std::optional<member> unreachable;
  for (const member& voter : members.voters) {
    if (voter == state.self) continue;
    if (state.leaving.count(voter.node) != 0) return voter;
    if (IsUnreachableVoter(state, voter, now)) unreachable = voter;
  }
  return unreachable;
}

bool HasOtherIdentity(const group_members& members, const member& who) {
  return std::any_of(members.voters.begin(), members.voters.end(),
                     [&who](const member& voter) {
                       return voter.node == who.node && voter != who;
                     });
}

// Whether an up-to-date learner may become a voter now. In a full group it may
// do so only if another voter can be removed, and that voter is removed
// afterwards. In the opposite order, a voter that was only temporarily
// unreachable could be removed while another one loses its disk, and then no
// quorum would be left to admit it again.
bool MayBecomeVoter(const raft_state& state, const group_members& members,
                    const member& learner, time_point now) {
  return HasOtherIdentity(members, learner) || !HasAllVoters(state, members) ||
         (members.voters.size() == state.options.wanted_voters &&
          ReplaceableVoter(state, members, now).has_value());
}

// Whether a learner replies and its log is durable up to the commit index. If
// it became a voter earlier, a second loss right after a repair could destroy
// the only complete copies.
bool IsUpToDate(const raft_state& state, const member& learner,
                time_point now) {
  const auto found = state.followers.find(learner);
  if (found == state.followers.end()) return false;
  const bool is_live =
      now - found->second.confirmed_at < state.options.election_timeout;
  return is_live && found->second.match >= state.commit;
}

// Whether a group of one voter waits for two learners, to grow to three voters
// in one step. With the entry for that step the only voter gives up committing
// anything by itself, and any other voter knows of its vote by this entry, so
// that it has all that was committed before.
bool GrowsInPairs(const raft_state& state, const group_members& members,
                  time_point now) {
  return members.voters.size() == 1 && state.options.wanted_voters >= 3 &&
         now - state.elected_at < state.options.pair_wait;
}

// Promotes learners to voters once they are up to date.
void AdmitLearners(raft_state& state, time_point now, raft_output& out) {
  if (!MayChangeMembers(state)) return;
  const group_members members = ActiveMembers(state.log);
  const size_t needed = GrowsInPairs(state, members, now) ? 2 : 1;
  group_members next = members;
  size_t admitted = 0;
  for (const member& learner : members.learners) {
    if (admitted == needed) break;
    if (!IsUpToDate(state, learner, now)) continue;
    if (!MayBecomeVoter(state, members, learner, now)) continue;
    next = NextTowardsVoter(std::move(next), learner);
    ++admitted;
  }
  if (admitted < needed) return;
  AppendAsLeader(state, entry_kind::kMembers, core::Encode(next), out);
}

// Whether the group accepts another learner: there may be one for each missing
// voter, plus the spare ones. All instances ask to join when a voter is
// missing. When all of them were accepted at once, each received the entire
// log at the same time, and the leader had no CPU time left for its heartbeats.
bool AcceptsLearners(const raft_state& state, const group_members& members) {
  const size_t wanted = state.options.wanted_voters;
  const size_t voters = members.voters.size();
  const size_t missing = wanted > voters ? wanted - voters : 0;
  return wanted == 0 ||
         members.learners.size() < missing + state.options.spare_learners;
}

bool IsUnreachableLearner(const raft_state& state, const member& learner,
                          time_point now) {
  const auto found = state.followers.find(learner);
  if (found == state.followers.end()) return false;
  const follower_progress& progress = found->second;
  return progress.first_sent_at != time_point{} &&
         now - std::max(progress.confirmed_at, progress.first_sent_at) >=
             state.options.replace_after;
}

// Whether the group may remove a voter that is leaving or unreachable. Above
// the target size its replacement is already a voter. Below the target size an
// unreachable voter still counts towards the quorum: one such voter and one
// lost disk blocked a group of four forever. Removing a voter must not reduce
// the number of failures that the group tolerates. For an even size it doesn't:
// four voters tolerate one failure and so do three, and three tolerate one more
// if the removed voter never returns. An odd group would tolerate less if its
// only unreachable voter returned. If two voters are unreachable, one may be
// removed, which makes the size even, and then the other one too.
bool MayRemoveVoter(const raft_state& state, const group_members& members,
                    time_point now) {
  const size_t voters = members.voters.size();
  const size_t wanted = state.options.wanted_voters;
  if (wanted != 0 && voters > wanted) return true;
  if (voters <= state.options.min_voters) return false;
  return voters % 2 == 0 || MissingVoters(state, now).size() >= 2;
}

// Removes a voter that is leaving or unreachable if the group may do so. Also
// removes learners that are leaving, and unreachable ones if another learner
// could take their place.
void RemoveUnneededMembers(raft_state& state, time_point now,
                           raft_output& out) {
  if (!MayChangeMembers(state)) return;
  group_members members = ActiveMembers(state.log);
  const bool has_all_learners = !AcceptsLearners(state, members);
  const size_t learners =
      std::erase_if(members.learners, [&](const member& who) {
        return state.leaving.count(who.node) != 0 ||
               (has_all_learners && IsUnreachableLearner(state, who, now));
      });
  std::optional<member> replaced;
  if (MayRemoveVoter(state, members, now)) {
    replaced = ReplaceableVoter(state, members, now);
  }
  if (replaced) std::erase(members.voters, *replaced);
  if (learners == 0 && !replaced) return;
  AppendAsLeader(state, entry_kind::kMembers, core::Encode(members), out);
}

// Updates the follower's state from a reply. The follower's promise starts at
// the sending time that the reply repeats. Returns false if this replica is no
// longer the leader of the current term or the sender is not a member.
bool RecordReply(raft_state& state, const message& input, raft_output& out) {
  if (input.term > state.hard.term) {
    internal::BecomeFollower(state, input.term, member{}, out);
    return false;
  }
  if (state.role != raft_role::kLeader || input.term != state.hard.term) {
    return false;
  }
  const auto found = state.followers.find(input.from);
  if (found == state.followers.end()) return false;
  follower_progress& progress = found->second;
  progress.is_in_flight = false;
  progress.confirmed_at =
      std::max(progress.confirmed_at, FromNanos(input.sent_ns));
  return true;
}

// Whether the leader must become a follower.
bool MustStepDown(const raft_state& state, time_point now) {
  const milliseconds timeout = state.options.election_timeout;
  // The chosen successor did not take over: the message to it was lost or it
  // crashed. This leader can't serve in its term any more, and its heartbeats
  // would prevent an election forever.
  if (state.is_lease_released && now - state.transfer_started_at > timeout) {
    return true;
  }
  // After an election timeout without contact to a quorum there may be another
  // leader.
  return now - state.elected_at > timeout &&
         now - LeaseStart(state, now) > timeout;
}

}  // namespace

namespace internal {

void BecomeLeader(raft_state& state, time_point now, raft_output& out) {
  state.role = raft_role::kLeader;
  state.leader = state.self;
  state.followers.clear();
  state.is_lease_released = false;
  state.elected_at = now;
  if (state.hard.term != state.led_term + 1) state.led_since = now;
  state.led_term = state.hard.term;
  RefreshFollowers(state);
  state.term_start_index = LastIndex(state.log) + 1;
  AppendAsLeader(state, entry_kind::kNoop, "", out);
}

void LeaderTick(raft_state& state, time_point now, raft_output& out) {
  if (MustStepDown(state, now)) {
    BecomeFollower(state, state.hard.term, member{}, out);
    state.election_deadline = now + state.options.election_timeout;
    return;
  }
  AdmitLearners(state, now, out);
  RemoveUnneededMembers(state, now, out);
  for (auto& [to, progress] : state.followers) {
    if (progress.is_in_flight &&
        now - progress.sent_at > state.options.reply_timeout) {
      progress.is_in_flight = false;
    }
    if (!progress.is_in_flight &&
        now - progress.sent_at >= state.options.heartbeat) {
      SendTo(state, now, to, progress, out);
    }
  }
}

void ReceiveAppendReply(raft_state& state, time_point now, const message& input,
                        raft_output& out) {
  if (!RecordReply(state, input, out)) return;
  follower_progress& progress = state.followers[input.from];
  if (!input.granted) {
    progress.next =
        std::max(progress.match, std::min(input.index, LastIndex(state.log))) +
        1;
    SendTo(state, now, input.from, progress, out);
    return;
  }
  progress.match = std::max(progress.match, input.index);
  progress.next = std::max(progress.next, progress.match + 1);
  AdvanceCommit(state, out);
}

void ReceiveSnapshotReply(raft_state& state, time_point now,
                          const message& input, raft_output& out) {
  if (!RecordReply(state, input, out)) return;
  follower_progress& progress = state.followers[input.from];
  if (input.granted) {
    progress.match = std::max(progress.match, input.index);
    progress.next = progress.match + 1;
    progress.snapshot_index = 0;
    AdvanceCommit(state, out);
    return;
  }
  if (input.part.index != progress.snapshot_index) return;
  progress.snapshot_offset =
      std::min<uint64_t>(input.offset, state.log.snap.data.size());
  SendTo(state, now, input.from, progress, out);
}

void ReceiveJoin(raft_state& state, const message& input, raft_output& out) {
  if (state.role != raft_role::kLeader || !MayChangeMembers(state)) return;
  if (!IsJoinWanted(state, input.from)) return;
  const group_members members = ActiveMembers(state.log);
  AppendAsLeader(state, entry_kind::kMembers,
                 core::Encode(WithLearner(members, input.from)), out);
}

}  // namespace internal

bool IsJoinWanted(const raft_state& state, const member& who) {
  const group_members members = ActiveMembers(state.log);
  if (IsVoter(members, who) || IsLearner(members, who)) return false;
  if (state.leaving.count(who.node) != 0) return false;
  return HasOtherIdentity(members, who) || AcceptsLearners(state, members);
}

std::optional<uint64_t> Propose(raft_state& state, time_point /*now*/,
                                entry_kind kind, std::string data,
                                raft_output& out) {
  if (state.role != raft_role::kLeader || state.is_lease_released) {
    return core::Fail(core::reason_code::kUnavailable, "not the leader");
  }
  return AppendAsLeader(state, kind, std::move(data), out);
}

void SendPending(raft_state& state, time_point now, raft_output& out) {
  if (state.role != raft_role::kLeader) return;
  for (auto& [to, progress] : state.followers) {
    // An advanced commit index alone is sent with the next entry or heartbeat.
    // If it were sent at once, the next entry would have to wait for the reply,
    // since only one message per follower is in flight.
    const bool has_entries = progress.next <= LastIndex(state.log);
    if (has_entries && !progress.is_in_flight) {
      SendTo(state, now, to, progress, out);
    }
  }
}

bool MaySendBeforeSync(const raft_state& state, const raft_output& out) {
  const bool changes_members = std::any_of(
      out.appended.begin(), out.appended.end(), [](const log_entry& entry) {
        return entry.kind == entry_kind::kMembers;
      });
  return state.role == raft_role::kLeader && !out.hard_state_changed &&
         !out.snapshot_installed && !changes_members;
}

void ReportUnreachable(raft_state& state, const member& to) {
  const auto found = state.followers.find(to);
  if (found != state.followers.end()) found->second.is_in_flight = false;
}

bool TransferLeadership(raft_state& state, time_point now, raft_output& out) {
  if (state.role != raft_role::kLeader) return false;
  const group_members members = ActiveMembers(state.log);
  for (const auto& [who, progress] : state.followers) {
    const bool is_live =
        now - progress.confirmed_at < state.options.election_timeout;
    if (!IsVoter(members, who) || !is_live ||
        progress.match < LastIndex(state.log)) {
      continue;
    }
    state.is_lease_released = true;
    state.transfer_started_at = now;
    out.messages.push_back(MakeMessage(state, message_kind::kCampaignNow, who));
    return true;
  }
  return false;
}

}  // namespace hickorywood::consensus
