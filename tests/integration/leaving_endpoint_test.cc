// Promise 7 on a deployment: an endpoint whose departure was acknowledged gets
// no further work.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <string>
#include <vector>

#include "support/deployment.h"
#include "support/simulated_endpoints.h"

namespace hickorywood::testing {
namespace {

constexpr int kBurst = 8;
constexpr int kBursts = 10;

// Sends requests to both entries at once, and returns how many of them ran at
// one of `endpoints`.
int CountRunsAt(simulated_endpoints& endpoints, deployment& fleet,
                const std::string& name) {
  std::vector<std::string> ids;
  std::vector<std::future<transport::http_response>> answers;
  for (int i = 0; i < kBurst; ++i) {
    ids.push_back(name + "-" + std::to_string(i));
    answers.push_back(fleet.PlainLater(i % 2 == 0 ? "e1" : "e2", ids.back()));
  }
  for (auto& answer : answers) answer.wait();
  int runs = 0;
  for (const std::string& id : ids) runs += endpoints.RunsOf(id);
  return runs;
}

// Guards against a departure that only the leader knows when it is
// acknowledged: its successor sent further requests to the endpoint.
TEST(LeavingEndpointTest, DepartureOutlivesTheLeaderThatAcknowledgedIt) {
  simulated_endpoints leaving("leaving");
  const std::string incarnation = leaving.Start("echo");
  std::atomic<bool> has_left{false};
  deployment fleet;
  // An entry without contact stops before the departure is acknowledged.
  fleet.extra_settings = "access: {apply_limit: 1ms}\n";
  fleet.extra_heartbeats = [&] {
    std::map<std::string, std::string> bodies;
    if (!has_left) bodies[incarnation] = leaving.HeartbeatOf(incarnation);
    return bodies;
  };
  ASSERT_TRUE(fleet.Start());
  constexpr std::chrono::milliseconds kWorkTime{30};
  fleet.Endpoints().SetWorkTime(kWorkTime);
  leaving.SetWorkTime(kWorkTime);
  int bursts = 0;
  const auto runs = [&] {
    return CountRunsAt(leaving, fleet, "burst-" + std::to_string(++bursts));
  };
  ASSERT_TRUE(WaitUntil([&] { return runs() > 0; }));
  has_left = true;
  const std::string leader = fleet.ControlLeader();
  ASSERT_TRUE(WaitUntil([&] { return fleet.Leave(leader, incarnation); }));
  fleet.KillNode(leader);
  EXPECT_EQ(runs(), 0);
  ASSERT_TRUE(fleet.PutConfiguration(2, true));
  for (int i = 0; i < kBursts; ++i) EXPECT_EQ(runs(), 0);
}

}  // namespace
}  // namespace hickorywood::testing
