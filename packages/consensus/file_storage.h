#ifndef HICKORYWOOD_CONSENSUS_FILE_STORAGE_H_
#define HICKORYWOOD_CONSENSUS_FILE_STORAGE_H_

// log_storage in one folder:
//   identity  the storage id, made when the folder is first used
//   snapshot  one frame: the latest snapshot
//   log, log-1, log-2 ...  frames (log_frames.h): first of each file the base
//             (index, term), then one frame per durable step

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
  // `folder` is created when it does not exist.
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
  // Where a frame lies in the files of the log.
  struct frame_place {
    uint64_t file = 0;  // number
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
  void NoteLast(const storage_write& write);
  void NoteTruncation(uint64_t number, uint64_t base, uint64_t truncate_from);
  void RemoveLogFilesBefore(uint64_t number);
  uint64_t OldestNeededFile() const;
  std::vector<uint64_t> ListLogFiles() const;
  std::string LogPath(uint64_t number) const;
  bool CreateFolder();
  bool ReplaceFile(const std::string& name, const std::string& content);
  bool OpenLog();
  bool StartLog(const raft_log& log, const hard_state& hard);
  void NotePlaces(const std::vector<log_entry>& entries, frame_place place);
  bool ReadFrameOf(frame_place place);
  std::string PathOf(const std::string& name) const;

  const std::string folder_;
  log_replay replay_;
  int lock_fd_ = -1;
  int log_fd_ = -1;
  // The file of the log that is written to, and its size.
  uint64_t number_ = 0;
  uint64_t file_base_ = 0;  // index before its first entry
  uint64_t log_size_ = 0;
  // The last entry of the log.
  uint64_t last_index_ = 0;
  uint64_t last_term_ = 0;
  bool is_last_known_ = true;
  // By number of a file: the oldest file that a truncation in it reaches into.
  std::map<uint64_t, uint64_t> reaches_into_;
  std::map<uint64_t, frame_place> places_;  // by index of an entry
  // The frame that was read last, since a follower that is behind is sent one
  // entry after the other.
  frame_place read_place_;
  std::vector<log_entry> read_entries_;
};

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_FILE_STORAGE_H_
