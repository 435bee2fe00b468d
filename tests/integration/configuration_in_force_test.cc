// Promise 9 on a deployment: a change that was acknowledged is obeyed by every
// entry and store, and none of them falls back to an older one.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// With a limit this small, entries may obey an older configuration for no
// longer than they may be without contact before the acknowledgement.
constexpr char kShortestLimit[] = "access: {apply_limit: 1ms}\n";

// Expects that no entry routes by a configuration before `version`, which was
// acknowledged. An entry without contact may refuse.
void ExpectInForce(deployment& fleet, int version) {
  for (const std::string entry : {"e1", "e2"}) {
    const std::string suffix = entry + "-" + std::to_string(version);
    const int removed =
        fleet.UseVersion(entry, version - 1, "removed-" + suffix).status;
    EXPECT_TRUE(removed == kNotFound || removed == kUnavailable)
        << removed << " from " << entry << " by version " << version - 1;
    EXPECT_EQ(fleet.Endpoints().RunsOf("removed-" + suffix), 0);
    EXPECT_NE(fleet.UseVersion(entry, version, "added-" + suffix).status,
              kNotFound)
        << entry << " lacks version " << version;
  }
}

// Guards against an acknowledgement that does not wait for the entries: those
// that still had a request open at a frozen leader obeyed the older version.
TEST(ConfigurationInForceTest, AcknowledgedWhileLeadersFreeze) {
  deployment fleet;
  fleet.extra_settings = kShortestLimit;
  ASSERT_TRUE(fleet.Start());
  constexpr int kRounds = 3;
  int version = 1;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& control : fleet.Controls()) {
      fleet.Node(control).Signal(SIGSTOP);
      ASSERT_TRUE(fleet.PutConfiguration(++version, true));
      ExpectInForce(fleet, version);
      fleet.Node(control).Signal(SIGCONT);
      ASSERT_TRUE(
          WaitUntil([&] { return fleet.VersionAt(control) == version; }));
    }
  }
}

// Guards against entries that go on routing by a copy that nobody can replace:
// its routes may have been moved or removed since.
TEST(ConfigurationInForceTest, EntriesOutOfContactStartNothing) {
  deployment fleet;
  fleet.extra_settings = kShortestLimit;
  ASSERT_TRUE(fleet.Start());
  for (const std::string& control : fleet.Controls()) {
    fleet.Node(control).Signal(SIGSTOP);
  }
  for (const std::string entry : {"e1", "e2"}) {
    int requests = 0;
    std::string last;
    ASSERT_TRUE(WaitUntil([&] {
      last = entry + "-cut-" + std::to_string(++requests);
      return fleet.Plain(entry, last).status == kUnavailable;
    })) << entry;
    EXPECT_FALSE(fleet.IsReady(entry));
    EXPECT_EQ(fleet.Endpoints().RunsOf(last), 0);
  }
  for (const std::string& control : fleet.Controls()) {
    fleet.Node(control).Signal(SIGCONT);
  }
  for (const std::string entry : {"e1", "e2"}) {
    int requests = 0;
    EXPECT_TRUE(WaitUntil([&] {
      return fleet.Plain(entry, entry + "-back-" + std::to_string(++requests))
                 .status == kOk;
    })) << entry;
  }
}

// The same for the store that leads: tasks that have not begun wait.
TEST(ConfigurationInForceTest, StoresOutOfContactStartNothing) {
  constexpr int kTasks = 40;  // more than the engines run at once
  constexpr milliseconds kLongEvents{500};
  constexpr milliseconds kShortEvents{1};
  deployment fleet;
  fleet.extra_settings = kShortestLimit;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(kLongEvents);
  ASSERT_TRUE(fleet.Submit("e1", "step", kTasks));
  for (const std::string& control : fleet.Controls()) {
    fleet.Node(control).Signal(SIGSTOP);
  }
  ASSERT_TRUE(WaitUntil([&] {
    const std::vector<std::string>& stores = fleet.Stores();
    return std::any_of(stores.begin(), stores.end(), [&](const auto& store) {
      return fleet.HasLogged(store, "HK3005");
    });
  }));
  std::vector<std::string> waiting;
  for (int i = 0; i < kTasks; ++i) {
    const std::string task = deployment::TaskId("step", i);
    if (fleet.Endpoints().RunsOf(task) == 0) waiting.push_back(task);
  }
  ASSERT_FALSE(waiting.empty());
  fleet.Endpoints().SetEventTime(kShortEvents);
  const size_t begun = kTasks - waiting.size();
  EXPECT_EQ(fleet.WaitForResults("e1", "step", begun).size(), begun);
  for (const std::string& task : waiting) {
    EXPECT_EQ(fleet.Endpoints().RunsOf(task), 0) << task;
  }
  for (const std::string& control : fleet.Controls()) {
    fleet.Node(control).Signal(SIGCONT);
  }
  EXPECT_EQ(fleet.WaitForResults("e1", "step", kTasks).size(), kTasks);
}

// Guards against an acknowledgement while the group is still growing: with
// three voters, the loss of two disks that the deployment must tolerate can
// destroy all copies.
TEST(ConfigurationInForceTest, NothingIsAcknowledgedThatLossesCanDestroy) {
  deployment fleet;
  fleet.extra_settings = "losses: {instances: 2}\n";
  for (const std::string& control : fleet.Controls()) fleet.StartNode(control);
  transport::http_response answer;
  ASSERT_TRUE(WaitUntil([&] {
    answer = fleet.PutConfigurationAt("c1", fleet.Configuration(1, true));
    return answer.status == kOk || fleet.IsVoter("c1", "c3");
  }));
  answer = fleet.PutConfigurationAt("c1", fleet.Configuration(1, true));
  EXPECT_EQ(answer.status, kUnavailable) << answer.body;
}

}  // namespace
}  // namespace hickorywood::testing
