// Requests that take down every endpoint that runs them, sent again and again
// under new ids and through other entries.

#include <gtest/gtest.h>

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
// back as new ones, so nothing remembered what had happened.
TEST(CrashingRequestTest, IsNotSentOnAfterItHasEndedThreeEndpoints) {
  deployment fleet;
  StartWithThreeEndpoints(fleet);
  for (int round = 0; round < kRounds; ++round) {
    SendAndWait(fleet, std::to_string(round));
  }
  EXPECT_GE(fleet.Endpoints().Crashes(), kEndsAllowed);
  EXPECT_LE(fleet.Endpoints().Crashes(), kEndsAllowed + kSendsAllowed);
}

// A task of a step takes down each engine that begins it; the step's other
// tasks must get their results from engines that stay up.
TEST(CrashingRequestTest, TaskIsHeldBackAndTheOthersComplete) {
  constexpr int kTasks = 6;
  deployment fleet;
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().CrashOnBody(deployment::kCrashBody);
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

}  // namespace
}  // namespace hickorywood::testing
