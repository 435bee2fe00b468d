// The route by which the tasks of an accepted step run while the configuration
// changes.

#include <gtest/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// More than the engines run at once, so that some tasks wait.
constexpr int kTasks = 30;

json InnerRoute(const std::string& kind, const std::string& service) {
  return {{"name", "inner"},    {"host", "h"},
          {"kind", kind},       {"path_prefix", "/s/inner/"},
          {"service", service}, {"timeout_ms", 20000},
          {"goal_ms", 10000},   {"max_attempts", 1},
          {"resumable", true},  {"item_ttl_s", 0.5}};
}

void ExpectAllCompleted(const json& results, const std::string& step) {
  ASSERT_EQ(results.size(), static_cast<size_t>(kTasks));
  for (const json& result : results) {
    const std::string id = result["id"];
    EXPECT_EQ(result["state"], "completed") << id << " of " << step;
    EXPECT_EQ(result["output"], simulated_endpoints::OutputOf(id));
  }
}

// Guards against waiting tasks that a new route with a longer prefix sends to
// another service, which knows nothing of them. They were listed as terminated.
// A new leader of the data group must find the same route.
TEST(StepRoutesTest, NewInnerRouteDoesNotTakeTasks) {
  deployment fleet;
  fleet.task_path = "/s/inner/run";
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(milliseconds(100));
  ASSERT_TRUE(fleet.Submit("e1", "step", kTasks));
  fleet.extra_routes = {InnerRoute("safe", "echo")};
  ASSERT_TRUE(fleet.PutConfiguration(2, true));
  fleet.KillNode("s1");
  fleet.StartNode("s1");
  ExpectAllCompleted(fleet.WaitForResults("e1", "step", kTasks), "step");
  fleet.KillNode("s2");
  fleet.KillNode("s3");
  fleet.StartNode("s2");
  fleet.StartNode("s3");
  ASSERT_TRUE(fleet.Submit("e2", "next", kTasks));
  ExpectAllCompleted(fleet.WaitForResults("e1", "next", kTasks), "next");
}

// Guards against the attempts and the lifetime of another route: a task fails
// twice where the route of its step allows three attempts, and all run for
// longer than the lifetime of the inner route.
TEST(StepRoutesTest, NewInnerRouteChangesNoLimits) {
  deployment fleet;
  fleet.task_path = "/s/inner/run";
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(milliseconds(300));
  fleet.Endpoints().Fail(deployment::TaskId("step", kTasks - 1), 2);
  ASSERT_TRUE(fleet.Submit("e1", "step", kTasks));
  fleet.extra_routes = {InnerRoute("rollout", "engines")};
  ASSERT_TRUE(fleet.PutConfiguration(2, true));
  ExpectAllCompleted(fleet.WaitForResults("e2", "step", kTasks), "step");
}

// Guards against tasks that are never run because their own path is under no
// route, although that of their step is.
TEST(StepRoutesTest, TasksNeedNoRouteOfTheirOwn) {
  deployment fleet;
  fleet.task_path = "/elsewhere/run";
  ASSERT_TRUE(fleet.Start());
  ASSERT_TRUE(fleet.Submit("e1", "step", kTasks));
  ExpectAllCompleted(fleet.WaitForResults("e2", "step", kTasks), "step");
}

// Guards against tasks that wait without a limit after their route was removed.
TEST(StepRoutesTest, TasksOfARemovedRouteExpire) {
  constexpr milliseconds kMaxTime{10000};
  deployment fleet;
  fleet.extra_routes = {InnerRoute("rollout", "engines")};
  fleet.step_path = "/s/inner/";
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(milliseconds(800));
  ASSERT_TRUE(fleet.Submit("e1", "step", kTasks));
  const auto started = std::chrono::steady_clock::now();
  fleet.extra_routes = json::array();
  fleet.has_step_route = false;
  ASSERT_TRUE(fleet.PutConfiguration(2, true));
  const json results = fleet.WaitForResults("e2", "step", kTasks);
  EXPECT_EQ(results.size(), static_cast<size_t>(kTasks));
  EXPECT_LE(std::chrono::steady_clock::now() - started, kMaxTime);
}

}  // namespace
}  // namespace hickorywood::testing
