// What callers get through an entry from endpoints that answer twice, for
// another request, or without their mark.

#include "entry/relay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "net/call.h"
#include "platform/protocol.h"
#include "support/stuttering_server.h"

namespace hickorywood::entry {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using core::milliseconds;
using fleet::route_kind;

constexpr int kTries = 4;
constexpr milliseconds kSlack{300};
constexpr milliseconds kLimit{100000};
// A copy is sent after half of the objective, while the request is at work.
constexpr milliseconds kHedgedObjective{40};
constexpr milliseconds kHedgedWork{60};
constexpr int kHedgedRequests = 4;
// Plain requests follow streams over the connections of those.
constexpr route_kind kKinds[] = {route_kind::kStream, route_kind::kIdempotent,
                                 route_kind::kNonIdempotent,
                                 route_kind::kIdempotent};

// An entry before one endpoint.
class entry_stand_in {
 public:
  entry_stand_in(io_context& loop, const std::vector<std::string>& endpoints,
                 milliseconds timeout, milliseconds objective)
      : pool_(loop),
        crashes_(loop, clock_, pool_, view_,
                 [](fleet::crash_news) -> awaitable<bool> { co_return true; }),
        relay_(loop, clock_, pool_, *wire_, view_, crashes_, "z"),
        listener_(loop, ListenerOptions(),
                  [this](net::exchange& call) { return Serve(call); }) {
    route_.services = {{"echo", 1}};
    route_.timeout_ms = timeout.count();
    route_.objective_ms = objective.count();
    route_.max_attempts = 2;
    for (const std::string& address : endpoints) {
      fleet::endpoint item;
      item.incarnation = "i" + std::to_string(view_.endpoints.size());
      item.name = item.incarnation;
      item.service = "echo";
      item.address = address;
      item.slots = 8;
      view_.endpoints.push_back(item);
    }
    listener_.Start();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(listener_.Port());
  }
  void SetKind(route_kind kind) { route_.kind = kind; }

 private:
  static net::listener_options ListenerOptions() {
    net::listener_options options;
    options.address = "127.0.0.1:0";
    options.limits = [] { return net::caller_limits{}; };
    return options;
  }

  awaitable<void> Serve(net::exchange& call) {
    return relay_.Serve(call, route_);
  }

  core::runtime_clock clock_;
  net::connection_pool pool_;
  const std::unique_ptr<fleet::protocol> wire_ = platform::MakeProtocol();
  fleet::view view_;
  fleet::route route_;
  quarantine::crash_watch crashes_;
  relay relay_;
  net::listener listener_;
};

awaitable<net::call_result> Ask(io_context& loop, entry_stand_in& entry,
                                net::request input, milliseconds patience) {
  net::connection_pool pool(loop);
  net::call_options options;
  options.deadline = std::chrono::steady_clock::now() + patience;
  options.connect_deadline = options.deadline;
  options.needs_fresh = true;
  co_return co_await net::Call(pool, entry.Address(), input, options);
}

std::string OwnAnswer(const net::request& input, int count, bool is_second) {
  return std::string(is_second ? "second" : "first") + " answer to " +
         std::string(net::Find(input.headers, "X-Request-Id")) + " at " +
         input.target + ", arrived as number " + std::to_string(count);
}

// Requests of all kinds, one after the other.
struct series {
  net::stutter script;
  bool repeats_id = false;  // callers give all requests the same id
  size_t served = 0;
  std::vector<std::string> wrong;
  bool is_over = false;
};

awaitable<void> AskAll(io_context& loop, series& self) {
  net::stuttering_server endpoint(loop, self.script, OwnAnswer);
  const milliseconds timeout = self.script.work + kSlack;
  entry_stand_in entry(loop, {endpoint.Address()}, timeout, timeout);
  int number = 0;
  for (const route_kind kind : kKinds) {
    entry.SetKind(kind);
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const std::string name = std::to_string(++number);
      net::request input;
      input.target = "/" + name;
      input.headers = {{"X-Request-Id", self.repeats_id ? "r" : "r" + name}};
      const net::call_result result =
          co_await Ask(loop, entry, input, timeout + kSlack);
      const bool is_success = result.how == net::progress::kAnswered &&
                              result.answer.status / 100 == 2;
      if (!is_success) continue;
      ++self.served;
      const std::string own = OwnAnswer(input, endpoint.Requests(), false);
      if (result.answer.body != own) self.wrong.push_back(result.answer.body);
      break;
    }
  }
  self.is_over = true;
}

// Guards against callers that get the second answer to a request before theirs.
TEST(RelayTest, SecondAnswersReachNoCaller) {
  io_context loop;
  std::list<series> all;
  for (const net::stutter& script : net::AllStutters()) {
    for (const bool repeats_id : {false, true}) {
      all.push_back({script, repeats_id});
    }
  }
  size_t over = 0;
  for (series& one : all) {
    boost::asio::co_spawn(loop, AskAll(loop, one),
                          [&loop, &over, &all](const std::exception_ptr&) {
                            if (++over == all.size()) loop.stop();
                          });
  }
  loop.run_for(kLimit);
  for (const series& one : all) {
    std::ostringstream name;
    name << one.script << (one.repeats_id ? ", same id again" : "");
    EXPECT_TRUE(one.is_over) << name.str();
    EXPECT_EQ(one.served, std::size(kKinds)) << name.str();
    for (const std::string& body : one.wrong) {
      ADD_FAILURE() << name.str() << ": " << body;
    }
  }
}

// Requests that are at work for longer than their copies are held back.
awaitable<void> AskWithCopies(io_context& loop, series& self) {
  net::stuttering_server first(loop, self.script, OwnAnswer);
  net::stuttering_server second(loop, self.script, OwnAnswer);
  const milliseconds timeout = self.script.work + kSlack;
  entry_stand_in entry(loop, {first.Address(), second.Address()}, timeout,
                       kHedgedObjective);
  entry.SetKind(route_kind::kIdempotent);
  for (int number = 0; number < kHedgedRequests; ++number) {
    net::request input;
    input.target = "/" + std::to_string(number);
    input.headers = {{"X-Request-Id", "r" + std::to_string(number)}};
    const net::call_result result =
        co_await Ask(loop, entry, input, timeout + kSlack);
    if (result.answer.status != 200) continue;
    ++self.served;
    const std::string& body = result.answer.body;
    const bool is_own = body == OwnAnswer(input, first.Requests(), false) ||
                        body == OwnAnswer(input, second.Requests(), false);
    if (!is_own) self.wrong.push_back(body);
  }
  self.is_over = true;
}

// Guards against second answers where two endpoints run copies of a request and
// the slower one's connection is cut.
TEST(RelayTest, SecondAnswersReachNoCallerOfCopies) {
  io_context loop;
  std::list<series> all;
  for (net::stutter script : net::AllStutters()) {
    script.work = std::max(script.work, kHedgedWork);
    all.push_back({script});
  }
  size_t over = 0;
  for (series& one : all) {
    boost::asio::co_spawn(loop, AskWithCopies(loop, one),
                          [&loop, &over, &all](const std::exception_ptr&) {
                            if (++over == all.size()) loop.stop();
                          });
  }
  loop.run_for(kLimit);
  for (const series& one : all) {
    std::ostringstream name;
    name << one.script;
    EXPECT_TRUE(one.is_over) << name.str();
    EXPECT_GT(one.served, 0U) << name.str();
    for (const std::string& body : one.wrong) {
      ADD_FAILURE() << name.str() << ": " << body;
    }
  }
}

// What a caller gets whose endpoint gives `answer`, whatever it is asked.
net::call_result AnswerThrough(route_kind kind, const net::response& answer) {
  io_context loop;
  net::listener_options options;
  options.address = "127.0.0.1:0";
  options.limits = [] { return net::caller_limits{}; };
  net::listener endpoint(loop, options,
                         [answer](net::exchange& call) -> awaitable<void> {
                           net::response copy = answer;
                           co_await call.Reply(std::move(copy));
                         });
  endpoint.Start();
  entry_stand_in entry(loop, {"127.0.0.1:" + std::to_string(endpoint.Port())},
                       kSlack, kSlack);
  entry.SetKind(kind);
  net::request input;
  input.target = "/";
  input.headers = {{"X-Request-Id", "r"}};
  net::call_result result;
  boost::asio::co_spawn(
      loop, Ask(loop, entry, input, 2 * kSlack),
      [&loop, &result](const std::exception_ptr&, net::call_result got) {
        result = std::move(got);
        loop.stop();
      });
  loop.run_for(kLimit);
  return result;
}

// Guards against a success that no endpoint has signed, and against one that is
// signed for another request.
TEST(RelayTest, SuccessesOfOthersReachNoCaller) {
  for (const route_kind kind : {route_kind::kStream, route_kind::kIdempotent,
                                route_kind::kNonIdempotent}) {
    net::response unsigned_answer;
    unsigned_answer.headers = {{"X-Request-Id", "r"}};
    EXPECT_GE(AnswerThrough(kind, unsigned_answer).answer.status, 500);
    net::response foreign;
    foreign.headers = {{"X-Request-Id", "q"}, {"X-Response-Stamp", "signed"}};
    EXPECT_GE(AnswerThrough(kind, foreign).answer.status, 500);
    net::response own;
    own.headers = {{"X-Request-Id", "r"}, {"X-Response-Stamp", "signed"}};
    EXPECT_EQ(AnswerThrough(kind, own).answer.status, 200);
  }
}

}  // namespace
}  // namespace hickorywood::entry
