// Tests whose clock decides on the time of day when some clocks are wrong.

#include "duties/clock_median.h"

#include <gtest/gtest.h>

#include <string>

namespace hickorywood::duties {
namespace {

using core::milliseconds;
using core::unix_time;

constexpr milliseconds kTrueTime{1'750'000'000'000};
constexpr milliseconds kStep{30000};
constexpr size_t kMinSamples = 3;

class ClockMedianTest : public ::testing::Test {
 protected:
  ClockMedianTest() { clock_.Pause(); }

  void Record(const std::string& source, milliseconds error) {
    RecordReading(samples_, source, unix_time(kTrueTime + elapsed_ + error),
                  clock_.BootNow());
  }
  void Advance(milliseconds step) {
    clock_.Advance(step);
    elapsed_ += step;
  }
  // Difference between the median and the true time.
  milliseconds Error() const {
    const auto now = MedianTime(samples_, clock_.BootNow(), kMinSamples);
    return now ? now->time_since_epoch() - (kTrueTime + elapsed_)
               : milliseconds::max();
  }

  core::runtime_clock clock_;
  clock_samples samples_;
  milliseconds elapsed_{0};
};

TEST_F(ClockMedianTest, TooFewClocksShowNoTime) {
  Record("a", milliseconds(0));
  Record("b", milliseconds(0));
  EXPECT_EQ(Error(), milliseconds::max());
  Record("c", milliseconds(0));
  EXPECT_EQ(Error(), milliseconds(0));
}

// Guards against windows that are shifted by one wrong clock, in either
// direction.
TEST_F(ClockMedianTest, MinorityOfWrongClocksIsOutvoted) {
  for (const milliseconds step : {kStep, -kStep}) {
    samples_ = {};
    Record("a", step);
    Record("b", milliseconds(2));
    Record("c", milliseconds(-1));
    Record("d", step);
    Record("e", milliseconds(0));
    EXPECT_LE(std::chrono::abs(Error()), milliseconds(2));
  }
}

// Guards against a clock that is set after its reading was taken.
TEST_F(ClockMedianTest, TimeGoesOnByTheBootClock) {
  for (const char* source : {"a", "b", "c"}) Record(source, milliseconds(0));
  Advance(milliseconds(1500));
  EXPECT_EQ(Error(), milliseconds(0));
  clock_.Suspend(milliseconds(700));
  elapsed_ += milliseconds(700);
  EXPECT_EQ(Error(), milliseconds(0));
}

TEST_F(ClockMedianTest, OldReadingsAreRemoved) {
  for (const char* source : {"a", "b", "c"}) Record(source, kStep);
  Advance(milliseconds(1001));
  for (const char* source : {"d", "e", "f"}) Record(source, milliseconds(0));
  RemoveOldSamples(samples_, milliseconds(1000), clock_.BootNow());
  EXPECT_EQ(samples_.by_source.size(), 3U);
  EXPECT_EQ(Error(), milliseconds(0));
}

}  // namespace
}  // namespace hickorywood::duties
