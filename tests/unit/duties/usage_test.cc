// Tests that every request is counted once in its window, whichever leader
// collects the counts.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "duties/usage_counter.h"
#include "duties/usage_ledger.h"

namespace hickorywood::duties {
namespace {

using core::milliseconds;
using core::unix_time;

constexpr milliseconds kWindow{5000};
constexpr milliseconds kDelay{5000};
constexpr int64_t kFirstWindow = 1000;
constexpr unix_time kStart{kFirstWindow * kWindow};

class UsageTest : public ::testing::Test {
 protected:
  UsageTest() {
    clock_.Pause();
    booted_at_ = clock_.BootNow();
    counter_.window = kWindow;
  }

  unix_time Now() const {
    return kStart + std::chrono::duration_cast<milliseconds>(clock_.BootNow() -
                                                             booted_at_);
  }
  void Count(const std::string& customer) {
    CountRequest(counter_, customer, clock_.BootNow());
  }
  void LearnTime() { RecordLeaderTime(counter_, Now(), clock_.BootNow()); }
  // Sends the changed windows to a leader. The response may be lost.
  void Send(usage_ledger& ledger, uint64_t term, bool is_answered = true) {
    const uint64_t sent = counter_.changes;
    RecordUsage(ledger, "e", UnacknowledgedWindows(counter_));
    if (is_answered) Acknowledge(counter_, term, sent);
  }

  core::runtime_clock clock_;
  core::boot_time_point booted_at_{};
  usage_counter counter_;
};

TEST_F(UsageTest, RequestsAreCountedInTheWindowInWhichTheyBegan) {
  LearnTime();
  Count("a");
  clock_.Advance(kWindow - milliseconds(1));
  Count("a");
  clock_.Advance(milliseconds(1));
  Count("a");
  Count("b");
  usage_ledger ledger;
  Send(ledger, 1);
  EXPECT_EQ(SumOf(ledger, kFirstWindow), (fleet::customer_counts{{"a", 2}}));
  EXPECT_EQ(SumOf(ledger, kFirstWindow + 1),
            (fleet::customer_counts{{"a", 1}, {"b", 1}}));
}

// Guards against requests that are lost because an entry serves before it knows
// the time of day.
TEST_F(UsageTest, RequestsBeforeTheFirstReadingAreCounted) {
  Count("a");
  clock_.Advance(kWindow);
  LearnTime();
  EXPECT_EQ(counter_.windows.at(kFirstWindow).counts.at("a"), 1U);
}

// Guards against a window boundary that moves because one reading arrived late.
TEST_F(UsageTest, SingleLateReadingMovesNoBoundary) {
  for (int i = 0; i < 4; ++i) LearnTime();
  RecordLeaderTime(counter_, Now() - milliseconds(4000), clock_.BootNow());
  clock_.Advance(kWindow);
  Count("a");
  EXPECT_EQ(counter_.windows.count(kFirstWindow + 1), 1U);
}

// Guards against counts that only a lost leader had.
TEST_F(UsageTest, NewLeaderReceivesAllWindowsAgain) {
  LearnTime();
  usage_ledger first;
  Count("a");
  Send(first, 1);
  Send(first, 1);
  EXPECT_TRUE(UnacknowledgedWindows(counter_).empty());
  usage_ledger second;
  Count("a");
  Send(second, 2);
  Send(second, 2);
  EXPECT_EQ(SumOf(second, kFirstWindow).at("a"), 2U);
  EXPECT_TRUE(UnacknowledgedWindows(counter_).empty());
}

// Guards against counts that are added twice when a response is lost.
TEST_F(UsageTest, RepeatedCountsReplaceEarlierOnes) {
  LearnTime();
  usage_ledger ledger;
  Count("a");
  Send(ledger, 1, false);
  Count("a");
  Send(ledger, 1, false);
  Send(ledger, 1);
  RecordUsage(ledger, "other", {{kFirstWindow, {{"a", 5}}}});
  EXPECT_EQ(SumOf(ledger, kFirstWindow).at("a"), 7U);
}

TEST_F(UsageTest, WindowsCloseInOrderAfterTheDelay) {
  closing_terms terms{kWindow, kDelay, 0, kFirstWindow};
  const unix_time end = kStart + kWindow + kDelay;
  EXPECT_FALSE(NextToClose(terms, end - milliseconds(1)).has_value());
  EXPECT_EQ(NextToClose(terms, end), kFirstWindow);
  terms.latest_closed = kFirstWindow;
  EXPECT_FALSE(NextToClose(terms, end).has_value());
  EXPECT_EQ(NextToClose(terms, end + 3 * kWindow), kFirstWindow + 1);
}

// Guards against windows that are never reported because the first leader ended
// before it closed one.
TEST_F(UsageTest, FirstWindowIsThatOfTheFirstCounts) {
  usage_ledger ledger;
  EXPECT_EQ(FirstWindow(ledger, kFirstWindow), kFirstWindow);
  RecordUsage(ledger, "e", {{kFirstWindow - 2, {{"a", 1}}}});
  EXPECT_EQ(FirstWindow(ledger, kFirstWindow), kFirstWindow - 2);
}

// Guards against a backlog of windows that nobody can count any more.
TEST_F(UsageTest, WindowsOfALongOutageAreSkipped) {
  const closing_terms terms{kWindow, kDelay, kFirstWindow, 0};
  const auto next = NextToClose(terms, kStart + 1000 * kWindow);
  ASSERT_TRUE(next.has_value());
  EXPECT_GT(*next, kFirstWindow + 900);
}

// Guards against any order of lost responses and leader changes that loses a
// request or counts it twice.
RC_GTEST_PROP(UsagePropertyTest, EachRequestIsCountedOnce, ()) {
  core::runtime_clock clock;
  clock.Pause();
  usage_counter counter;
  counter.window = kWindow;
  RecordLeaderTime(counter, kStart, clock.BootNow());
  uint64_t term = 1;
  usage_ledger ledger;
  uint64_t requests = 0;
  const auto happenings =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  const auto send = [&](bool is_answered) {
    const uint64_t sent = counter.changes;
    RecordUsage(ledger, "e", UnacknowledgedWindows(counter));
    if (is_answered) Acknowledge(counter, term, sent);
  };
  for (const int what : happenings) {
    if (what <= 2) {
      CountRequest(counter, "a", clock.BootNow());
      ++requests;
    } else if (what <= 4) {
      send(what == 3);
    } else {
      ++term;
      ledger = {};
    }
  }
  // A leader in contact: one request finds it, the next one brings the counts.
  send(true);
  send(true);
  uint64_t counted = 0;
  for (const auto& [window, sources] : ledger.windows) {
    const fleet::customer_counts sum = SumOf(ledger, window);
    const auto found = sum.find("a");
    if (found != sum.end()) counted += found->second;
  }
  RC_ASSERT(counted == requests);
}

}  // namespace
}  // namespace hickorywood::duties
