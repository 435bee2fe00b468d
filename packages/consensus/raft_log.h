#ifndef HICKORYWOOD_CONSENSUS_RAFT_LOG_H_
#define HICKORYWOOD_CONSENSUS_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/types.h"

namespace hickorywood::consensus {

// The part of the log that is in memory, and the latest snapshot. `entries` may
// start before the snapshot's index, so that a follower that is slightly behind
// needs no snapshot.
struct raft_log {
  snapshot snap;
  // Index of the entry before the first one in `entries`.
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::deque<log_entry> entries;
};

uint64_t LastIndex(const raft_log& log);
uint64_t LastTerm(const raft_log& log);

// Returns nothing if the entry is not in memory.
std::optional<uint64_t> TermAt(const raft_log& log, uint64_t index);

// The entry at `index` must be in memory.
const log_entry& EntryAt(const raft_log& log, uint64_t index);

// Returns entries from `first` on with about `byte_limit` bytes at most, but at
// least one entry if there is any.
std::vector<log_entry> EntriesFrom(const raft_log& log, uint64_t first,
                                   size_t byte_limit);

// Frees the memory of a command that is on disk and has been applied. It is
// read from disk again if it must be sent.
void EvictData(raft_log& log, uint64_t index);

// Removes the entry `first` and all later ones.
void TruncateFrom(raft_log& log, uint64_t first);

// Sets `snap` as the latest snapshot. Keeps at most `keep` entries up to its
// index, and only those after the last entry whose data is no longer in memory:
// the log files with that data may be deleted.
void CompactTo(raft_log& log, snapshot snap, uint64_t keep);

// Replaces the log by `snap`. Entries after the snapshot are kept if the log
// contains the snapshot's last entry.
void ResetTo(raft_log& log, snapshot snap);

// The latest members in the log, committed or not: a change takes effect as
// soon as it is appended.
group_members ActiveMembers(const raft_log& log);

// Index of the latest change of members, or of the snapshot if there is no
// change after it.
uint64_t LastMembersIndex(const raft_log& log);

// The members as of entry `index`, which must not be before the snapshot.
group_members MembersAt(const raft_log& log, uint64_t index);

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_RAFT_LOG_H_
