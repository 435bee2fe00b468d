// Tests the listener under load: many connections that arrive while the loop is
// busy, and more connections than it may have open.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "net/event.h"
#include "net/listener.h"

namespace hickorywood::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using core::milliseconds;

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

listener_options Options(size_t max_connections) {
  listener_options options;
  options.address = "127.0.0.1:0";
  options.limits = [] { return caller_limits{}; };
  options.max_connections = max_connections;
  return options;
}

asio::awaitable<void> ReplyEmpty(exchange& call) {
  response answer;
  co_await call.Reply(std::move(answer));
}

class ListenerLoadTest : public ::testing::Test {
 protected:
  tcp::socket Connect(const listener& server) {
    tcp::socket socket(client_);
    socket.connect({asio::ip::make_address("127.0.0.1"), server.Port()});
    return socket;
  }

  // Runs what is ready until `is_done` or for 5 s at most.
  bool RunUntil(const std::function<bool()>& is_done) {
    const auto limit = std::chrono::steady_clock::now() + milliseconds(5000);
    while (!is_done() && std::chrono::steady_clock::now() < limit) {
      loop_.run_one_for(milliseconds(10));
    }
    return is_done();
  }

  asio::io_context loop_{1};
  asio::io_context client_;
};

// Guards against a busy process that accepts one connection in each turn of its
// loop: its queue filled with connections whose callers had given up, and no
// later caller was served any more.
TEST_F(ListenerLoadTest, BusyLoopAcceptsAllWaitingConnections) {
  constexpr size_t kConnections = 100;
  constexpr size_t kMaxTurns = kConnections / 4;
  listener server(loop_, Options(1000), ReplyEmpty);
  ASSERT_TRUE(server.Start());
  std::vector<tcp::socket> callers;
  for (size_t i = 0; i < kConnections; ++i) callers.push_back(Connect(server));
  size_t turns = 0;
  std::function<void()> work = [&] {
    ++turns;
    std::this_thread::sleep_for(milliseconds(1));
    asio::post(loop_, work);
  };
  asio::post(loop_, work);
  ASSERT_TRUE(RunUntil([&] { return server.Connections() == kConnections; }));
  EXPECT_LT(turns, kMaxTurns);
}

// Guards against a process that does not recover after an overload: its queue
// was full of connections whose callers had given up, so that it answered these
// only, and each later caller gave up in the queue as well.
TEST_F(ListenerLoadTest, NewCallersAreServedBehindAbandonedConnections) {
  constexpr size_t kAbandoned = 1000;
  constexpr auto kMaxWait = milliseconds(500);
  size_t handled = 0;
  listener_options options = Options(2000);
  options.skips_abandoned = true;
  listener server(loop_, options, [&](exchange& call) -> asio::awaitable<void> {
    ++handled;
    co_await ReplyEmpty(call);
  });
  ASSERT_TRUE(server.Start());
  for (size_t i = 0; i < kAbandoned; ++i) {
    tcp::socket caller = Connect(server);
    asio::write(caller, asio::buffer(kRequest, sizeof(kRequest) - 1));
  }
  tcp::socket caller = Connect(server);
  asio::write(caller, asio::buffer(kRequest, sizeof(kRequest) - 1));
  std::function<void()> work = [&] {
    std::this_thread::sleep_for(milliseconds(1));
    asio::post(loop_, work);
  };
  asio::post(loop_, work);
  const auto started = std::chrono::steady_clock::now();
  ASSERT_TRUE(RunUntil([&] { return caller.available() > 0; }));
  EXPECT_LT(std::chrono::steady_clock::now() - started, kMaxWait);
  EXPECT_EQ(handled, 1U);
}

// Guards against a listener that idle connections of callers close for all
// others.
TEST_F(ListenerLoadTest, NewConnectionReplacesTheLongestIdleOne) {
  listener server(loop_, Options(2), ReplyEmpty);
  ASSERT_TRUE(server.Start());
  std::vector<tcp::socket> callers;
  for (size_t i = 0; i < 2; ++i) {
    callers.push_back(Connect(server));
    ASSERT_TRUE(RunUntil([&] { return server.Connections() == i + 1; }));
    loop_.poll();
  }
  callers.push_back(Connect(server));
  asio::write(callers.back(), asio::buffer(kRequest, sizeof(kRequest) - 1));
  ASSERT_TRUE(RunUntil([&] { return callers.back().available() > 0; }));
  EXPECT_EQ(server.Connections(), 2U);
  callers.front().non_blocking(true);
  char byte = 0;
  boost::system::error_code failure;
  callers.front().read_some(asio::buffer(&byte, 1), failure);
  EXPECT_EQ(failure, asio::error::eof);
  callers.at(1).non_blocking(true);
  callers.at(1).read_some(asio::buffer(&byte, 1), failure);
  EXPECT_EQ(failure, asio::error::would_block);
}

// Guards against new connections that are refused although idle ones could be
// replaced, when many arrive at once.
TEST_F(ListenerLoadTest, ManyNewConnectionsReplaceIdleOnes) {
  constexpr size_t kConnections = 64;
  listener server(loop_, Options(kConnections), ReplyEmpty);
  ASSERT_TRUE(server.Start());
  std::vector<tcp::socket> callers;
  for (size_t i = 0; i < kConnections; ++i) callers.push_back(Connect(server));
  ASSERT_TRUE(RunUntil([&] { return server.Connections() == kConnections; }));
  loop_.poll();
  std::vector<tcp::socket> later;
  for (size_t i = 0; i < kConnections; ++i) {
    later.push_back(Connect(server));
    asio::write(later.back(), asio::buffer(kRequest, sizeof(kRequest) - 1));
  }
  const auto is_answered = [](const tcp::socket& caller) {
    return caller.available() > 0;
  };
  EXPECT_TRUE(RunUntil(
      [&] { return std::all_of(later.begin(), later.end(), is_answered); }));
}

// A connection whose request was sent or is being answered is not idle: closing
// it would lose the request.
TEST_F(ListenerLoadTest, ConnectionsInUseAreNotReplaced) {
  const event never;
  listener server(loop_, Options(1),
                  [&](exchange& call) -> asio::awaitable<void> {
                    event held = never;
                    co_await held.WaitUntil(core::time_point::max());
                    co_await ReplyEmpty(call);
                  });
  ASSERT_TRUE(server.Start());
  tcp::socket used = Connect(server);
  asio::write(used, asio::buffer(kRequest, sizeof(kRequest) - 1));
  ASSERT_TRUE(RunUntil([&] { return server.InFlight() == 1; }));
  tcp::socket refused = Connect(server);
  refused.non_blocking(true);
  boost::system::error_code failure = asio::error::would_block;
  char byte = 0;
  ASSERT_TRUE(RunUntil([&] {
    refused.read_some(asio::buffer(&byte, 1), failure);
    return failure != asio::error::would_block;
  }));
  EXPECT_EQ(failure, asio::error::eof);
  EXPECT_EQ(server.InFlight(), 1U);
}

}  // namespace
}  // namespace hickorywood::net
