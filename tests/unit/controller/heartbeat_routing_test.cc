#include "controller/heartbeat_routing.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace hickorywood::controller {
namespace {

using core::milliseconds;

const core::time_point kStart = core::time_point(std::chrono::hours(1));

heartbeat_routing MakeRouting() {
  heartbeat_routing routing;
  routing.own_address = "own:1";
  for (const char* name : {"own", "a", "b", "c"}) {
    RecordInstance(routing, name, std::string(name) + ":1", kStart);
  }
  return routing;
}

// Sends one heartbeat of each of `endpoints` within a second. Returns how many
// were sent to each address.
std::map<std::string, int> RouteAll(heartbeat_routing& routing, int endpoints,
                                    core::time_point now) {
  std::map<std::string, int> routes;
  for (int i = 0; i < endpoints; ++i) {
    ++routes[RouteHeartbeat(routing, "e" + std::to_string(i), now)];
  }
  return routes;
}

// Guards against a leader whose processor time goes into the heartbeats of a
// thousand endpoints, so that it answers views too late.
TEST(HeartbeatRoutingTest, BusyLeaderSpreadsItsEndpoints) {
  heartbeat_routing routing = MakeRouting();
  std::map<std::string, int> routes = RouteAll(routing, 1000, kStart);
  EXPECT_EQ(routes[""], 100);
  EXPECT_EQ(routes["own:1"], 0);
  for (const char* address : {"a:1", "b:1", "c:1"}) {
    EXPECT_GT(routes[address], 200) << address;
  }
}

TEST(HeartbeatRoutingTest, FewEndpointsStay) {
  heartbeat_routing routing = MakeRouting();
  for (int second = 0; second < 3; ++second) {
    const auto now = kStart + milliseconds(1000 * second);
    EXPECT_EQ(RouteAll(routing, 100, now)[""], 100);
  }
}

// Guards against endpoints that are sent to an instance that is gone.
TEST(HeartbeatRoutingTest, InstancesOutOfContactGetNoEndpoints) {
  heartbeat_routing routing = MakeRouting();
  const auto later = kStart + std::chrono::seconds(10);
  RecordInstance(routing, "a", "a:1", later);
  std::map<std::string, int> routes = RouteAll(routing, 1000, later);
  EXPECT_EQ(routes[""], 100);
  EXPECT_EQ(routes["a:1"], 900);
  EXPECT_EQ(RouteAll(routing, 1000, later + std::chrono::seconds(10))[""],
            1000);
}

}  // namespace
}  // namespace hickorywood::controller
