#include "consensus/group_health.h"

#include <algorithm>

#include "consensus/members.h"
#include "core/events.h"

namespace hickorywood::consensus {
namespace {

// Between two lines on elections that nobody wins. A group that stands still
// tries twice a second, for as long as it takes somebody to come and look.
constexpr std::chrono::seconds kElectionLinePeriod{10};

std::string Names(const std::vector<member>& members) {
  std::string names;
  for (const member& who : members) {
    names += (names.empty() ? "" : ",") + who.node;
  }
  return names;
}

void LogVoters(core::event_id id, const raft_state& state,
               const std::vector<member>& missing) {
  const group_members members = ActiveMembers(state.log);
  const size_t heard = members.voters.size() - missing.size();
  core::LogEvent(id, {{"group", state.group},
                      {"voters", std::to_string(members.voters.size())},
                      {"heard", std::to_string(heard)},
                      {"needed", std::to_string(QuorumSize(members))},
                      {"missing", Names(missing)}});
}

bool IsStanding(const raft_state& state) {
  return state.role == raft_role::kPreCandidate ||
         state.role == raft_role::kCandidate;
}

}  // namespace

bool IsSilentVoter(const raft_state& state, const member& voter,
                   time_point now) {
  const auto found = state.followers.find(voter);
  if (found == state.followers.end()) return false;
  const time_point heard =
      std::max(found->second.confirmed_at, state.elected_at);
  return now - heard >= state.options.replace_after;
}

std::vector<member> MissingVoters(const raft_state& state, time_point now) {
  std::vector<member> missing;
  for (const member& voter : ActiveMembers(state.log).voters) {
    if (voter == state.self) continue;
    const bool is_missing = state.role == raft_role::kLeader
                                ? IsSilentVoter(state, voter, now)
                                : state.votes.count(voter) == 0;
    if (is_missing) missing.push_back(voter);
  }
  return missing;
}

void group_health_log::BeforeTick(const raft_state& state, time_point now) {
  if (state.role == raft_role::kLeader) {
    const std::vector<member> silent = MissingVoters(state, now);
    if (silent != silent_) {
      LogVoters(core::event_id::kVotersSilent, state, silent);
    }
    silent_ = silent;
    next_election_ = time_point{};
    return;
  }
  silent_.clear();
  if (IsStanding(state)) NoteElection(state, now);
  if (!state.leader.node.empty()) next_election_ = time_point{};
}

// An election whose time is over without a leader. The first one after a leader
// is often just a split vote or voters that keep their promise to it.
void group_health_log::NoteElection(const raft_state& state, time_point now) {
  if (now < state.election_deadline) return;
  if (next_election_ == time_point{}) {
    next_election_ = now + state.options.replace_after;
  }
  if (now < next_election_) return;
  next_election_ = now + kElectionLinePeriod;
  LogVoters(core::event_id::kNoQuorum, state, MissingVoters(state, now));
}

}  // namespace hickorywood::consensus
