// A complete deployment of real processes that discover each other through
// seeds, under the failures that it must tolerate.

#include "support/deployment.h"

#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <set>
#include <string>

namespace hickorywood::testing {
namespace {

using nlohmann::json;

// Expects each task exactly once, completed, with its complete output and the
// weights version that produced it.
void ExpectCompleteResults(const json& results, const std::string& step,
                           int tasks) {
  ASSERT_EQ(results.size(), static_cast<size_t>(tasks));
  std::set<std::string> seen;
  for (const json& result : results) {
    const std::string id = result["id"];
    EXPECT_TRUE(seen.insert(id).second) << id << " is listed twice";
    EXPECT_EQ(result["state"], "completed") << id;
    EXPECT_EQ(result["output"], simulated_endpoints::OutputOf(id));
    EXPECT_EQ(result["versions"], json({1})) << id;
  }
  for (int i = 0; i < tasks; ++i) {
    EXPECT_EQ(seen.count(deployment::TaskId(step, i)), 1U);
  }
}

// Guards against a data group that never exists: the only store there was lost
// its disk, and no step was ever accepted.
TEST(DeploymentTest, FirstStoreLosesItsDiskWhileItIsAlone) {
  deployment fleet;
  for (const std::string& control : fleet.Controls()) fleet.StartNode(control);
  fleet.StartNode("e1");
  const std::string first = fleet.Stores().front();
  fleet.StartNode(first);
  // The second version is acknowledged when the store has a view of a leader
  // that knows the store.
  ASSERT_TRUE(fleet.PutConfiguration(1, true));
  ASSERT_TRUE(fleet.PutConfiguration(2, true));
  fleet.KillNode(first);
  fleet.LoseDisk(first);
  for (const std::string& store : fleet.Stores()) fleet.StartNode(store);
  EXPECT_TRUE(fleet.Submit("e1", "step-a", 1));
}

// A trainer submits a step at one entry and reads it at another one. Meanwhile
// each store is killed and restarted, including the data leader. No result is
// missing, duplicated or changed, and both entries list the same positions.
TEST(DeploymentTest, StepsOutliveEveryStore) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(std::chrono::milliseconds(30));
  constexpr int kTasks = 24;
  ASSERT_TRUE(fleet.Submit("e1", "step-a", kTasks));
  for (const std::string& store : fleet.Stores()) {
    fleet.KillNode(store);
    fleet.StartNode(store);
    // The next store is killed only when this one is not needed for a majority
    // any more.
    ASSERT_TRUE(fleet.Submit("e2", "after-" + store, 1));
    ExpectCompleteResults(fleet.WaitForResults("e1", "after-" + store, 1),
                          "after-" + store, 1);
  }
  const json first = fleet.WaitForResults("e1", "step-a", kTasks);
  ExpectCompleteResults(first, "step-a", kTasks);
  EXPECT_EQ(fleet.WaitForResults("e2", "step-a", kTasks), first);
}

// Returns whether the log of a store shows that it assigned a task to another
// store.
bool HasAssignedTasks(const deployment& fleet) {
  for (const std::string& store : fleet.Stores()) {
    std::ifstream log(fleet.LogOf(store));
    for (std::string line; std::getline(log, line);) {
      if (line.find("\"runner\":\"127.") != std::string::npos) return true;
    }
  }
  return false;
}

// More tasks run at once than the leader runs itself, so the other stores run
// them too. Each store, including the leader, is frozen, then killed and
// restarted. Other stores run its unfinished tasks: each task is listed once
// and complete, and both entries agree.
TEST(DeploymentTest, TasksOutliveTheStoresThatRunThem) {
  constexpr int kEngines = 24;
  constexpr int kTasks = 180;
  deployment fleet;
  for (int i = 0; i < kEngines; ++i) fleet.Endpoints().Start("engines");
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(std::chrono::milliseconds(100));
  // When a step has finished, each store has polled the leader for tasks.
  ASSERT_TRUE(fleet.Submit("e1", "first", 1));
  ExpectCompleteResults(fleet.WaitForResults("e2", "first", 1), "first", 1);
  ASSERT_TRUE(fleet.Submit("e1", "wide", kTasks));
  ASSERT_TRUE(WaitUntil([&] { return HasAssignedTasks(fleet); }));
  for (const std::string& store : fleet.Stores()) {
    fleet.Node(store).Signal(SIGSTOP);
    ASSERT_TRUE(fleet.Submit("e2", "frozen-" + store, 1));
    fleet.Node(store).Signal(SIGCONT);
    fleet.KillNode(store);
    fleet.StartNode(store);
    ASSERT_TRUE(fleet.Submit("e2", "after-" + store, 1));
    ExpectCompleteResults(fleet.WaitForResults("e1", "after-" + store, 1),
                          "after-" + store, 1);
  }
  const json first = fleet.WaitForResults("e1", "wide", kTasks);
  ExpectCompleteResults(first, "wide", kTasks);
  EXPECT_EQ(fleet.WaitForResults("e2", "wide", kTasks), first);
}

// A store loses its disk right after a step was accepted and restarts empty.
// The step and its results are available. The next store loses its disk only
// after the first one is a voter again, because the system tolerates one loss
// at a time.
TEST(DeploymentTest, AcceptedStepOutlivesALostDisk) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  int round = 0;
  for (const std::string& store : fleet.Stores()) {
    const std::string step = "step-" + std::to_string(round++);
    ASSERT_TRUE(fleet.Submit("e1", step, 4));
    fleet.KillNode(store);
    fleet.LoseDisk(store);
    fleet.StartNode(store);
    ExpectCompleteResults(fleet.WaitForResults("e2", step, 4), step, 4);
    ASSERT_TRUE(WaitUntil([&] {
      return fleet.CountVoterIdentities(store) == 2;
    })) << store;
  }
  for (int i = 0; i < round; ++i) {
    const std::string step = "step-" + std::to_string(i);
    ExpectCompleteResults(fleet.WaitForResults("e1", step, 4), step, 4);
  }
}

// All instances lose power at the same moment and one of them, a store or a
// control instance, loses its disk, while one step is running and another one
// has ended. Both steps can be read, the running one continues, and the
// accepted configuration is in force. Once the wiped instance votes again, the
// next one loses its disk in the same way.
TEST(DeploymentTest, PowerCutWithALostDiskLosesNothing) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  int version = 1;
  for (const std::string wiped : {"s1", "c1", "s2", "c2"}) {
    const std::string ended = "ended-" + wiped;
    const std::string running = "running-" + wiped;
    ASSERT_TRUE(fleet.Submit("e1", ended, 4));
    ExpectCompleteResults(fleet.WaitForResults("e2", ended, 4), ended, 4);
    ASSERT_TRUE(fleet.End("e1", ended));
    ASSERT_TRUE(fleet.PutConfiguration(++version, true));
    ASSERT_TRUE(fleet.Submit("e1", running, 4));
    fleet.CutPower(wiped);
    ExpectCompleteResults(fleet.WaitForResults("e2", ended, 4), ended, 4);
    ExpectCompleteResults(fleet.WaitForResults("e1", running, 4), running, 4);
    EXPECT_TRUE(WaitUntil([&] { return fleet.VersionAt("c3") == version; }));
    ASSERT_TRUE(WaitUntil([&] {
      return fleet.CountVoterIdentities(wiped) == 2;
    })) << wiped;
  }
}

// Guards against accepted and ended steps that can't be read after a power cut,
// although a majority of the stores has them. One control instance is removed
// permanently and replaced by another one at a new address; later a third one
// loses its disk. When the removed instance was still counted as a voter, the
// control group lost its quorum, and an entry that restarts needs the control
// group to find the stores.
TEST(DeploymentTest, StepsAreFoundAfterAControlInstanceWasExchanged) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(fleet.Submit("e1", "ended", 4));
  ExpectCompleteResults(fleet.WaitForResults("e2", "ended", 4), "ended", 4);
  ASSERT_TRUE(fleet.End("e1", "ended"));
  fleet.KillNode("c2");
  fleet.StartSpareControl();
  const std::string spare = deployment::kSpareControl;
  ASSERT_TRUE(WaitUntil([&] { return fleet.IsVoter("c3", spare); }));
  EXPECT_TRUE(WaitUntil([&] { return !fleet.IsVoter("c3", "c2"); }));
  fleet.KillNode("c1");
  fleet.LoseDisk("c1");
  fleet.StartNode("c1");
  EXPECT_TRUE(WaitUntil([&] { return fleet.CountVoterIdentities("c1") == 2; }));
  EXPECT_TRUE(fleet.PutConfiguration(2, true));
  fleet.CutPower("s1");
  ExpectCompleteResults(fleet.WaitForResults("e2", "ended", 4), "ended", 4);
}

// Each stream is interrupted once in the middle. Another engine continues the
// text after the last complete event; no event is missing or duplicated.
TEST(DeploymentTest, BrokenStreamsAreResumed) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().BreakStreamsAfter(simulated_endpoints::kEvents / 2);
  ASSERT_TRUE(fleet.Submit("e1", "broken", 6));
  ExpectCompleteResults(fleet.WaitForResults("e2", "broken", 6), "broken", 6);
  EXPECT_EQ(fleet.Endpoints().RunsOf(deployment::TaskId("broken", 0)), 2);
}

// All texts are complete and their reward requests take long. Meanwhile each
// store is killed and restarted, including the data leader. Every result has
// the score of a reward request that was sent after the last event of its text.
// A task whose reward requests fail as often as allowed is terminated.
TEST(DeploymentTest, ScoresOutliveEveryStore) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  constexpr int kTasks = 12;
  fleet.Endpoints().SetWorkTime(std::chrono::milliseconds(400));
  const std::string failing = deployment::RewardId("scored", 3);
  fleet.Endpoints().Fail(failing, 1000);
  ASSERT_TRUE(fleet.Submit("e1", "scored", kTasks, true));
  for (const std::string& store : fleet.Stores()) {
    fleet.KillNode(store);
    fleet.StartNode(store);
    ASSERT_TRUE(fleet.Submit("e2", "after-" + store, 1));
    ExpectCompleteResults(fleet.WaitForResults("e1", "after-" + store, 1),
                          "after-" + store, 1);
  }
  const json results = fleet.WaitForResults("e2", "scored", kTasks);
  ASSERT_EQ(results.size(), static_cast<size_t>(kTasks));
  for (const json& result : results) {
    const std::string id = result["id"];
    const bool is_terminated = id == deployment::TaskId("scored", 3);
    EXPECT_EQ(result["state"], is_terminated ? "terminated" : "completed")
        << id;
    EXPECT_EQ(result.value("score", ""), is_terminated ? "" : "signed") << id;
  }
  EXPECT_EQ(fleet.Endpoints().EarlyRewards(), 0);
  EXPECT_GE(fleet.Endpoints().RunsOf(failing), 2);
}

// Guards against a task that fails at each run and gets all of its attempts
// again from each new leader of the data group.
TEST(DeploymentTest, FailedAttemptsSurviveChangesOfLeader) {
  constexpr int kMaxAttempts = 3;
  constexpr int kRestarts = 2;
  constexpr std::chrono::milliseconds kFailureTime{1000};
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(kFailureTime);
  const std::string failing = deployment::TaskId("step", 0);
  fleet.Endpoints().Fail(failing, 1000);
  ASSERT_TRUE(fleet.Submit("e1", "step", 1));
  for (int restart = 1; restart <= kRestarts; ++restart) {
    // In the middle of the run after a failed one, so that the failure was
    // committed. Each round has one of each.
    ASSERT_TRUE(WaitUntil(
        [&] { return fleet.Endpoints().RunsOf(failing) == 2 * restart; }));
    std::this_thread::sleep_for(kFailureTime / 4);
    for (const std::string& store : fleet.Stores()) fleet.KillNode(store);
    for (const std::string& store : fleet.Stores()) fleet.StartNode(store);
  }
  const json results = fleet.WaitForResults("e2", "step", 1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0]["state"], "terminated");
  // Each restart cuts one run off, which is no failed attempt.
  EXPECT_LE(fleet.Endpoints().RunsOf(failing), kMaxAttempts + kRestarts);
}

// The control instances are killed one after the other and all at once. An
// acknowledged configuration stays in force: it is read back, and a removed
// route is rejected at every entry.
TEST(DeploymentTest, ConfigurationOutlivesTheControlGroup) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  int version = 1;
  for (const std::string& control : fleet.Controls()) {
    fleet.KillNode(control);
    ASSERT_TRUE(fleet.PutConfiguration(++version, true));
    fleet.StartNode(control);
    ASSERT_TRUE(WaitUntil([&] { return fleet.VersionAt(control) == version; }))
        << control;
  }
  ASSERT_TRUE(fleet.PutConfiguration(++version, false));
  for (const std::string& control : fleet.Controls()) fleet.KillNode(control);
  for (const std::string& control : fleet.Controls()) fleet.StartNode(control);
  for (const std::string& control : fleet.Controls()) {
    EXPECT_TRUE(WaitUntil([&] { return fleet.VersionAt(control) == version; }))
        << control;
  }
  for (const char* entry : {"e1", "e2"}) {
    EXPECT_TRUE(WaitUntil([&] {
      return fleet.Plain(entry, "gone").status == 404;
    })) << entry;
  }
}

// An entry is stopped while a request is running at its endpoint. The caller
// gets its response, the entry reports that it is not ready, and it exits with
// 0.
TEST(DeploymentTest, PlannedStopInterruptsNothing) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetWorkTime(std::chrono::milliseconds(1500));
  auto answer = fleet.PlainLater("e1", "in-flight");
  ASSERT_TRUE(
      WaitUntil([&] { return fleet.Endpoints().RunsOf("in-flight") > 0; }));
  fleet.Node("e1").Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil([&] { return !fleet.IsReady("e1"); }));
  const auto response = answer.get();
  EXPECT_EQ(response.status, 200) << response.error;
  EXPECT_EQ(response.body, "echo in-flight");
  EXPECT_EQ(fleet.Node("e1").WaitForExit(std::chrono::milliseconds(30000)), 0);
}

}  // namespace
}  // namespace hickorywood::testing
