// Tests reward calls over real sockets: which endpoints receive them, how
// often, and the outcome if no score arrives.

#include "store/reward_caller.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event.h"
#include "net/listener.h"
#include "platform/protocol.h"
#include "support/duplicate_response_server.h"
#include "support/response_cases.h"
#include "support/scripted_server.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using core::milliseconds;

constexpr milliseconds kLoopTurn{5};
constexpr milliseconds kTestTimeout{10000};
constexpr int64_t kSlots = 4;
constexpr int64_t kMaxAttempts = 2;

net::response SignedResponse(const net::request& input, int status,
                             const std::string& mark) {
  net::response answer;
  answer.status = status;
  answer.headers = {
      {"X-Request-Id", std::string(net::Find(input.headers, "X-Request-Id"))},
      {"X-Response-Stamp", mark}};
  return answer;
}

class RewardCallerTest : public ::testing::Test {
 protected:
  using handler = std::function<awaitable<void>(net::exchange&)>;

  RewardCallerTest() {
    fleet::route route;
    route.name = "rewards";
    route.host = "h";
    route.path_prefix = "/r/";
    route.kind = fleet::route_kind::kNonIdempotent;
    route.services = {{"scorers", 1}};
    route.timeout_ms = 5000;
    route.objective_ms = 20000;
    route.max_attempts = kMaxAttempts;
    view_.config.version = 1;
    view_.config.routes = {route};
    caller_.on_finished = [this](const task_key& key, reward_outcome how,
                                 const std::string& score) {
      results_[key.task] = how == reward_outcome::kScored ? score : "abandoned";
    };
    caller_.on_failed = [this](const task_key& key, int64_t failures) {
      failures_[key.task] = failures;
    };
    caller_.open_in_group = [this](const task_key& key) {
      return open_in_group_[key.task];
    };
  }

  void AddEndpoint(const std::string& service, const std::string& address) {
    fleet::endpoint item;
    item.incarnation = "w" + std::to_string(view_.endpoints.size() + 1);
    item.name = item.incarnation;
    item.service = service;
    item.address = address;
    item.slots = kSlots;
    view_.endpoints.push_back(item);
  }

  void StartEndpoint(const handler& serve) {
    net::listener_options options;
    options.address = "127.0.0.1:0";
    options.limits = [] { return net::caller_limits{}; };
    listeners_.push_back(std::make_unique<net::listener>(
        loop_, options, [this, serve](net::exchange& call) {
          received_ids_.emplace_back(
              net::Find(call.Request().headers, "X-Request-Id"));
          return serve(call);
        }));
    ASSERT_TRUE(listeners_.back()->Start());
    AddEndpoint("scorers",
                "127.0.0.1:" + std::to_string(listeners_.back()->Port()));
  }

  void Add(uint32_t task, const std::string& step = "s") {
    reward_job job;
    job.key = {step, task};
    job.request = {"r" + std::to_string(task), "h", "/r/x", "body"};
    caller_.Add(job);
  }

  // Runs the loop until `is_done`, and sends waiting requests before each turn.
  bool RunUntil(const std::function<bool()>& is_done) {
    const core::time_point deadline =
        std::chrono::steady_clock::now() + kTestTimeout;
    while (!is_done() && std::chrono::steady_clock::now() < deadline) {
      caller_.SendWaiting();
      loop_.restart();
      loop_.run_for(kLoopTurn);
    }
    return is_done();
  }

  boost::asio::io_context loop_;
  core::runtime_clock clock_;
  net::connection_pool pool_{loop_};
  const std::unique_ptr<fleet::protocol> wire_ = platform::MakeProtocol();
  fleet::view view_;
  quarantine::crash_detector crashes_{
      loop_, clock_, pool_, view_,
      [](fleet::crash_update) -> boost::asio::awaitable<bool> {
        co_return true;
      }};
  routing::request_sender sender_{loop_, clock_,   pool_, *wire_,
                                  view_, crashes_, "z"};
  reward_caller caller_{loop_, clock_, sender_, *wire_, view_};
  std::vector<std::unique_ptr<net::listener>> listeners_;
  std::vector<std::string> received_ids_;  // of requests at the endpoints
  std::map<uint32_t, std::string> results_;
  std::map<uint32_t, int64_t> failures_;
  std::map<uint32_t, size_t> open_in_group_;
};

// One endpoint closes each connection without a response, and another responds
// without a signature. Only the response of the third endpoint is complete and
// signed, so only its score is used.
TEST_F(RewardCallerTest, LostAndUnsignedAnswersGoElsewhere) {
  view_.config.routes[0].max_attempts = 3;
  StartEndpoint([](net::exchange&) -> awaitable<void> { co_return; });
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response unsigned_answer;
    co_await call.Reply(std::move(unsigned_answer));
  });
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response answer = SignedResponse(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
  });
  Add(0);
  EXPECT_TRUE(RunUntil([this] { return !results_.empty(); }));
  EXPECT_EQ(results_[0], "mark");
}

// Every endpoint responds with 500. The request is sent to as many endpoints as
// the route allows before the job is abandoned.
TEST_F(RewardCallerTest, AbandonedAfterTheAttemptsOfTheRoute) {
  for (int i = 0; i < 3; ++i) {
    StartEndpoint([](net::exchange& call) -> awaitable<void> {
      net::response answer = SignedResponse(call.Request(), 500, "mark");
      co_await call.Reply(std::move(answer));
    });
  }
  Add(0);
  EXPECT_TRUE(RunUntil([this] { return !results_.empty(); }));
  EXPECT_EQ(results_[0], "abandoned");
  EXPECT_EQ(received_ids_.size(), static_cast<size_t>(kMaxAttempts));
}

// Guards against a job that gets all of its attempts again from each new
// leader.
TEST_F(RewardCallerTest, EarlierFailedAttemptsCount) {
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response answer = SignedResponse(call.Request(), 500, "mark");
    co_await call.Reply(std::move(answer));
  });
  Add(0);
  EXPECT_TRUE(RunUntil([this] { return failures_[0] == 1; }));
  caller_.CancelAll();
  reward_job job;
  job.key = {"s", 0};
  job.request = {"r0", "h", "/r/x", "body"};
  job.failures = failures_[0];
  caller_.Add(job);
  EXPECT_TRUE(RunUntil([this] { return !results_.empty(); }));
  EXPECT_EQ(results_[0], "abandoned");
  EXPECT_EQ(received_ids_.size(), static_cast<size_t>(kMaxAttempts));
}

// Guards against a job that is abandoned because one failed response arrived
// twice. A reward request that is sent again has the same id, so the second
// response could be taken for the response to the second request.
TEST_F(RewardCallerTest, RepeatedFailureResponseCountsOnce) {
  const fleet::route common = view_.config.routes[0];
  std::vector<std::unique_ptr<net::duplicate_response_server>> scorers;
  for (net::duplicate_response script : net::AllDuplicateResponses()) {
    script.failures = 1;
    scorers.push_back(std::make_unique<net::duplicate_response_server>(
        loop_, script, [](const net::request&, int, bool) { return "text"; }));
    const auto task = static_cast<uint32_t>(scorers.size());
    const std::string service = "scorers-" + std::to_string(task);
    AddEndpoint(service, scorers.back()->Address());
    fleet::route scorer_route = common;
    scorer_route.name = service;
    scorer_route.path_prefix = "/" + service + "/";
    scorer_route.services = {{service, 1}};
    view_.config.routes.push_back(scorer_route);
    reward_job job;
    job.key = {"s", task};
    job.request = {"r" + std::to_string(task), "h", scorer_route.path_prefix,
                   "body"};
    caller_.Add(job);
  }
  EXPECT_TRUE(RunUntil([&] { return results_.size() == scorers.size(); }));
  for (const auto& [task, score] : results_) EXPECT_EQ(score, "signed") << task;
}

// The endpoint rejects requests because it is full, for longer than one call
// retries. This is no failure: the request is sent again until a slot is free.
TEST_F(RewardCallerTest, RejectionByFullEndpointsIsNoFailure) {
  int refusals = 12;
  StartEndpoint([&refusals](net::exchange& call) -> awaitable<void> {
    net::response answer = SignedResponse(call.Request(), 200, "mark");
    if (refusals-- > 0) {
      answer = net::response{};
      answer.status = 503;
      answer.headers = {{"X-Not-Run", "1"}};
    }
    co_await call.Reply(std::move(answer));
  });
  Add(0);
  EXPECT_TRUE(RunUntil([this] { return !results_.empty(); }));
  EXPECT_EQ(results_[0], "mark");
}

// A trainer ends a step while some of its requests are at an endpoint and
// others wait. The sent requests are cancelled, the waiting requests never
// reach an endpoint, and the requests of another step continue.
TEST_F(RewardCallerTest, EndedStepReachesNoEndpoint) {
  bool must_wait = true;
  bool was_cut = false;
  StartEndpoint([&](net::exchange& call) -> awaitable<void> {
    struct cut_guard {
      bool& was_cut;
      bool is_answered = false;
      ~cut_guard() { was_cut |= !is_answered; }
    };
    cut_guard guard{was_cut};
    while (must_wait) {
      co_await net::Sleep(kLoopTurn);
    }
    net::response answer = SignedResponse(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
    guard.is_answered = true;
  });
  for (uint32_t task = 0; task < kSlots; ++task) Add(task, "ended");
  ASSERT_TRUE(RunUntil([this] { return received_ids_.size() == kSlots / 2; }));
  caller_.CancelStep("ended");
  const size_t requests_before = received_ids_.size();
  Add(9, "other");
  EXPECT_TRUE(RunUntil([&] { return was_cut; }));
  must_wait = false;
  EXPECT_TRUE(RunUntil([this] { return results_.count(9) != 0; }));
  EXPECT_EQ(results_.size(), 1U);
  EXPECT_EQ(received_ids_.size(), requests_before + 1);
}

// All texts of a step become complete at once, and there are more than the
// endpoints have slots. Half of the slots stay free for callers that can't
// wait, and the requests that complete a group are sent first.
TEST_F(RewardCallerTest, HalfOfTheSlotsAndCompletingRequestsFirst) {
  int running = 0;
  int max_running = 0;
  StartEndpoint([&](net::exchange& call) -> awaitable<void> {
    max_running = std::max(max_running, ++running);
    co_await net::Sleep(kLoopTurn);
    --running;
    net::response answer = SignedResponse(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
  });
  for (uint32_t task = 0; task < 12; ++task) {
    open_in_group_[task] = task < 8 ? 3 : 1;
    Add(task);
  }
  EXPECT_TRUE(RunUntil([this] { return results_.size() == 12; }));
  EXPECT_LE(max_running, kSlots / 2);
  for (size_t i = 0; i < 4; ++i) {
    EXPECT_GE(std::stoi(received_ids_[i].substr(1)), 8) << received_ids_[i];
  }
}

// The route of a request is removed from the configuration and added again. The
// request waits for the route and does not fail.
TEST_F(RewardCallerTest, WaitsForItsRoute) {
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response answer = SignedResponse(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
  });
  const std::vector<fleet::route> routes = std::move(view_.config.routes);
  view_.config.routes.clear();
  Add(0);
  caller_.SendWaiting();
  loop_.run_for(kLoopTurn);
  EXPECT_TRUE(received_ids_.empty());
  view_.config.routes = routes;
  EXPECT_TRUE(RunUntil([this] { return !results_.empty(); }));
  EXPECT_EQ(results_[0], "mark");
}

class RewardCallerInvalidResponseTest
    : public RewardCallerTest,
      public ::testing::WithParamInterface<testing::scripted_response> {};

// Guards against a score that is taken from an invalid response, and against a
// call that ends although another endpoint can score the text.
TEST_P(RewardCallerInvalidResponseTest, AnotherEndpointScores) {
  testing::scripted_server endpoint([](const net::request& input) {
    return testing::ResponseTo(input, GetParam());
  });
  AddEndpoint("scorers", endpoint.Address());
  Add(0);
  ASSERT_TRUE(RunUntil([&] { return endpoint.Requests() > 0; }));
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response answer = SignedResponse(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
  });
  EXPECT_TRUE(RunUntil([this] { return !results_.empty(); }));
  EXPECT_EQ(results_[0], "mark");
}

std::string NameOf(
    const ::testing::TestParamInfo<testing::scripted_response>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Statuses, RewardCallerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatuses()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Fields, RewardCallerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFields()), NameOf);
INSTANTIATE_TEST_SUITE_P(Framings, RewardCallerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFramings()),
                         NameOf);

}  // namespace
}  // namespace hickorywood::store
