// Tests the decision whether the head of a response is valid, without network.

#include "net/response_rules.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

// Guards against readers that disagree on a head: each invalid one is rejected
// by this decision alone.
TEST(ResponseRulesTest, InvalidHeadsAreRejected) {
  for (const auto& list : {testing::InvalidStatuses()}) {
    for (testing::scripted_response response : list) {
      response = testing::ResponseTo({}, response);
      EXPECT_FALSE(Parse(response.bytes)) << response.name;
    }
  }
}

}  // namespace
}  // namespace hickorywood::net
