#ifndef HICKORYWOOD_CONSENSUS_MEMBERS_H_
#define HICKORYWOOD_CONSENSUS_MEMBERS_H_

// Queries and changes of the members of a group. Each change alters one voter,
// so that any quorum before the change and any quorum after it share a member.

#include <cstddef>
#include <vector>

#include "consensus/types.h"

namespace hickorywood::consensus {

bool IsVoter(const group_members& members, const member& who);
bool IsLearner(const group_members& members, const member& who);

// Number of voters that form a majority.
size_t QuorumSize(const group_members& members);

// Returns `members` with `who` as a learner. It replaces another learner on the
// same instance.
group_members WithLearner(group_members members, const member& who);

// Returns the next single change on the way to making the learner `who` a
// voter: first the voter on the same instance (whose disk was lost) is removed,
// then `who` becomes a voter.
group_members NextTowardsVoter(group_members members, const member& who);

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_MEMBERS_H_
