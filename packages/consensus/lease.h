#ifndef HICKORYWOOD_CONSENSUS_LEASE_H_
#define HICKORYWOOD_CONSENSUS_LEASE_H_

// The leader lease. A follower that receives a message from the leader promises
// not to vote for another candidate for one election timeout. The leader's
// lease starts when it *sent* the messages that a quorum confirmed, and is
// shorter than the promise. Any later election needs a quorum, which includes a
// member that gave this promise, so the old lease has expired by then. The
// margin between the two durations covers clocks that run at slightly different
// speeds.

#include "consensus/raft.h"

namespace hickorywood::consensus {

// Whether the promise to the leader forbids this replica to vote for another
// candidate at `now`.
bool IsPromisedToLeader(const raft_state& state, time_point now);

// The sending time that a quorum has confirmed; the lease starts there. Leader
// only.
time_point LeaseStart(const raft_state& state, time_point now);

// Remaining time of the lease. If it is zero or less, this replica must not act
// as leader.
std::chrono::nanoseconds LeaseLeft(const raft_state& state, time_point now);

// Whether this replica may serve reads, accept changes and send orders at
// `now`: its lease is valid, and an entry of its own term is committed, so its
// commit index covers all entries committed by earlier leaders.
bool IsServingLeader(const raft_state& state, time_point now);

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_LEASE_H_
