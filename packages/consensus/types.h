#ifndef HICKORYWOOD_CONSENSUS_TYPES_H_
#define HICKORYWOOD_CONSENSUS_TYPES_H_

// Data types of the consensus protocol: log entries, members, messages.

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"

namespace hickorywood::consensus {

// A replica is identified by its instance and the random id of its data folder.
// An instance that lost its disk is a different member: it must not vote while
// the votes and promises recorded on the old disk are missing.
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
  std::vector<member> learners;  // receive the log but don't vote
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(group_members, voters, learners)

enum class entry_kind { kCommand, kNoop, kMembers };

struct log_entry {
  uint64_t index = 0;
  uint64_t term = 0;
  entry_kind kind = entry_kind::kCommand;
  std::string data;  // a command of the state machine, or group_members as JSON
  // Size of `data` while it is only on disk (see EvictData()), otherwise 0.
  // Local to this process: neither sent nor stored.
  uint64_t bytes_on_disk = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(log_entry, index, term, kind,
                                                data)

// State that must be durable before any message that depends on it is sent.
struct hard_state {
  uint64_t term = 0;
  member voted_for;
  // Commit index at the time of this write. More entries may be committed; an
  // old value only makes a restart slower.
  uint64_t commit = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(hard_state, term, voted_for,
                                                commit)

struct snapshot {
  std::string group;
  uint64_t index = 0;
  uint64_t term = 0;
  group_members members;
  std::string data;  // in the encoding of the state machine
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
  // Append: index of the entry before `entries`; replies: last matching entry.
  uint64_t index = 0;
  uint64_t log_term = 0;  // term of the entry at `index`
  uint64_t commit = 0;
  std::vector<log_entry> entries;
  bool granted = false;  // replies: vote granted or append accepted
  // Vote: the leader transfers its leadership, so promises to it don't block
  // the vote.
  bool is_transfer = false;
  // Leader's clock at sending; the reply repeats it and extends the lease from
  // that time.
  int64_t sent_ns = 0;
  snapshot part;  // snapshot: `data` is the piece at `offset`
  uint64_t offset = 0;
  bool is_last = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(message, group, kind, from, to,
                                                term, index, log_term, commit,
                                                entries, granted, is_transfer,
                                                sent_ns, part, offset, is_last)

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_TYPES_H_
