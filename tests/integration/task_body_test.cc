// Responses to reads of a task's body: the complete body, or an error.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

constexpr int kTasks = 4;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// At this event interval, a stream takes longer than a test that does not wait
// for its end.
constexpr std::chrono::milliseconds kSlowEvents{2000};

void ExpectBodies(deployment& fleet, const std::string& step, int status) {
  for (const std::string entry : {"e1", "e2"}) {
    for (int task = 0; task < kTasks; ++task) {
      const auto answer = fleet.ReadBody(entry, step, task);
      EXPECT_EQ(answer.status, status) << step << " at " << entry;
      if (status != kOk) continue;
      EXPECT_EQ(answer.body, deployment::BodyOf(step, task));
    }
  }
}

// Guards against an empty 200 response for a body that was removed with the
// result.
TEST(TaskBodyTest, BodyOfATaskWithAResultIsNotFound) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(fleet.Submit("e1", "listed", kTasks));
  ASSERT_EQ(fleet.WaitForResults("e2", "listed", kTasks).size(),
            static_cast<size_t>(kTasks));
  ExpectBodies(fleet, "listed", kNotFound);
}

// Guards against an empty 200 response for a body that was removed with its
// step.
TEST(TaskBodyTest, BodyOfATaskOfAnEndedStepIsNotFound) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(kSlowEvents);
  ASSERT_TRUE(fleet.Submit("e1", "ended", kTasks));
  ExpectBodies(fleet, "ended", kOk);
  ASSERT_TRUE(fleet.End("e2", "ended"));
  ExpectBodies(fleet, "ended", kNotFound);
}

// Guards against bodies that are changed by the log and its replay.
TEST(TaskBodyTest, BodiesOfOpenTasksOutliveAPowerCut) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(kSlowEvents);
  ASSERT_TRUE(fleet.Submit("e1", "open", kTasks));
  ASSERT_TRUE(fleet.Submit("e1", "ended", kTasks));
  ASSERT_TRUE(fleet.End("e2", "ended"));
  fleet.CutPower("s2");
  for (const std::string entry : {"e1", "e2"}) {
    ASSERT_TRUE(WaitUntil(
        [&] { return fleet.ReadBody(entry, "open", 0).status == kOk; }));
  }
  ExpectBodies(fleet, "open", kOk);
  ExpectBodies(fleet, "ended", kNotFound);
}

// Reads the bodies of a step repeatedly until `is_stopping` is set. Counts the
// responses that are neither the complete body nor a rejection.
class body_reader {
 public:
  body_reader(deployment& fleet, std::string entry)
      : fleet_(fleet), entry_(std::move(entry)), thread_([this] { Run(); }) {}
  ~body_reader() { thread_.join(); }

  std::atomic<bool> is_stopping{false};
  std::atomic<int> step{0};
  std::atomic<int> complete_reads{0};
  std::atomic<int> wrong_reads{0};

  static std::string StepId(int number) {
    return "step-" + std::to_string(number);
  }

 private:
  void Run() {
    for (int turn = 0; !is_stopping; ++turn) {
      const std::string id = StepId(step);
      const int task = turn % kTasks;
      const auto answer = fleet_.ReadBody(entry_, id, task);
      const bool is_complete =
          answer.status == kOk && answer.body == deployment::BodyOf(id, task);
      const bool is_rejected =
          answer.status == kNotFound || answer.status == kUnavailable;
      if (is_complete) ++complete_reads;
      if (!is_complete && !is_rejected) ++wrong_reads;
    }
  }

  deployment& fleet_;
  const std::string entry_;
  std::thread thread_;
};

// Guards against incomplete or wrong bodies while results are listed, steps end
// and stores are killed.
TEST(TaskBodyTest, BodiesAreCompleteOrRefusedWhileStepsEndAndStoresAreLost) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(std::chrono::milliseconds(20));
  body_reader first(fleet, "e1");
  body_reader second(fleet, "e2");
  int number = 0;
  for (const std::string& store : fleet.Stores()) {
    for (const bool is_ended_early : {false, true}) {
      const std::string id = body_reader::StepId(++number);
      first.step = number;
      second.step = number;
      EXPECT_TRUE(fleet.Submit("e1", id, kTasks));
      if (!is_ended_early) fleet.WaitForResults("e2", id, kTasks);
      EXPECT_TRUE(fleet.End("e2", id));
    }
    fleet.KillNode(store);
    fleet.StartNode(store);
  }
  first.is_stopping = true;
  second.is_stopping = true;
  EXPECT_EQ(first.wrong_reads, 0);
  EXPECT_EQ(second.wrong_reads, 0);
  EXPECT_GT(first.complete_reads + second.complete_reads, 0);
}

}  // namespace
}  // namespace hickorywood::testing
