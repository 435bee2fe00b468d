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

// Contents of a data folder.
struct stored_state {
  std::string storage_id;
  hard_state hard;
  raft_log log;
  bool is_new = false;  // the folder was empty: this is a new member
  // An incomplete write at the end of the log was removed.
  bool was_tail_cut = false;
  // Last index that was replayed; empty if not even the snapshot was replayed.
  std::optional<uint64_t> replayed;
};

// Receives the contents of a folder while it is loaded.
struct log_replay {
  std::function<void(const snapshot&)> on_snapshot;
  // Called in log order for each entry after the snapshot that is known to be
  // committed.
  std::function<void(const log_entry&)> on_committed;
};

// A set of changes that becomes durable together.
struct storage_write {
  uint64_t truncate_from = 0;  // 0: no truncation
  std::vector<log_entry> entries;
  hard_state hard;
};

// Durable storage of one replica. After a failed call the state on disk is
// undefined and this process must not use the folder any more: it must exit and
// load the folder again.
class log_storage {
 public:
  virtual ~log_storage() = default;

  // Must be called before Load(). Load() then passes the snapshot and the
  // committed entries to `replay` and doesn't keep their data in memory:
  // loading the entire log at once needed more memory than normal operation.
  virtual void SetReplay(log_replay replay) = 0;
  // Returns nothing and sets the last reason if the folder is damaged
  // (kCorrupt) or can't be read (kIo).
  virtual std::optional<stored_state> Load() = 0;
  // Returns true once `write` is durable.
  virtual bool Write(const storage_write& write) = 0;
  // Stores a snapshot of this replica's own log and may delete the entries that
  // it covers; later entries stay. Returns true once it is durable.
  virtual bool WriteCompaction(const raft_log& log) = 0;
  // Reads the data of an entry that was written after the latest snapshot.
  // Returns nothing and sets the last reason if the data can't be read.
  virtual std::optional<std::string> ReadData(uint64_t index) = 0;
  // Replaces the stored state by the snapshot, the entries after it and `hard`.
  // Returns true once they are durable.
  virtual bool WriteSnapshot(const raft_log& log, const hard_state& hard) = 0;
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_STORAGE_H_
