// Requests that take down every endpoint that runs them, sent again and again
// under new ids and through other entries.

#include <gtest/gtest.h>
#include <signal.h>

#include <string>

#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

// Endpoints that a request may end before it is known for what it does, and
// times that it may be sent after that.
constexpr int kEndsAllowed = 3;
constexpr int kSendsAllowed = 3;
constexpr int kRounds = 5;

// Starts a deployment with three plain endpoints.
void StartWithThreeEndpoints(deployment& fleet) {
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().Start("echo");
  fleet.Endpoints().CrashOnBody(deployment::kCrashBody);
}

// Sends the crashing request as a client does that tries once more elsewhere,
// then waits until all endpoints are back and serve others.
void SendAndWait(deployment& fleet, const std::string& round) {
  const size_t endpoints = 6;  // three plain ones and three engines
  fleet.PlainWithBody("e1", "crash-a-" + round, deployment::kCrashBody);
  fleet.PlainWithBody("e2", "crash-b-" + round, deployment::kCrashBody);
  ASSERT_TRUE(
      WaitUntil([&] { return fleet.Endpoints().Running() == endpoints; }));
  for (const std::string entry : {"e1", "e2"}) {
    ASSERT_TRUE(WaitUntil([&] {
      return fleet.Plain(entry, "other-" + round + entry).status == 200;
    }));
  }
}

// Seen: one request ended twelve endpoints, all three of its service four times
// over; meanwhile everyone else heard that no endpoint is there. Its client
// sent it again under a new id and at another entry, and the endpoints came
// back as new ones. Cause: attempts were counted by request id at one entry, so
// nothing remembered what a request had done. Proved by HK5007, which names
// requests by content: one digest with all the ends.
TEST(CrashingRequestTest, IsNotSentOnAfterItHasEndedThreeEndpoints) {
  deployment fleet;
  StartWithThreeEndpoints(fleet);
  for (int round = 0; round < kRounds; ++round) {
    SendAndWait(fleet, std::to_string(round));
  }
  EXPECT_GE(fleet.Endpoints().Crashes(), kEndsAllowed);
  EXPECT_LE(fleet.Endpoints().Crashes(), kEndsAllowed + kSendsAllowed);
  for (const std::string entry : {"e1", "e2"}) {
    const auto refusal =
        fleet.PlainWithBody(entry, "again-" + entry, deployment::kCrashBody);
    EXPECT_EQ(refusal.status, 429);
    EXPECT_NE(refusal.body.find("held back"), std::string::npos);
    EXPECT_GT(std::stod(refusal.Header("Retry-After")), 0);
  }
}

// The control instances are killed one after the other and all at once, and an
// entry is started anew: what was learned of the request is not lost with the
// leader that gathered it.
TEST(CrashingRequestTest, StaysHeldBackWhenLeadersAndEntriesAreLost) {
  deployment fleet;
  StartWithThreeEndpoints(fleet);
  for (int round = 0; round < kRounds; ++round) {
    SendAndWait(fleet, std::to_string(round));
  }
  const int crashes = fleet.Endpoints().Crashes();
  const auto expect_held_back = [&](const std::string& when) {
    for (const std::string entry : {"e1", "e2"}) {
      EXPECT_EQ(fleet.PlainWithBody(entry, entry + when, deployment::kCrashBody)
                    .status,
                429)
          << when;
    }
  };
  int version = 1;
  for (const std::string& control : fleet.Controls()) {
    fleet.KillNode(control);
    ASSERT_TRUE(fleet.PutConfiguration(++version, true));
    expect_held_back("without-" + control);
    fleet.StartNode(control);
  }
  fleet.KillNode("e1");
  fleet.StartNode("e1");
  ASSERT_TRUE(WaitUntil([&] { return fleet.IsReady("e1"); }));
  expect_held_back("after-restart");
  for (const std::string& control : fleet.Controls()) fleet.KillNode(control);
  expect_held_back("without-control");
  for (const std::string& control : fleet.Controls()) fleet.StartNode(control);
  ASSERT_TRUE(WaitUntil([&] { return fleet.VersionAt("c1") == version; }));
  expect_held_back("after-control");
  EXPECT_EQ(fleet.Endpoints().Crashes(), crashes);
}

// The endpoints' owners have mended what the request did, and an operator lifts
// its quarantine: it is served at every entry.
TEST(CrashingRequestTest, IsServedAfterAnOperatorLiftedIt) {
  deployment fleet;
  StartWithThreeEndpoints(fleet);
  for (int round = 0; round < kRounds; ++round) {
    SendAndWait(fleet, std::to_string(round));
  }
  const auto held = fleet.Quarantine("c2");
  ASSERT_EQ(held.size(), 1U);
  EXPECT_EQ(held[0]["customer"], "h");
  EXPECT_TRUE(held[0]["is_quarantined"]);
  fleet.Endpoints().CrashOnBody("");
  EXPECT_FALSE(fleet.Lift("c3", "another"));
  ASSERT_TRUE(fleet.Lift("c3", held[0]["digest"]));
  for (const std::string entry : {"e1", "e2"}) {
    EXPECT_TRUE(WaitUntil([&] {
      return fleet
                 .PlainWithBody(entry, "mended-" + entry,
                                deployment::kCrashBody)
                 .status == 200;
    }));
  }
}

void RestartControl(deployment& fleet) {
  for (const std::string& control : fleet.Controls()) fleet.KillNode(control);
  for (const std::string& control : fleet.Controls()) fleet.StartNode(control);
  ASSERT_TRUE(WaitUntil([&] { return fleet.VersionAt("c1") == 1; }));
}

// Guards against a quarantine that comes back: an entry stood still while it
// was lifted, and tells the next leader of the old ends.
TEST(CrashingRequestTest, LiftOutlivesAnEntryThatDidNotHearOfIt) {
  deployment fleet;
  StartWithThreeEndpoints(fleet);
  for (int round = 0; round < kRounds; ++round) {
    SendAndWait(fleet, std::to_string(round));
  }
  // No answer of a leader waits for the entry that stands still.
  for (const std::string& control : fleet.Controls()) fleet.KillNode(control);
  fleet.Node("e2").Signal(SIGSTOP);
  RestartControl(fleet);
  ASSERT_TRUE(WaitUntil([&] { return fleet.Quarantine("c1").size() == 1; }));
  fleet.Endpoints().CrashOnBody("");
  ASSERT_TRUE(fleet.Lift("c1", fleet.Quarantine("c1")[0]["digest"]));
  const auto is_served = [&fleet](const std::string& entry) {
    return WaitUntil([&] {
      return fleet.PlainWithBody(entry, "lifted", deployment::kCrashBody)
                 .status == 200;
    });
  };
  ASSERT_TRUE(is_served("e1"));
  RestartControl(fleet);
  fleet.Node("e2").Signal(SIGCONT);
  ASSERT_TRUE(
      WaitUntil([&] { return fleet.Plain("e2", "awake").status == 200; }));
  EXPECT_TRUE(is_served("e2"));
  EXPECT_TRUE(is_served("e1"));
  EXPECT_EQ(fleet.Quarantine("c1").size(), 0U);
}

// A task of a step takes down each engine that runs it, once it has sent
// `events` events; the step's other tasks get their results.
void RunStepsBesideACrashingTask(int events) {
  constexpr int kTasks = 6;
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().CrashOnBody(deployment::kCrashBody);
  fleet.Endpoints().CrashAfterEvents(events);
  ASSERT_TRUE(fleet.Submit("e1", "step", kTasks, false, 0));
  EXPECT_EQ(fleet.WaitForResults("e2", "step", kTasks - 1).size(),
            static_cast<size_t>(kTasks - 1));
  // Steps after it find engines that serve them.
  for (int round = 0; round < kRounds; ++round) {
    const std::string step = "after-" + std::to_string(round);
    ASSERT_TRUE(fleet.Submit("e1", step, kTasks));
    EXPECT_EQ(fleet.WaitForResults("e2", step, kTasks).size(),
              static_cast<size_t>(kTasks));
    ASSERT_TRUE(WaitUntil([&] { return fleet.Endpoints().Running() == 5; }));
  }
  EXPECT_LE(fleet.Endpoints().Crashes(), kEndsAllowed + kSendsAllowed);
}

// A task of a step takes down each engine that begins it; the step's other
// tasks must get their results from engines that stay up.
TEST(CrashingRequestTest, TaskIsHeldBackAndTheOthersComplete) {
  RunStepsBesideACrashingTask(0);
}

// Guards against a task without a bound that gains an event before each end.
TEST(CrashingRequestTest, TaskThatGainsTextBeforeEachEndIsHeldBack) {
  RunStepsBesideACrashingTask(1);
}

// Callers of the crashing request leave before each end. `endpoints`: all that
// run.
void LeaveBeforeEachEnd(deployment& fleet, const std::string& path,
                        std::chrono::milliseconds patience, size_t endpoints) {
  for (int round = 0; round < 2 * kRounds; ++round) {
    const std::string id = std::to_string(round);
    const std::string entry = round % 2 == 0 ? "e1" : "e2";
    const int crashes = fleet.Endpoints().Crashes();
    ASSERT_TRUE(WaitUntil([&] {
      const auto answer = fleet.SendWithTimeout(
          entry, path, "crash-" + id, deployment::kCrashBody, patience);
      return answer.status == 429 || fleet.Endpoints().Crashes() > crashes;
    }));
    ASSERT_TRUE(
        WaitUntil([&] { return fleet.Endpoints().Running() == endpoints; }));
    // Both entries know the next starts.
    ASSERT_TRUE(WaitUntil([&] {
      return fleet.Plain("e1", "a" + id).status == 200 &&
             fleet.Plain("e2", "b" + id).status == 200 &&
             fleet.Stream("e1", "c" + id, "other").status == 200 &&
             fleet.Stream("e2", "d" + id, "other").status == 200;
    }));
  }
  EXPECT_GE(fleet.Endpoints().Crashes(), kEndsAllowed);
  EXPECT_LE(fleet.Endpoints().Crashes(), kEndsAllowed + kSendsAllowed);
}

// Guards against a request without a bound whose callers leave before each end.
TEST(CrashingRequestTest, IsHeldBackThoughItsCallersLeaveBeforeEachEnd) {
  deployment fleet;
  StartWithThreeEndpoints(fleet);
  LeaveBeforeEachEnd(fleet, "/p/x", std::chrono::milliseconds(20), 6);
}

// Guards against the same with callers that have got the first event.
TEST(CrashingRequestTest, StreamIsHeldBackThoughItsCallersLeaveBeforeEachEnd) {
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().CrashOnBody(deployment::kCrashBody);
  fleet.Endpoints().CrashAfterEvents(4);
  fleet.Endpoints().SetEventTime(std::chrono::milliseconds(10));
  LeaveBeforeEachEnd(fleet, "/q/x", std::chrono::milliseconds(20), 5);
}

// Guards against a stream without a bound whose callers get its first events.
TEST(CrashingRequestTest, StreamThatBeginsBeforeEachEndIsHeldBack) {
  constexpr size_t kEndpoints = 5;
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().CrashOnBody(deployment::kCrashBody);
  fleet.Endpoints().CrashAfterEvents(1);
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string entry : {"e1", "e2"}) {
      const std::string id = entry + "-" + std::to_string(round);
      fleet.Stream(entry, "crash-" + id, deployment::kCrashBody);
      ASSERT_TRUE(
          WaitUntil([&] { return fleet.Endpoints().Running() == kEndpoints; }));
      ASSERT_TRUE(WaitUntil([&] {
        return fleet.Stream(entry, "other-" + id, "other").status == 200;
      }));
    }
  }
  EXPECT_GE(fleet.Endpoints().Crashes(), kEndsAllowed);
  EXPECT_LE(fleet.Endpoints().Crashes(), kEndsAllowed + kSendsAllowed);
  for (const std::string entry : {"e1", "e2"}) {
    EXPECT_EQ(
        fleet.Stream(entry, "again-" + entry, deployment::kCrashBody).status,
        429);
  }
}

}  // namespace
}  // namespace hickorywood::testing
