#ifndef HICKORYWOOD_CONSENSUS_FILE_STORAGE_H_
#define HICKORYWOOD_CONSENSUS_FILE_STORAGE_H_

// Stores the log and the snapshot of a replica in one folder:
//   lock      locked by the process that uses the folder
//   identity  the storage id, created when the folder is first used
//   snapshot  one frame: the latest snapshot
//   log, log-1, log-2 ...  frames (log_frames.h); the first frame of a file has
//             the index and term before it, then one frame per durable write

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/log_frames.h"
#include "consensus/storage.h"

namespace hickorywood::consensus {

class file_storage : public log_storage {
 public:
  // Load() creates `folder` if it doesn't exist.
  explicit file_storage(std::string folder);
  ~file_storage() override;
  file_storage(const file_storage&) = delete;
  file_storage& operator=(const file_storage&) = delete;

  void SetReplay(log_replay replay) override { replay_ = std::move(replay); }
  std::optional<stored_state> Load() override;
  bool Write(const storage_write& write) override;
  bool WriteSnapshot(const raft_log& log, const hard_state& hard) override;
  bool WriteCompaction(const raft_log& log) override;
  std::optional<std::string> ReadData(uint64_t index) override;

 private:
  // Position of a frame in the log files.
  struct frame_position {
    uint64_t file = 0;  // number of the file
    uint64_t offset = 0;
    uint64_t size = 0;
  };

  bool LoadIdentity(stored_state& state);
  bool LoadSnapshot(stored_state& state);
  bool LoadLog(stored_state& state);
  std::optional<frame_status> LoadLogFile(uint64_t number, bool is_first,
                                          raft_log& stored,
                                          stored_state& state);
  bool BeginLogFile(const log_frame& frame, bool is_first,
                    raft_log& stored) const;
  bool BeginNextLogFile(const hard_state& hard);
  void Replay(uint64_t commit, raft_log& stored, stored_state& state) const;
  void UpdateLastEntry(const storage_write& write);
  void RecordTruncation(uint64_t number, uint64_t base, uint64_t truncate_from);
  void RemoveLogFilesBefore(uint64_t number);
  uint64_t OldestNeededFile() const;
  std::vector<uint64_t> ListLogFiles() const;
  std::string LogPath(uint64_t number) const;
  bool CreateFolder();
  bool ReplaceFile(const std::string& name, const std::string& content);
  bool OpenLog();
  bool StartLog(const raft_log& log, const hard_state& hard);
  void RecordPositions(const std::vector<log_entry>& entries,
                       frame_position position);
  bool ReadFrameOf(frame_position position);
  std::string PathOf(const std::string& name) const;

  const std::string folder_;
  log_replay replay_;
  int lock_fd_ = -1;
  int log_fd_ = -1;
  // The current log file, to which writes are appended, and its size.
  uint64_t number_ = 0;
  uint64_t file_base_ = 0;  // index of the last entry before the file
  uint64_t log_size_ = 0;
  // The last entry of the log; the term is valid only if is_last_known_.
  uint64_t last_index_ = 0;
  uint64_t last_term_ = 0;
  bool is_last_known_ = true;
  // For each log file with a truncation: the number of the oldest file whose
  // entries the truncation removes.
  std::map<uint64_t, uint64_t> oldest_truncated_file_;
  std::map<uint64_t, frame_position> frames_;  // by index of the entry
  // The frame that was read last is cached, since a follower that is behind is
  // sent consecutive entries.
  frame_position read_position_;
  std::vector<log_entry> read_entries_;
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_FILE_STORAGE_H_
