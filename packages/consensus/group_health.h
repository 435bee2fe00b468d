#ifndef HICKORYWOOD_CONSENSUS_GROUP_HEALTH_H_
#define HICKORYWOOD_CONSENSUS_GROUP_HEALTH_H_

// How far a group is from standing still, as one of its replicas sees it, and
// the log lines that say so. A group that has stopped can't tell by itself:
// without them its last words are those of the leader that lost its quorum.

#include <cstddef>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "consensus/types.h"
#include "core/clock.h"

namespace hickorywood::consensus {

// Leader: whether `voter` has not answered for raft_options::replace_after.
bool IsSilentVoter(const raft_state& state, const member& voter,
                   time_point now);

// Leader: the voters that are silent. Otherwise: those that did not grant their
// vote in the election that runs.
std::vector<member> MissingVoters(const raft_state& state, time_point now);

// Logs what a replica learns of its voters, each change once.
class group_health_log {
 public:
  // Right before the replica's tick at `now`.
  void BeforeTick(const raft_state& state, time_point now);

 private:
  void NoteElection(const raft_state& state, time_point now);

  std::vector<member> silent_;  // as last logged
  // Before it no election without a winner is logged; the epoch: there was none
  // since a leader was known.
  time_point next_election_{};
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_GROUP_HEALTH_H_
