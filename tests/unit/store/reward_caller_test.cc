// Reward calls over real sockets: which endpoints see them, how often, and what
// becomes of a text whose score does not come.

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
#include "support/stuttering_server.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using core::milliseconds;

constexpr milliseconds kTurn{5};
constexpr milliseconds kLimit{10000};
constexpr int64_t kSlots = 4;
constexpr int64_t kMostAttempts = 2;

net::response Signed(const net::request& input, int status,
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
    fleet::route where;
    where.name = "rewards";
    where.host = "h";
    where.path_prefix = "/r/";
    where.kind = fleet::route_kind::kNonIdempotent;
    where.services = {{"scorers", 1}};
    where.timeout_ms = 5000;
    where.objective_ms = 20000;
    where.max_attempts = kMostAttempts;
    view_.config.version = 1;
    view_.config.routes = {where};
    caller_.on_finished = [this](const task_key& key, reward_end how,
                                 const std::string& score) {
      ended_[key.task] = how == reward_end::kScored ? score : "given up";
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
          seen_.emplace_back(net::Find(call.Request().headers, "X-Request-Id"));
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

  // Lets the loop run, with a pass of the caller now and then, until `is_done`.
  bool RunUntil(const std::function<bool()>& is_done) {
    const core::time_point limit = std::chrono::steady_clock::now() + kLimit;
    while (!is_done() && std::chrono::steady_clock::now() < limit) {
      caller_.SendWaiting();
      loop_.restart();
      loop_.run_for(kTurn);
    }
    return is_done();
  }

  boost::asio::io_context loop_;
  core::runtime_clock clock_;
  net::connection_pool pool_{loop_};
  const std::unique_ptr<fleet::protocol> wire_ = platform::MakeProtocol();
  fleet::view view_;
  quarantine::crash_watch crashes_{
      loop_, clock_, pool_, view_,
      [](fleet::crash_news) -> boost::asio::awaitable<bool> {
        co_return true;
      }};
  routing::request_sender sender_{loop_, clock_,   pool_, *wire_,
                                  view_, crashes_, "z"};
  reward_caller caller_{loop_, clock_, sender_, *wire_, view_};
  std::vector<std::unique_ptr<net::listener>> listeners_;
  std::vector<std::string> seen_;  // requests that reached an endpoint
  std::map<uint32_t, std::string> ended_;
  std::map<uint32_t, size_t> open_in_group_;
};

// One endpoint closes each connection without an answer, another one answers
// without a mark. The text is scored by the third one, and only by it: what is
// no whole answer of an endpoint is no score.
TEST_F(RewardCallerTest, LostAndUnsignedAnswersGoElsewhere) {
  view_.config.routes[0].max_attempts = 3;
  StartEndpoint([](net::exchange&) -> awaitable<void> { co_return; });
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response unsigned_answer;
    co_await call.Reply(std::move(unsigned_answer));
  });
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response answer = Signed(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
  });
  Add(0);
  EXPECT_TRUE(RunUntil([this] { return !ended_.empty(); }));
  EXPECT_EQ(ended_[0], "mark");
}

// Every endpoint answers 500. The call is sent to as many endpoints as the
// route allows, and the task is given up only then.
TEST_F(RewardCallerTest, GivenUpAfterTheAttemptsOfTheRoute) {
  for (int i = 0; i < 3; ++i) {
    StartEndpoint([](net::exchange& call) -> awaitable<void> {
      net::response answer = Signed(call.Request(), 500, "mark");
      co_await call.Reply(std::move(answer));
    });
  }
  Add(0);
  EXPECT_TRUE(RunUntil([this] { return !ended_.empty(); }));
  EXPECT_EQ(ended_[0], "given up");
  EXPECT_EQ(seen_.size(), static_cast<size_t>(kMostAttempts));
}

// Guards against a task that is given up for one failure that was told twice: a
// reward call that is sent again has the same id.
TEST_F(RewardCallerTest, FailureThatIsToldTwiceCountsOnce) {
  const fleet::route common = view_.config.routes[0];
  std::vector<std::unique_ptr<net::stuttering_server>> scorers;
  for (net::stutter script : net::AllStutters()) {
    script.failures = 1;
    scorers.push_back(std::make_unique<net::stuttering_server>(
        loop_, script, [](const net::request&, int, bool) { return "text"; }));
    const auto task = static_cast<uint32_t>(scorers.size());
    const std::string service = "scorers-" + std::to_string(task);
    AddEndpoint(service, scorers.back()->Address());
    fleet::route own = common;
    own.name = service;
    own.path_prefix = "/" + service + "/";
    own.services = {{service, 1}};
    view_.config.routes.push_back(own);
    reward_job job;
    job.key = {"s", task};
    job.request = {"r" + std::to_string(task), "h", own.path_prefix, "body"};
    caller_.Add(job);
  }
  EXPECT_TRUE(RunUntil([&] { return ended_.size() == scorers.size(); }));
  for (const auto& [task, score] : ended_) EXPECT_EQ(score, "signed") << task;
}

// Endpoints say that they are full, for longer than one call may try. Nothing
// has failed: the call is sent again until there is a place.
TEST_F(RewardCallerTest, FullEndpointsAreNoFailure) {
  int refusals = 12;
  StartEndpoint([&refusals](net::exchange& call) -> awaitable<void> {
    net::response answer = Signed(call.Request(), 200, "mark");
    if (refusals-- > 0) {
      answer = net::response{};
      answer.status = 503;
      answer.headers = {{"X-Not-Run", "1"}};
    }
    co_await call.Reply(std::move(answer));
  });
  Add(0);
  EXPECT_TRUE(RunUntil([this] { return !ended_.empty(); }));
  EXPECT_EQ(ended_[0], "mark");
}

// A trainer ends a step while one of its calls is at an endpoint and others
// wait. The one is cut, the others never reach an endpoint, and the calls of
// another step go on.
TEST_F(RewardCallerTest, EndedStepReachesNoEndpoint) {
  bool is_held = true;
  bool was_cut = false;
  StartEndpoint([&](net::exchange& call) -> awaitable<void> {
    struct cut_guard {
      bool& was_cut;
      bool is_answered = false;
      ~cut_guard() { was_cut |= !is_answered; }
    };
    cut_guard guard{was_cut};
    while (is_held) {
      co_await net::Sleep(kTurn);
    }
    net::response answer = Signed(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
    guard.is_answered = true;
  });
  for (uint32_t task = 0; task < kSlots; ++task) Add(task, "ended");
  ASSERT_TRUE(RunUntil([this] { return seen_.size() == kSlots / 2; }));
  caller_.CancelStep("ended");
  const size_t seen = seen_.size();
  Add(9, "other");
  EXPECT_TRUE(RunUntil([&] { return was_cut; }));
  is_held = false;
  EXPECT_TRUE(RunUntil([this] { return ended_.count(9) != 0; }));
  EXPECT_EQ(ended_.size(), 1U);
  EXPECT_EQ(seen_.size(), seen + 1);
}

// A step ends all its texts at once, more than the endpoints have places. Half
// of the places stay free for callers that can't wait, and the calls that
// complete a group go first.
TEST_F(RewardCallerTest, HalfOfThePlacesAndFullGroupsFirst) {
  int running = 0;
  int most = 0;
  StartEndpoint([&](net::exchange& call) -> awaitable<void> {
    most = std::max(most, ++running);
    co_await net::Sleep(kTurn);
    --running;
    net::response answer = Signed(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
  });
  for (uint32_t task = 0; task < 12; ++task) {
    open_in_group_[task] = task < 8 ? 3 : 1;
    Add(task);
  }
  EXPECT_TRUE(RunUntil([this] { return ended_.size() == 12; }));
  EXPECT_LE(most, kSlots / 2);
  for (size_t i = 0; i < 4; ++i) {
    EXPECT_GE(std::stoi(seen_[i].substr(1)), 8) << seen_[i];
  }
}

// The route of the calls is dropped from the configuration and comes back. The
// call waits for it in place of failing.
TEST_F(RewardCallerTest, WaitsForItsRoute) {
  StartEndpoint([](net::exchange& call) -> awaitable<void> {
    net::response answer = Signed(call.Request(), 200, "mark");
    co_await call.Reply(std::move(answer));
  });
  const std::vector<fleet::route> routes = std::move(view_.config.routes);
  view_.config.routes.clear();
  Add(0);
  caller_.SendWaiting();
  loop_.run_for(kTurn);
  EXPECT_TRUE(seen_.empty());
  view_.config.routes = routes;
  EXPECT_TRUE(RunUntil([this] { return !ended_.empty(); }));
  EXPECT_EQ(ended_[0], "mark");
}

}  // namespace
}  // namespace hickorywood::store
