// Callers that identify their customer by a key, at a deployment of real
// processes.

#include <gtest/gtest.h>
#include <signal.h>

#include <string>

#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

json TwoCustomers() {
  return json::array({{{"name", "first"}, {"api_keys", {"k1", "k2"}}},
                      {{"name", "second"}, {"api_keys", {"k3"}}}});
}

// Guards against keys that endpoints see, and against work on behalf of a
// customer that the caller has made up.
TEST(KeyedCallersTest, EndpointsLearnTheCustomerAndNoKey) {
  deployment fleet;
  fleet.customers = TwoCustomers();
  fleet.caller_key = "k1";
  ASSERT_TRUE(fleet.Start());
  EXPECT_EQ(fleet.Plain("e1", "plain").status, kOk);
  EXPECT_EQ(fleet.Stream("e2", "stream", "").status, kOk);
  ASSERT_TRUE(fleet.Submit("e1", "step", 2, true));
  EXPECT_EQ(fleet.WaitForResults("e2", "step", 2).size(), 2U);
  for (const std::string& id :
       {std::string("plain"), std::string("stream"),
        deployment::TaskId("step", 0), deployment::RewardId("step", 1)}) {
    EXPECT_EQ(fleet.Endpoints().CustomerOf(id), "first") << id;
  }
  EXPECT_EQ(fleet.Endpoints().KeysSeen(), 0);
}

TEST(KeyedCallersTest, UnknownKeysAreRefused) {
  deployment fleet;
  fleet.customers = TwoCustomers();
  fleet.caller_key = "k1";
  ASSERT_TRUE(fleet.Start());
  for (const char* key : {"", "k4"}) {
    fleet.caller_key = key;
    const std::string id = std::string("with-") + key;
    EXPECT_EQ(fleet.Plain("e1", id).status, kUnauthorized);
    EXPECT_EQ(fleet.ReadResults("e1", "step", 0).status, kUnauthorized);
    EXPECT_EQ(fleet.Endpoints().RunsOf(id), 0);
  }
}

// Guards against callers that read or end the steps of other customers.
TEST(KeyedCallersTest, StepsBelongToTheirCustomer) {
  deployment fleet;
  fleet.customers = TwoCustomers();
  fleet.caller_key = "k1";
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(std::chrono::milliseconds(2000));
  ASSERT_TRUE(fleet.Submit("e1", "step", 1));
  fleet.caller_key = "k3";
  EXPECT_EQ(fleet.ReadResults("e2", "step", 0).status, kNotFound);
  EXPECT_EQ(fleet.ReadBody("e2", "step", 0).status, kNotFound);
  fleet.caller_key = "k2";
  EXPECT_EQ(fleet.ReadResults("e2", "step", 0).status, kOk);
  EXPECT_EQ(fleet.ReadBody("e2", "step", 0).body,
            deployment::BodyOf("step", 0));
}

// Guards against a step that ends with the key that submitted it.
TEST(KeyedCallersTest, StepOutlivesTheKeyThatSubmittedIt) {
  deployment fleet;
  fleet.customers = TwoCustomers();
  fleet.caller_key = "k1";
  ASSERT_TRUE(fleet.Start());
  fleet.Endpoints().SetEventTime(std::chrono::milliseconds(100));
  ASSERT_TRUE(fleet.Submit("e1", "step", 2));
  fleet.customers[0]["api_keys"] = {"k2"};
  ASSERT_TRUE(fleet.PutConfiguration(2, true));
  ASSERT_TRUE(WaitUntil([&] {
    return fleet.ReadResults("e1", "step", 0).status == kUnauthorized;
  }));
  fleet.caller_key = "k2";
  EXPECT_EQ(fleet.WaitForResults("e2", "step", 2).size(), 2U);
}

// Guards against entries that accept keys although no control instance can tell
// them which ones were withdrawn.
TEST(KeyedCallersTest, EntriesOutOfContactRefuseKeys) {
  deployment fleet;
  fleet.customers = TwoCustomers();
  fleet.caller_key = "k1";
  fleet.extra_settings = "access: {revocation_limit: 3s}\n";
  ASSERT_TRUE(fleet.Start());
  for (const std::string& control : fleet.Controls()) {
    fleet.Node(control).Signal(SIGSTOP);
  }
  int requests = 0;
  ASSERT_TRUE(WaitUntil([&] {
    return fleet.Plain("e1", "cut-" + std::to_string(++requests)).status ==
           kUnavailable;
  }));
  EXPECT_FALSE(fleet.IsReady("e1"));
  const std::string last = "cut-" + std::to_string(requests);
  EXPECT_EQ(fleet.Endpoints().RunsOf(last), 0);
  for (const std::string& control : fleet.Controls()) {
    fleet.Node(control).Signal(SIGCONT);
  }
  EXPECT_TRUE(WaitUntil([&] {
    return fleet.Plain("e1", "back-" + std::to_string(++requests)).status ==
           kOk;
  }));
}

}  // namespace
}  // namespace hickorywood::testing
