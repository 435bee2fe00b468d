#include "consensus/file_storage.h"

#include <absl/strings/numbers.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "consensus/log_frames.h"
#include "core/ids.h"
#include "core/json.h"

namespace hickorywood::consensus {

struct identity_record {
  std::string storage_id;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(identity_record, storage_id)

namespace {

using core::reason_code;
using core::SetLastReason;

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;
constexpr char kIdentityName[] = "identity";
constexpr char kSnapshotName[] = "snapshot";
// The log is a sequence of files: kLogName is the first one of a folder, the
// later ones have this prefix and a number.
constexpr char kLogName[] = "log";
constexpr char kLogPrefix[] = "log-";
constexpr char kTemporarySuffix[] = ".tmp";
// Size at which a new log file is started. Entries covered by a snapshot are
// removed by deleting entire files, without copying. The entries that a store
// retains for two minutes under high load fill a few files of this size.
constexpr uint64_t kLogFileRotationBytes = 8 * 1024 * 1024;
constexpr char kLockName[] = "lock";

bool FailIo(const std::string& action, const std::string& path) {
  SetLastReason(reason_code::kIo,
                "can't " + action + " '" + path + "': " + std::strerror(errno));
  return false;
}

bool FailCorrupt(const std::string& text) {
  SetLastReason(reason_code::kCorrupt, text);
  return false;
}

std::optional<std::string> ReadFile(const std::string& path) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    const reason_code code =
        errno == ENOENT ? reason_code::kNotFound : reason_code::kIo;
    return core::Fail(code,
                      "can't open '" + path + "': " + std::strerror(errno));
  }
  std::string content;
  char buffer[64 * 1024];
  ssize_t count = 0;
  while ((count = read(fd, buffer, sizeof(buffer))) > 0) {
    content.append(buffer, static_cast<size_t>(count));
  }
  close(fd);
  if (count < 0) {
    return core::Fail(reason_code::kIo, "can't read '" + path + "'");
  }
  return content;
}

bool WriteAll(int fd, const std::string& bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        write(fd, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    written += static_cast<size_t>(count);
  }
  return true;
}

bool SyncFolder(const std::string& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return FailIo("open", folder);
  const bool synced = fsync(fd) == 0;
  close(fd);
  return synced || FailIo("sync", folder);
}

void ApplyFrame(log_frame frame, raft_log& log, hard_state& hard) {
  hard = frame.hard;
  if (frame.truncate_from != 0) TruncateFrom(log, frame.truncate_from);
  for (log_entry& entry : frame.entries) {
    log.entries.push_back(std::move(entry));
  }
}

// A gap between entries means that a frame is missing.
bool IsContiguous(const raft_log& log) {
  uint64_t expected = log.base_index;
  return std::all_of(log.entries.begin(), log.entries.end(),
                     [&expected](const log_entry& entry) {
                       return entry.index == ++expected;
                     });
}

}  // namespace

file_storage::file_storage(std::string folder) : folder_(std::move(folder)) {}

file_storage::~file_storage() {
  if (log_fd_ >= 0) close(log_fd_);
  if (lock_fd_ >= 0) close(lock_fd_);
}

std::string file_storage::PathOf(const std::string& name) const {
  return folder_ + "/" + name;
}

std::optional<stored_state> file_storage::Load() {
  stored_state state;
  if (mkdir(folder_.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    FailIo("create", folder_);
    return std::nullopt;
  }
  // Two processes that use the same folder would overwrite each other's votes.
  lock_fd_ =
      open(PathOf(kLockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_fd_ < 0 || flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    FailIo("lock", PathOf(kLockName));
    return std::nullopt;
  }
  if (!LoadIdentity(state) || !LoadSnapshot(state) || !LoadLog(state)) {
    return std::nullopt;
  }
  if (!OpenLog()) return std::nullopt;
  return state;
}

bool file_storage::LoadIdentity(stored_state& state) {
  std::optional<std::string> text = ReadFile(PathOf(kIdentityName));
  if (!text) {
    if (core::LastReason().code != reason_code::kNotFound) return false;
    if (!CreateFolder()) return false;
    state.is_new = true;
    text = ReadFile(PathOf(kIdentityName));
    if (!text) return false;
  }
  const std::optional<identity_record> record =
      core::Decode<identity_record>(*text);
  if (!record || record->storage_id.empty()) {
    return FailCorrupt("the identity in '" + folder_ + "' is damaged");
  }
  state.storage_id = record->storage_id;
  return true;
}

// The empty log is created before the identity. So a folder with an identity
// but no log has lost its log and with it votes: it is rejected instead of
// being initialized again with the old identity.
bool file_storage::CreateFolder() {
  const std::string empty_log = EncodeFrame(log_frame{});
  const std::optional<std::string> log = ReadFile(PathOf(kLogName));
  const bool has_log = !ListLogFiles().empty();
  const bool is_unused = log ? *log == empty_log : !has_log;
  if (!is_unused || access(PathOf(kSnapshotName).c_str(), F_OK) == 0) {
    return FailCorrupt("'" + folder_ + "' has state but no identity");
  }
  const identity_record record{core::RandomId()};
  return ReplaceFile(kLogName, empty_log) &&
         ReplaceFile(kIdentityName, core::Encode(record));
}

bool file_storage::LoadSnapshot(stored_state& state) {
  const std::optional<std::string> content = ReadFile(PathOf(kSnapshotName));
  if (!content) return core::LastReason().code == reason_code::kNotFound;
  size_t offset = 0;
  std::string payload;
  if (ReadFrame(*content, offset, payload) != frame_status::kGood) {
    return FailCorrupt("the snapshot in '" + folder_ + "' is damaged");
  }
  std::optional<snapshot> snap = DecodePayload<snapshot>(payload);
  if (!snap) return false;
  state.log.snap = std::move(*snap);
  state.log.base_index = state.log.snap.index;
  state.log.base_term = state.log.snap.term;
  return true;
}

std::string file_storage::LogPath(uint64_t number) const {
  return PathOf(number == 0 ? kLogName : kLogPrefix + std::to_string(number));
}

// Returns the numbers of the log files, oldest first.
std::vector<uint64_t> file_storage::ListLogFiles() const {
  std::vector<uint64_t> numbers;
  std::error_code failure;
  for (const auto& item :
       std::filesystem::directory_iterator(folder_, failure)) {
    const std::string name = item.path().filename().string();
    uint64_t number = 0;
    if (name == kLogName) {
      numbers.push_back(0);
    } else if (name.starts_with(kLogPrefix) &&
               absl::SimpleAtoi(name.substr(std::strlen(kLogPrefix)),
                                &number)) {
      numbers.push_back(number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

bool file_storage::LoadLog(stored_state& state) {
  const std::vector<uint64_t> numbers = ListLogFiles();
  if (numbers.empty()) {
    return FailCorrupt("the log in '" + folder_ + "' is missing");
  }
  if (replay_.on_snapshot) {
    replay_.on_snapshot(state.log.snap);
    state.replayed = state.log.snap.index;
  }
  raft_log stored;
  for (const uint64_t number : numbers) {
    const bool is_first = number == numbers.front();
    const bool is_last = number == numbers.back();
    const auto status = LoadLogFile(number, is_first, stored, state);
    if (!status) return false;
    // Each write is synced before the next file is created, so only the last
    // file can end with an incomplete write.
    if (*status == frame_status::kTorn) {
      if (!is_last) {
        return FailCorrupt("'" + LogPath(number) +
                           "' ends with an incomplete write");
      }
      state.was_tail_cut = true;
    }
  }
  if (!IsContiguous(stored)) {
    return FailCorrupt("the log in '" + folder_ + "' has a gap");
  }
  // A crash during WriteSnapshot can leave a new snapshot together with an old
  // log.
  const snapshot snap = state.log.snap;
  if (stored.base_index > snap.index) {
    return FailCorrupt("the snapshot in '" + folder_ + "' is missing");
  }
  last_index_ = LastIndex(stored);
  last_term_ = LastTerm(stored);
  state.log = std::move(stored);
  ResetTo(state.log, snap);
  return true;
}

// Loads the frames of one log file and truncates an incomplete frame at its
// end.
std::optional<frame_status> file_storage::LoadLogFile(uint64_t number,
                                                      bool is_first,
                                                      raft_log& stored,
                                                      stored_state& state) {
  const std::string path = LogPath(number);
  frame_reader log(path);
  if (!log.IsOpen()) {
    FailIo("open", path);
    return std::nullopt;
  }
  uint64_t good_end = 0;
  uint64_t base = 0;
  frame_status status = frame_status::kGood;
  while ((status = log.Next()) == frame_status::kGood) {
    std::optional<log_frame> frame = DecodePayload<log_frame>(log.Payload());
    if (!frame) return std::nullopt;
    if (good_end == 0) {
      if (!BeginLogFile(*frame, is_first, stored)) return std::nullopt;
      base = frame->base_index;
    }
    RecordTruncation(number, base, frame->truncate_from);
    RecordPositions(frame->entries,
                    {number, good_end, log.Offset() - good_end});
    ApplyFrame(std::move(*frame), stored, state.hard);
    Replay(state.hard.commit, stored, state);
    good_end = log.Offset();
  }
  if (status == frame_status::kUnreadable) {
    FailIo("read", path);
    return std::nullopt;
  }
  // A later file can exist without its first frame if the process crashed while
  // creating it.
  const bool lacks_first = good_end == 0 && status != frame_status::kEnd;
  if (status == frame_status::kCorrupt || (is_first && lacks_first)) {
    FailCorrupt("'" + path + "' is damaged at byte " +
                std::to_string(log.Offset()));
    return std::nullopt;
  }
  if (good_end == 0 && !is_first) {
    if (unlink(path.c_str()) != 0) {
      FailIo("remove", path);
      return std::nullopt;
    }
    return status;
  }
  if (status == frame_status::kTorn &&
      truncate(path.c_str(), static_cast<off_t>(good_end)) != 0) {
    FailIo("cut", path);
    return std::nullopt;
  }
  number_ = number;
  file_base_ = base;
  log_size_ = good_end;
  return status;
}

// Passes the entries that are known to be committed to the callback. A later
// truncation can't remove such an entry.
void file_storage::Replay(uint64_t commit, raft_log& stored,
                          stored_state& state) const {
  if (!replay_.on_committed) return;
  const uint64_t last = std::min(commit, LastIndex(stored));
  const uint64_t next = std::max(*state.replayed, stored.base_index) + 1;
  for (uint64_t index = next; index <= last; ++index) {
    replay_.on_committed(EntryAt(stored, index));
    EvictData(stored, index);
    state.replayed = index;
  }
}

// Starts reading a log file: either continues `stored` or, for the first file
// or a restart, replaces it. After a power loss, files that had been deleted
// may exist again. They end before the next file begins, and their entries are
// discarded.
bool file_storage::BeginLogFile(const log_frame& frame, bool is_first,
                                raft_log& stored) const {
  const bool continues_log =
      !is_first && !frame.is_restart && frame.base_index <= LastIndex(stored);
  if (!continues_log) {
    stored = raft_log{};
    stored.base_index = frame.base_index;
    stored.base_term = frame.base_term;
    return true;
  }
  if (frame.base_index == LastIndex(stored)) return true;
  return FailCorrupt("a file of the log in '" + folder_ +
                     "' overlaps the previous file");
}

bool file_storage::OpenLog() {
  if (log_fd_ >= 0) close(log_fd_);
  log_fd_ = open(LogPath(number_).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  return log_fd_ >= 0 || FailIo("open", LogPath(number_));
}

// Starts a new file when the current one is full. Its first frame becomes
// durable together with the following write. If that write is lost, the file is
// empty or incomplete and contains nothing that was acknowledged.
bool file_storage::BeginNextLogFile(const hard_state& hard) {
  const std::string path = LogPath(number_ + 1);
  const int fd =
      open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
           kFileMode);
  if (fd < 0) return FailIo("create", path);
  close(log_fd_);
  log_fd_ = fd;
  ++number_;
  log_frame first;
  first.base_index = last_index_;
  first.base_term = last_term_;
  first.hard = hard;
  const std::string bytes = EncodeFrame(first);
  if (!WriteAll(log_fd_, bytes)) return FailIo("write", path);
  log_size_ = bytes.size();
  file_base_ = last_index_;
  return SyncFolder(folder_);
}

bool file_storage::Write(const storage_write& write) {
  const bool is_full = log_size_ >= kLogFileRotationBytes && is_last_known_;
  if (is_full && !BeginNextLogFile(write.hard)) return false;
  log_frame frame;
  frame.truncate_from = write.truncate_from;
  frame.entries = write.entries;
  frame.hard = write.hard;
  const std::string bytes = EncodeFrame(frame);
  if (!WriteAll(log_fd_, bytes)) return FailIo("write", LogPath(number_));
  if (fdatasync(log_fd_) != 0) return FailIo("sync", LogPath(number_));
  RecordTruncation(number_, file_base_, write.truncate_from);
  if (write.truncate_from != 0) {
    frames_.erase(frames_.lower_bound(write.truncate_from), frames_.end());
  }
  RecordPositions(write.entries, {number_, log_size_, bytes.size()});
  log_size_ += bytes.size();
  UpdateLastEntry(write);
  return true;
}

// Updates the index and term of the last entry after a write.
void file_storage::UpdateLastEntry(const storage_write& write) {
  if (!write.entries.empty()) {
    last_index_ = write.entries.back().index;
    last_term_ = write.entries.back().term;
    is_last_known_ = true;
  } else if (write.truncate_from != 0) {
    // The term of the entry before the truncation is not available here, so no
    // new file is started until another entry has been written.
    is_last_known_ = false;
  }
}

// Records a truncation that removes entries of earlier files: the file with the
// truncation can't be loaded without them.
void file_storage::RecordTruncation(uint64_t number, uint64_t base,
                                    uint64_t truncate_from) {
  if (truncate_from == 0 || truncate_from > base) return;
  const auto position = frames_.find(truncate_from);
  const uint64_t from = position == frames_.end() ? 0 : position->second.file;
  const auto [known, is_new] = oldest_truncated_file_.try_emplace(number, from);
  if (!is_new) known->second = std::min(known->second, from);
}

void file_storage::RecordPositions(const std::vector<log_entry>& entries,
                                   frame_position position) {
  for (const log_entry& entry : entries) frames_[entry.index] = position;
}

std::optional<std::string> file_storage::ReadData(uint64_t index) {
  const auto position = frames_.find(index);
  if (position == frames_.end()) {
    return core::Fail(reason_code::kNotFound, "entry " + std::to_string(index) +
                                                  " is not in the log file");
  }
  const bool is_cached = read_position_.size != 0 &&
                         read_position_.file == position->second.file &&
                         read_position_.offset == position->second.offset;
  if (!is_cached && !ReadFrameOf(position->second)) return std::nullopt;
  for (const log_entry& entry : read_entries_) {
    if (entry.index == index) return entry.data;
  }
  return core::Fail(reason_code::kCorrupt,
                    "entry " + std::to_string(index) + " is not in its frame");
}

bool file_storage::ReadFrameOf(frame_position position) {
  read_position_ = frame_position{};
  const std::string path = LogPath(position.file);
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return FailIo("open", path);
  std::string bytes;
  const bool is_read = ReadAt(fd, position.offset, position.size, bytes);
  close(fd);
  if (!is_read) return FailIo("read", path);
  size_t end = 0;
  std::string payload;
  if (ReadFrame(bytes, end, payload) != frame_status::kGood) {
    return FailCorrupt("'" + path + "' is damaged at byte " +
                       std::to_string(position.offset));
  }
  std::optional<log_frame> frame = DecodePayload<log_frame>(payload);
  if (!frame) return false;
  read_entries_ = std::move(frame->entries);
  read_position_ = position;
  return true;
}

bool file_storage::ReplaceFile(const std::string& name,
                               const std::string& content) {
  const std::string path = PathOf(name);
  const std::string temporary = path + kTemporarySuffix;
  const int fd = open(temporary.c_str(),
                      O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) return FailIo("create", temporary);
  const bool is_durable = WriteAll(fd, content) && fsync(fd) == 0;
  if (!is_durable) FailIo("write", temporary);
  close(fd);
  if (!is_durable) return false;
  if (rename(temporary.c_str(), path.c_str()) != 0) {
    return FailIo("rename", temporary);
  }
  return SyncFolder(folder_);
}

// Creates a log file that replaces all earlier files.
bool file_storage::StartLog(const raft_log& log, const hard_state& hard) {
  log_frame first;
  first.base_index = log.snap.index;
  first.base_term = log.snap.term;
  first.is_restart = true;
  first.hard = hard;
  for (const log_entry& entry : log.entries) {
    if (entry.index <= log.snap.index) continue;
    if (entry.bytes_on_disk > 0) {
      return FailCorrupt("entry " + std::to_string(entry.index) +
                         " would be written without its data");
    }
    first.entries.push_back(entry);
  }
  const std::string bytes = EncodeFrame(first);
  const uint64_t number = number_ + 1;
  if (!ReplaceFile(kLogPrefix + std::to_string(number), bytes)) return false;
  number_ = number;
  log_size_ = bytes.size();
  file_base_ = first.base_index;
  last_index_ = LastIndex(log);
  last_term_ = LastTerm(log);
  is_last_known_ = true;
  oldest_truncated_file_.clear();
  frames_.clear();
  read_position_ = frame_position{};
  RecordPositions(first.entries, {number, 0, bytes.size()});
  RemoveLogFilesBefore(number);
  return true;
}

// Deleted files may exist again after a power loss. BeginLogFile() discards
// their entries.
void file_storage::RemoveLogFilesBefore(uint64_t number) {
  for (const uint64_t old : ListLogFiles()) {
    if (old < number) unlink(LogPath(old).c_str());
  }
}

bool file_storage::WriteSnapshot(const raft_log& log, const hard_state& hard) {
  return ReplaceFile(kSnapshotName, EncodeFrame(log.snap)) &&
         StartLog(log, hard) && OpenLog();
}

bool file_storage::WriteCompaction(const raft_log& log) {
  if (!ReplaceFile(kSnapshotName, EncodeFrame(log.snap))) return false;
  frames_.erase(frames_.begin(), frames_.upper_bound(log.snap.index));
  read_position_ = frame_position{};
  RemoveLogFilesBefore(OldestNeededFile());
  return true;
}

// Returns the oldest file that is still needed: the one with the oldest entry
// after the snapshot, or one whose entries a truncation in a needed file
// removes.
uint64_t file_storage::OldestNeededFile() const {
  uint64_t oldest = number_;
  for (const auto& item : frames_) oldest = std::min(oldest, item.second.file);
  for (auto item = oldest_truncated_file_.rbegin();
       item != oldest_truncated_file_.rend(); ++item) {
    if (item->first >= oldest) oldest = std::min(oldest, item->second);
  }
  return oldest;
}

}  // namespace hickorywood::consensus
