#ifndef HICKORYWOOD_GROUP_LEADER_CALLS_H_
#define HICKORYWOOD_GROUP_LEADER_CALLS_H_

// Replies that are common to the leaders of all groups.

#include <boost/asio/awaitable.hpp>
#include <string>

#include "group/group_host.h"
#include "peering/messages.h"

namespace hickorywood::group {

peering::envelope Done(std::string payload = "");
peering::envelope Refused(std::string reason);
// The request can't be decoded; the reason is the last one that was set.
peering::envelope Malformed();

// This instance does not lead; contains the address of the leader, if known.
peering::envelope NotLeader(const group_host& host);

// Handles kLeaderAnnouncementMethod.
peering::envelope HandleAnnouncement(group_host& host,
                                     const std::string& payload);

// Commits a command and replies with the outcome. When the command was proposed
// but its commit was not observed, the outcome is unknown: a new leader may
// still commit it. The command is rejected while too few instances have the
// state.
boost::asio::awaitable<peering::envelope> CommitCall(group_host& host,
                                                     std::string name,
                                                     std::string payload);

}  // namespace hickorywood::group

#endif  // HICKORYWOOD_GROUP_LEADER_CALLS_H_
