// The leader's side of the protocol: replication, commit, members, hand-over.

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

// Keeps one progress record for each other member of the group.
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

// Commits what a quorum has on disk. Only an entry of the leader's own term may
// be counted: an older one with a quorum can still be overwritten by a later
// leader that lacks it.
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
  internal::HandOutCommitted(state, out);
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
  const bool is_held = log_term && progress.next > state.log.base_index;
  if (!is_held) {
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

// One change at a time, and none before an entry of this term is committed: two
// leaders with different unfinished changes could otherwise form quorums that
// share no member.
bool MayChangeMembers(const raft_state& state) {
  return state.commit >= state.term_start_index &&
         LastMembersIndex(state.log) <= state.commit;
}

// Whether the group has all the voters that it wants.
bool IsFull(const raft_state& state, const group_members& members) {
  return state.options.wanted_voters != 0 &&
         members.voters.size() >= state.options.wanted_voters;
}

// The voter that another instance may take the place of: one that is leaving,
// otherwise one that has been silent for long. Empty: none.
std::optional<member> ReplaceableVoter(const raft_state& state,
                                       const group_members& members,
                                       time_point now) {
  std::optional<member> silent;
  for (const member& voter : members.voters) {
    if (voter == state.self) continue;
    if (state.leaving.count(voter.node) != 0) return voter;
    if (IsSilentVoter(state, voter, now)) silent = voter;
  }
  return silent;
}

bool HasOtherIdentity(const group_members& members, const member& who) {
  return std::any_of(members.voters.begin(), members.voters.end(),
                     [&who](const member& voter) {
                       return voter.node == who.node && voter != who;
                     });
}

// Whether a caught-up learner may become a voter now. In a full group only when
// there is a voter that can go for it; that one goes afterwards. The other way
// round a voter that was only silent for a while could be out while another one
// loses its disk, and then nobody is left who may vote it in again.
bool HasPlace(const raft_state& state, const group_members& members,
              const member& learner, time_point now) {
  return HasOtherIdentity(members, learner) || !IsFull(state, members) ||
         (members.voters.size() == state.options.wanted_voters &&
          ReplaceableVoter(state, members, now).has_value());
}

// Brings a learner into the vote once its copy is durable up to the commit:
// counted earlier, a second loss right after a repair could take the only
// complete copies.
void AdmitLearners(raft_state& state, time_point now, raft_output& out) {
  if (!MayChangeMembers(state)) return;
  const group_members members = ActiveMembers(state.log);
  for (const member& learner : members.learners) {
    const auto found = state.followers.find(learner);
    if (found == state.followers.end()) continue;
    const bool is_live =
        now - found->second.confirmed_at < state.options.election_timeout;
    if (!is_live || found->second.match < state.commit) continue;
    if (!HasPlace(state, members, learner, now)) continue;
    AppendAsLeader(state, entry_kind::kMembers,
                   core::Encode(NextTowardsVoter(members, learner)), out);
    return;
  }
}

// Learners beyond the places that are free and the spare ones. All instances
// ask when a place is free; taken in at once they were sent the whole log at
// the same time, and the leader had no processor time left for its heartbeats.
bool TakesLearners(const raft_state& state, const group_members& members) {
  const size_t wanted = state.options.wanted_voters;
  const size_t voters = members.voters.size();
  const size_t places = wanted > voters ? wanted - voters : 0;
  return wanted == 0 ||
         members.learners.size() < places + state.options.spare_learners;
}

bool IsSilent(const raft_state& state, const member& learner, time_point now) {
  const auto found = state.followers.find(learner);
  if (found == state.followers.end()) return false;
  const follower_progress& progress = found->second;
  return progress.first_sent_at != time_point{} &&
         now - std::max(progress.confirmed_at, progress.first_sent_at) >=
             state.options.replace_after;
}

// Whether the group may drop a voter that is leaving or silent. Beyond the
// wanted size its successor votes already. Below it an instance that is gone
// for good went on counting: it and one lost disk stopped a group of four for
// ever, with all that only the group can find. The group must be no weaker by
// the drop. An even one is not: four voters bear one loss and so do three,
// whether the silent one comes back or not, and once it is gone three bear one
// more. An odd one is weaker if the only silent one comes back; of two that are
// silent one may go, since the group is even then and the other one follows.
bool MayDropVoter(const raft_state& state, const group_members& members,
                  time_point now) {
  const size_t voters = members.voters.size();
  const size_t wanted = state.options.wanted_voters;
  if (wanted != 0 && voters > wanted) return true;
  if (voters <= state.options.fewest_voters) return false;
  return voters % 2 == 0 || MissingVoters(state, now).size() >= 2;
}

// Drops a voter that is leaving or silent where the group may, and learners
// that are leaving, or silent where another one could take the place.
void DropSpare(raft_state& state, time_point now, raft_output& out) {
  if (!MayChangeMembers(state)) return;
  group_members members = ActiveMembers(state.log);
  const bool is_crowded = !TakesLearners(state, members);
  const size_t learners =
      std::erase_if(members.learners, [&](const member& who) {
        return state.leaving.count(who.node) != 0 ||
               (is_crowded && IsSilent(state, who, now));
      });
  std::optional<member> victim;
  if (MayDropVoter(state, members, now)) {
    victim = ReplaceableVoter(state, members, now);
  }
  if (victim) std::erase(members.voters, *victim);
  if (learners == 0 && !victim) return;
  AppendAsLeader(state, entry_kind::kMembers, core::Encode(members), out);
}

// Takes the echo of a sending time as the moment from which the follower's
// promise runs. False when the reply shows that this leader is out of date or
// unknown to the follower.
bool NoteReply(raft_state& state, const message& input, raft_output& out) {
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

// Whether the leader has to stop claiming to be one.
bool MustStepDown(const raft_state& state, time_point now) {
  const milliseconds timeout = state.options.election_timeout;
  // The successor never took over: its message was lost or it crashed. This
  // leader can't serve in its term any more, and its heartbeats would keep the
  // others from an election for good.
  if (state.is_lease_given_up && now - state.handed_over_at > timeout) {
    return true;
  }
  // Without a quorum for a whole election timeout there may be another leader.
  return now - state.elected_at > timeout &&
         now - LeaseStart(state, now) > timeout;
}

}  // namespace

namespace internal {

void BecomeLeader(raft_state& state, time_point now, raft_output& out) {
  state.role = raft_role::kLeader;
  state.leader = state.self;
  state.followers.clear();
  state.is_lease_given_up = false;
  state.elected_at = now;
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
  DropSpare(state, now, out);
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
  if (!NoteReply(state, input, out)) return;
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
  if (!NoteReply(state, input, out)) return;
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
  const group_members members = ActiveMembers(state.log);
  if (IsVoter(members, input.from) || IsLearner(members, input.from)) return;
  if (state.leaving.count(input.from.node) != 0) return;
  const bool is_wanted =
      HasOtherIdentity(members, input.from) || TakesLearners(state, members);
  if (!is_wanted) return;
  AppendAsLeader(state, entry_kind::kMembers,
                 core::Encode(WithLearner(members, input.from)), out);
}

}  // namespace internal

std::optional<uint64_t> Propose(raft_state& state, time_point /*now*/,
                                entry_kind kind, std::string data,
                                raft_output& out) {
  if (state.role != raft_role::kLeader || state.is_lease_given_up) {
    return core::Fail(core::reason_code::kUnavailable, "not the leader");
  }
  return AppendAsLeader(state, kind, std::move(data), out);
}

void SendPending(raft_state& state, time_point now, raft_output& out) {
  if (state.role != raft_role::kLeader) return;
  for (auto& [to, progress] : state.followers) {
    // A commit alone is no news: it goes with the next entry or heartbeat.
    // Sent at once, it kept the follower's one message in flight, and the next
    // entry had to wait for its answer.
    const bool has_news = progress.next <= LastIndex(state.log);
    if (has_news && !progress.is_in_flight) {
      SendTo(state, now, to, progress, out);
    }
  }
}

void ReportUnreachable(raft_state& state, const member& to) {
  const auto found = state.followers.find(to);
  if (found != state.followers.end()) found->second.is_in_flight = false;
}

bool HandOver(raft_state& state, time_point now, raft_output& out) {
  if (state.role != raft_role::kLeader) return false;
  const group_members members = ActiveMembers(state.log);
  for (const auto& [who, progress] : state.followers) {
    const bool is_live =
        now - progress.confirmed_at < state.options.election_timeout;
    if (!IsVoter(members, who) || !is_live ||
        progress.match < LastIndex(state.log)) {
      continue;
    }
    state.is_lease_given_up = true;
    state.handed_over_at = now;
    out.messages.push_back(MakeMessage(state, message_kind::kCampaignNow, who));
    return true;
  }
  return false;
}

}  // namespace hickorywood::consensus
