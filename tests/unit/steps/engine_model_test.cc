// What is learned of the speed of engines: permanent differences, engines that
// become slow, machines with other work, and wrong reports.

#include "steps/engine_model.h"

#include <gtest/gtest.h>

#include <vector>

namespace hickorywood::steps {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr predicted_time kUsual{0.03};

class EngineModelTest : public ::testing::Test {
 protected:
  // Events of this duration for some time, in a batch of `streams`.
  void Run(engine_model& engine, milliseconds event, milliseconds duration,
           int64_t streams = 1) {
    const core::time_point until = now_ + duration;
    while (now_ < until) {
      now_ += event;
      RecordEvents(engine, effect_, event, 1, streams, now_);
    }
  }

  core::time_point now_{seconds(1000)};
  batch_effect effect_;
};

TEST_F(EngineModelTest, UnknownEngineCountsAsUsual) {
  const engine_pace pace = PaceOf(engine_model{}, kUsual, now_);
  EXPECT_EQ(pace.now, kUsual);
  EXPECT_EQ(pace.later, kUsual);
}

// Guards against a slow engine that looks as fast as the others once it is
// idle, so that each step begins with long texts on it.
TEST_F(EngineModelTest, SlowEngineIsRememberedWhileIdle) {
  engine_model engine;
  Run(engine, milliseconds(60), seconds(5));
  now_ += seconds(4);
  EXPECT_GT(PaceOf(engine, kUsual, now_).later, 1.5 * kUsual);
  now_ += seconds(60);
  EXPECT_LT(PaceOf(engine, kUsual, now_).later, 1.05 * kUsual);
}

// Guards against runs that stay for seconds on an engine that has just become
// slow.
TEST_F(EngineModelTest, SlowEngineIsDetectedWithinASecond) {
  engine_model engine;
  Run(engine, milliseconds(30), seconds(10));
  Run(engine, milliseconds(84), seconds(1));
  EXPECT_GT(PaceOf(engine, kUsual, now_).now, 2 * kUsual);
  EXPECT_GT(PaceOf(engine, kUsual, now_).later, 1.2 * kUsual);
}

// Guards against moves because of other work on a machine that lasts for half a
// second.
TEST_F(EngineModelTest, DisturbanceDoesNotExtendToALongText) {
  engine_model engine;
  Run(engine, milliseconds(30), seconds(10));
  Run(engine, milliseconds(75), milliseconds(300));
  const predicted_time time = TimeFor(PaceOf(engine, kUsual, now_), 100, 0, 0);
  EXPECT_LT(time, 100 * kUsual * 1.35);
}

TEST_F(EngineModelTest, ReportedPaceIsBelievedForAMoment) {
  engine_model engine;
  RecordPace(engine, 250, now_);
  EXPECT_NEAR(PaceOf(engine, kUsual, now_).now / kUsual, 2.5, 0.01);
  EXPECT_NEAR(PaceOf(engine, kUsual, now_ + seconds(2)).now / kUsual, 1, 0.01);
  EXPECT_EQ(PaceOf(engine, kUsual, now_).later, kUsual);
}

// Guards against a wrong report that removes an engine from use.
TEST_F(EngineModelTest, ImplausibleReportsAreBounded) {
  engine_model engine;
  RecordPace(engine, 0, now_);
  EXPECT_EQ(PaceOf(engine, kUsual, now_).now, kUsual);
  RecordPace(engine, 1'000'000, now_);
  EXPECT_LT(PaceOf(engine, kUsual, now_).now, 30 * kUsual);
}

// Guards against short batches where a full one costs nothing.
TEST_F(EngineModelTest, EffectOfTheBatchIsLearned) {
  std::vector<engine_model> engines(8);
  const auto run = [&](double slope) {
    for (int round = 0; round < 400; ++round) {
      const int64_t streams = 1 + round % 7;
      for (engine_model& engine : engines) {
        const double factor = 1 + slope * static_cast<double>(streams - 1);
        const milliseconds span(static_cast<int64_t>(500 * factor));
        now_ += milliseconds(5);
        RecordEvents(engine, effect_, span, 10, streams, now_);
      }
    }
  };
  run(0);
  EXPECT_LT(SlowdownPerStream(effect_), 0.005);
  effect_ = {};
  engines.assign(8, {});
  run(0.05);
  EXPECT_NEAR(SlowdownPerStream(effect_), 0.05, 0.02);
}

// Guards against hints that are all off by the same factor.
TEST_F(EngineModelTest, LengthsAreScaledByCompleteTexts) {
  length_scale scale;
  EXPECT_EQ(ExpectedEvents(scale, 930, 13392, 0, 93), 10);
  for (int i = 0; i < 100; ++i) RecordLength(scale, 20, 930);
  EXPECT_NEAR(ExpectedEvents(scale, 930, 13392, 0, 93), 20, 0.1);
  // A text that exceeds its expected length is predicted to become longer
  // still, but not longer than its limit.
  EXPECT_GT(ExpectedEvents(scale, 930, 13392, 60, 93), 75);
  EXPECT_EQ(ExpectedEvents(scale, 930, 13392, 143, 93), 144);
}

}  // namespace
}  // namespace hickorywood::steps
