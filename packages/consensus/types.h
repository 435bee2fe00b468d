#ifndef HICKORYWOOD_CONSENSUS_TYPES_H_
#define HICKORYWOOD_CONSENSUS_TYPES_H_

// The plain data of the consensus protocol: log entries, members, messages.

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"

namespace hickorywood::consensus {

// A replica: an instance together with the random id of its data folder. An
// instance that lost its disk is a different member, so that it can't vote with
// the promises of the disk that is gone.
struct member {
  std::string node;
  std::string storage;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(member, node, storage)

inline bool operator==(const member& left, const member& right) {
  return left.node == right.node && left.storage == right.storage;
}
inline bool operator!=(const member& left, const member& right) {
  return !(left == right);
}
inline bool operator<(const member& left, const member& right) {
  return left.node != right.node ? left.node < right.node
                                 : left.storage < right.storage;
}

struct group_members {
  std::vector<member> voters;
  std::vector<member> learners;  // receive the log, don't vote
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(group_members, voters, learners)

enum class entry_kind { kCommand, kNoop, kMembers };

struct log_entry {
  uint64_t index = 0;
  uint64_t term = 0;
  entry_kind kind = entry_kind::kCommand;
  std::string data;  // a command of the state machine, or group_members as JSON
  // Size of `data` while it is only on disk, see LeaveOnDisk(); otherwise 0. Of
  // this process only: neither sent nor stored.
  uint64_t bytes_on_disk = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(log_entry, index, term, kind,
                                                data)

// What a member must never forget: kept on disk before any message that depends
// on it.
struct hard_state {
  uint64_t term = 0;
  member voted_for;
  // Entries known as committed when this was written. Only a hint: more may be
  // committed, and losing it costs nothing but time after a restart.
  uint64_t commit = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(hard_state, term, voted_for,
                                                commit)

struct snapshot {
  std::string group;
  uint64_t index = 0;
  uint64_t term = 0;
  group_members members;
  std::string data;  // the state machine's own encoding
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(snapshot, group, index, term,
                                                members, data)

enum class message_kind {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  kSnapshotReply,
  kCampaignNow,
  kJoin,
};

struct message {
  std::string group;
  message_kind kind = message_kind::kAppend;
  member from;
  member to;
  uint64_t term = 0;
  uint64_t index =
      0;  // append: entry before `entries`; replies: last matching entry
  uint64_t log_term = 0;  // term of the entry at `index`
  uint64_t commit = 0;
  std::vector<log_entry> entries;
  bool granted = false;  // replies: vote granted, append accepted
  bool is_transfer =
      false;  // vote: the leader itself gave way, so promises to it don't count
  int64_t sent_ns =
      0;  // leader's clock at sending; echoed, it dates the confirmation
  snapshot part;  // snapshot: `data` holds the piece at `offset`
  uint64_t offset = 0;
  bool is_last = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(message, group, kind, from, to,
                                                term, index, log_term, commit,
                                                entries, granted, is_transfer,
                                                sent_ns, part, offset, is_last)

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_TYPES_H_
