#ifndef HICKORYWOOD_CONSENSUS_RAFT_LOG_H_
#define HICKORYWOOD_CONSENSUS_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/types.h"

namespace hickorywood::consensus {

// The part of the log that is held in memory, and the latest snapshot.
// `entries` may reach back before the snapshot, so that a follower a little
// behind needs no snapshot.
struct raft_log {
  snapshot snap;
  uint64_t base_index = 0;  // the entry before the first one in `entries`
  uint64_t base_term = 0;
  std::deque<log_entry> entries;
};

uint64_t LastIndex(const raft_log& log);
uint64_t LastTerm(const raft_log& log);

// Empty when the entry is not held any more or not yet.
std::optional<uint64_t> TermAt(const raft_log& log, uint64_t index);

// `index` must be held.
const log_entry& EntryAt(const raft_log& log, uint64_t index);

// Entries from `first` on, at least one if there is any, up to about
// `byte_limit` bytes.
std::vector<log_entry> EntriesFrom(const raft_log& log, uint64_t first,
                                   size_t byte_limit);

// Frees the memory of a command that is on disk and has been applied. Whoever
// sends the entry reads it from disk again.
void LeaveOnDisk(raft_log& log, uint64_t index);

// Drops the entries from `first` on.
void TruncateFrom(raft_log& log, uint64_t first);

// Takes `snap` as the latest snapshot and keeps at most `keep` entries before
// its index, and none whose data was left to the log file that ends here.
void CompactTo(raft_log& log, snapshot snap, uint64_t keep);

// Replaces everything by `snap`, but for entries after it when the log agrees
// with it.
void ResetTo(raft_log& log, snapshot snap);

// The latest members in the log, committed or not: a change counts from when it
// is appended.
group_members ActiveMembers(const raft_log& log);

// Index of the latest change of members; the snapshot's index when there is
// none after it.
uint64_t LastMembersIndex(const raft_log& log);

// The members as of entry `index`, which must not lie before the snapshot.
group_members MembersAt(const raft_log& log, uint64_t index);

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_RAFT_LOG_H_
