// Memory held for slow readers: which requests are still accepted.

#include "entry/held_memory.h"

#include <gtest/gtest.h>

#include <string>

namespace hickorywood::entry {
namespace {

constexpr int64_t kMegabyte = 1024 * 1024;
constexpr int64_t kPage = 900 * 1000;

class HeldMemoryTest : public ::testing::Test {
 protected:
  HeldMemoryTest() { held_.limit = 160 * kMegabyte; }
  // A customer's callers that begin to read a page each, until one is refused.
  int64_t Fill(const std::string& customer, int callers) {
    int64_t accepted = 0;
    for (int i = 0; i < callers; ++i) {
      if (!MayAccept(held_, customer, 0)) continue;
      RecordHeld(held_, customer, kPage);
      ++accepted;
    }
    return accepted;
  }
  held_memory held_;
};

// Guards against a process that is killed because a thousand callers of one
// customer read one byte per second.
TEST_F(HeldMemoryTest, ThousandSlowReadersStayWithinTheBound) {
  RecordHeld(held_, "other", 1000);
  EXPECT_LT(Fill("slow", 1000), 60);
  EXPECT_LE(held_.total, held_.limit / 4 + kPage);
  // The others are served as before.
  EXPECT_TRUE(MayAccept(held_, "other", 10 * 1000));
  EXPECT_FALSE(MayAccept(held_, "slow", 1));
}

// Guards against memory without a limit when many customers read slowly.
TEST_F(HeldMemoryTest, AllCustomersTogetherStayWithinTheMaximum) {
  for (int i = 0; i < 1000; ++i) Fill("customer-" + std::to_string(i % 78), 1);
  EXPECT_LE(held_.total, held_.limit / 3 + kPage);
}

TEST_F(HeldMemoryTest, NothingChangesBelowTheBoundAndWithoutALimit) {
  RecordHeld(held_, "a", 30 * kMegabyte);
  EXPECT_TRUE(MayAccept(held_, "a", 1));
  RecordHeld(held_, "a", 30 * kMegabyte);
  EXPECT_FALSE(MayAccept(held_, "a", 1));
  held_.limit = 0;
  EXPECT_TRUE(MayAccept(held_, "a", 1));
}

// Guards against a count that grows until nothing is accepted any more.
TEST_F(HeldMemoryTest, ReleasedMemoryCanBeUsedAgain) {
  Fill("a", 1000);
  RecordHeld(held_, "a", -held_.total);
  EXPECT_TRUE(held_.by_customer.empty());
  EXPECT_TRUE(MayAccept(held_, "a", kPage));
}

}  // namespace
}  // namespace hickorywood::entry
