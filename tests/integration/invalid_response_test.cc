// Endpoints and a provider that send invalid responses to a deployment of real
// processes, and to instances with the native API.

#include <gtest/gtest.h>

#include <algorithm>
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

// A crash would be detected within this time.
constexpr milliseconds kCrashCheckTime{1500};
// Logged when a crash of an endpoint is attributed to a request.
constexpr char kCrashEvent[] = "HK5007";

// All responses whose head is invalid.
std::vector<scripted_response> InvalidHeads() {
  std::vector<scripted_response> all;
  for (const auto& list : {InvalidStatuses(), InvalidStatusLines(),
                           InvalidFields(), InvalidFramings()}) {
    all.insert(all.end(), list.begin(), list.end());
  }
  return all;
}

// An invalid success that a lenient parser accepts.
scripted_response InvalidSuccess(const std::string& body) {
  for (const scripted_response& response : InvalidFields()) {
    if (response.name == "LineBeginsWithBlank") return WithBody(response, body);
  }
  return {};
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
// kind of route, and against a reason that no log line states.
TEST_F(InvalidResponseOfEndpointTest, ReachesNoCallerOfAnEntry) {
  changing_server endpoint;
  ASSERT_TRUE(Start("broken", endpoint.Address()));
  endpoint.Set(OrdinaryResponse("ready"));
  ASSERT_TRUE(WaitUntil([&] { return Send("/safe/x", "r").status == 200; }));
  int number = 0;
  for (const scripted_response& response : InvalidHeads()) {
    endpoint.Set(response);
    for (const char* kind : {"safe", "unsafe", "stream"}) {
      const http_response got =
          Send(PathOf(kind) + "x", "r" + std::to_string(++number));
      EXPECT_EQ(got.status, 502) << response.name << " " << kind << got.error;
      EXPECT_TRUE(got.Header("X-Response-Stamp").empty()) << response.name;
    }
  }
  // The third request was a stream.
  for (const char* line :
       {R"("request":"r1","endpoint":"x-1","status":"0","may_have_run":"true",)"
        R"("reason":"the status of the response is not from 100)",
        R"("request":"r3","endpoint":"x-1","may_have_run":"true",)"
        R"("reason":"the status of the response is not from 100)",
        R"("reason":"a field line begins with a blank)"}) {
    EXPECT_TRUE(WaitUntil([&] { return fleet_.HasLogged("e1", line); }))
        << line;
  }
}

// Guards against a request or a task that is suspected because its endpoint
// ends after an invalid response.
TEST_F(InvalidResponseOfEndpointTest, InnocentRequestsAreNotSuspected) {
  const auto respond = [](const net::request& input) {
    scripted_response response = InvalidFields().front();
    response.stops = true;
    return ResponseTo(input, response);
  };
  scripted_server plain(respond);
  scripted_server single(respond);
  scripted_server stream(respond);
  scripted_server engine(respond);
  ASSERT_TRUE(Start("broken", plain.Address(),
                    {{"x-2", "broken", single.Address()},
                     {"x-3", "broken", stream.Address()},
                     {"x-4", "engines", engine.Address()}}));
  for (const char* kind : {"unsafe", "stream", "safe"}) {
    EXPECT_GE(Send(PathOf(kind) + "x", kind).status, 502) << kind;
  }
  ASSERT_TRUE(fleet_.Submit("e1", "step", 24));
  EXPECT_EQ(fleet_.WaitForResults("e1", "step", 24).size(), 24U);
  EXPECT_EQ(plain.Requests() + single.Requests() + stream.Requests(), 3);
  EXPECT_GT(engine.Requests(), 0);
  std::this_thread::sleep_for(kCrashCheckTime);
  EXPECT_FALSE(HasAnyLogged(kCrashEvent));
}

// Guards against a text of a task that is taken from an invalid response.
TEST_F(InvalidResponseOfEndpointTest, IsNoTextOfATask) {
  constexpr int kTasks = 24;
  constexpr char kStep[] = "step";
  scripted_server engine([](const net::request& input) {
    return ResponseTo(input, InvalidSuccess(kCaseBody));
  });
  ASSERT_TRUE(Start("engines", engine.Address()));
  ASSERT_TRUE(fleet_.Submit("e1", kStep, kTasks));
  const json results = fleet_.WaitForResults("e1", kStep, kTasks);
  ASSERT_EQ(results.size(), static_cast<size_t>(kTasks));
  for (const json& result : results) {
    const std::string id = result["id"];
    EXPECT_EQ(result["output"], simulated_endpoints::OutputOf(id));
  }
  EXPECT_GT(engine.Requests(), 0);
}

// Guards against a report or the outcome of an order that is taken from an
// invalid response of an engine.
TEST_F(InvalidResponseOfEndpointTest, IsNeitherAReportNorTheOutcomeOfAnOrder) {
  const auto report = [](int version) {
    return json({{"models",
                  json::array({{{"name", "n"}, {"version", version}}})},
                 {"busy", false},
                 {"seq", version - 1}})
        .dump();
  };
  std::atomic<int> reports{0};
  scripted_server engine([&](const net::request& input) {
    if (input.target != "/v1/report") {
      return ResponseTo(input, InvalidSuccess("{}"));
    }
    // Only the second report is valid, and is followed by an order.
    return ResponseTo(input, ++reports == 2 ? OrdinaryResponse(report(1))
                                            : InvalidSuccess(report(2)));
  });
  const json models = json::array({{{"name", "n"}}});
  fleet_.extra_service = {{"name", "loaders"},
                          {"engine", {{"slots", 8}, {"models", models}}}};
  ASSERT_TRUE(Start("loaders", engine.Address()));
  ASSERT_EQ(fleet_.Web()
                    .Post(fleet_.ControlAddress(fleet_.ControlLeader()),
                          "/v1/version-put", {{"model", "n"}, {"version", 2}})
                    .status /
                100,
            2);
  EXPECT_TRUE(WaitUntil([this] {
    return HasAnyLogged("\"status\":\"none: a field line begins with a blank");
  }));
  EXPECT_FALSE(HasAnyLogged(
      R"("endpoint":"x-1","model":"n","version":"2","done":"true")"));
}

class InvalidResponseOfProviderTest : public ::testing::Test {
 protected:
  // Windows of usage reports and numbers of ordered servers, in the order of
  // their arrival.
  std::vector<int64_t> windows_;
  int orders_ = 0;
  std::mutex mutex_;
  // The first response to each kind of call is invalid.
  scripted_server provider_{[this](const net::request& input) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const scripted_response invalid = InvalidSuccess("{}");
    if (input.target == "/usage") {
      windows_.push_back(json::parse(input.body.Text()).at("window_id"));
      return ResponseTo(
          input, windows_.size() == 1 ? invalid : OrdinaryResponse("{}"));
    }
    return ResponseTo(input, ++orders_ == 1 ? invalid : OrdinaryResponse("{}"));
  }};
  deployment fleet_;  // declared last because its thread uses the others
};

// Guards against a report of usage that counts as accepted because of an
// invalid response, and is never sent again.
TEST_F(InvalidResponseOfProviderTest, IsNoAcceptedReport) {
  fleet_.customers = json::array({{{"name", "first"}, {"api_keys", {"k1"}}}});
  fleet_.caller_key = "k1";
  fleet_.extra_settings =
      "usage: {window: 1s, due: 8s}\nprovider: {address: \"" +
      provider_.Address() + "\", duties: [usage]}\n";
  ASSERT_TRUE(fleet_.Start());
  ASSERT_TRUE(WaitUntil([this] {
    const std::lock_guard<std::mutex> lock(mutex_);
    return windows_.size() >= 2;
  }));
  const std::lock_guard<std::mutex> lock(mutex_);
  EXPECT_EQ(windows_[0], windows_[1]);
}

// Guards against an order of servers that counts as accepted because of an
// invalid response.
TEST_F(InvalidResponseOfProviderTest, IsNoAcceptedOrder) {
  constexpr char kService[] = "ordered";
  std::atomic<int> servers{4};
  std::atomic<int> sequence{0};
  fleet_.extra_service = {{"name", kService},
                          {"scaling",
                           {{"min", 1},
                            {"max", 8},
                            {"startup_s", 1.0},
                            {"spot_price", 0.2},
                            {"zone_prices", {{"za", 1.0}}}}}};
  fleet_.extra_settings = "provider: {address: \"" + provider_.Address() +
                          "\", duties: [autoscale]}\n";
  fleet_.extra_heartbeats = [&] {
    ++sequence;
    std::map<std::string, std::string> bodies;
    for (int i = 0; i < servers; ++i) {
      json body = json::parse(simulated_endpoints::Heartbeat(
          kService, "127.0.0.9:" + std::to_string(9000 + i), 1, sequence));
      body["zone"] = "za";
      bodies["s" + std::to_string(i)] = body.dump();
    }
    return bodies;
  };
  ASSERT_TRUE(fleet_.Start());
  ASSERT_TRUE(WaitUntil([&] {
    for (const std::string& control : fleet_.Controls()) {
      const json report = fleet_.Scaling(control);
      if (!report.is_object() || report["services"].empty()) continue;
      for (const json& group : report["services"][0]["groups"]) {
        if (group["target"] == servers.load()) return true;
      }
    }
    return false;
  }));
  servers = 3;
  EXPECT_TRUE(WaitUntil([&] {
    return fleet_.Leave(fleet_.Controls().front(), "s3") ||
           fleet_.Leave(fleet_.Controls().back(), "s3");
  }));
  EXPECT_TRUE(WaitUntil([this] {
    const std::lock_guard<std::mutex> lock(mutex_);
    return orders_ >= 2;
  }));
  const auto has_logged = [this](const std::string& control) {
    return fleet_.HasLogged(control, "\"status\":\"no answer: a field line");
  };
  const std::vector<std::string>& controls = fleet_.Controls();
  EXPECT_TRUE(std::any_of(controls.begin(), controls.end(), has_logged));
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

// Guards against an invalid response that reaches a caller of the native API,
// and against a call that is suspected because the endpoint ends after it.
TEST_F(InvalidResponseAtInstanceTest, ReachesNoCaller) {
  changing_server endpoint;
  ASSERT_TRUE(fleet_.Start(SmallConfiguration()));
  Announce("b1", "service", "bookings", endpoint.Address());
  ASSERT_TRUE(fleet_.WaitForEndpoints(1));
  endpoint.Set(OrdinaryResponse("ready"));
  const std::string address = fleet_.Callers("n1");
  const std::string path = "/v1/services/bookings/x";
  ASSERT_EQ(fleet_.Web().Get(address, path).status, 200);
  std::vector<scripted_response> responses = InvalidHeads();
  for (const auto& list : {InvalidChunks(), InvalidTrailers()}) {
    responses.insert(responses.end(), list.begin(), list.end());
  }
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
  scripted_response last = InvalidStatuses().front();
  last.stops = true;
  endpoint.Set(last);
  EXPECT_GE(fleet_.Web().Get(address, path).status, 502);
  std::this_thread::sleep_for(kCrashCheckTime);
  EXPECT_FALSE(HasAnyLogged(kCrashEvent));
}

// Guards against a generation that takes the text of an invalid response, and
// against an order that counts as accepted by an invalid response.
TEST_F(InvalidResponseAtInstanceTest, IsNeitherATextNorTheOutcomeOfAnOrder) {
  std::vector<scripted_response> responses = InvalidHeads();
  std::atomic<int> runs{0};
  std::atomic<int> orders{0};
  scripted_server engine([&](const net::request& input) {
    if (input.target == "/v1/orders") {
      ++orders;
      return ResponseTo(input, InvalidSuccess("{}"));
    }
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
  ASSERT_EQ(fleet_.Web()
                .Post(fleet_.Callers("n1"), "/v1/pools/pool-a/weights",
                      {{"version", 2}})
                .status,
            200);
  EXPECT_TRUE(WaitUntil([&] { return orders > 0; }));
  EXPECT_TRUE(WaitUntil([&] { return HasAnyLogged("HK4006"); }));
  EXPECT_FALSE(HasAnyLogged(kCrashEvent));
}

}  // namespace
}  // namespace hickorywood::testing
