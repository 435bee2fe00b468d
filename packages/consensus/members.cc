#include "consensus/members.h"

#include <algorithm>

namespace hickorywood::consensus {
namespace {

bool Contains(const std::vector<member>& list, const member& who) {
  return std::find(list.begin(), list.end(), who) != list.end();
}

// Removes the members on the instance of `who`. Returns whether there were any.
bool RemoveNode(std::vector<member>& list, const member& who) {
  const auto on_node = [&who](const member& other) {
    return other.node == who.node;
  };
  const auto end = std::remove_if(list.begin(), list.end(), on_node);
  const bool removed = end != list.end();
  list.erase(end, list.end());
  return removed;
}

}  // namespace

bool IsVoter(const group_members& members, const member& who) {
  return Contains(members.voters, who);
}

bool IsLearner(const group_members& members, const member& who) {
  return Contains(members.learners, who);
}

size_t QuorumSize(const group_members& members) {
  return members.voters.size() / 2 + 1;
}

group_members WithLearner(group_members members, const member& who) {
  RemoveNode(members.learners, who);
  members.learners.push_back(who);
  return members;
}

group_members NextTowardsVoter(group_members members, const member& who) {
  if (RemoveNode(members.voters, who)) return members;
  RemoveNode(members.learners, who);
  members.voters.push_back(who);
  return members;
}

}  // namespace hickorywood::consensus
