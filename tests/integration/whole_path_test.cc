// A user runs a rollout step with real processes, from opening it at one
// instance to pulling the last sample from another one.

#include <gtest/gtest.h>

#include <string>

#include "support/cluster.h"
#include "support/trainer.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

// The trainer opens a step at n1 and pulls it from n2: every sample arrives
// once, with a label.
TEST(WholePathTest, StepOpenedAtOneInstanceIsPulledFromAnother) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (const char* id : {"e1", "e2"}) fleet.StartEndpoint({id});
  ASSERT_TRUE(fleet.WaitForEndpoints(2));
  const auto opened = fleet.Web().Post(
      fleet.Callers("n1"), "/v1/pools/pool-a/steps", StepSpec("s1", 8, 4));
  ASSERT_EQ(opened.status, 200) << opened.body;
  const pull_outcome outcome = PullAll(fleet, "s1", {{"n2"}});
  EXPECT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 32);
  ExpectCompleteLabels(outcome);
}

// The coordinator of a step is killed after the first batches. Another instance
// takes over the step under a higher epoch with the bodies from the second
// zone, and generates only the missing samples. The trainer observes a short
// pause and no duplicate or missing sample.
TEST(WholePathTest, CoordinatorKilledInTheMiddleOfAStep) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (const char* id : {"e1", "e2"}) fleet.StartEndpoint({id});
  ASSERT_TRUE(fleet.WaitForEndpoints(2));
  const auto opened = fleet.Web().Post(
      fleet.Callers("n3"), "/v1/pools/pool-a/steps", StepSpec("s2", 16, 4));
  ASSERT_EQ(opened.status, 200) << opened.body;
  ASSERT_EQ(BodyOf(opened)["coordinator"], "n3");
  bool is_killed = false;
  pull_options options{{"n1", "n2"}};
  options.after_batch = [&](size_t samples) {
    if (is_killed || samples < 16) return;
    is_killed = true;
    fleet.KillNode("n3");
  };
  const pull_outcome outcome = PullAll(fleet, "s2", options);
  EXPECT_TRUE(is_killed);
  EXPECT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 64);
  ExpectCompleteLabels(outcome);
}

// A caller gets a complete or a streamed generation, and a plain call, through
// any instance.
TEST(WholePathTest, SingleGenerationsAndPlainCalls) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  fleet.StartEndpoint({"e1"});
  fleet.StartEndpoint({"b1", "service", "bookings"});
  ASSERT_TRUE(fleet.WaitForEndpoints(2));
  const auto whole =
      fleet.Web().Post(fleet.Callers("n1"), "/v1/pools/pool-a/generate",
                       {{"prompt", "a"}, {"max_tokens", 40}});
  ASSERT_EQ(whole.status, 200) << whole.body;
  EXPECT_EQ(BodyOf(whole)["weights_ranges"][0]["version"], 1);
  const auto streamed =
      fleet.Web().Post(fleet.Callers("n2"), "/v1/pools/pool-a/generate",
                       {{"prompt", "a"}, {"max_tokens", 40}, {"stream", true}});
  EXPECT_EQ(streamed.status, 200);
  EXPECT_NE(streamed.body.find("data: [DONE]"), std::string::npos);
  const auto call =
      fleet.Web().Get(fleet.Callers("n3"), "/v1/services/bookings/slots?day=2");
  ASSERT_EQ(call.status, 200) << call.body;
  EXPECT_EQ(BodyOf(call)["service"], "b1");
}

}  // namespace
}  // namespace hickorywood::testing
