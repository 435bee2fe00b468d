// Memory held for callers: which requests are read on, who yields, and which
// new work is accepted.

#include "net/memory_budget.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace hickorywood::net {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kKilobyte = 1024;
constexpr int64_t kMegabyte = 1024 * 1024;
constexpr int64_t kPage = 900 * 1000;

class MemoryBudgetTest : public ::testing::Test {
 protected:
  MemoryBudgetTest() { budget_.memory = 160 * kMegabyte; }

  uint64_t Add(holder_state state, int64_t bytes,
               const std::string& customer = "", bool is_internal = false) {
    memory_holder holder;
    holder.state = state;
    holder.customer = customer;
    holder.is_internal = is_internal;
    holder.progressed_at = now_;
    const uint64_t number = AddHolder(budget_, std::move(holder));
    SetBytes(budget_, number, bytes);
    return number;
  }
  uint64_t Hold(const std::string& customer, int64_t bytes) {
    return Add(holder_state::kServing, bytes, customer);
  }
  // A customer's callers that begin to read a page each, until one is refused.
  int64_t Fill(const std::string& customer, int callers) {
    int64_t accepted = 0;
    for (int i = 0; i < callers; ++i) {
      if (!MayBegin(budget_, customer, 0)) continue;
      Hold(customer, kPage);
      ++accepted;
    }
    return accepted;
  }
  // Whether a request of this size, which is held already, may begin.
  bool MayBeginHeld(const std::string& customer, int64_t bytes) {
    const uint64_t number = Hold(customer, bytes);
    const bool may_begin = MayBegin(budget_, customer, bytes);
    RemoveHolder(budget_, number);
    return may_begin;
  }
  bool MustYield(uint64_t number) const {
    return budget_.holders.at(number).state == holder_state::kEnding;
  }

  core::time_point now_{std::chrono::hours(1)};
  memory_budget budget_;
};

// Guards against a process that is killed because a thousand callers of one
// customer read one byte per second.
TEST_F(MemoryBudgetTest, ThousandSlowReadersStayWithinTheBound) {
  Hold("other", 1000);
  EXPECT_LT(Fill("slow", 1000), 60);
  EXPECT_LE(budget_.total, budget_.memory / 4 + kPage);
  // The others are served as before.
  EXPECT_TRUE(MayBeginHeld("other", 10 * 1000));
  EXPECT_FALSE(MayBeginHeld("slow", 1));
}

// Guards against memory without a limit when many customers read slowly.
TEST_F(MemoryBudgetTest, AllCustomersTogetherStayWithinTheMaximum) {
  for (int i = 0; i < 1000; ++i) Fill("customer-" + std::to_string(i % 78), 1);
  EXPECT_LE(budget_.total, budget_.memory / 3 + kPage);
}

TEST_F(MemoryBudgetTest, NothingChangesBelowTheBoundAndWithoutALimit) {
  Hold("a", 30 * kMegabyte);
  EXPECT_TRUE(MayBeginHeld("a", 1));
  Hold("a", 30 * kMegabyte);
  EXPECT_FALSE(MayBeginHeld("a", 1));
  budget_.memory = 0;
  EXPECT_TRUE(MayBeginHeld("a", 1));
}

// Guards against a count that grows until nothing is accepted any more.
TEST_F(MemoryBudgetTest, ReleasedMemoryCanBeUsedAgain) {
  Fill("a", 1000);
  while (!budget_.holders.empty()) {
    RemoveHolder(budget_, budget_.holders.begin()->first);
  }
  EXPECT_EQ(budget_.total, 0);
  EXPECT_TRUE(budget_.by_customer.empty());
  EXPECT_TRUE(MayBeginHeld("a", kPage));
}

// Guards against a legal request that the smallest machine always refuses.
TEST_F(MemoryBudgetTest, LargestBodyIsReadAndServedOnTheSmallestMachine) {
  budget_.memory = 88 * kMegabyte;
  Hold("other", 100 * kKilobyte);
  const uint64_t reading = Add(holder_state::kReading, 0, "a");
  EXPECT_TRUE(Reserve(budget_, reading, 32 * kMegabyte + 80 * kKilobyte, now_)
                  .is_granted);
  EXPECT_TRUE(MayBegin(budget_, "a", 32 * kMegabyte + 80 * kKilobyte));
}

// Guards against bodies that fill the memory and stop short of their end.
TEST_F(MemoryBudgetTest, BodiesThatDoNotAdvanceYieldFirst) {
  const uint64_t idle = Add(holder_state::kReading, 20 * kMegabyte);
  now_ += kStallTime;
  const uint64_t moving = Add(holder_state::kReading, 40 * kMegabyte);
  const uint64_t fresh = Add(holder_state::kReading, 0);
  EXPECT_TRUE(Reserve(budget_, fresh, 10 * kMegabyte, now_).is_granted);
  EXPECT_TRUE(MustYield(idle));
  EXPECT_FALSE(MustYield(moving));
}

// Guards against memory that is granted many times before it is released: in
// one turn of the loop, each of many requests takes that of a larger one.
TEST_F(MemoryBudgetTest, LittleIsGrantedBeforeItIsReleased) {
  for (int64_t i = 0; i < 1000; ++i) {
    const uint64_t number = Add(holder_state::kReading, 0);
    Reserve(budget_, number, kMegabyte - i, now_);
  }
  const int64_t limit = LimitOf(budget_);
  EXPECT_LE(budget_.total, limit + limit / 8 + kMegabyte);
  // A request that fits once the others have released theirs is not refused.
  const uint64_t next = Add(holder_state::kReading, 0);
  EXPECT_TRUE(MayFit(budget_, next, kMegabyte / 2, now_));
}

// Guards against bodies that stay by sending a few bytes now and then.
TEST_F(MemoryBudgetTest, FewBytesAreNoProgress) {
  const uint64_t slow = Add(holder_state::kReading, 60 * kMegabyte);
  for (int i = 0; i < 10; ++i) {
    now_ += kStallTime / 10;
    RecordProgress(budget_, slow, 100, now_);
  }
  const uint64_t fresh = Add(holder_state::kReading, 0);
  EXPECT_TRUE(Reserve(budget_, fresh, 62 * kMegabyte, now_).is_granted);
  EXPECT_TRUE(MustYield(slow));
}

// Guards against a crowd of large bodies that keeps small requests out.
TEST_F(MemoryBudgetTest, SmallRequestsAreReadWhileLargeOnesFillTheMemory) {
  for (int i = 0; i < 64; ++i) Add(holder_state::kReading, kMegabyte);
  for (int i = 0; i < 1000; ++i) {
    const uint64_t small = Add(holder_state::kReading, 0);
    ASSERT_TRUE(Reserve(budget_, small, 8 * kKilobyte, now_).is_granted) << i;
  }
}

// Guards against memory above the limit, and against requests that end each
// other until none is left.
TEST_F(MemoryBudgetTest, CrowdOfEqualBodiesStaysWithinTheLimitAndOneIsRead) {
  std::vector<uint64_t> crowd;
  for (int i = 0; i < 24; ++i) crowd.push_back(Add(holder_state::kReading, 0));
  const int64_t size = 32 * kMegabyte;
  size_t complete = 0;
  for (int64_t bytes = kMegabyte; bytes <= size; bytes += kMegabyte) {
    for (const uint64_t number : crowd) {
      if (budget_.holders.count(number) == 0) continue;
      now_ += milliseconds(1);
      RecordProgress(budget_, number, kMegabyte, now_);
      const reserve_decision decision = Reserve(budget_, number, bytes, now_);
      for (const uint64_t other : decision.yielding) {
        RemoveHolder(budget_, other);
      }
      if (!decision.is_granted) RemoveHolder(budget_, number);
      ASSERT_LE(budget_.total, LimitOf(budget_));
    }
  }
  for (const auto& [number, holder] : budget_.holders) {
    complete += holder.bytes == size ? 1 : 0;
  }
  EXPECT_GE(complete, 1U);
}

// Guards against one customer whose large requests end those of others.
TEST_F(MemoryBudgetTest, CustomerThatHoldsMostYieldsFirst) {
  const uint64_t first = Add(holder_state::kReading, 20 * kMegabyte, "many");
  const uint64_t second = Add(holder_state::kReading, 19 * kMegabyte, "many");
  const uint64_t other = Add(holder_state::kReading, 24 * kMegabyte, "few");
  EXPECT_TRUE(Reserve(budget_, other, 26 * kMegabyte, now_).is_granted);
  EXPECT_TRUE(MustYield(first));
  EXPECT_FALSE(MustYield(second));
}

// Guards against callers that cut the links between the own instances.
TEST_F(MemoryBudgetTest, InternalRequestsYieldLast) {
  const uint64_t internal =
      Add(holder_state::kReading, 30 * kMegabyte, "", true);
  const uint64_t caller = Add(holder_state::kReading, 30 * kMegabyte);
  EXPECT_TRUE(Reserve(budget_, internal, 50 * kMegabyte, now_).is_granted);
  EXPECT_TRUE(MustYield(caller));
}

// Guards against requests that end although that frees too little for another.
TEST_F(MemoryBudgetTest, NobodyYieldsForWhatCannotBeRead) {
  Add(holder_state::kServing, 50 * kMegabyte);
  const uint64_t idle = Add(holder_state::kReading, kMegabyte);
  now_ += kStallTime;
  const uint64_t fresh = Add(holder_state::kReading, 0);
  EXPECT_FALSE(Reserve(budget_, fresh, 20 * kMegabyte, now_).is_granted);
  EXPECT_FALSE(MustYield(idle));
}

// Guards against counting the memory of a holder that yields twice.
TEST_F(MemoryBudgetTest, MemoryThatIsReleasedSoonIsGrantedOnce) {
  const uint64_t idle = Add(holder_state::kReading, 60 * kMegabyte);
  now_ += kStallTime;
  const uint64_t first = Add(holder_state::kReading, 0);
  EXPECT_TRUE(Reserve(budget_, first, 50 * kMegabyte, now_).is_granted);
  ASSERT_TRUE(MustYield(idle));
  const uint64_t second = Add(holder_state::kReading, 0);
  EXPECT_FALSE(Reserve(budget_, second, 51 * kMegabyte, now_).is_granted);
  RemoveHolder(budget_, idle);
  EXPECT_EQ(budget_.ending, 0);
  EXPECT_EQ(budget_.total, 50 * kMegabyte);
}

// Guards against answers that their callers do not read.
TEST_F(MemoryBudgetTest, AnswersThatAreNotReadYieldToNewRequests) {
  const uint64_t unread = Add(holder_state::kWriting, 63 * kMegabyte);
  const uint64_t fresh = Add(holder_state::kReading, 0);
  EXPECT_FALSE(Reserve(budget_, fresh, 10 * kMegabyte, now_).is_granted);
  now_ += kStallTime;
  EXPECT_TRUE(Reserve(budget_, fresh, 10 * kMegabyte, now_).is_granted);
  EXPECT_TRUE(MustYield(unread));
}

// Guards against more connections than the memory has room for.
TEST_F(MemoryBudgetTest, ConnectionsFitIntoTheirShare) {
  budget_.memory = 88 * kMegabyte;
  EXPECT_GE(MaxConnections(budget_), 2000U);
  EXPECT_LE(MaxConnections(budget_) * 8 * kKilobyte,
            static_cast<size_t>(budget_.memory) / 5);
}

}  // namespace
}  // namespace hickorywood::net
