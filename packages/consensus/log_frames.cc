#include "consensus/log_frames.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string_view>

#include "core/ids.h"

namespace hickorywood::consensus {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kLengthCheckBytes = 4;
constexpr size_t kChecksumBytes = 8;
constexpr size_t kChecksumOffset = kLengthBytes + kLengthCheckBytes;
constexpr size_t kHeaderBytes = kChecksumOffset + kChecksumBytes;
constexpr size_t kSectorBytes = 512;

// The length has its own check: a damaged length that points past the end of
// the file would otherwise look like an incomplete write, and everything after
// it would be truncated.
uint32_t LengthCheck(uint32_t length) {
  const std::string_view bytes(reinterpret_cast<const char*>(&length),
                               sizeof(length));
  return static_cast<uint32_t>(core::Hash64(bytes));
}

// Whether the file contains only zeros from the start of the frame, or from a
// later sector boundary, to the end of the file. A crash can leave a file
// extended although the data did not reach the disk.
bool HasUnwrittenTail(const std::string& content, size_t frame_start) {
  const size_t last_data = content.find_last_not_of('\0');
  const size_t data_end = last_data == std::string::npos ? 0 : last_data + 1;
  const size_t next_sector =
      (std::max(data_end, frame_start) + kSectorBytes - 1) / kSectorBytes *
      kSectorBytes;
  return data_end <= frame_start || next_sector < content.size();
}

}  // namespace

std::string EncodeFrame(const nlohmann::json& value) {
  std::string payload;
  nlohmann::json::to_msgpack(value, payload);
  const auto length = static_cast<uint32_t>(payload.size());
  const uint32_t length_check = LengthCheck(length);
  const uint64_t checksum = core::Hash64(payload);
  std::string frame(kHeaderBytes, '\0');
  std::memcpy(frame.data(), &length, kLengthBytes);
  std::memcpy(frame.data() + kLengthBytes, &length_check, kLengthCheckBytes);
  std::memcpy(frame.data() + kChecksumOffset, &checksum, kChecksumBytes);
  frame.append(payload);
  return frame;
}

bool IsCbor(const std::string& payload) {
  constexpr uint8_t kMajorTypeMask = 0xe0;
  constexpr uint8_t kMap = 0xa0;
  return !payload.empty() &&
         (static_cast<uint8_t>(payload.front()) & kMajorTypeMask) == kMap;
}

frame_status ReadFrame(const std::string& content, size_t& offset,
                       std::string& payload) {
  if (offset == content.size()) return frame_status::kEnd;
  if (content.size() - offset < kHeaderBytes) return frame_status::kTorn;
  uint32_t length = 0;
  uint32_t length_check = 0;
  uint64_t checksum = 0;
  std::memcpy(&length, content.data() + offset, kLengthBytes);
  std::memcpy(&length_check, content.data() + offset + kLengthBytes,
              kLengthCheckBytes);
  std::memcpy(&checksum, content.data() + offset + kChecksumOffset,
              kChecksumBytes);
  if (length_check != LengthCheck(length)) {
    return HasUnwrittenTail(content, offset) ? frame_status::kTorn
                                             : frame_status::kCorrupt;
  }
  const size_t payload_start = offset + kHeaderBytes;
  if (content.size() - payload_start < length) return frame_status::kTorn;
  payload = content.substr(payload_start, length);
  if (core::Hash64(payload) != checksum) {
    const bool is_last = payload_start + length == content.size();
    return is_last && HasUnwrittenTail(content, offset)
               ? frame_status::kTorn
               : frame_status::kCorrupt;
  }
  offset = payload_start + length;
  return frame_status::kGood;
}

bool ReadAt(int fd, uint64_t offset, size_t size, std::string& bytes) {
  bytes.resize(size);
  size_t done = 0;
  while (done < size) {
    const ssize_t count = pread(fd, bytes.data() + done, size - done,
                                static_cast<off_t>(offset + done));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    if (count == 0) break;
    done += static_cast<size_t>(count);
  }
  bytes.resize(done);
  return true;
}

frame_reader::frame_reader(const std::string& path)
    : fd_(open(path.c_str(), O_RDONLY | O_CLOEXEC)) {}

frame_reader::~frame_reader() {
  if (fd_ >= 0) close(fd_);
}

frame_status frame_reader::Next() {
  std::string bytes;
  if (!ReadAt(fd_, offset_, kHeaderBytes, bytes)) {
    return frame_status::kUnreadable;
  }
  if (bytes.size() < kHeaderBytes) return ClassifyInvalidFrame();
  uint32_t length = 0;
  uint32_t length_check = 0;
  std::memcpy(&length, bytes.data(), kLengthBytes);
  std::memcpy(&length_check, bytes.data() + kLengthBytes, kLengthCheckBytes);
  // Without this check a damaged length could cause a huge allocation.
  if (length_check != LengthCheck(length)) return ClassifyInvalidFrame();
  if (!ReadAt(fd_, offset_, kHeaderBytes + length, bytes)) {
    return frame_status::kUnreadable;
  }
  size_t end = 0;
  if (ReadFrame(bytes, end, payload_) != frame_status::kGood) {
    return ClassifyInvalidFrame();
  }
  offset_ += end;
  return frame_status::kGood;
}

// Classifies an invalid frame. Only the rest of the file shows whether the
// frame was incompletely written or damaged later.
frame_status frame_reader::ClassifyInvalidFrame() {
  const off_t size = lseek(fd_, 0, SEEK_END);
  if (size < 0) return frame_status::kUnreadable;
  std::string rest;
  if (!ReadAt(fd_, offset_, static_cast<size_t>(size) - offset_, rest)) {
    return frame_status::kUnreadable;
  }
  size_t end = 0;
  return ReadFrame(rest, end, payload_);
}

}  // namespace hickorywood::consensus
