// Tests which answers callers receive through an entry when endpoints answer
// twice, answer another request, or omit their mark.

#include "entry/relay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "net/call.h"
#include "platform/protocol.h"
#include "support/duplicate_response_server.h"
#include "support/endless_server.h"
#include "support/response_cases.h"
#include "support/scripted_server.h"

namespace hickorywood::entry {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using core::milliseconds;
using fleet::route_kind;

constexpr int kMaxAttempts = 4;
constexpr milliseconds kSlack{300};
constexpr milliseconds kTestTimeout{100000};
// A copy is sent after half of the objective, while the request is running.
constexpr milliseconds kHedgedObjective{40};
constexpr milliseconds kHedgedWork{60};
constexpr int kHedgedRequests = 4;
// Plain requests after streams reuse the connections of the streams.
constexpr route_kind kKinds[] = {route_kind::kStream, route_kind::kIdempotent,
                                 route_kind::kNonIdempotent,
                                 route_kind::kIdempotent};

// A relay with a listener, as in an entry, and a view that contains
// `endpoints`.
class test_entry {
 public:
  test_entry(io_context& loop, const std::vector<std::string>& endpoints,
             milliseconds timeout, milliseconds objective)
      : pool_(loop),
        crashes_(
            loop, clock_, pool_, view_,
            [](fleet::crash_update) -> awaitable<bool> { co_return true; }),
        relay_(loop, clock_, pool_, *wire_, view_, crashes_, "z",
               [](const std::string&, core::boot_time_point) {}),
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
  // Detects crashes of endpoints, for which requests need digests.
  void EnableCrashDetection() { view_.members.digest_key = "key"; }
  // Number of endpoints that are being probed because they may have crashed.
  size_t Probes() const { return crashes_.ProbesInProgress(); }

 private:
  static net::listener_options ListenerOptions() {
    net::listener_options options;
    options.address = "127.0.0.1:0";
    options.limits = [] { return net::caller_limits{}; };
    return options;
  }

  awaitable<void> Serve(net::exchange& call) {
    return relay_.Serve(call, route_, std::nullopt);
  }

  core::runtime_clock clock_;
  net::connection_pool pool_;
  const std::unique_ptr<fleet::protocol> wire_ = platform::MakeProtocol();
  fleet::view view_;
  fleet::route route_;
  quarantine::crash_detector crashes_;
  relay relay_;
  net::listener listener_;
};

awaitable<net::call_result> SendRequest(io_context& loop, test_entry& entry,
                                        net::request input,
                                        milliseconds timeout) {
  net::connection_pool pool(loop);
  net::call_options options;
  options.deadline = std::chrono::steady_clock::now() + timeout;
  options.connect_deadline = options.deadline;
  options.needs_fresh = true;
  co_return co_await net::Call(pool, entry.Address(), input, options);
}

std::string OwnAnswer(const net::request& input, int count, bool is_second) {
  return std::string(is_second ? "second" : "first") + " answer to " +
         std::string(net::Find(input.headers, "X-Request-Id")) + " at " +
         input.target + ", arrived as number " + std::to_string(count);
}

// Results of a series of consecutive requests through one entry.
struct series {
  net::duplicate_response script;
  bool repeats_id = false;  // all requests have the same id
  size_t served = 0;
  std::vector<std::string> wrong;
  bool is_finished = false;
};

awaitable<void> SendSeries(io_context& loop, series& self) {
  net::duplicate_response_server endpoint(loop, self.script, OwnAnswer);
  const milliseconds timeout = self.script.work + kSlack;
  test_entry entry(loop, {endpoint.Address()}, timeout, timeout);
  int number = 0;
  for (const route_kind kind : kKinds) {
    entry.SetKind(kind);
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const std::string name = std::to_string(++number);
      net::request input;
      input.target = "/" + name;
      input.headers = {{"X-Request-Id", self.repeats_id ? "r" : "r" + name}};
      const net::call_result result =
          co_await SendRequest(loop, entry, input, timeout + kSlack);
      const bool is_success = result.how == net::progress::kAnswered &&
                              result.answer.status / 100 == 2;
      if (!is_success) continue;
      ++self.served;
      const std::string own = OwnAnswer(input, endpoint.Requests(), false);
      if (result.answer.body != own) self.wrong.push_back(result.answer.body);
      break;
    }
  }
  self.is_finished = true;
}

// Guards against a second answer that is returned to the caller of a later
// request.
TEST(RelayTest, SecondAnswersReachNoCaller) {
  io_context loop;
  std::list<series> all;
  for (const net::duplicate_response& script : net::AllDuplicateResponses()) {
    for (const bool repeats_id : {false, true}) {
      all.push_back({script, repeats_id});
    }
  }
  size_t finished = 0;
  for (series& one : all) {
    boost::asio::co_spawn(loop, SendSeries(loop, one),
                          [&loop, &finished, &all](const std::exception_ptr&) {
                            if (++finished == all.size()) loop.stop();
                          });
  }
  loop.run_for(kTestTimeout);
  for (const series& one : all) {
    std::ostringstream name;
    name << one.script << (one.repeats_id ? ", same id again" : "");
    EXPECT_TRUE(one.is_finished) << name.str();
    EXPECT_EQ(one.served, std::size(kKinds)) << name.str();
    for (const std::string& body : one.wrong) {
      ADD_FAILURE() << name.str() << ": " << body;
    }
  }
}

// Sends requests that run longer than the delay after which a copy is sent.
awaitable<void> SendWithCopies(io_context& loop, series& self) {
  net::duplicate_response_server first(loop, self.script, OwnAnswer);
  net::duplicate_response_server second(loop, self.script, OwnAnswer);
  const milliseconds timeout = self.script.work + kSlack;
  test_entry entry(loop, {first.Address(), second.Address()}, timeout,
                   kHedgedObjective);
  entry.SetKind(route_kind::kIdempotent);
  for (int number = 0; number < kHedgedRequests; ++number) {
    net::request input;
    input.target = "/" + std::to_string(number);
    input.headers = {{"X-Request-Id", "r" + std::to_string(number)}};
    const net::call_result result =
        co_await SendRequest(loop, entry, input, timeout + kSlack);
    if (result.answer.status != 200) continue;
    ++self.served;
    const std::string& body = result.answer.body;
    const bool is_own = body == OwnAnswer(input, first.Requests(), false) ||
                        body == OwnAnswer(input, second.Requests(), false);
    if (!is_own) self.wrong.push_back(body);
  }
  self.is_finished = true;
}

// Guards against second answers when two endpoints run copies of a request and
// the connection to the slower endpoint is closed.
TEST(RelayTest, SecondAnswersReachNoCallerOfCopies) {
  io_context loop;
  std::list<series> all;
  for (net::duplicate_response script : net::AllDuplicateResponses()) {
    script.work = std::max(script.work, kHedgedWork);
    all.push_back({script});
  }
  size_t finished = 0;
  for (series& one : all) {
    boost::asio::co_spawn(loop, SendWithCopies(loop, one),
                          [&loop, &finished, &all](const std::exception_ptr&) {
                            if (++finished == all.size()) loop.stop();
                          });
  }
  loop.run_for(kTestTimeout);
  for (const series& one : all) {
    std::ostringstream name;
    name << one.script;
    EXPECT_TRUE(one.is_finished) << name.str();
    EXPECT_GT(one.served, 0U) << name.str();
    for (const std::string& body : one.wrong) {
      ADD_FAILURE() << name.str() << ": " << body;
    }
  }
}

// Returns what a caller receives when its endpoint answers every request with
// `answer`.
net::call_result CallThroughEntry(route_kind kind,
                                  const net::response& answer) {
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
  test_entry entry(loop, {"127.0.0.1:" + std::to_string(endpoint.Port())},
                   kSlack, kSlack);
  entry.SetKind(kind);
  net::request input;
  input.target = "/";
  input.headers = {{"X-Request-Id", "r"}};
  net::call_result result;
  boost::asio::co_spawn(
      loop, SendRequest(loop, entry, input, 2 * kSlack),
      [&loop, &result](const std::exception_ptr&, net::call_result got) {
        result = std::move(got);
        loop.stop();
      });
  loop.run_for(kTestTimeout);
  return result;
}

// Guards against passing on a success without an endpoint's signature, or one
// that is signed for another request.
TEST(RelayTest, MismatchedSuccessesReachNoCaller) {
  for (const route_kind kind : {route_kind::kStream, route_kind::kIdempotent,
                                route_kind::kNonIdempotent}) {
    net::response unsigned_answer;
    unsigned_answer.headers = {{"X-Request-Id", "r"}};
    EXPECT_GE(CallThroughEntry(kind, unsigned_answer).answer.status, 500);
    net::response mismatched;
    mismatched.headers = {{"X-Request-Id", "q"},
                          {"X-Response-Stamp", "signed"}};
    EXPECT_GE(CallThroughEntry(kind, mismatched).answer.status, 500);
    net::response own;
    own.headers = {{"X-Request-Id", "r"}, {"X-Response-Stamp", "signed"}};
    EXPECT_EQ(CallThroughEntry(kind, own).answer.status, 200);
  }
}

// Returns whether a successful response arrived completely. Discards its body.
awaitable<bool> ReadToEnd(io_context& loop, test_entry& entry,
                          net::request input, milliseconds timeout) {
  net::connection_pool pool(loop);
  const core::time_point deadline = std::chrono::steady_clock::now() + timeout;
  net::acquire_terms terms;
  const auto open =
      co_await pool.Acquire(entry.Address(), deadline, std::move(terms));
  if (!open) co_return false;
  co_await open->Write(input, deadline);
  net::response head;
  const bool has_head = co_await open->ReadHead(head, deadline);
  if (!has_head) co_return false;
  net::body_state state = net::body_state::kMore;
  while (state == net::body_state::kMore) {
    std::string piece;
    state = co_await open->ReadSome(piece, deadline);
  }
  co_return state == net::body_state::kEnd&& head.status / 100 == 2;
}

// Guards against an entry that passes on bytes without end that are no events:
// the caller must be disconnected without a complete response.
TEST(RelayTest, EndlessStreamsAreBrokenOff) {
  // An event that is longer than the limit, and socket buffers.
  constexpr size_t kMaxSentBytes = 24UL * 1024 * 1024;
  constexpr milliseconds kDeadline{10000};
  std::vector<testing::endless_response> scripts = testing::EndlessStreams();
  for (const auto& script : testing::EndlessResponses()) {
    scripts.push_back(script);
  }
  for (const testing::endless_response& script : scripts) {
    testing::endless_server endpoint(script);
    io_context loop;
    test_entry entry(loop, {endpoint.Address()}, kDeadline, kDeadline);
    entry.SetKind(route_kind::kStream);
    net::request input;
    input.target = "/x";
    input.headers = {{"X-Request-Id", testing::kEndlessRequestId}};
    bool is_success = false;
    boost::asio::co_spawn(loop, ReadToEnd(loop, entry, input, kDeadline),
                          [&](const std::exception_ptr&, bool is_whole) {
                            is_success = is_whole;
                            loop.stop();
                          });
    const auto started = std::chrono::steady_clock::now();
    loop.run_for(kDeadline);
    EXPECT_FALSE(is_success) << script.name;
    EXPECT_GT(endpoint.Requests(), 0) << script.name;
    EXPECT_LE(std::chrono::steady_clock::now() - started, kDeadline / 2)
        << script.name;
    EXPECT_LE(endpoint.Sent(), kMaxSentBytes) << script.name;
  }
}

class RelayInvalidResponseTest
    : public ::testing::TestWithParam<testing::scripted_response> {
 protected:
  // What the caller of one request received, and the endpoints that were
  // suspected of a crash.
  struct result {
    net::call_result call;
    size_t probes = 0;
  };

  static net::request Input() {
    net::request input;
    input.target = "/x";
    input.headers = {{"X-Request-Id", "r"}};
    return input;
  }

  static result SendThrough(route_kind kind,
                            const std::vector<std::string>& endpoints,
                            milliseconds objective) {
    io_context loop;
    test_entry entry(loop, endpoints, kCallTimeout, objective);
    entry.SetKind(kind);
    entry.EnableCrashDetection();
    result got;
    boost::asio::co_spawn(
        loop, SendRequest(loop, entry, Input(), 2 * kCallTimeout),
        [&](const std::exception_ptr&, net::call_result call) {
          got.call = std::move(call);
          got.probes = entry.Probes();
          loop.stop();
        });
    loop.run_for(kTestTimeout);
    return got;
  }

  // No response takes that long.
  static constexpr milliseconds kCallTimeout{5000};
};

// Guards against an invalid response that reaches a caller, on each kind of
// route, and against a request that is suspected of a crash although its
// endpoint is running.
TEST_P(RelayInvalidResponseTest, ReachesNoCaller) {
  for (const route_kind kind : {route_kind::kStream, route_kind::kIdempotent,
                                route_kind::kNonIdempotent}) {
    testing::scripted_server endpoint([](const net::request& input) {
      return testing::ResponseTo(input, GetParam());
    });
    const result got = SendThrough(kind, {endpoint.Address()}, kCallTimeout);
    // A stream whose chunks are invalid is broken off.
    const bool is_broken_off = kind == route_kind::kStream &&
                               got.call.how == net::progress::kMaybeSent;
    EXPECT_TRUE(got.call.answer.status == 502 || is_broken_off)
        << static_cast<int>(kind) << ", " << got.call.answer.status;
    EXPECT_FALSE(got.call.is_timeout) << static_cast<int>(kind);
    EXPECT_EQ(got.probes, 0U) << static_cast<int>(kind);
    EXPECT_EQ(endpoint.Requests(), 1) << static_cast<int>(kind);
  }
}

// Guards against an invalid response that ends an idempotent request which
// another endpoint can answer.
TEST_P(RelayInvalidResponseTest, AnotherEndpointAnswersAnIdempotentRequest) {
  std::atomic<int> requests{0};
  const auto respond = [&requests](const net::request& input) {
    return testing::ResponseTo(
        input, ++requests == 1 ? GetParam() : testing::OrdinaryResponse("own"));
  };
  testing::scripted_server first(respond);
  testing::scripted_server second(respond);
  const result got =
      SendThrough(route_kind::kIdempotent, {first.Address(), second.Address()},
                  kCallTimeout);
  EXPECT_EQ(got.call.answer.status, 200);
  EXPECT_EQ(got.call.answer.body, "own");
  EXPECT_EQ(requests, 2);
}

// Guards against an invalid response to the copy of a request that is preferred
// to the valid response of the slower endpoint.
TEST_P(RelayInvalidResponseTest, SlowerEndpointAnswersACopiedRequest) {
  std::atomic<int> requests{0};
  const auto respond = [&requests](const net::request& input) {
    if (++requests == 2) return testing::ResponseTo(input, GetParam());
    std::this_thread::sleep_for(2 * kHedgedWork);
    return testing::ResponseTo(input, testing::OrdinaryResponse("own"));
  };
  testing::scripted_server first(respond);
  testing::scripted_server second(respond);
  const result got =
      SendThrough(route_kind::kIdempotent, {first.Address(), second.Address()},
                  kHedgedObjective);
  EXPECT_EQ(got.call.answer.status, 200);
  EXPECT_EQ(got.call.answer.body, "own");
  EXPECT_EQ(requests, 2);
}

std::string NameOf(
    const ::testing::TestParamInfo<testing::scripted_response>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Statuses, RelayInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatuses()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(StatusLines, RelayInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatusLines()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Fields, RelayInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFields()), NameOf);
INSTANTIATE_TEST_SUITE_P(Framings, RelayInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFramings()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Chunks, RelayInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidChunks()), NameOf);
INSTANTIATE_TEST_SUITE_P(Trailers, RelayInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidTrailers()),
                         NameOf);

// Guards against an entry that rejects or changes what ordinary servers send.
TEST(RelayTest, ValidResponsesReachTheCaller) {
  for (const testing::scripted_response& response : testing::ValidResponses()) {
    for (const route_kind kind : {route_kind::kStream, route_kind::kIdempotent,
                                  route_kind::kNonIdempotent}) {
      testing::scripted_server endpoint([&response](const net::request& input) {
        return testing::ResponseTo(input, response);
      });
      io_context loop;
      test_entry entry(loop, {endpoint.Address()}, kTestTimeout, kTestTimeout);
      entry.SetKind(kind);
      net::request input;
      input.target = "/x";
      input.headers = {{"X-Request-Id", "r"}};
      net::call_result got;
      boost::asio::co_spawn(
          loop, SendRequest(loop, entry, input, kTestTimeout),
          [&](const std::exception_ptr&, net::call_result call) {
            got = std::move(call);
            loop.stop();
          });
      loop.run_for(kTestTimeout);
      EXPECT_EQ(got.answer.status, 200) << response.name;
      EXPECT_EQ(got.answer.body, testing::kCaseBody) << response.name;
      const bool has_coding =
          response.bytes.find("Content-Encoding") != std::string::npos;
      EXPECT_EQ(net::Has(got.answer.headers, "Content-Encoding"), has_coding)
          << response.name;
    }
  }
}

}  // namespace
}  // namespace hickorywood::entry
