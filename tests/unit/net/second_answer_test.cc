// Tests calls to servers that answer twice: early, late, without a request id,
// cut off, without a length, over reused connections. A call must return
// its own complete answer or none.

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <list>
#include <sstream>
#include <string>
#include <vector>

#include "net/call.h"
#include "net/event.h"
#include "support/duplicate_response_server.h"

namespace hickorywood::net {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using core::milliseconds;

constexpr int kCalls = 3;
// A failed call is retried; the failure has closed its connection.
constexpr int kMaxAttempts = 3;
// Time limit of a call in addition to the time that the server works on it.
constexpr milliseconds kSlack{300};
constexpr milliseconds kTestTimeout{60000};
constexpr char kIdHeader[] = "X-Request-Id";

std::string OwnAnswer(const request& input, int count, bool is_second) {
  return std::string(is_second ? "second" : "first") + " answer to " +
         std::string(Find(input.headers, kIdHeader)) + " at " + input.target +
         ", arrived as number " + std::to_string(count);
}

// A series of calls to one server.
struct series {
  duplicate_response script;
  bool repeats_id = false;  // all calls have the same id
  bool waits = false;       // until the second answer has arrived
  int answered = 0;
  std::vector<std::string> wrong;
  bool is_finished = false;
};

awaitable<void> MakeCalls(io_context& loop, series& self) {
  duplicate_response_server server(loop, self.script, OwnAnswer);
  connection_pool pool(loop);
  for (int i = 0; i < kCalls; ++i) {
    request input;
    const std::string id = self.repeats_id ? "r" : "r" + std::to_string(i);
    input.target = "/" + std::to_string(i);
    input.headers = {{kIdHeader, id}};
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      call_options options;
      options.deadline =
          std::chrono::steady_clock::now() + self.script.work + kSlack;
      options.connect_deadline = options.deadline;
      options.expected = {kIdHeader, id};
      const call_result result =
          co_await Call(pool, server.Address(), input, options);
      if (result.how != progress::kAnswered) continue;
      ++self.answered;
      const std::string own = OwnAnswer(input, server.Requests(), false);
      if (result.answer.body != own) self.wrong.push_back(result.answer.body);
      break;
    }
    if (self.waits) {
      co_await Sleep(self.script.delay + milliseconds(20));
    }
  }
  self.is_finished = true;
}

std::string Describe(const series& self) {
  std::ostringstream text;
  text << self.script << (self.repeats_id ? ", same id again" : "")
       << (self.waits ? ", while idle" : "");
  return text.str();
}

// Guards against a second answer that is accepted as the answer to the next
// request of its connection.
TEST(SecondAnswerTest, CallsGetTheirOwnAnswerOrNone) {
  io_context loop;
  std::list<series> all;
  for (const duplicate_response& script : AllDuplicateResponses()) {
    for (const bool repeats_id : {false, true}) {
      for (const bool waits : {false, true}) {
        all.push_back({script, repeats_id, waits});
      }
    }
  }
  size_t finished = 0;
  for (series& one : all) {
    boost::asio::co_spawn(loop, MakeCalls(loop, one),
                          [&loop, &finished, &all](const std::exception_ptr&) {
                            if (++finished == all.size()) loop.stop();
                          });
  }
  loop.run_for(kTestTimeout);
  for (const series& one : all) {
    EXPECT_TRUE(one.is_finished) << Describe(one);
    EXPECT_EQ(one.answered, kCalls) << Describe(one);
    for (const std::string& body : one.wrong) {
      ADD_FAILURE() << Describe(one) << ": " << body;
    }
  }
}

// Result of consecutive calls: the number of calls that returned their own
// answer, and the number of connections.
struct call_count {
  int answered = 0;
  int connections = 0;
};

call_count CallSeveralTimes(const duplicate_response& script,
                            const std::vector<std::string>& ids,
                            pool_options limits = {}) {
  io_context loop;
  duplicate_response_server server(loop, script, OwnAnswer);
  connection_pool pool(loop, limits);
  call_count count;
  const auto call_all = [&]() -> awaitable<void> {
    for (const std::string& id : ids) {
      request input;
      input.target = "/";
      if (!id.empty()) input.headers = {{kIdHeader, id}};
      call_options options;
      options.deadline = std::chrono::steady_clock::now() + kTestTimeout;
      options.connect_deadline = options.deadline;
      options.expected = {kIdHeader, id};
      const call_result result =
          co_await Call(pool, server.Address(), input, options);
      const std::string own = OwnAnswer(input, server.Requests(), false);
      if (result.answer.body == own) ++count.answered;
    }
    count.connections = server.Connections();
    loop.stop();
  };
  boost::asio::co_spawn(loop, call_all(), boost::asio::detached);
  loop.run_for(kTestTimeout);
  return count;
}

// Guards against a new connection for each call when answers contain the id of
// their request, and against reuse when they don't.
TEST(SecondAnswerTest, ConnectionsAreReusedWhenAnswersContainTheRequestId) {
  duplicate_response script;
  script.moment = second_moment::kNever;
  call_count count = CallSeveralTimes(script, {"a", "b", "c", "d"});
  EXPECT_EQ(count.answered, 4);
  EXPECT_EQ(count.connections, 1);
  // A second answer to the first "a" would contain the id of the second "a"
  // too.
  count = CallSeveralTimes(script, {"a", "b", "a", "b"});
  EXPECT_EQ(count.answered, 4);
  EXPECT_EQ(count.connections, 2);
  count = CallSeveralTimes(script, {"", "", ""});
  EXPECT_EQ(count.answered, 3);
  EXPECT_EQ(count.connections, 3);
  pool_options limits;
  limits.requests_per_connection = 2;
  count = CallSeveralTimes(script, {"a", "b", "c", "d"}, limits);
  EXPECT_EQ(count.connections, 2);
  script.contains_own_id = false;
  count = CallSeveralTimes(script, {"a", "b", "c"});
  EXPECT_EQ(count.answered, 3);
  EXPECT_EQ(count.connections, 3);
}

// Guards against an interim answer that is accepted as the final answer; the
// final answer would then be read as the answer to the next request.
TEST(SecondAnswerTest, InterimAnswersAreSkipped) {
  duplicate_response script;
  script.moment = second_moment::kNever;
  script.sends_interim = true;
  const call_count count = CallSeveralTimes(script, {"a", "b", "c"});
  EXPECT_EQ(count.answered, 3);
  EXPECT_EQ(count.connections, 1);
}

}  // namespace
}  // namespace hickorywood::net
