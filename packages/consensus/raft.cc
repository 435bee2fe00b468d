#include "consensus/raft.h"

#include <algorithm>
#include <utility>

#include "consensus/lease.h"
#include "consensus/members.h"

namespace hickorywood::consensus {
namespace internal {

message MakeMessage(const raft_state& state, message_kind kind,
                    const member& to) {
  message result;
  result.group = state.group;
  result.kind = kind;
  result.from = state.self;
  result.to = to;
  result.term = state.hard.term;
  return result;
}

void DeliverCommitted(raft_state& state, raft_output& out) {
  while (state.delivered_index < state.commit) {
    ++state.delivered_index;
    out.committed.push_back(EntryAt(state.log, state.delivered_index));
  }
}

void AppendEntry(raft_state& state, const log_entry& entry, raft_output& out) {
  state.log.entries.push_back(entry);
  out.appended.push_back(entry);
}

void BecomeFollower(raft_state& state, uint64_t term, const member& leader,
                    raft_output& out) {
  if (term > state.hard.term) {
    state.hard.term = term;
    state.hard.voted_for = member{};
    out.hard_state_changed = true;
  }
  state.role = raft_role::kFollower;
  state.leader = leader;
  state.votes.clear();
  state.followers.clear();
}

}  // namespace internal

namespace {

using internal::BecomeFollower;
using internal::MakeMessage;

void ResetElectionDeadline(raft_state& state, time_point now) {
  const int64_t base = state.options.election_timeout.count();
  std::uniform_int_distribution<int64_t> spread(0, base);
  state.election_deadline = now + milliseconds(base + spread(state.random));
}

bool IsUpToDate(const raft_state& state, const message& input) {
  const uint64_t last_term = LastTerm(state.log);
  if (input.log_term != last_term) return input.log_term > last_term;
  return input.index >= LastIndex(state.log);
}

void RequestVotes(raft_state& state, message_kind kind, uint64_t term,
                  bool is_transfer, raft_output& out) {
  for (const member& voter : ActiveMembers(state.log).voters) {
    if (voter == state.self) continue;
    message request = MakeMessage(state, kind, voter);
    request.term = term;
    request.index = LastIndex(state.log);
    request.log_term = LastTerm(state.log);
    request.is_transfer = is_transfer;
    out.messages.push_back(std::move(request));
  }
}

bool HasVoteQuorum(const raft_state& state) {
  const group_members members = ActiveMembers(state.log);
  const auto count = std::count_if(
      state.votes.begin(), state.votes.end(),
      [&members](const member& who) { return IsVoter(members, who); });
  return static_cast<size_t>(count) >= QuorumSize(members);
}

void StartElection(raft_state& state, time_point now, bool is_transfer,
                   raft_output& out) {
  state.role = raft_role::kCandidate;
  state.leader = member{};
  ++state.hard.term;
  state.hard.voted_for = state.self;
  out.hard_state_changed = true;
  state.votes = {state.self};
  ResetElectionDeadline(state, now);
  if (HasVoteQuorum(state)) {
    internal::BecomeLeader(state, now, out);
    return;
  }
  RequestVotes(state, message_kind::kVote, state.hard.term, is_transfer, out);
}

// Checks whether an election could succeed before starting it. Otherwise a
// replica that was disconnected would return with a higher term and depose a
// healthy leader.
void StartPreVote(raft_state& state, time_point now, raft_output& out) {
  state.role = raft_role::kPreCandidate;
  state.leader = member{};
  state.votes = {state.self};
  ResetElectionDeadline(state, now);
  if (HasVoteQuorum(state)) {
    StartElection(state, now, false, out);
    return;
  }
  RequestVotes(state, message_kind::kPreVote, state.hard.term + 1, false, out);
}

void ReceivePreVote(raft_state& state, time_point now, const message& input,
                    raft_output& out) {
  message reply = MakeMessage(state, message_kind::kPreVoteReply, input.from);
  reply.granted = input.term > state.hard.term && IsUpToDate(state, input) &&
                  !IsPromisedToLeader(state, now);
  reply.term = reply.granted ? input.term : state.hard.term;
  out.messages.push_back(std::move(reply));
}

void ReceiveVote(raft_state& state, time_point now, const message& input,
                 raft_output& out) {
  // A voter with a valid promise to a leader also ignores the new term:
  // adopting it would end the leader's term while its lease is valid.
  const bool may_vote = input.is_transfer || !IsPromisedToLeader(state, now);
  if (may_vote && input.term > state.hard.term) {
    BecomeFollower(state, input.term, member{}, out);
  }

  message reply = MakeMessage(state, message_kind::kVoteReply, input.from);
  const bool is_free =
      state.hard.voted_for.node.empty() || state.hard.voted_for == input.from;
  reply.granted = may_vote && input.term == state.hard.term && is_free &&
                  state.role == raft_role::kFollower &&
                  IsUpToDate(state, input);
  if (reply.granted) {
    state.hard.voted_for = input.from;
    out.hard_state_changed = true;
    ResetElectionDeadline(state, now);
  }
  out.messages.push_back(std::move(reply));
}

void ReceiveVoteReply(raft_state& state, time_point now, const message& input,
                      raft_output& out) {
  if (input.term > state.hard.term && !input.granted) {
    BecomeFollower(state, input.term, member{}, out);
    return;
  }
  if (!input.granted) return;
  if (input.kind == message_kind::kPreVoteReply) {
    if (state.role != raft_role::kPreCandidate ||
        input.term != state.hard.term + 1) {
      return;
    }
    state.votes.insert(input.from);
    if (HasVoteQuorum(state)) StartElection(state, now, false, out);
    return;
  }
  if (state.role != raft_role::kCandidate || input.term != state.hard.term) {
    return;
  }
  state.votes.insert(input.from);
  if (HasVoteQuorum(state)) internal::BecomeLeader(state, now, out);
}

// Records contact from the current or a newer leader. Returns false if the
// message is from an old leader.
bool AcceptLeader(raft_state& state, time_point now, const message& input,
                  message_kind reply_kind, raft_output& out) {
  if (input.term < state.hard.term) {
    out.messages.push_back(MakeMessage(state, reply_kind, input.from));
    return false;
  }
  if (input.term > state.hard.term || state.role != raft_role::kFollower ||
      state.leader != input.from) {
    BecomeFollower(state, input.term, input.from, out);
  }
  state.leader_contact = now;
  ResetElectionDeadline(state, now);
  return true;
}

void TruncateLog(raft_state& state, uint64_t first, raft_output& out) {
  TruncateFrom(state.log, first);
  const auto is_dropped = [first](const log_entry& entry) {
    return entry.index >= first;
  };
  out.appended.erase(
      std::remove_if(out.appended.begin(), out.appended.end(), is_dropped),
      out.appended.end());
  out.truncate_from =
      out.truncate_from == 0 ? first : std::min(out.truncate_from, first);
}

void MergeEntries(raft_state& state, const message& input, raft_output& out) {
  for (const log_entry& entry : input.entries) {
    if (entry.index <= state.commit) {
      continue;  // committed entries are identical on every replica
    }
    const std::optional<uint64_t> term = TermAt(state.log, entry.index);
    if (term && *term == entry.term) continue;
    if (term) TruncateLog(state, entry.index, out);
    internal::AppendEntry(state, entry, out);
  }
}

void ReceiveAppend(raft_state& state, time_point now, const message& input,
                   raft_output& out) {
  if (!AcceptLeader(state, now, input, message_kind::kAppendReply, out)) return;
  message reply = MakeMessage(state, message_kind::kAppendReply, input.from);
  reply.sent_ns = input.sent_ns;
  const std::optional<uint64_t> term = TermAt(state.log, input.index);
  const bool is_committed = input.index <= state.commit;
  if (!is_committed && (!term || *term != input.log_term)) {
    // The leader continues after this index. Entries up to the commit index
    // match the leader's log.
    const uint64_t before = input.index == 0 ? 0 : input.index - 1;
    reply.index =
        std::max(state.commit, std::min(LastIndex(state.log), before));
    out.messages.push_back(std::move(reply));
    return;
  }
  MergeEntries(state, input, out);
  const uint64_t last_new = input.index + input.entries.size();
  state.commit = std::max(state.commit, std::min(input.commit, last_new));
  internal::DeliverCommitted(state, out);
  reply.granted = true;
  reply.index = last_new;
  out.messages.push_back(std::move(reply));
}

void InstallSnapshot(raft_state& state, raft_output& out) {
  snapshot complete = std::move(state.incoming);
  state.incoming = snapshot{};
  state.commit = complete.index;
  state.delivered_index = complete.index;
  ResetTo(state.log, std::move(complete));
  out.appended.clear();
  out.truncate_from = 0;
  out.committed.clear();
  out.snapshot_installed = true;
}

void ReceiveSnapshot(raft_state& state, time_point now, const message& input,
                     raft_output& out) {
  if (!AcceptLeader(state, now, input, message_kind::kSnapshotReply, out)) {
    return;
  }
  message reply = MakeMessage(state, message_kind::kSnapshotReply, input.from);
  reply.sent_ns = input.sent_ns;
  reply.part.index = input.part.index;
  if (input.part.index <= state.commit) {
    reply.granted = true;
    reply.index = state.commit;
    out.messages.push_back(std::move(reply));
    return;
  }
  const bool is_same = state.incoming.index == input.part.index &&
                       state.incoming.term == input.part.term;
  if (!is_same) {
    state.incoming = input.part;
    state.incoming.data.clear();
  }
  if (input.offset == state.incoming.data.size()) {
    state.incoming.data += input.part.data;
    if (input.is_last) {
      InstallSnapshot(state, out);
      reply.granted = true;
      reply.index = state.commit;
    }
  }
  reply.offset = state.incoming.data.size();
  out.messages.push_back(std::move(reply));
}

void ReceiveCampaignNow(raft_state& state, time_point now, const message& input,
                        raft_output& out) {
  const bool is_current =
      input.term == state.hard.term && state.role == raft_role::kFollower;
  if (!is_current || !IsVoter(ActiveMembers(state.log), state.self)) return;
  StartElection(state, now, true, out);
}

// Rejects messages for another group and messages for the identity that this
// instance had on a lost disk. A replica without a group joins the first group
// that addresses it by its storage id: only the leader that admitted it as a
// learner has that id.
bool IsForThisReplica(raft_state& state, const message& input) {
  if (input.kind == message_kind::kJoin) {
    return input.group.empty() || input.group == state.group;
  }
  if (input.to != state.self) return false;
  if (input.group == state.group) return true;
  const bool is_from_leader = input.kind == message_kind::kAppend ||
                              input.kind == message_kind::kSnapshot;
  if (!state.group.empty() || !is_from_leader) return false;
  state.group = input.group;
  return true;
}

}  // namespace

void StartReplica(raft_state& state, time_point started, time_point now) {
  state.role = raft_role::kFollower;
  state.group = state.log.snap.group;
  state.commit = std::max(state.log.snap.index,
                          std::min(state.hard.commit, LastIndex(state.log)));
  state.delivered_index = state.log.snap.index;
  state.leader_contact = started;
  // The timeout starts at `now`, so that replicas that took equally long to
  // load don't all start an election at the same time.
  ResetElectionDeadline(state, now);
  const milliseconds loading =
      std::chrono::duration_cast<milliseconds>(now - started);
  state.election_deadline -= std::min(loading, state.options.election_timeout);
}

const log_entry* NextCommittedEntry(raft_state& state) {
  if (state.delivered_index >= state.commit) return nullptr;
  ++state.delivered_index;
  return &EntryAt(state.log, state.delivered_index);
}

bool BootstrapGroup(raft_state& state, const std::string& group,
                    std::vector<member> voters, time_point now,
                    raft_output& out) {
  if (!state.group.empty()) return false;
  const bool is_first = voters.front() == state.self;
  state.group = group;
  snapshot first;
  first.group = group;
  first.index = 1;
  first.term = 1;
  first.members.voters = std::move(voters);
  state.hard.term = 1;
  out.hard_state_changed = true;
  state.incoming = std::move(first);
  InstallSnapshot(state, out);
  // Only one of them starts an election at once, so that they don't compete.
  ResetElectionDeadline(state, now);
  if (is_first) state.election_deadline = now;
  return true;
}

void Tick(raft_state& state, time_point now, raft_output& out) {
  if (state.role == raft_role::kLeader) {
    internal::LeaderTick(state, now, out);
    return;
  }
  if (now < state.election_deadline) return;
  if (!IsVoter(ActiveMembers(state.log), state.self)) return;
  StartPreVote(state, now, out);
}

void Receive(raft_state& state, time_point now, const message& input,
             raft_output& out) {
  if (!IsForThisReplica(state, input)) return;
  switch (input.kind) {
    case message_kind::kPreVote:
      ReceivePreVote(state, now, input, out);
      return;
    case message_kind::kVote:
      ReceiveVote(state, now, input, out);
      return;
    case message_kind::kPreVoteReply:
    case message_kind::kVoteReply:
      ReceiveVoteReply(state, now, input, out);
      return;
    case message_kind::kAppend:
      ReceiveAppend(state, now, input, out);
      return;
    case message_kind::kAppendReply:
      internal::ReceiveAppendReply(state, now, input, out);
      return;
    case message_kind::kSnapshot:
      ReceiveSnapshot(state, now, input, out);
      return;
    case message_kind::kSnapshotReply:
      internal::ReceiveSnapshotReply(state, now, input, out);
      return;
    case message_kind::kCampaignNow:
      ReceiveCampaignNow(state, now, input, out);
      return;
    case message_kind::kJoin:
      internal::ReceiveJoin(state, input, out);
      return;
  }
}

void Compact(raft_state& state, uint64_t index, std::string data) {
  snapshot next;
  next.group = state.group;
  next.index = index;
  next.term = TermAt(state.log, index).value_or(state.log.snap.term);
  next.members = MembersAt(state.log, index);
  next.data = std::move(data);
  CompactTo(state.log, std::move(next), state.options.keep_entries);
}

bool NeedsToJoin(const raft_state& state, time_point now) {
  if (!IsVoter(ActiveMembers(state.log), state.self)) return true;
  if (state.role == raft_role::kLeader) return false;
  return now - state.leader_contact >= state.options.replace_after;
}

}  // namespace hickorywood::consensus
