// Orders of servers by a deployment of real processes from a simulated
// provider.

#include <gtest/gtest.h>

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "support/deployment.h"
#include "support/simulated_provider.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

constexpr char kService[] = "ordered";
constexpr int kServers = 4;

class ServerOrderTest : public ::testing::Test {
 protected:
  // The servers of the service only send heartbeats.
  bool Start() {
    fleet_.extra_service = {{"name", kService},
                            {"scaling",
                             {{"min", 1},
                              {"max", 8},
                              {"startup_s", 1.0},
                              {"spot_price", 0.2},
                              {"zone_prices", {{"za", 1.0}, {"zb", 2.0}}}}}};
    fleet_.extra_settings = "provider: {address: \"" + provider_.Address() +
                            "\", duties: [autoscale]}\n";
    for (int i = 0; i < kServers; ++i) live_.insert("s" + std::to_string(i));
    fleet_.extra_heartbeats = [this] { return Heartbeats(); };
    return fleet_.Start();
  }

  std::map<std::string, std::string> Heartbeats() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++sequence_;
    std::map<std::string, std::string> bodies;
    int port = 9000;
    for (const std::string& name : live_) {
      json body = json::parse(simulated_endpoints::Heartbeat(
          kService, "127.0.0.9:" + std::to_string(port++), 1, sequence_));
      body["zone"] = "za";
      bodies[name] = body.dump();
    }
    return bodies;
  }

  void Leave(const std::string& name) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      live_.erase(name);
    }
    EXPECT_TRUE(WaitUntil([&] {
      return fleet_.Leave(fleet_.Controls().front(), name) ||
             fleet_.Leave(fleet_.Controls().back(), name);
    }));
  }

  // Whether the leader has recorded the servers that are there.
  bool IsRecorded() {
    for (const std::string& control : fleet_.Controls()) {
      const json report = fleet_.Scaling(control);
      if (!report.is_object() || report["services"].empty()) continue;
      for (const json& group : report["services"][0]["groups"]) {
        if (group["target"] == kServers) return true;
      }
    }
    return false;
  }

  simulated_provider provider_;
  std::mutex mutex_;
  std::set<std::string> live_;
  int sequence_ = 0;
  deployment fleet_;  // declared last because its thread uses the others
};

// Guards against a service that stays smaller after a server has left, and
// against an order that is dropped because its response was lost.
TEST_F(ServerOrderTest, MissingServerIsOrderedUntilTheProviderHasAnswered) {
  ASSERT_TRUE(Start());
  ASSERT_TRUE(WaitUntil([this] { return IsRecorded(); }));
  EXPECT_TRUE(provider_.Orders().empty());
  provider_.LoseResponses(1);
  Leave("s0");
  ASSERT_TRUE(WaitUntil([this] { return provider_.Orders().size() >= 2; }));
  const auto orders = provider_.Orders();
  for (const auto& order : orders) {
    EXPECT_EQ(order.service, kService);
    EXPECT_EQ(order.zone, "za");
    EXPECT_EQ(order.count, kServers);
  }
  EXPECT_LT(orders[0].token, orders[1].token);
}

// Guards against a leader that does not know what its predecessor ordered, and
// orders the number of servers that are left.
TEST_F(ServerOrderTest, NextLeaderOrdersTheRecordedNumber) {
  ASSERT_TRUE(Start());
  ASSERT_TRUE(WaitUntil([this] { return IsRecorded(); }));
  const std::string leader = fleet_.ControlLeader();
  fleet_.KillNode(leader);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    live_ = {"s0", "s1"};
  }
  ASSERT_TRUE(WaitUntil([this] { return !provider_.Orders().empty(); }));
  EXPECT_EQ(provider_.Orders().front().count, kServers);
}

}  // namespace
}  // namespace hickorywood::testing
