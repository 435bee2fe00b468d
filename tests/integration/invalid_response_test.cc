// Endpoints that send invalid responses to a deployment of real
// processes, and to instances with the native API.

#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/cluster.h"
#include "support/deployment.h"
#include "support/response_cases.h"
#include "support/scripted_server.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_response;

// One response of each kind, for paths whose requests take long.
std::vector<scripted_response> SomeResponses() {
  std::vector<scripted_response> some;
  for (const auto& list : {InvalidStatuses()}) {
    some.insert(some.end(), list.begin(), list.end());
  }
  return some;
}

std::string TextOf(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// A server whose response can be changed.
class changing_server {
 public:
  std::string Address() const { return server_.Address(); }
  void Set(scripted_response response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    response_ = std::move(response);
  }
  int Requests() const { return server_.Requests(); }

 private:
  std::mutex mutex_;
  scripted_response response_;
  // Declared last because its thread uses the members above.
  scripted_server server_{[this](const net::request& input) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ResponseTo(input, response_);
  }};
};

class InvalidResponseOfEndpointTest : public ::testing::Test {
 protected:
  struct announced {
    std::string incarnation;
    std::string service;
    std::string address;
  };

  // Starts the deployment with the endpoint "x-1" and further ones.
  bool Start(const std::string& service, const std::string& address,
             const std::vector<announced>& further = {}) {
    endpoints_ = further;
    endpoints_.push_back({"x-1", service, address});
    fleet_.extra_heartbeats = [this] {
      ++sequence_;
      std::map<std::string, std::string> bodies;
      for (const announced& item : endpoints_) {
        bodies[item.incarnation] = simulated_endpoints::Heartbeat(
            item.service, item.address, 1, sequence_);
      }
      return bodies;
    };
    if (service == "broken") {
      fleet_.extra_service = {{"name", service}};
      for (const char* kind : {"safe", "unsafe", "stream"}) {
        fleet_.extra_routes.push_back({{"name", kind},
                                       {"host", "h"},
                                       {"path_prefix", PathOf(kind)},
                                       {"kind", kind},
                                       {"timeout_ms", 20000},
                                       {"goal_ms", 10000},
                                       {"service", service},
                                       {"max_attempts", 2}});
      }
    }
    return fleet_.Start();
  }

  static std::string PathOf(const std::string& kind) {
    return "/" + kind + "/";
  }

  http_response Send(const std::string& path, const std::string& id) {
    return fleet_.SendWithTimeout("e1", path, id, "body", milliseconds(5000));
  }

  bool HasAnyLogged(const std::string& text) {
    for (const char* node : {"e1", "e2", "c1", "c2", "c3", "s1", "s2", "s3"}) {
      if (fleet_.HasLogged(node, text)) return true;
    }
    return false;
  }

  std::vector<announced> endpoints_;
  std::atomic<int> sequence_{0};
  deployment fleet_;  // declared last because its thread uses the others
};

// Guards against an invalid response that reaches the caller of an entry on any
// kind of route.
TEST_F(InvalidResponseOfEndpointTest, ReachesNoCallerOfAnEntry) {
  changing_server endpoint;
  ASSERT_TRUE(Start("broken", endpoint.Address()));
  endpoint.Set(OrdinaryResponse("ready"));
  ASSERT_TRUE(WaitUntil([&] { return Send("/safe/x", "r").status == 200; }));
  int number = 0;
  for (const scripted_response& response : SomeResponses()) {
    endpoint.Set(response);
    for (const char* kind : {"safe", "unsafe", "stream"}) {
      const http_response got =
          Send(PathOf(kind) + "x", "r" + std::to_string(++number));
      EXPECT_EQ(got.status, 502) << response.name << " " << kind << got.error;
      EXPECT_TRUE(got.Header("X-Response-Stamp").empty()) << response.name;
    }
  }
}

class InvalidResponseAtInstanceTest : public ::testing::Test {
 protected:
  InvalidResponseAtInstanceTest() : fleet_(ThreeNodes()) {}

  void Announce(const std::string& id, const std::string& kind,
                const std::string& name, const std::string& address) {
    const auto got =
        fleet_.Web().Post(fleet_.Callers("n1"), "/v1/announcements",
                          {{"id", id},
                           {"address", address},
                           {"kind", kind},
                           {"name", name},
                           {"site", "north"},
                           {"zone", "z1"},
                           {"boot", 1},
                           {"seq", 1},
                           {"version", 1},
                           {"lease_ms", 30000}});
    ASSERT_EQ(got.status / 100, 2) << got.body;
  }

  bool HasAnyLogged(const std::string& text) const {
    for (const char* node : {"n1", "n2", "n3"}) {
      const std::string log = TextOf(fleet_.LogOf(node));
      if (log.find(text) != std::string::npos) return true;
    }
    return false;
  }

  cluster fleet_;
};

// Guards against an invalid response that reaches a caller of the native API.
TEST_F(InvalidResponseAtInstanceTest, ReachesNoCaller) {
  changing_server endpoint;
  ASSERT_TRUE(fleet_.Start(SmallConfiguration()));
  Announce("b1", "service", "bookings", endpoint.Address());
  ASSERT_TRUE(fleet_.WaitForEndpoints(1));
  endpoint.Set(OrdinaryResponse("ready"));
  const std::string address = fleet_.Callers("n1");
  const std::string path = "/v1/services/bookings/x";
  ASSERT_EQ(fleet_.Web().Get(address, path).status, 200);
  std::vector<scripted_response> responses = SomeResponses();
  for (const scripted_response& response : responses) {
    endpoint.Set(response);
    for (const bool is_idempotent : {true, false}) {
      const auto got = is_idempotent
                           ? fleet_.Web().Get(address, path)
                           : fleet_.Web().Post(address, path, json::object());
      EXPECT_GE(got.status, 502) << response.name << is_idempotent;
      EXPECT_EQ(got.body.find("case"), std::string::npos) << response.name;
      EXPECT_NE(BodyOf(got)["outcome"], "ran") << response.name;
    }
  }
}

// Guards against a generation that takes the text of an invalid response.
TEST_F(InvalidResponseAtInstanceTest, IsNoTextOfAGeneration) {
  std::vector<scripted_response> responses = SomeResponses();
  std::atomic<int> runs{0};
  scripted_server engine([&](const net::request& input) {
    const auto number = static_cast<size_t>(runs++);
    const json asked = json::parse(input.body.Text());
    const json chunk = {
        {"id", asked.at("request_id")},
        {"token_offset", 0},
        {"token_count", 1},
        {"choices",
         json::array({{{"text", "invalid text"}, {"finish_reason", "stop"}}})},
        {"weights_version", 1}};
    return ResponseTo(
        input, WithBody(responses[number % responses.size()],
                        "data: " + chunk.dump() + "\n\ndata: [DONE]\n\n"));
  });
  ASSERT_TRUE(fleet_.Start(SmallConfiguration()));
  fleet_.StartEndpoint({"e1"});
  Announce("x1", "engine", "model-a", engine.Address());
  ASSERT_TRUE(fleet_.WaitForEndpoints(2));
  for (int i = 0; i < 60; ++i) {
    const auto got = fleet_.Web().Post(
        fleet_.Callers("n" + std::to_string(1 + i % 3)),
        "/v1/pools/pool-a/generate",
        {{"prompt", "p" + std::to_string(i)}, {"max_tokens", 5}});
    EXPECT_EQ(got.status, 200) << got.body;
    EXPECT_EQ(got.body.find("invalid text"), std::string::npos) << got.body;
  }
  EXPECT_GT(runs, 0);
}

}  // namespace
}  // namespace hickorywood::testing
