#ifndef HICKORYWOOD_CONSENSUS_LOG_FRAMES_H_
#define HICKORYWOOD_CONSENSUS_LOG_FRAMES_H_

// Frames of log files and snapshot files. A frame consists of the payload
// length (4 bytes), a check of the length (4), a checksum of the payload (8)
// and the payload (MessagePack). Each durable write is one frame and one sync,
// so a crash can only leave the last frame of a file incomplete.

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"
#include "core/binary.h"
#include "core/json.h"
#include "core/reason.h"

namespace hickorywood::consensus {

// One frame of a log file.
struct log_frame {
  // First frame of a file only: index and term of the last entry before the
  // file.
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  // First frame of a file only: the files before this one are obsolete.
  bool is_restart = false;
  uint64_t truncate_from = 0;
  std::vector<log_entry> entries;
  hard_state hard;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(log_frame, base_index,
                                                base_term, is_restart,
                                                truncate_from, entries, hard)

enum class frame_status { kGood, kEnd, kTorn, kCorrupt, kUnreadable };

std::string EncodeFrame(const nlohmann::json& value);

// Reads the frame at `offset` and advances `offset`. An invalid frame is kTorn
// only if it is the last one and incomplete. A complete frame with a wrong
// checksum was damaged after it had been written: removing it would lose a vote
// or an acknowledged entry.
frame_status ReadFrame(const std::string& content, size_t& offset,
                       std::string& payload);

// Reads up to `size` bytes at `offset`, fewer at the end of the file. Returns
// false if the file can't be read.
bool ReadAt(int fd, uint64_t offset, size_t size, std::string& bytes);

// Reads a log file frame by frame, so that a restart doesn't need memory for
// the entire file in addition to the decoded entries.
class frame_reader {
 public:
  explicit frame_reader(const std::string& path);
  ~frame_reader();
  frame_reader(const frame_reader&) = delete;
  frame_reader& operator=(const frame_reader&) = delete;

  bool IsOpen() const { return fd_ >= 0; }
  // Offset of the next frame.
  uint64_t Offset() const { return offset_; }
  const std::string& Payload() const { return payload_; }

  frame_status Next();

 private:
  frame_status ClassifyInvalidFrame();

  const int fd_;
  uint64_t offset_ = 0;
  std::string payload_;
};

// Whether a payload is CBOR, as earlier versions wrote it. The payload is
// always a map, and a map of MessagePack begins with another byte.
bool IsCbor(const std::string& payload);

// Returns nothing, with reason kCorrupt, if the payload is not a valid T.
template <typename T>
std::optional<T> DecodePayload(const std::string& payload) {
  try {
    if (IsCbor(payload)) return nlohmann::json::from_cbor(payload).get<T>();
    const auto tree = core::ParseMessagePack(payload);
    if (tree) return tree->template get<T>();
    return core::Fail(core::reason_code::kCorrupt, core::LastReason().text);
  } catch (const nlohmann::json::exception& error) {
    return core::Fail(core::reason_code::kCorrupt, error.what());
  }
}

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_LOG_FRAMES_H_
