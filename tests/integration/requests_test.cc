// Promises 4, 5, 6 and 12: complete responses, correct "not run",
// non-idempotent calls at most once, unresponsive connections.

#include <gtest/gtest.h>
#include <signal.h>

#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "support/cluster.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;
using transport::http_header;
using transport::http_response;

constexpr char kHolds[] = "/v1/services/bookings/holds";

class RequestsTest : public ::testing::Test {
 protected:
  RequestsTest() : fleet_(ThreeNodes()) {}

  void StartWith(const std::vector<endpoint_spec>& endpoints,
                 const std::string& configuration = SmallConfiguration()) {
    ASSERT_TRUE(fleet_.Start(configuration));
    for (const endpoint_spec& endpoint : endpoints) {
      fleet_.StartEndpoint(endpoint);
    }
    ASSERT_TRUE(fleet_.WaitForEndpoints(endpoints.size()));
  }

  void Behave(const std::string& endpoint, const json& behaviour) {
    ASSERT_EQ(fleet_.Web()
                  .Post(fleet_.EndpointAddress(endpoint), "/fake/behaviour",
                        behaviour)
                  .status,
              200);
  }

  // Returns how often the call with this body was run by the given endpoints.
  int64_t Runs(const std::vector<std::string>& endpoints,
               const std::string& body) {
    int64_t runs = 0;
    for (const std::string& id : endpoints) {
      const json state =
          fleet_.Web().GetJson(fleet_.EndpointAddress(id), "/fake/state");
      for (const auto& [key, count] : state["runs"].items()) {
        if (key.find(body) != std::string::npos) runs += count.get<int64_t>();
      }
    }
    return runs;
  }

  // Repeatedly sends a request that crashes its endpoint through each instance,
  // and restarts the crashed endpoints. Other requests must be served
  // meanwhile. Adds the crashes to `crashes`.
  void CountCrashes(
      std::vector<endpoint_spec> specs,
      const std::function<http_response(const std::string& node,
                                        const std::string& what)>& send,
      int& crashes) {
    for (endpoint_spec& spec : specs) spec.flags = {"--ends_on=crash"};
    StartWith(specs);
    for (int round = 0; round < kRounds; ++round) {
      for (const char* node : {"n1", "n2", "n3"}) {
        send(node, "crash");
        for (const endpoint_spec& spec : specs) {
          const auto exit_code = fleet_.Endpoint(spec.id).WaitForExit(
              std::chrono::milliseconds(0));
          if (!exit_code) continue;
          ++crashes;
          fleet_.StartEndpoint(spec);
        }
        ASSERT_TRUE(
            WaitUntil([&] { return send(node, "other").status == 200; }));
      }
    }
  }

  static constexpr int kRounds = 5;
  static constexpr int kCrashesBeforeQuarantine = 3;
  static constexpr int kMaxFurtherCrashes = 3;

  http_response Hold(const std::string& node, const std::string& key,
                     const std::string& body) {
    return fleet_.Web().Post(fleet_.Callers(node), kHolds, {{"hold", body}},
                             {{"Idempotency-Key", key}});
  }

  cluster fleet_;
};

const endpoint_spec kBooking1{"b1", "service", "bookings"};
const endpoint_spec kBooking2{"b2", "service", "bookings"};

// The response to a caller is lost and the caller repeats the call with the
// same key through every other instance: it gets the recorded response, and the
// call ran once.
TEST_F(RequestsTest, RepeatThroughAnotherInstanceGetsTheRecordedAnswer) {
  StartWith({kBooking1, kBooking2});
  const http_response first = Hold("n1", "key-1", "slot-9");
  ASSERT_EQ(first.status, 200) << first.body;
  for (const char* node : {"n2", "n3", "n1"}) {
    const http_response again = Hold(node, "key-1", "slot-9");
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(again.Header("Hickory-Recorded"), "true");
  }
  EXPECT_EQ(Runs({"b1", "b2"}, "slot-9"), 1);
  const http_response other = Hold("n2", "key-1", "slot-10");
  EXPECT_EQ(other.status, 422) << other.body;
  EXPECT_EQ(Runs({"b1", "b2"}, "slot-10"), 0);
}

// The same call arrives through all instances concurrently, many times: it runs
// once.
TEST_F(RequestsTest, ConcurrentRepeatsRunOnce) {
  StartWith({kBooking1, kBooking2});
  Behave("b1", {{"delay_ms", 50}});
  Behave("b2", {{"delay_ms", 50}});
  for (int round = 0; round < 5; ++round) {
    const std::string name = "slot-" + std::to_string(round);
    std::vector<std::future<http_response>> answers;
    for (int i = 0; i < 12; ++i) {
      answers.push_back(fleet_.Web().PostLater(
          fleet_.Callers("n" + std::to_string(1 + i % 3)), kHolds,
          {{"hold", name}}, {{"Idempotency-Key", name}}));
    }
    for (auto& answer : answers) {
      const http_response got = answer.get();
      EXPECT_TRUE(got.status == 200 || got.status == 409)
          << got.status << got.body;
    }
    EXPECT_EQ(Runs({"b1", "b2"}, name), 1);
  }
}

// The entry is killed after it has sent the call and before the response
// arrives. The caller repeats the call through another entry and gets
// "unknown". This stays so after the killed entry has restarted, after a
// restart of the control group, and after hundreds of other changes. The call
// never runs a second time.
TEST_F(RequestsTest, EntryKilledAfterDispatch) {
  StartWith({kBooking1});
  Behave("b1", {{"delay_ms", 1500}});
  const std::string killed = fleet_.Leader() == "n3" ? "n2" : "n3";
  auto lost = fleet_.Web().PostLater(fleet_.Callers(killed), kHolds,
                                     {{"hold", "slot-7"}},
                                     {{"Idempotency-Key", "key-7"}});
  ASSERT_TRUE(WaitUntil([&] { return Runs({"b1"}, "slot-7") == 1; }));
  fleet_.KillNode(killed);
  EXPECT_NE(lost.get().how, transport::delivery::kAnswered);
  const http_response early = Hold("n1", "key-7", "slot-7");
  EXPECT_TRUE(early.status == 409 || early.status == 502) << early.status;
  EXPECT_EQ(BodyOf(early)["outcome"], "unknown");
  fleet_.StartNode(killed);
  EXPECT_TRUE(
      WaitUntil([&] { return Hold("n1", "key-7", "slot-7").status == 502; }));
  for (int64_t i = 1; i <= 200; ++i) {
    ASSERT_EQ(fleet_.Web()
                  .Post(fleet_.Callers("n1"), "/v1/pools/pool-a/weights",
                        {{"version", i}})
                  .status,
              200);
  }
  for (const char* id : {"n1", "n2", "n3"}) fleet_.KillNode(id);
  for (const char* id : {"n1", "n2", "n3"}) fleet_.StartNode(id);
  ASSERT_TRUE(
      WaitUntil([&] { return fleet_.IsReady("n1") && fleet_.IsReady("n2"); }));
  const http_response late = Hold("n2", "key-7", "slot-7");
  EXPECT_EQ(BodyOf(late)["outcome"], "unknown") << late.body;
  EXPECT_EQ(Runs({"b1"}, "slot-7"), 1);
}

// The leader changes while calls with keys are made: each call runs at most
// once, and each call with response 200 ran exactly once.
TEST_F(RequestsTest, LeaderKilledWhileCallsAreClaimed) {
  StartWith({kBooking1, kBooking2});
  const std::string leader = fleet_.Leader();
  std::vector<std::string> others;
  for (const char* id : {"n1", "n2", "n3"}) {
    if (id != leader) others.push_back(id);
  }
  for (int i = 0; i < 40; ++i) {
    if (i == 10) fleet_.KillNode(leader);
    const std::string name = "seat-" + std::to_string(i) + "-";
    http_response answer;
    EXPECT_TRUE(WaitUntil([&] {
      answer = Hold(others[static_cast<size_t>(i) % 2], name, name);
      return answer.status == 200;
    })) << answer.status
        << answer.body;
    EXPECT_EQ(Runs({"b1", "b2"}, name), 1) << name;
  }
}

// The service reads the call and never responds. The caller gets "unknown" and
// not "not run", and the call is not sent to the other endpoint.
TEST_F(RequestsTest, EndpointFreezesAfterReading) {
  StartWith({kBooking1, kBooking2});
  Behave("b1", {{"freezes_after_read", true}});
  Behave("b2", {{"freezes_after_read", true}});
  const http_response keyed = Hold("n1", "key-f", "slot-f");
  EXPECT_EQ(keyed.status, 504);
  EXPECT_EQ(keyed.Header("Hickory-Outcome"), "unknown");
  const http_response bare =
      fleet_.Web().Post(fleet_.Callers("n2"), kHolds, {{"hold", "slot-g"}});
  EXPECT_EQ(bare.Header("Hickory-Outcome"), "unknown") << bare.body;
  EXPECT_EQ(Runs({"b1", "b2"}, "slot-f"), 1);
  EXPECT_EQ(Runs({"b1", "b2"}, "slot-g"), 1);
}

// The endpoint responds that it did not run the call. The caller gets "not
// run", the claim is released, and the same key runs when the endpoint accepts
// it.
TEST_F(RequestsTest, EndpointReportsNotRun) {
  StartWith({kBooking1});
  Behave("b1", {{"says_not_run", true}});
  const http_response refused = Hold("n1", "key-n", "slot-n");
  EXPECT_EQ(refused.Header("Hickory-Outcome"), "not_run") << refused.body;
  EXPECT_FALSE(refused.Header("Retry-After").empty());
  EXPECT_EQ(Runs({"b1"}, "slot-n"), 0);
  Behave("b1", json::object());
  EXPECT_EQ(Hold("n2", "key-n", "slot-n").status, 200);
  EXPECT_EQ(Runs({"b1"}, "slot-n"), 1);
}

// The connection is reset after it is opened, or before, during or after the
// write of the call. The caller gets "not run" only if the call did not run.
TEST_F(RequestsTest, ResetsAtAnyMomentNeverMakeNotRunUntrue) {
  StartWith({kBooking1});
  for (int i = 0; i < 40; ++i) {
    const std::string name = "cut-" + std::to_string(i) + "-";
    auto answer =
        fleet_.Web().PostLater(fleet_.Callers("n1"), kHolds, {{"hold", name}},
                               {{"Idempotency-Key", name}});
    std::this_thread::sleep_for(std::chrono::microseconds(
        150 * i));  // varies the time of the reset within the call
    fleet_.Proxy().SetFault(fleet_.EndpointLink("b1"), link_fault::kCut);
    const http_response got = answer.get();
    fleet_.Proxy().SetFault(fleet_.EndpointLink("b1"), link_fault::kNone);
    const int64_t runs = Runs({"b1"}, name);
    EXPECT_LE(runs, 1);
    if (got.Header("Hickory-Outcome") == "not_run") {
      EXPECT_EQ(runs, 0) << got.body;
    }
    if (got.status == 200) {
      EXPECT_EQ(runs, 1);
    }
  }
}

// The service responds with the id of another request. The caller must not get
// this response, and a call that may be repeated is sent to the other endpoint.
TEST_F(RequestsTest, AnswerToAnotherRequestIsNotPassedOn) {
  StartWith({kBooking1, kBooking2});
  Behave("b1", {{"echoes_wrong_id", true}});
  for (int i = 0; i < 10; ++i) {
    const http_response answer =
        fleet_.Web().Get(fleet_.Callers("n1"), "/v1/services/bookings/slots");
    ASSERT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(BodyOf(answer)["service"], "b2");
  }
}

// Responses to timed-out calls arrive late. Later calls over the same
// connections get their own responses: every caller receives its own body.
TEST_F(RequestsTest, LateAnswersNeverReachAnotherCaller) {
  StartWith({kBooking1}, SmallConfiguration("", "").replace(
                             SmallConfiguration().find("timeout: 4s"), 11,
                             "timeout: 300ms"));
  Behave("b1", {{"delay_ms", 400}});
  for (int i = 0; i < 3; ++i) {
    const http_response late =
        fleet_.Web().Get(fleet_.Callers("n1"),
                         "/v1/services/bookings/late-" + std::to_string(i));
    EXPECT_EQ(late.status, 504);
    EXPECT_NE(late.Header("Hickory-Outcome"), "not_run");
  }
  Behave("b1", json::object());
  for (int i = 0; i < 30; ++i) {
    const std::string path = "/own-" + std::to_string(i);
    const http_response own =
        fleet_.Web().Get(fleet_.Callers("n1"), "/v1/services/bookings" + path);
    ASSERT_EQ(own.status, 200) << own.body;
    EXPECT_NE(BodyOf(own)["ran"].get<std::string>().find(path),
              std::string::npos);
  }
}

// Guards against a call that crashes each endpoint that runs it and is never
// quarantined: the call is repeated through every instance, and the endpoints
// restart.
TEST_F(RequestsTest, CallThatCrashesItsEndpointsIsQuarantined) {
  int crashes = 0;
  CountCrashes(
      {kBooking1, kBooking2},
      [this](const std::string& node, const std::string& what) {
        return fleet_.Web().Get(fleet_.Callers(node),
                                "/v1/services/bookings/" + what);
      },
      crashes);
  EXPECT_LE(crashes, kCrashesBeforeQuarantine + kMaxFurtherCrashes);
  const http_response rejected =
      fleet_.Web().Get(fleet_.Callers("n2"), "/v1/services/bookings/crash");
  EXPECT_EQ(rejected.status, 429) << rejected.body;
  EXPECT_EQ(rejected.Header("Hickory-Outcome"), "not_run");
  EXPECT_FALSE(rejected.Header("Retry-After").empty());
}

// Guards against a generation that crashes its engines and is never
// quarantined.
TEST_F(RequestsTest, GenerationThatCrashesItsEnginesIsQuarantined) {
  int crashes = 0;
  CountCrashes(
      {{"e1"}, {"e2"}},
      [this](const std::string& node, const std::string& what) {
        return fleet_.Web().Post(
            fleet_.Callers(node), "/v1/pools/pool-a/generate",
            {{"prompt", what}, {"max_tokens", 5}, {"deadline_ms", 2000}});
      },
      crashes);
  EXPECT_LE(crashes, kCrashesBeforeQuarantine + kMaxFurtherCrashes);
}

// A middlebox between the instance and the endpoint drops the state of all open
// connections; new ones work. A call that may be repeated succeeds over a new
// connection within its timeout.
TEST_F(RequestsTest, StaleConnectionsToAnEndpoint) {
  StartWith({kBooking1, kBooking2}, SmallConfiguration());
  for (int i = 0; i < 6; ++i) {
    ASSERT_EQ(fleet_.Web()
                  .Get(fleet_.Callers("n1"), "/v1/services/bookings/x")
                  .status,
              200);
  }
  for (const char* id : {"b1", "b2"}) {
    fleet_.Proxy().SetFault(fleet_.EndpointLink(id),
                            link_fault::kBlackholeExisting);
  }
  const http_response answer =
      fleet_.Web().Get(fleet_.Callers("n1"), "/v1/services/bookings/x");
  EXPECT_EQ(answer.status, 200) << answer.body;
}

// All links between the instances drop the state of their open connections at
// once. The group keeps a leader and accepts changes within seconds, over new
// connections.
TEST_F(RequestsTest, StaleConnectionsBetweenInstances) {
  StartWith({});
  for (const char* id : {"n1", "n2", "n3"}) {
    fleet_.Isolate(id, link_fault::kBlackholeExisting);
  }
  json answer;
  EXPECT_TRUE(WaitUntil([&] {
    answer = fleet_.Submit("n2", "base", SmallConfiguration() + "# changed\n",
                           "after-silence", 1);
    return answer["http_status"] == 200;
  })) << answer;
  EXPECT_TRUE(WaitUntil([&] {
    return fleet_.IsReady("n1") && fleet_.IsReady("n2") && fleet_.IsReady("n3");
  }));
}

// One engine is always full and the other one is free. Every prompt has a home
// engine for its cached prefix. Prompts whose home is the full engine must be
// served by the other engine, immediately and not when their deadline expires.
TEST_F(RequestsTest, PromptOfABusyPreferredEngineGoesElsewhere) {
  StartWith({{"e1"},
             {"e2", "engine", "model-a", "north", "z1", {"--most_queued=0"}}});
  for (int i = 0; i < 10; ++i) {
    const http_response answer =
        fleet_.Web().Post(fleet_.Callers("n1"), "/v1/pools/pool-a/generate",
                          {{"prompt", "p" + std::to_string(i)},
                           {"max_tokens", 20},
                           {"deadline_ms", 4000}});
    ASSERT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(BodyOf(answer)["engine"], "e1");
  }
}

// One engine reads a generation and never responds, the other one always
// rejects because it is full. The deadline expires. The first engine may have
// run the generation, so the caller must not get "not run", regardless of the
// rejections by the second engine.
TEST_F(RequestsTest, BusyEngineDoesNotUndoAnEarlierAttempt) {
  StartWith({{"e1"},
             {"e2", "engine", "model-a", "north", "z1", {"--most_queued=0"}}});
  Behave("e1", {{"goes_silent", true}});
  const http_response answer = fleet_.Web().Post(
      fleet_.Callers("n1"), "/v1/pools/pool-a/generate",
      {{"prompt", "p"}, {"max_tokens", 20}, {"deadline_ms", 4000}});
  const json state =
      fleet_.Web().GetJson(fleet_.EndpointAddress("e1"), "/fake/state");
  ASSERT_GE(state["started"].get<int64_t>(), 1);
  EXPECT_EQ(answer.Header("Hickory-Outcome"), "unknown") << answer.body;
}

}  // namespace
}  // namespace hickorywood::testing
