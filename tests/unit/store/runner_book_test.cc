#include "store/runner_book.h"

#include <gtest/gtest.h>

#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

const core::time_point kStart = core::time_point(std::chrono::hours(1));

using runs = std::vector<uint64_t>;

orders_request Question(const std::string& runner, uint64_t received,
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

// A book in which "a" has asked once and got runs 1 and 2.
runner_book MakeBook() {
  runner_book registry;
  ApplyPoll(registry, Question("a", 0), kStart);
  AddOrder(registry, "a", MakeOrder(1));
  AddOrder(registry, "a", MakeOrder(2));
  MakeAnswer(registry, "a", 7, kStart);
  return registry;
}

TEST(RunnerBookTest, OrdersAreHandedOverOnce) {
  runner_book registry;
  EXPECT_TRUE(ApplyPoll(registry, Question("a", 0), kStart).empty());
  EXPECT_FALSE(HasOrders(registry, "a"));
  AddOrder(registry, "a", MakeOrder(1));
  ASSERT_TRUE(HasOrders(registry, "a"));
  const orders_answer answer = MakeAnswer(registry, "a", 7, kStart);
  EXPECT_EQ(answer.term, 7U);
  ASSERT_EQ(answer.orders.size(), 1U);
  EXPECT_TRUE(
      ApplyPoll(registry, Question("a", answer.number), kStart).empty());
  EXPECT_FALSE(HasOrders(registry, "a"));
  EXPECT_TRUE(MakeAnswer(registry, "a", 7, kStart).orders.empty());
}

// An answer gets lost on its way, and with it two orders. The runner asks again
// and says that it did not take the answer: its tasks go elsewhere at once.
TEST(RunnerBookTest, OrdersOfALostAnswerAreLost) {
  runner_book registry = MakeBook();
  EXPECT_EQ(ApplyPoll(registry, Question("a", 0), kStart), (runs{1, 2}));
}

// A store dies and is there again before its silence was noticed. It knows
// nothing of its runs, which its new session tells.
TEST(RunnerBookTest, ANewSessionLosesTheRunsOfTheOld) {
  runner_book registry = MakeBook();
  EXPECT_EQ(ApplyPoll(registry, Question("a", 0, "two"), kStart), (runs{1, 2}));
  EXPECT_TRUE(registry.runners.at("a").runs.empty());
}

// A store is frozen, or cut from the leader but not from the engines.
TEST(RunnerBookTest, ASilentRunnerLosesItsRuns) {
  runner_book registry = MakeBook();
  EXPECT_TRUE(
      RemoveUnreachable(registry, kStart + kRunnerContactTimeout).empty());
  const auto lost_runs = RemoveUnreachable(
      registry, kStart + kRunnerContactTimeout + milliseconds(1));
  ASSERT_EQ(lost_runs.count("a"), 1U);
  EXPECT_EQ(lost_runs.at("a"), (runs{1, 2}));
  EXPECT_TRUE(registry.runners.empty());
}

// It ends its runs before the leader gives them to others: a task that runs
// twice costs a place that another one could have.
TEST(RunnerBookTest, ARunnerGivesUpBeforeItsLeaderDoes) {
  EXPECT_LT(kLeaderContactTimeout, kRunnerContactTimeout);
  EXPECT_LT(kBusyPollWait + kReplyTimeout, kLeaderContactTimeout);
}

// The process is killed: its connection closes, and nobody waits for silence.
TEST(RunnerBookTest, AnAbandonedQuestionIsNoticedSoon) {
  runner_book registry = MakeBook();
  ApplyPoll(registry, Question("a", 1), kStart);
  EXPECT_TRUE(RemoveUnreachable(registry, kStart + kIdlePollWait).empty());
  OnPollClose(registry, "a", "one", kStart);
  EXPECT_TRUE(RemoveUnreachable(registry, kStart).empty());
  EXPECT_EQ(RemoveUnreachable(registry, kStart + kMaxPollGap + milliseconds(1))
                .size(),
            1U);
}

// The answer to a set of reports is lost and it comes again: its texts count
// once. Reports of a session that is over don't count.
TEST(RunnerBookTest, ReportsCountOnce) {
  runner_book registry = MakeBook();
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

// The leader dies while the first reports to it are under way, and they reach
// its successor, which has answered a question of the same session. Taken, they
// would add to the texts of other tasks and use up the number of the first
// reports that are meant for it.
TEST(RunnerBookTest, ReportsToALostLeaderAreNotTakenByTheNext) {
  runner_book registry = MakeBook();
  reports_request input;
  input.runner = "a";
  input.session = "one";
  input.number = 1;
  input.term = 6;
  EXPECT_FALSE(AcceptReports(registry, input, 7, kStart));
  input.term = 7;
  EXPECT_TRUE(AcceptReports(registry, input, 7, kStart));
}

TEST(RunnerBookTest, TheFullestOfTheEnginesZoneIsChosen) {
  runner_book registry;
  for (const std::string runner : {"a", "b", "c"}) {
    ApplyPoll(registry, Question(runner, 0), kStart);
  }
  AddOrder(registry, "b", MakeOrder(1));
  EXPECT_EQ(ChooseRunner(registry, "z-c", kStart), "c");
  EXPECT_EQ(ChooseRunner(registry, "elsewhere", kStart), "b");
}

TEST(RunnerBookTest, AFullRunnerGetsNoMore) {
  runner_book registry;
  ApplyPoll(registry, Question("a", 0), kStart);
  for (size_t i = 0; i < kMaxRunsPerRunner; ++i) {
    ASSERT_TRUE(ChooseRunner(registry, "", kStart));
    AddOrder(registry, "a", MakeOrder(i));
  }
  EXPECT_FALSE(ChooseRunner(registry, "", kStart));
  RemoveEndedRun(registry, "a", 0);
  EXPECT_TRUE(ChooseRunner(registry, "", kStart));
}

// Leadership is lost and won again while a runner's question waits. The leader
// has forgotten it by then, and gives it no task until it asks anew: so it must
// be told, and not be kept waiting.
TEST(RunnerBookTest, AForgottenRunnerIsNotKnown) {
  runner_book registry = MakeBook();
  EXPECT_TRUE(HasSession(registry, "a", "one"));
  EXPECT_FALSE(HasSession(registry, "a", "two"));
  RemoveRunner(registry, "a");
  EXPECT_FALSE(HasSession(registry, "a", "one"));
  EXPECT_FALSE(ChooseRunner(registry, "", kStart));
}

// A runner that has its answer and doesn't ask again gets no orders: they would
// wait for it.
TEST(RunnerBookTest, WhoDoesNotAskGetsNothing) {
  runner_book registry = MakeBook();
  EXPECT_TRUE(ChooseRunner(registry, "", kStart));
  EXPECT_FALSE(ChooseRunner(registry, "", kStart + kMaxPollGap));
}

// A step ends while an order of it waits to be handed over, and another one of
// its tasks runs already.
TEST(RunnerBookTest, CancelledOrdersAreNotHandedOver) {
  runner_book registry = MakeBook();
  ApplyPoll(registry, Question("a", 1), kStart);
  AddOrder(registry, "a", MakeOrder(3));
  CancelRun(registry, "a", 3);
  CancelRun(registry, "a", 1);
  const orders_answer answer = MakeAnswer(registry, "a", 7, kStart);
  EXPECT_TRUE(answer.orders.empty());
  EXPECT_EQ(answer.cancelled, (runs{1}));
}

TEST(TaskRunTest, MergedReportsTellAll) {
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
  later.how = run_end::kComplete;
  Merge(earlier, later);
  EXPECT_TRUE(earlier.has_head);
  EXPECT_TRUE(earlier.is_over);
  EXPECT_EQ(earlier.how, run_end::kComplete);
  EXPECT_EQ(earlier.data, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(earlier.versions, (runs{1, 2}));
}

}  // namespace
}  // namespace hickorywood::store
