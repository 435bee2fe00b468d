#ifndef HICKORYWOOD_CONSENSUS_STORAGE_H_
#define HICKORYWOOD_CONSENSUS_STORAGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft_log.h"
#include "consensus/types.h"

namespace hickorywood::consensus {

// What a data folder holds.
struct stored_state {
  std::string storage_id;
  hard_state hard;
  raft_log log;
  bool is_new = false;        // the folder was empty: a new member
  bool was_tail_cut = false;  // a write that a crash interrupted was dropped
  // Last index that was replayed; empty: nothing was, the snapshot included.
  std::optional<uint64_t> replayed;
};

// Takes what a folder holds while it is read.
struct log_replay {
  std::function<void(const snapshot&)> on_snapshot;
  // An entry after the snapshot that is known as committed, in order.
  std::function<void(const log_entry&)> on_committed;
};

// One durable step of a replica.
struct storage_write {
  uint64_t truncate_from = 0;  // 0: nothing
  std::vector<log_entry> entries;
  hard_state hard;
};

// Durable storage of one replica. A failed call leaves the folder unusable for
// this process: what is on disk is not known then, so the process must end and
// load it again.
class log_storage {
 public:
  virtual ~log_storage() = default;

  // Called before Load(), which then hands the snapshot and the committed
  // entries to `replay` and leaves the data of those on disk: a restart that
  // has the whole log in memory first needs more of it than the days before.
  virtual void SetReplay(log_replay replay) = 0;
  // Empty with kCorrupt when the folder's content is damaged, kIo when it can't
  // be read.
  virtual std::optional<stored_state> Load() = 0;
  // True once all of `write` is on disk.
  virtual bool Write(const storage_write& write) = 0;
  // True once the snapshot of this replica's own log is on disk; what it covers
  // may be given up. The entries after it stay as they are.
  virtual bool WriteCompaction(const raft_log& log) = 0;
  // The data of an entry that was written after the latest snapshot. Empty with
  // the reason when it can't be read.
  virtual std::optional<std::string> ReadData(uint64_t index) = 0;
  // True once the snapshot is on disk with the entries after it and `hard`;
  // what was before is gone.
  virtual bool WriteSnapshot(const raft_log& log, const hard_state& hard) = 0;
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_STORAGE_H_
