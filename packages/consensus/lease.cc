#include "consensus/lease.h"

#include <algorithm>
#include <vector>

#include "consensus/members.h"

namespace hickorywood::consensus {

bool IsPromisedToLeader(const raft_state& state, time_point now) {
  if (state.role == raft_role::kLeader && LeaseLeft(state, now).count() > 0) {
    return true;
  }
  return now - state.leader_contact < state.options.election_timeout;
}

time_point LeaseStart(const raft_state& state, time_point now) {
  const group_members members = ActiveMembers(state.log);
  std::vector<time_point> confirmed;
  for (const member& voter : members.voters) {
    if (voter == state.self) {
      confirmed.push_back(now);
      continue;
    }
    const auto found = state.followers.find(voter);
    confirmed.push_back(found == state.followers.end()
                            ? time_point{}
                            : found->second.confirmed_at);
  }
  std::sort(confirmed.rbegin(), confirmed.rend());
  return confirmed.at(QuorumSize(members) - 1);
}

std::chrono::nanoseconds LeaseLeft(const raft_state& state, time_point now) {
  if (state.role != raft_role::kLeader || state.is_lease_released) {
    return std::chrono::nanoseconds(0);
  }
  return LeaseStart(state, now) + state.options.leader_lease - now;
}

bool IsServingLeader(const raft_state& state, time_point now) {
  return LeaseLeft(state, now).count() > 0 &&
         state.commit >= state.term_start_index;
}

}  // namespace hickorywood::consensus
