// Tests the decision whether the head of a response is valid, without network.

#include "net/response_rules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "net/chunked_decoder.h"
#include "support/response_cases.h"

namespace hickorywood::net {
namespace {

// Adds the lines of `text` until a head is complete or invalid. Skips interim
// responses.
std::optional<response_head> Parse(std::string_view text) {
  response_head head;
  while (!text.empty()) {
    const size_t size = std::min(text.size(), text.find('\n') + 1);
    if (size == 0) return std::nullopt;
    if (!AddHeadLine(head, text.substr(0, size))) return std::nullopt;
    text.remove_prefix(size);
    if (!head.is_complete) continue;
    if (!IsInterim(head)) return head;
    head = {};
  }
  return std::nullopt;
}

std::optional<response_head> ParseWith(const std::string& fields) {
  return Parse("HTTP/1.1 200 OK\r\n" + fields + "\r\n");
}

// Guards against a status that is read as a response although none has it, and
// against rejecting one that servers may send.
TEST(ResponseRulesTest, StatusesFrom100To599AreValid) {
  for (int status = 0; status <= 999; ++status) {
    std::string digits = std::to_string(status);
    digits.insert(0, 3 - digits.size(), '0');
    response_head head;
    const bool is_valid = status >= 100 && status <= 599 && status != 101;
    EXPECT_EQ(AddHeadLine(head, "HTTP/1.1 " + digits + " x\r\n"), is_valid)
        << digits;
    EXPECT_EQ(head.status, is_valid ? status : 0) << digits;
  }
}

// Guards against a byte in the name of a field that another reader takes for
// the end of the name, and against rejecting names that servers may send.
TEST(ResponseRulesTest, NamesConsistOfTokenCharacters) {
  const std::string token =
      "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
      "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
  for (int byte = 0; byte < 256; ++byte) {
    // A colon ends the name.
    if (byte == ':') continue;
    const char item = static_cast<char>(byte);
    const bool is_valid = token.find(item) != std::string::npos;
    for (const std::string& name :
         {std::string(1, item), std::string("X") + item + "Y",
          std::string("X") + item, item + std::string("X")}) {
      response_head head;
      head.status = 200;
      EXPECT_EQ(AddHeadLine(head, name + ": a\r\n"), is_valid) << byte;
    }
  }
}

// Guards against a control byte in a value that is passed on, and against
// rejecting tabs and bytes above 127.
TEST(ResponseRulesTest, ValuesContainNoControlBytes) {
  for (int byte = 0; byte < 256; ++byte) {
    const char item = static_cast<char>(byte);
    const bool is_valid = byte == '\t' || (byte >= ' ' && byte != 0x7f);
    response_head head;
    head.status = 200;
    EXPECT_EQ(AddHeadLine(head, std::string("X: a") + item + "b\r\n"), is_valid)
        << byte;
    response_head begun;
    EXPECT_EQ(AddHeadLine(begun, std::string("HTTP/1.1 200 a") + item + "\r\n"),
              is_valid)
        << byte;
  }
}

// Guards against readers that disagree on a head: each invalid one is rejected
// by this decision alone.
TEST(ResponseRulesTest, InvalidHeadsAreRejected) {
  for (const auto& list :
       {testing::InvalidStatuses(), testing::InvalidStatusLines(),
        testing::InvalidFields(), testing::InvalidFramings()}) {
    for (testing::scripted_response response : list) {
      response = testing::ResponseTo({}, response);
      EXPECT_FALSE(Parse(response.bytes)) << response.name;
    }
  }
}

TEST(ResponseRulesTest, ValidHeadsAreAccepted) {
  for (testing::scripted_response response : testing::ValidResponses()) {
    response = testing::ResponseTo({}, response);
    const auto head = Parse(response.bytes);
    ASSERT_TRUE(head) << response.name;
    EXPECT_EQ(head->status, 200) << response.name;
    EXPECT_EQ(Find(head->headers, "X-Response-Stamp"), "signed")
        << response.name;
  }
  EXPECT_TRUE(Parse("HTTP/1.1 200\r\n\r\n"));
}

TEST(ResponseRulesTest, FramingFollowsTheFields) {
  EXPECT_EQ(ParseWith("Content-Length: 0\r\n")->framing, body_framing::kLength);
  EXPECT_EQ(ParseWith("Content-Length: 5 , 5\r\n")->framing,
            body_framing::kLength);
  EXPECT_EQ(ParseWith("Transfer-Encoding: CHUNKED\r\n")->framing,
            body_framing::kChunked);
  EXPECT_EQ(ParseWith("")->framing, body_framing::kConnection);
  for (const char* line :
       {"HTTP/1.1 204 x\r\n", "HTTP/1.1 304 x\r\nContent-Length: 5\r\n"}) {
    EXPECT_EQ(Parse(std::string(line) + "\r\n")->framing, body_framing::kNone);
  }
}

// Guards against a decoder that depends on how its input is split.
TEST(ChunkedDecoderTest, AnySplitGivesTheSameBody) {
  const std::string text =
      "2;a=b\r\nab\r\n0a\r\n0123456789\r\n0\r\nX-Name: a\r\n\r\nexcess";
  const size_t end = text.size() - std::string("excess").size();
  for (size_t split = 0; split <= text.size(); ++split) {
    chunked_decoder decoder;
    std::string body;
    EXPECT_TRUE(decoder.Decode(text.substr(0, split), body));
    EXPECT_EQ(decoder.IsComplete(), split >= end) << split;
    EXPECT_TRUE(decoder.Decode(text.substr(split), body));
    EXPECT_EQ(body, "ab0123456789") << split;
    EXPECT_TRUE(decoder.IsComplete()) << split;
    EXPECT_TRUE(decoder.HasExcess()) << split;
  }
}

// Guards against a check of trailers that does not end at a line without an
// end.
TEST(ResponseRulesTest, IncompleteLastChunkIsInvalid) {
  EXPECT_TRUE(IsValidLastChunk("\r\n0\r\nX-Name: a\r\n\r\n"));
  EXPECT_FALSE(IsValidLastChunk("0\r\nX-Name: a"));
  EXPECT_FALSE(IsValidLastChunk("0\r\n X-Name: a\r\n\r\n"));
}

}  // namespace
}  // namespace hickorywood::net
