#ifndef HICKORYWOOD_CONSENSUS_LOG_FRAMES_H_
#define HICKORYWOOD_CONSENSUS_LOG_FRAMES_H_

// The frames of a log file and of a snapshot file. A frame is: payload length
// (4 bytes), check of the length (4), checksum of the payload (8), payload
// (CBOR). One durable step is one frame and one sync, so a crash can only tear
// the last frame of a file.

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"
#include "core/json.h"
#include "core/reason.h"

namespace hickorywood::consensus {

// One frame of a log file.
struct log_frame {
  // First frame of a file only: the last entry before it.
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  // First frame of a file only: the files before it count for nothing.
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

// Reads the frame at `offset` and moves past it. A bad frame is torn only when
// it is the last one and incomplete; a whole frame with a wrong checksum was
// changed after it had been written, and cutting it would forget a vote or an
// acknowledged entry.
frame_status ReadFrame(const std::string& content, size_t& offset,
                       std::string& payload);

// Reads `size` bytes at `offset`, or what there is up to the end of the file.
// False: the file can't be read.
bool ReadAt(int fd, uint64_t offset, size_t size, std::string& bytes);

// Reads a log file frame by frame, so that a restart does not hold the whole
// file in memory beside what it makes of it.
class frame_reader {
 public:
  explicit frame_reader(const std::string& path);
  ~frame_reader();
  frame_reader(const frame_reader&) = delete;
  frame_reader& operator=(const frame_reader&) = delete;

  bool IsOpen() const { return fd_ >= 0; }
  // Where the next frame begins.
  uint64_t Offset() const { return offset_; }
  const std::string& Payload() const { return payload_; }

  frame_status Next();

 private:
  frame_status JudgeRest();

  const int fd_;
  uint64_t offset_ = 0;
  std::string payload_;
};

// Empty with reason kCorrupt when it is no T.
template <typename T>
std::optional<T> DecodePayload(const std::string& payload) {
  try {
    return nlohmann::json::from_cbor(payload).get<T>();
  } catch (const nlohmann::json::exception& error) {
    return core::Fail(core::reason_code::kCorrupt, error.what());
  }
}

}  // namespace hickorywood::consensus

#endif  // HICKORYWOOD_CONSENSUS_LOG_FRAMES_H_
