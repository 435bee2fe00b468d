#include "group/hosted_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace hickorywood::group {
namespace {

RC_GTEST_PROP(HostedCommandTest, DecodesWhatWasEncoded,
              (const std::string& name, int64_t now_ms,
               const std::string& payload)) {
  hosted_command input;
  input.name = "n";
  for (const char letter : name) input.name += letter > 31 ? letter : 'x';
  input.now_ms = now_ms;
  input.payload = payload;
  const auto read = DecodeCommand(EncodeCommand(input));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->name == input.name);
  RC_ASSERT(read->now_ms == now_ms);
  RC_ASSERT(read->payload == payload);
}

// The decoder must handle bytes of another writer, or of a truncated log,
// without a crash.
RC_GTEST_PROP(HostedCommandTest, AnyBytesAreHandled,
              (const std::string& bytes)) {
  DecodeCommand(bytes);
  DecodeCommand(std::string("\0\0\0\4", 4) + bytes);
}

TEST(HostedCommandTest, TooShortIsNoCommand) {
  EXPECT_FALSE(DecodeCommand(""));
  EXPECT_FALSE(DecodeCommand("abc"));
  EXPECT_FALSE(DecodeCommand(std::string("\xff\xff\xff\xffx", 5)));
  EXPECT_FALSE(DecodeCommand(std::string("\0\0\0\0x", 5)));
}

}  // namespace
}  // namespace hickorywood::group
