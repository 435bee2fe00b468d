#ifndef HICKORYWOOD_CONSENSUS_GROUP_HEALTH_H_
#define HICKORYWOOD_CONSENSUS_GROUP_HEALTH_H_

// Detects voters that are unreachable and elections that fail, as seen by one
// replica, and logs them. A group without a quorum can't commit anything, so
// without these lines its last log line would be the one of the leader that
// lost its quorum.

#include <cstddef>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "consensus/types.h"
#include "core/clock.h"

namespace hickorywood::consensus {

// Leader: whether `voter` has not replied for raft_options::replace_after.
bool IsUnreachableVoter(const raft_state& state, const member& voter,
                        time_point now);

// Leader: the voters that are unreachable. Otherwise: those that did not grant
// their vote in the current election.
std::vector<member> MissingVoters(const raft_state& state, time_point now);

// Logs changes in the reachability of the voters, each change once.
class group_health_log {
 public:
  // Call immediately before the replica's tick at `now`.
  void BeforeTick(const raft_state& state, time_point now);

  // The other voters as of the last tick of a leader, each with the time since
  // the sending of the latest message that it replied to: "NODE:MS,NODE:MS".
  const std::string& LastContacts() const { return last_contacts_; }

 private:
  void LogFailedElection(const raft_state& state, time_point now);

  std::string last_contacts_;
  std::vector<member> unreachable_;  // unreachable voters as last logged
  // Failed elections are not logged before this time. The epoch: no election
  // has failed since the last contact with a leader.
  time_point next_failure_log_{};
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_GROUP_HEALTH_H_
