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
constexpr std::chrono::milliseconds kWorkTime{30};

// A deployment with one endpoint that leaves, besides those that stay.
class LeavingEndpointTest : public ::testing::Test {
 protected:
  // Returns once the endpoint has run requests.
  void Start() {
    incarnation_ = leaving_.Start("echo");
    // An entry without contact stops before the departure is acknowledged.
    fleet_.extra_settings = "access: {apply_limit: 1ms}\n";
    fleet_.extra_heartbeats = [this] {
      std::map<std::string, std::string> bodies;
      if (!has_left_) bodies[incarnation_] = leaving_.HeartbeatOf(incarnation_);
      return bodies;
    };
    ASSERT_TRUE(fleet_.Start());
    fleet_.Endpoints().SetWorkTime(kWorkTime);
    leaving_.SetWorkTime(kWorkTime);
    ASSERT_TRUE(WaitUntil([this] { return RunBurst() > 0; }));
  }

  // Reports the departure at the control leader until it is acknowledged.
  // Returns the leader.
  std::string Leave() {
    has_left_ = true;
    std::string leader = fleet_.ControlLeader();
    EXPECT_TRUE(WaitUntil([&] { return fleet_.Leave(leader, incarnation_); }));
    return leader;
  }

  // Sends requests to both entries at once, and returns how many of them ran at
  // the endpoint that leaves.
  int RunBurst() {
    const std::string name = "burst-" + std::to_string(++bursts_);
    std::vector<std::string> ids;
    std::vector<std::future<transport::http_response>> answers;
    for (int i = 0; i < kBurst; ++i) {
      ids.push_back(name + "-" + std::to_string(i));
      answers.push_back(
          fleet_.PlainLater(i % 2 == 0 ? "e1" : "e2", ids.back()));
    }
    for (auto& answer : answers) answer.wait();
    int runs = 0;
    for (const std::string& id : ids) runs += leaving_.RunsOf(id);
    return runs;
  }

  std::string incarnation_;
  std::atomic<bool> has_left_{false};
  simulated_endpoints leaving_{"leaving"};
  deployment fleet_;

 private:
  int bursts_ = 0;
};

// Guards against a departure that only the leader knows when it is
// acknowledged: its successor sent further requests to the endpoint.
TEST_F(LeavingEndpointTest, DepartureOutlivesTheLeaderThatAcknowledgedIt) {
  ASSERT_NO_FATAL_FAILURE(Start());
  fleet_.KillNode(Leave());
  EXPECT_EQ(RunBurst(), 0);
  ASSERT_TRUE(fleet_.PutConfiguration(2, true));
  for (int i = 0; i < kBursts; ++i) EXPECT_EQ(RunBurst(), 0);
}

// Guards against a new leader that lists a departed endpoint again when one of
// its heartbeats arrives late, because only the previous leader knew that it
// had left.
TEST_F(LeavingEndpointTest, DelayedHeartbeatReachesTheNextLeader) {
  ASSERT_NO_FATAL_FAILURE(Start());
  const std::string leader = Leave();
  const std::string delayed = leaving_.HeartbeatOf(incarnation_);
  fleet_.KillNode(leader);
  ASSERT_TRUE(fleet_.PutConfiguration(2, true));
  const std::string control =
      fleet_.Controls().front() == leader ? "c2" : fleet_.Controls().front();
  ASSERT_TRUE(WaitUntil(
      [&] { return fleet_.SendHeartbeat(control, incarnation_, delayed); }));
  for (int i = 0; i < kBursts; ++i) EXPECT_EQ(RunBurst(), 0);
}

}  // namespace
}  // namespace hickorywood::testing
