#ifndef HICKORYWOOD_GROUP_LEADER_CALLS_H_
#define HICKORYWOOD_GROUP_LEADER_CALLS_H_

// Answers that the leaders of all groups give alike.

#include <boost/asio/awaitable.hpp>
#include <string>

#include "group/group_host.h"
#include "peering/messages.h"

namespace hickorywood::group {

peering::envelope Done(std::string payload = "");
peering::envelope Refused(std::string reason);
// The call can't be read; the last reason says why.
peering::envelope Malformed();

// This instance does not lead; says who does as far as known.
peering::envelope NotLeader(const group_host& host);

// Commits a command and answers with how that went. Where it was proposed and
// not seen committed, its fate is open: a successor may have it. Nothing is
// taken while too few instances hold the state.
boost::asio::awaitable<peering::envelope> CommitCall(group_host& host,
                                                     std::string name,
                                                     std::string payload);

}  // namespace hickorywood::group

#endif  // HICKORYWOOD_GROUP_LEADER_CALLS_H_
