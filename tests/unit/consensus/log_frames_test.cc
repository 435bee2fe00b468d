#include "consensus/log_frames.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hickorywood::consensus {
namespace {

log_frame MakeFrame() {
  log_frame frame;
  frame.base_index = 7;
  frame.entries.push_back({8, 2, entry_kind::kCommand, std::string(3, '\0')});
  frame.entries.push_back({9, 2, entry_kind::kCommand, "\xff\x80 bytes"});
  frame.hard.term = 2;
  return frame;
}

// Guards against a restart that can't read the log of an earlier version.
TEST(LogFramesTest, CborOfEarlierVersionsIsStillRead) {
  const std::vector<uint8_t> cbor = nlohmann::json::to_cbor(MakeFrame());
  const std::string payload(cbor.begin(), cbor.end());
  ASSERT_TRUE(IsCbor(payload));
  const auto decoded = DecodePayload<log_frame>(payload);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->entries[1].data, MakeFrame().entries[1].data);
}

TEST(LogFramesTest, FramesKeepEveryByte) {
  const std::string frame = EncodeFrame(MakeFrame());
  size_t offset = 0;
  std::string payload;
  ASSERT_EQ(ReadFrame(frame, offset, payload), frame_status::kGood);
  EXPECT_FALSE(IsCbor(payload));
  const auto decoded = DecodePayload<log_frame>(payload);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->base_index, 7U);
  EXPECT_EQ(decoded->entries[0].data, std::string(3, '\0'));
  EXPECT_EQ(decoded->entries[1].data, MakeFrame().entries[1].data);
  EXPECT_FALSE(DecodePayload<log_frame>(payload.substr(1)));
}

}  // namespace
}  // namespace hickorywood::consensus
