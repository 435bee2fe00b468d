// Promises 7, 8 and 11: leaving endpoints, planned stops, orders.

#include <gtest/gtest.h>
#include <signal.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

#include "support/cluster.h"
#include "support/trainer.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;
using transport::http_response;

bool Routes(cluster& fleet, const std::string& node,
            const std::string& endpoint) {
  const json status = fleet.Status(node);
  if (!status.contains("endpoints")) return false;
  for (const json& item : status["endpoints"]) {
    if (item["id"] == endpoint) return true;
  }
  return false;
}

json EngineState(cluster& fleet, const std::string& engine) {
  return fleet.Web().GetJson(fleet.EndpointAddress(engine), "/fake/state");
}

// An endpoint announces to one instance that it leaves. No instance sends it
// new requests afterwards, and its requests in flight finish.
TEST(EndpointsTest, LeavingEndpointGetsNoNewWorkAndInterruptsNothing) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  fleet.StartEndpoint({"e1",
                       "engine",
                       "model-a",
                       "north",
                       "z1",
                       {"--slow_factor=4", "--mean_tokens=100"}});
  fleet.StartEndpoint({"e2"});
  ASSERT_TRUE(fleet.WaitForEndpoints(2));
  std::vector<std::future<http_response>> running;
  for (int i = 0; i < 12; ++i) {
    running.push_back(fleet.Web().PostLater(
        fleet.Callers("n" + std::to_string(1 + i % 3)),
        "/v1/pools/pool-a/generate",
        {{"prompt", "p" + std::to_string(i)}, {"max_tokens", 300}}));
  }
  ASSERT_TRUE(WaitUntil(
      [&] { return EngineState(fleet, "e1").value("started", 0) > 0; }));
  fleet.Endpoint("e1").Signal(SIGTERM);
  for (const char* node : {"n1", "n2", "n3"}) {
    EXPECT_TRUE(WaitUntil([&] { return !Routes(fleet, node, "e1"); })) << node;
  }
  for (int i = 0; i < 30; ++i) {
    const auto answer = fleet.Web().Post(
        fleet.Callers("n" + std::to_string(1 + i % 3)),
        "/v1/pools/pool-a/generate", {{"prompt", "q"}, {"max_tokens", 5}});
    ASSERT_EQ(answer.status, 200);
    EXPECT_EQ(BodyOf(answer)["engine"], "e2");
  }
  for (auto& item : running) EXPECT_EQ(item.get().status, 200);
}

// An endpoint announces that it leaves while one instance is isolated from all
// others. The expiry of the lease ends routing at the isolated instance before
// the connection is restored.
TEST(EndpointsTest, ExpiredLeaseStopsRoutingAtAnIsolatedInstance) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  fleet.StartEndpoint({"b1", "service", "bookings"});
  ASSERT_TRUE(fleet.WaitForEndpoints(1));
  fleet.Isolate("n3", link_fault::kBlackhole);
  fleet.Endpoint("b1").Kill();
  EXPECT_TRUE(WaitUntil([&] {
    return !Routes(fleet, "n3", "b1") && !Routes(fleet, "n1", "b1");
  }));
}

// An endpoint restarts under the same id and address. It receives requests
// again immediately, and a delayed copy of its old leave announcement does not
// remove it.
TEST(EndpointsTest, EndpointReturnsUnderTheSameAddress) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  const endpoint_spec spec{"b1", "service", "bookings"};
  fleet.StartEndpoint(spec);
  ASSERT_TRUE(fleet.WaitForEndpoints(1));
  fleet.Endpoint("b1").Signal(SIGTERM);
  ASSERT_TRUE(fleet.WaitForEndpoints(0));
  fleet.StartEndpoint(spec);
  ASSERT_TRUE(fleet.WaitForEndpoints(1));
  EXPECT_EQ(
      fleet.Web().Get(fleet.Callers("n2"), "/v1/services/bookings/x").status,
      200);
}

// Another endpoint is announced under the id of a live endpoint. The
// announcement is rejected, and calls are still sent to the original endpoint.
TEST(EndpointsTest, AnnouncementUnderAnothersIdIsRefused) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  fleet.StartEndpoint({"b1", "service", "bookings"});
  ASSERT_TRUE(fleet.WaitForEndpoints(1));
  const json fake = {{"id", "b1"},        {"address", "127.0.0.1:9"},
                     {"kind", "service"}, {"name", "bookings"},
                     {"site", "north"},   {"zone", "z1"},
                     {"boot", 9e15},      {"seq", 1},
                     {"lease_ms", 30000}};
  const auto refused =
      fleet.Web().Post(fleet.Callers("n1"), "/v1/announcements", fake);
  EXPECT_EQ(refused.status, 409) << refused.body;
  EXPECT_EQ(
      fleet.Web().Get(fleet.Callers("n1"), "/v1/services/bookings/x").status,
      200);
}

// The leader, which also coordinates a step, is stopped under load, and the
// load balancer continues to send requests to it for a while. Every accepted
// request gets a complete response, the process exits with 0, the other
// instances have a leader immediately, and the step continues elsewhere with
// each sample delivered once.
TEST(EndpointsTest, PlannedStopInterruptsNothing) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (const char* id : {"e1", "e2"}) {
    fleet.StartEndpoint(
        {id, "engine", "model-a", "north", "z1", {"--slow_factor=3"}});
  }
  ASSERT_TRUE(fleet.WaitForEndpoints(2));
  const std::string stopped = fleet.Leader();
  std::vector<std::string> others;
  for (const char* id : {"n1", "n2", "n3"}) {
    if (id != stopped) others.push_back(id);
  }
  const auto opened =
      fleet.Web().Post(fleet.Callers(stopped), "/v1/pools/pool-a/steps",
                       StepSpec("stop", 16, 4));
  ASSERT_EQ(opened.status, 200) << opened.body;
  std::vector<std::future<http_response>> running;
  const auto send = [&] {
    running.push_back(fleet.Web().PostLater(
        fleet.Callers(stopped), "/v1/pools/pool-a/generate",
        {{"prompt", "p" + std::to_string(running.size())},
         {"max_tokens", 200},
         {"stream", true}}));
  };
  for (int i = 0; i < 10; ++i) send();
  ASSERT_TRUE(WaitUntil(
      [&] { return EngineState(fleet, "e1").value("tokens", 0) > 50; }));
  fleet.Node(stopped).Signal(SIGTERM);
  for (int i = 0; i < 20; ++i) {
    send();
    std::this_thread::sleep_for(std::chrono::milliseconds(
        10));  // the balancer has not yet detected the stop
  }
  const pull_outcome outcome = PullAll(fleet, "stop", {others});
  EXPECT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 64);
  EXPECT_EQ(fleet.Node(stopped).WaitForExit(std::chrono::milliseconds(30000)),
            0);
  size_t whole = 0;
  for (auto& item : running) {
    const http_response answer = item.get();
    // After the listener is closed, requests can't be sent any more, which is a
    // clear "not run".
    if (answer.how == transport::delivery::kNotSent || answer.status == 503) {
      continue;
    }
    EXPECT_EQ(answer.how, transport::delivery::kAnswered) << answer.error;
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.body.find("[DONE]"), std::string::npos);
    ++whole;
  }
  EXPECT_GE(whole, 10U);
  EXPECT_FALSE(fleet.Leader(stopped).empty());
}

// A leader is frozen and deposed while it sends orders. Engines that check
// fencing tokens reject its late orders. Engines that ignore them get each
// version from only one leader at a time, because orders are sent only under a
// valid lease and a new leader waits for the old lease. No engine ever returns
// to an older version.
TEST(EndpointsTest, DeposedLeaderSendsNoOrders) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  fleet.StartEndpoint(
      {"honours", "engine", "model-a", "north", "z1", {"--swap_ms=30"}});
  fleet.StartEndpoint({"ignores",
                       "engine",
                       "model-a",
                       "north",
                       "z2",
                       {"--swap_ms=30", "--honours_fencing=false"}});
  ASSERT_TRUE(fleet.WaitForEndpoints(2));
  int64_t version = 1;
  for (int round = 0; round < 3; ++round) {
    const std::string leader = fleet.Leader();
    const std::string other = leader == "n1" ? "n2" : "n1";
    ASSERT_EQ(fleet.Web()
                  .Post(fleet.Callers(leader), "/v1/pools/pool-a/weights",
                        {{"version", ++version}})
                  .status,
              200);
    fleet.Node(leader).Signal(SIGSTOP);
    ASSERT_TRUE(WaitUntil([&] {
      return fleet.Web()
                 .Post(fleet.Callers(other), "/v1/pools/pool-a/weights",
                       {{"version", version + 1}})
                 .status == 200;
    }));
    ++version;
    fleet.Node(leader).Signal(SIGCONT);
    ASSERT_TRUE(WaitUntil([&] {
      return EngineState(fleet, "honours")["version"] == version &&
             EngineState(fleet, "ignores")["version"] == version;
    })) << EngineState(fleet, "ignores");
  }
  for (const char* engine : {"honours", "ignores"}) {
    int64_t last = 0;
    for (const json& loaded : EngineState(fleet, engine)["versions_loaded"]) {
      EXPECT_GE(loaded.get<int64_t>(), last);
      last = loaded.get<int64_t>();
    }
  }
}

// A weights swap proceeds through the pool in waves. The minimum number of
// serving engines is maintained at all times.
TEST(EndpointsTest, SwapKeepsTheFloorOfServingEngines) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration("    swap_floor: 0.5\n")));
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    fleet.StartEndpoint(
        {id, "engine", "model-a", "north", "z1", {"--swap_ms=300"}});
  }
  ASSERT_TRUE(fleet.WaitForEndpoints(4));
  ASSERT_EQ(fleet.Web()
                .Post(fleet.Callers("n2"), "/v1/pools/pool-a/weights",
                      {{"version", 2}})
                .status,
            200);
  int most_swapping = 0;
  EXPECT_TRUE(WaitUntil([&] {
    int swapping = 0;
    int done = 0;
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      const json state = EngineState(fleet, id);
      swapping += state["is_swapping"].get<bool>() ? 1 : 0;
      done += state["version"] == 2 ? 1 : 0;
    }
    most_swapping = std::max(most_swapping, swapping);
    return done == 4;
  }));
  EXPECT_LE(most_swapping, 2);
}

}  // namespace
}  // namespace hickorywood::testing
