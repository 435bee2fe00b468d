#include "consensus/group_health.h"

#include <algorithm>

#include "consensus/members.h"
#include "core/events.h"

namespace hickorywood::consensus {
namespace {

// Minimum interval between log lines about failed elections. A group without a
// quorum attempts an election twice a second until an operator intervenes.
constexpr std::chrono::seconds kFailedElectionLogInterval{10};

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
  const size_t reachable = members.voters.size() - missing.size();
  core::LogEvent(id, {{"group", state.group},
                      {"voters", std::to_string(members.voters.size())},
                      {"heard", std::to_string(reachable)},
                      {"needed", std::to_string(QuorumSize(members))},
                      {"missing", Names(missing)}});
}

std::string ContactsText(const raft_state& state, time_point now) {
  std::string text;
  for (const member& voter : ActiveMembers(state.log).voters) {
    const auto found = state.followers.find(voter);
    if (found == state.followers.end()) continue;
    const time_point last_contact =
        std::max(found->second.confirmed_at, state.elected_at);
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - last_contact);
    text += (text.empty() ? "" : ",") + voter.node + ":" +
            std::to_string(age.count());
  }
  return text;
}

bool IsCandidate(const raft_state& state) {
  return state.role == raft_role::kPreCandidate ||
         state.role == raft_role::kCandidate;
}

}  // namespace

bool IsUnreachableVoter(const raft_state& state, const member& voter,
                        time_point now) {
  const auto found = state.followers.find(voter);
  if (found == state.followers.end()) return false;
  const time_point last_contact =
      std::max(found->second.confirmed_at, state.elected_at);
  return now - last_contact >= state.options.replace_after;
}

std::vector<member> MissingVoters(const raft_state& state, time_point now) {
  std::vector<member> missing;
  for (const member& voter : ActiveMembers(state.log).voters) {
    if (voter == state.self) continue;
    const bool is_missing = state.role == raft_role::kLeader
                                ? IsUnreachableVoter(state, voter, now)
                                : state.votes.count(voter) == 0;
    if (is_missing) missing.push_back(voter);
  }
  return missing;
}

void group_health_log::BeforeTick(const raft_state& state, time_point now) {
  if (state.role == raft_role::kLeader) {
    last_contacts_ = ContactsText(state, now);
    const std::vector<member> unreachable = MissingVoters(state, now);
    if (unreachable != unreachable_) {
      LogVoters(core::event_id::kVotersUnreachable, state, unreachable);
    }
    unreachable_ = unreachable;
    next_failure_log_ = time_point{};
    return;
  }
  unreachable_.clear();
  if (IsCandidate(state)) LogFailedElection(state, now);
  if (!state.leader.node.empty()) next_failure_log_ = time_point{};
}

// Logs an election that timed out without a leader. Elections that fail within
// replace_after of the first failed one are not logged: the cause is often just
// a split vote, or voters that keep their promise to the leader.
void group_health_log::LogFailedElection(const raft_state& state,
                                         time_point now) {
  if (now < state.election_deadline) return;
  if (next_failure_log_ == time_point{}) {
    next_failure_log_ = now + state.options.replace_after;
  }
  if (now < next_failure_log_) return;
  next_failure_log_ = now + kFailedElectionLogInterval;
  LogVoters(core::event_id::kNoQuorum, state, MissingVoters(state, now));
}

}  // namespace hickorywood::consensus
