#include "store/runner_registry.h"

#include <gtest/gtest.h>

#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

const core::time_point kStart = core::time_point(std::chrono::hours(1));

using runs = std::vector<uint64_t>;

orders_request MakePoll(const std::string& runner, uint64_t received,
                        const std::string& session = "one") {
  orders_request input;
  input.runner = runner;
  input.zone = "z-" + runner;
  input.session = session;
  input.received = received;
  return input;
}

run_order MakeOrder(uint64_t run) {
  run_order order;
  order.run = run;
  return order;
}

// Returns a registry in which runner "a" has polled once and got runs 1 and 2.
runner_registry MakeRegistry() {
  runner_registry registry;
  ApplyPoll(registry, MakePoll("a", 0), kStart);
  AddOrder(registry, "a", MakeOrder(1));
  AddOrder(registry, "a", MakeOrder(2));
  MakeAnswer(registry, "a", 7, kStart);
  return registry;
}

TEST(RunnerRegistryTest, OrdersAreSentOnce) {
  runner_registry registry;
  EXPECT_TRUE(ApplyPoll(registry, MakePoll("a", 0), kStart).empty());
  EXPECT_FALSE(HasOrders(registry, "a"));
  AddOrder(registry, "a", MakeOrder(1));
  ASSERT_TRUE(HasOrders(registry, "a"));
  const orders_answer answer = MakeAnswer(registry, "a", 7, kStart);
  EXPECT_EQ(answer.term, 7U);
  ASSERT_EQ(answer.orders.size(), 1U);
  EXPECT_TRUE(
      ApplyPoll(registry, MakePoll("a", answer.number), kStart).empty());
  EXPECT_FALSE(HasOrders(registry, "a"));
  EXPECT_TRUE(MakeAnswer(registry, "a", 7, kStart).orders.empty());
}

// An answer with two orders is lost. The next poll of the runner shows that it
// did not receive the answer, so the tasks are given to other runners at once.
TEST(RunnerRegistryTest, OrdersOfALostAnswerAreLost) {
  runner_registry registry = MakeRegistry();
  EXPECT_EQ(ApplyPoll(registry, MakePoll("a", 0), kStart), (runs{1, 2}));
}

// A store restarts before the leader has detected that it was unreachable. Its
// new session shows that it has lost its runs.
TEST(RunnerRegistryTest, NewSessionRemovesTheRunsOfTheOld) {
  runner_registry registry = MakeRegistry();
  EXPECT_EQ(ApplyPoll(registry, MakePoll("a", 0, "two"), kStart), (runs{1, 2}));
  EXPECT_TRUE(registry.runners.at("a").runs.empty());
}

// A store is suspended, or is disconnected from the leader but not from the
// engines.
TEST(RunnerRegistryTest, RunsOfUnreachableRunnerAreRemoved) {
  runner_registry registry = MakeRegistry();
  EXPECT_TRUE(
      RemoveUnreachable(registry, kStart + kRunnerContactTimeout).empty());
  const auto lost_runs = RemoveUnreachable(
      registry, kStart + kRunnerContactTimeout + milliseconds(1));
  ASSERT_EQ(lost_runs.count("a"), 1U);
  EXPECT_EQ(lost_runs.at("a"), (runs{1, 2}));
  EXPECT_TRUE(registry.runners.empty());
}

// A runner that can't reach the leader cancels its runs before the leader gives
// them to others. A task that runs twice occupies a slot that another task
// could use.
TEST(RunnerRegistryTest, RunnerTimesOutBeforeItsLeader) {
  EXPECT_LT(kLeaderContactTimeout, kRunnerContactTimeout);
  EXPECT_LT(kBusyPollWait + kReplyTimeout, kLeaderContactTimeout);
}

// The process of a runner is killed and its connection closes. The leader
// detects this without waiting for the contact timeout.
TEST(RunnerRegistryTest, ClosedPollIsDetectedSoon) {
  runner_registry registry = MakeRegistry();
  ApplyPoll(registry, MakePoll("a", 1), kStart);
  EXPECT_TRUE(RemoveUnreachable(registry, kStart + kIdlePollWait).empty());
  OnPollClose(registry, "a", "one", kStart);
  EXPECT_TRUE(RemoveUnreachable(registry, kStart).empty());
  EXPECT_EQ(RemoveUnreachable(registry, kStart + kMaxPollGap + milliseconds(1))
                .size(),
            1U);
}

// The reply to a set of reports is lost, and the reports arrive again. They are
// accepted once. Reports of an ended session are not accepted.
TEST(RunnerRegistryTest, ReportsCountOnce) {
  runner_registry registry = MakeRegistry();
  reports_request input;
  input.runner = "a";
  input.session = "one";
  input.number = 1;
  input.term = 7;
  EXPECT_TRUE(AcceptReports(registry, input, 7, kStart));
  EXPECT_FALSE(AcceptReports(registry, input, 7, kStart));
  input.number = 2;
  EXPECT_TRUE(AcceptReports(registry, input, 7, kStart));
  input.number = 3;
  input.session = "two";
  EXPECT_FALSE(AcceptReports(registry, input, 7, kStart));
}

// The leader fails while the first reports are being sent to it, and they reach
// its successor, which has answered a poll of the same session. If it accepted
// them, they would change the texts of other tasks, and the first reports that
// are meant for the successor would be ignored because their number is used.
TEST(RunnerRegistryTest, ReportsToAFailedLeaderAreIgnoredByItsSuccessor) {
  runner_registry registry = MakeRegistry();
  reports_request input;
  input.runner = "a";
  input.session = "one";
  input.number = 1;
  input.term = 6;
  EXPECT_FALSE(AcceptReports(registry, input, 7, kStart));
  input.term = 7;
  EXPECT_TRUE(AcceptReports(registry, input, 7, kStart));
}

TEST(RunnerRegistryTest, RunnerWithMostRunsInTheEnginesZoneIsChosen) {
  runner_registry registry;
  for (const std::string runner : {"a", "b", "c"}) {
    ApplyPoll(registry, MakePoll(runner, 0), kStart);
  }
  AddOrder(registry, "b", MakeOrder(1));
  EXPECT_EQ(ChooseRunner(registry, "z-c", kStart), "c");
  EXPECT_EQ(ChooseRunner(registry, "elsewhere", kStart), "b");
}

TEST(RunnerRegistryTest, FullRunnerIsNotChosen) {
  runner_registry registry;
  ApplyPoll(registry, MakePoll("a", 0), kStart);
  for (size_t i = 0; i < kMaxRunsPerRunner; ++i) {
    ASSERT_TRUE(ChooseRunner(registry, "", kStart));
    AddOrder(registry, "a", MakeOrder(i));
  }
  EXPECT_FALSE(ChooseRunner(registry, "", kStart));
  RemoveEndedRun(registry, "a", 0);
  EXPECT_TRUE(ChooseRunner(registry, "", kStart));
}

// An instance loses leadership and wins it again while a poll of a runner
// waits. The registry does not contain the runner then, and the leader gives it
// no task until the next poll. So the waiting poll must be answered at once.
TEST(RunnerRegistryTest, RemovedRunnerHasNoSession) {
  runner_registry registry = MakeRegistry();
  EXPECT_TRUE(HasSession(registry, "a", "one"));
  EXPECT_FALSE(HasSession(registry, "a", "two"));
  RemoveRunner(registry, "a");
  EXPECT_FALSE(HasSession(registry, "a", "one"));
  EXPECT_FALSE(ChooseRunner(registry, "", kStart));
}

// Guards against a store that was suspended and whose reports are ignored from
// then on: the leader had removed its session, and a poll added it again with
// other numbers of reports.
TEST(RunnerRegistryTest, RunnerOfARemovedSessionMustBeginANewOne) {
  runner_registry registry = MakeRegistry();
  EXPECT_FALSE(HasLostSession(registry, MakePoll("a", 1)));
  RemoveRunner(registry, "a");
  EXPECT_TRUE(HasLostSession(registry, MakePoll("a", 1)));
  EXPECT_FALSE(HasLostSession(registry, MakePoll("a", 0, "two")));
}

// A runner that has got its answer and does not poll again gets no orders,
// because they would wait for its next poll.
TEST(RunnerRegistryTest, RunnerThatDoesNotPollIsNotChosen) {
  runner_registry registry = MakeRegistry();
  EXPECT_TRUE(ChooseRunner(registry, "", kStart));
  EXPECT_FALSE(ChooseRunner(registry, "", kStart + kMaxPollGap));
}

// A step ends while an order for one of its tasks waits to be sent and another
// task runs.
TEST(RunnerRegistryTest, CancelledOrdersAreNotSent) {
  runner_registry registry = MakeRegistry();
  ApplyPoll(registry, MakePoll("a", 1), kStart);
  AddOrder(registry, "a", MakeOrder(3));
  CancelRun(registry, "a", 3);
  CancelRun(registry, "a", 1);
  const orders_answer answer = MakeAnswer(registry, "a", 7, kStart);
  EXPECT_TRUE(answer.orders.empty());
  EXPECT_EQ(answer.cancelled, (runs{1}));
}

TEST(TaskRunTest, MergedReportContainsBothReports) {
  run_report earlier;
  earlier.run = 4;
  earlier.has_head = true;
  earlier.data = {"a", "b"};
  earlier.versions = {1};
  run_report later;
  later.run = 4;
  later.data = {"c"};
  later.versions = {1, 2};
  later.is_over = true;
  later.how = run_outcome::kComplete;
  Merge(earlier, later);
  EXPECT_TRUE(earlier.has_head);
  EXPECT_TRUE(earlier.is_over);
  EXPECT_EQ(earlier.how, run_outcome::kComplete);
  EXPECT_EQ(earlier.data, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(earlier.versions, (runs{1, 2}));
}

}  // namespace
}  // namespace hickorywood::store
