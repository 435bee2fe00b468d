// Calls between the processes of this service, in which a response could be
// mistaken for the response to another call.

#include "peering/leader_caller.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <sstream>
#include <string>
#include <vector>

#include "core/binary.h"
#include "net/event.h"
#include "net/listener.h"
#include "peering/peer_interface.h"
#include "support/duplicate_response_server.h"
#include "support/response_cases.h"
#include "support/scripted_server.h"

namespace hickorywood::peering {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using core::milliseconds;

constexpr int kCalls = 3;
constexpr int kAttempts = 3;
constexpr milliseconds kSlack{300};
constexpr milliseconds kLimit{60000};

std::string Payload(const net::request& input, int count, bool is_second) {
  return std::string(is_second ? "second" : "first") + " answer to " +
         input.body.Text() + ", arrived as number " + std::to_string(count);
}

std::string Answer(const net::request& input, int count, bool is_second) {
  envelope answer;
  answer.outcome = call_outcome::kDone;
  answer.payload = Payload(input, count, is_second);
  return core::EncodeBinary(answer);
}

struct series {
  net::duplicate_response script;
  int answered = 0;
  std::vector<std::string> wrong;
  bool is_finished = false;
};

awaitable<void> MakeCalls(io_context& loop, series& self) {
  net::duplicate_response_server peer(loop, self.script, Answer);
  net::connection_pool pool(loop);
  leader_caller caller(pool, {});
  for (int i = 0; i < kCalls; ++i) {
    net::request input;
    input.body = "payload " + std::to_string(i);
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const core::time_point deadline =
          std::chrono::steady_clock::now() + self.script.work + kSlack;
      const envelope answer = co_await caller.AttemptCall(
          peer.Address(), "method", input.body, deadline);
      if (answer.outcome != call_outcome::kDone) continue;
      ++self.answered;
      const std::string own = Payload(input, peer.Requests(), false);
      if (answer.payload != own) self.wrong.push_back(answer.payload);
      break;
    }
  }
  self.is_finished = true;
}

// Runs all series concurrently.
void RunAll(std::list<series>& all) {
  io_context loop;
  size_t finished = 0;
  for (series& item : all) {
    boost::asio::co_spawn(loop, MakeCalls(loop, item),
                          [&loop, &finished, &all](const std::exception_ptr&) {
                            if (++finished == all.size()) loop.stop();
                          });
  }
  loop.run_for(kLimit);
  for (const series& item : all) {
    std::ostringstream name;
    name << item.script;
    EXPECT_TRUE(item.is_finished) << name.str();
    EXPECT_EQ(item.answered, kCalls) << name.str();
    for (const std::string& payload : item.wrong) {
      ADD_FAILURE() << name.str() << ": " << payload;
    }
  }
}

// Guards against a request body, a page of results or a view that belongs to
// another call.
TEST(LeaderCallerTest, SecondResponsesAreIgnored) {
  std::list<series> all;
  for (const net::duplicate_response& script : net::AllDuplicateResponses()) {
    all.push_back({script});
  }
  RunAll(all);
}

// Guards against instances that can't communicate with those of the previous
// release, whose responses contain no call id.
TEST(LeaderCallerTest, ResponsesWithoutCallIdAreAccepted) {
  std::list<series> all;
  for (net::duplicate_response script : net::AllDuplicateResponses()) {
    script.contains_own_id = false;
    all.push_back({script});
  }
  RunAll(all);
}

// Guards against a new connection for each call between instances whose
// responses contain the call id.
TEST(LeaderCallerTest, ConnectionsToPeersAreReused) {
  io_context loop;
  net::listener peer(
      loop, PeerListenerOptions("127.0.0.1:0"),
      [](net::exchange& call) -> awaitable<void> {
        return ServePeer(
            call,
            [](std::string payload) -> awaitable<std::string> {
              co_return payload;
            },
            [](std::string method, std::string payload) -> awaitable<envelope> {
              envelope answer;
              answer.outcome = call_outcome::kDone;
              answer.payload = method + payload;
              co_return answer;
            });
      });
  ASSERT_TRUE(peer.Start());
  net::connection_pool pool(loop);
  leader_caller caller(pool, {});
  const std::string address = "127.0.0.1:" + std::to_string(peer.Port());
  int answered = 0;
  const auto call_all = [&]() -> awaitable<void> {
    for (int i = 0; i < kCalls; ++i) {
      const std::string payload = std::to_string(i);
      const envelope answer = co_await caller.AttemptCall(
          address, "m", payload, std::chrono::steady_clock::now() + kLimit);
      if (answer.payload == "m" + payload) ++answered;
    }
    loop.stop();
  };
  boost::asio::co_spawn(loop, call_all(), boost::asio::detached);
  loop.run_for(kLimit);
  EXPECT_EQ(answered, kCalls);
  EXPECT_EQ(peer.Connections(), 1U);
}

// Guards against an instance that stands still, here one that never accepts a
// connection, and takes the time limit of the call: entries that asked it after
// an election learned of no change for seconds.
TEST(LeaderCallerTest, LeaderIsFoundBesideAnInstanceThatStandsStill) {
  io_context loop;
  boost::asio::ip::tcp::acceptor silent(
      loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  net::listener leader(
      loop, PeerListenerOptions("127.0.0.1:0"),
      [](net::exchange& call) -> awaitable<void> {
        return ServePeer(
            call,
            [](std::string payload) -> awaitable<std::string> {
              co_return payload;
            },
            [](std::string /*method*/,
               std::string /*payload*/) -> awaitable<envelope> {
              envelope answer;
              answer.outcome = call_outcome::kDone;
              co_return answer;
            });
      });
  ASSERT_TRUE(leader.Start());
  net::connection_pool pool(loop);
  leader_caller caller(
      pool, {"127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
             "127.0.0.1:" + std::to_string(leader.Port())});
  envelope answer;
  constexpr milliseconds kCallLimit{5000};
  boost::asio::co_spawn(
      loop,
      caller.Call("method", "", std::chrono::steady_clock::now() + kCallLimit,
                  kCallLimit),
      [&](const std::exception_ptr& /*failure*/, envelope received) {
        answer = std::move(received);
        loop.stop();
      });
  loop.run_for(kLimit);
  EXPECT_EQ(answer.outcome, call_outcome::kDone) << answer.reason;
}

// Guards against a control instance that leads and does not know it: after all
// processes were started again it asked the seeds, which answered nobody.
TEST(LeaderCallerTest, LeaderFindsItselfWithoutConnections) {
  io_context loop;
  boost::asio::ip::tcp::acceptor silent(
      loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  net::connection_pool pool(loop);
  leader_caller caller(
      pool, {"127.0.0.1:" + std::to_string(silent.local_endpoint().port())});
  caller.ServeLocally("127.0.0.1:1",
                      [](std::string /*method*/,
                         std::string /*payload*/) -> awaitable<envelope> {
                        envelope answer;
                        answer.outcome = call_outcome::kDone;
                        co_return answer;
                      });
  bool is_found = false;
  constexpr milliseconds kSearchLimit{200};
  boost::asio::co_spawn(
      loop, caller.FindLeader(std::chrono::steady_clock::now() + kSearchLimit),
      [&](const std::exception_ptr& /*failure*/, bool found) {
        is_found = found;
        loop.stop();
      });
  loop.run_for(kLimit);
  EXPECT_TRUE(is_found);
}

// Guards against processes that never find a leader that is busy with many of
// them: each gave up after 300 ms and asked again.
TEST(LeaderCallerTest, LeaderThatAnswersLateIsFound) {
  constexpr milliseconds kAnswerTime{700};
  constexpr milliseconds kCallLimit{8000};
  io_context loop;
  net::listener leader(
      loop, PeerListenerOptions("127.0.0.1:0"),
      [&](net::exchange& call) -> awaitable<void> {
        return ServePeer(
            call,
            [](std::string payload) -> awaitable<std::string> {
              co_return payload;
            },
            [&](std::string /*method*/,
                std::string /*payload*/) -> awaitable<envelope> {
              co_await net::Sleep(kAnswerTime);
              envelope answer;
              answer.outcome = call_outcome::kDone;
              co_return answer;
            });
      });
  ASSERT_TRUE(leader.Start());
  net::connection_pool pool(loop);
  leader_caller caller(pool, {"127.0.0.1:" + std::to_string(leader.Port())});
  envelope answer;
  boost::asio::co_spawn(
      loop,
      caller.Call("method", "", std::chrono::steady_clock::now() + kCallLimit,
                  kCallLimit),
      [&](const std::exception_ptr& /*failure*/, envelope received) {
        answer = std::move(received);
        loop.stop();
      });
  loop.run_for(kCallLimit + kAnswerTime);
  EXPECT_EQ(answer.outcome, call_outcome::kDone) << answer.reason;
}

// Guards against an answer of another instance that is taken from an invalid
// response, and against one whose connection is used again.
TEST(LeaderCallerTest, InvalidResponsesAreNoAnswers) {
  envelope done;
  done.outcome = call_outcome::kDone;
  done.payload = "payload";
  const std::string body = core::EncodeBinary(done);
  std::vector<testing::scripted_response> cases;
  for (const auto& list :
       {testing::InvalidStatuses(), testing::InvalidFields()}) {
    for (const testing::scripted_response& response : list) {
      cases.push_back(testing::WithBody(response, body));
    }
  }
  for (const testing::scripted_response& response : cases) {
    std::atomic<int> requests{0};
    testing::scripted_server peer([&](const net::request& input) {
      return testing::ResponseTo(
          input, ++requests == 1 ? response : testing::OrdinaryResponse(body));
    });
    io_context loop;
    net::connection_pool pool(loop);
    leader_caller caller(pool, {});
    std::vector<envelope> answers;
    const auto call_twice = [&]() -> awaitable<void> {
      for (int i = 0; i < 2; ++i) {
        answers.push_back(co_await caller.AttemptCall(
            peer.Address(), "method", "",
            std::chrono::steady_clock::now() + kLimit));
      }
    };
    boost::asio::co_spawn(loop, call_twice(), boost::asio::detached);
    loop.run_for(kLimit);
    ASSERT_EQ(answers.size(), 2U) << response.name;
    EXPECT_EQ(answers[0].outcome, call_outcome::kUnknown) << response.name;
    EXPECT_EQ(answers[1].payload, "payload") << response.name;
    EXPECT_EQ(peer.Connections(), 2) << response.name;
  }
}

}  // namespace
}  // namespace hickorywood::peering
