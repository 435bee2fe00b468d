// Access tokens and malformed or oversized input: the request is rejected with
// a clear response, nothing changes, and the process stays alive.

#include <gtest/gtest.h>

#include <fstream>
#include <string>

#include "support/cluster.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

// For each route, a body with a field of a wrong type.
constexpr char kWrongTypes[] =
    R"({"max_tokens":"many","version":"new","cursor":-1,"seq":"x",)"
    R"("based_on":"","prompts":7})";
constexpr char kTruncatedMessage[] =
    R"({"jsonrpc":"2.0","id":1,"method":"consensus.step",)"
    R"("params":{"payload":"{\"kind\":"}})";

// Requests with a wrong or missing token get 403 or 401 and change nothing.
TEST(AccessTest, TokensAreRequired) {
  const std::string folder = MakeTemporaryFolder();
  for (const char* kind : {"operators", "endpoints", "trainers", "peers"}) {
    std::ofstream(folder + "/" + kind) << "secret-of-" << kind << "\n";
  }
  const std::string settings = "tokens: {operators: " + folder +
                               "/operators, endpoints: " + folder +
                               "/endpoints, trainers: " + folder +
                               "/trainers, peers: " + folder + "/peers}\n";
  cluster fleet({{"n1"}}, settings);
  fleet.StartNode("n1");
  const std::string callers = fleet.Callers("n1");
  const auto with = [](const std::string& token) {
    return std::vector<transport::http_header>{
        {"Authorization", "Bearer " + token}};
  };
  web& client = fleet.Web();
  EXPECT_EQ(client.Post(callers, "/v1/group/bootstrap", json::object()).status,
            401);
  EXPECT_EQ(client
                .Post(callers, "/v1/group/bootstrap", json::object(),
                      with("secret-of-trainers"))
                .status,
            403);
  EXPECT_EQ(client
                .Post(callers, "/v1/group/bootstrap", json::object(),
                      with("secret-of-operators"))
                .status,
            200);
  EXPECT_EQ(client
                .Post(callers, "/v1/announcements", json::object(),
                      with("secret-of-operators"))
                .status,
            403);
  EXPECT_EQ(client
                .Post(callers, "/v1/announcements", json::object(),
                      with("secret-of-endpoints"))
                .status,
            400);
  EXPECT_EQ(client.Post(callers, "/v1/pools/p/generate", json::object()).status,
            401);
  EXPECT_EQ(
      client.Post(fleet.Peers("n1"), "/peer/v1/status", json::object()).status,
      401);
  EXPECT_EQ(client
                .Post(fleet.Peers("n1"), "/peer/v1/status", json::object(),
                      with("secret-of-peers"))
                .status,
            200);
  EXPECT_EQ(client.Get(callers, "/healthz").status, 200);
}

// Any input is answered with 4xx and never crashes the process.
TEST(AccessTest, MalformedAndOversizedInput) {
  cluster fleet({{"n1"}}, "limits: {request_bytes: 65536}\n");
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  const auto post = [&](const std::string& address, const std::string& path,
                        const std::string& body) {
    transport::http_request request;
    request.url = "http://" + address + path;
    request.body = body;
    request.total_timeout = std::chrono::milliseconds(5000);
    return fleet.Web().Send(std::move(request));
  };
  const std::string callers = fleet.Callers("n1");
  for (const char* path :
       {"/v1/announcements", "/v1/pools/pool-a/generate",
        "/v1/pools/pool-a/steps", "/v1/pools/pool-a/steps/x/pull",
        "/v1/configuration", "/v1/pools/pool-a/weights"}) {
    for (const char* body :
         {"", "{", "[]", "null", kWrongTypes, "{\"max_tokens\":1e999}"}) {
      const auto answer = post(callers, path, body);
      EXPECT_GE(answer.status, 400) << path << body;
      EXPECT_LT(answer.status, 500) << path << body;
    }
  }
  const auto large =
      post(callers, "/v1/pools/pool-a/generate", std::string(200000, 'x'));
  EXPECT_TRUE(large.status == 413 ||
              large.how != transport::delivery::kAnswered)
      << large.status;
  for (const char* body :
       {"", "{", kTruncatedMessage,
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"no.such\",\"params\":{}"
        "}"}) {
    EXPECT_NE(post(fleet.Peers("n1"), "/peer/v1/rpc", body).body.find("error"),
              std::string::npos)
        << body;
  }
  EXPECT_EQ(fleet.Web().Get(callers, "/no/such/route").status, 404);
  EXPECT_EQ(fleet.Web().Get(callers, "/v1/announcements").status, 405);
  EXPECT_TRUE(fleet.IsReady("n1"));
}

// A load balancer sends requests to an instance that has started and has no
// configuration yet. No response may report that the pool or service does not
// exist: each response states that the request was not run and when to retry.
TEST(AccessTest, InstanceWithoutConfigurationRejectsCallers) {
  cluster fleet({{"n1"}});
  fleet.StartNode("n1");
  for (const char* path :
       {"/v1/pools/pool-a/weights", "/v1/pools/pool-a/generate",
        "/v1/pools/pool-a/steps", "/v1/services/bookings/x"}) {
    const json body = {{"version", 2}, {"prompt", "p"},  {"max_tokens", 4},
                       {"step", "s"},  {"trainer", "t"}, {"prompts", {"p"}}};
    const auto answer = fleet.Web().Post(fleet.Callers("n1"), path, body);
    EXPECT_EQ(answer.status, 503) << path << answer.body;
    EXPECT_EQ(answer.Header("Hickory-Outcome"), "not_run") << path;
    EXPECT_FALSE(answer.Header("Retry-After").empty()) << path;
  }
}

}  // namespace
}  // namespace hickorywood::testing
