// Tests connections over real sockets: what the peer observes when a call is
// cancelled.

#include "net/connection_pool.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>

#include "net/call.h"
#include "net/event.h"
#include "net/listener.h"
#include "net/spawn.h"

namespace hickorywood::net {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using core::milliseconds;

core::time_point In(milliseconds time) {
  return std::chrono::steady_clock::now() + time;
}

// Reads a stream from `address` until it ends or breaks. Returns the number of
// reads.
awaitable<int> ReadAll(connection_pool& pool, std::string address) {
  acquire_terms terms;
  std::unique_ptr<connection> open =
      co_await pool.Acquire(address, In(milliseconds(2000)), std::move(terms));
  if (!open) co_return -1;
  request input;
  input.target = "/stream";
  co_await open->Write(input, In(milliseconds(2000)));
  response head;
  co_await open->ReadHead(head, In(milliseconds(2000)));
  int pieces = 0;
  body_state state = body_state::kMore;
  while (state == body_state::kMore) {
    std::string piece;
    state = co_await open->ReadSome(piece, In(milliseconds(2000)));
    ++pieces;
  }
  co_return pieces;
}

// A step ends while its tasks are running, and each run is cancelled in the
// middle of its stream. The connection to the engine must be closed, so that
// the engine stops the work.
TEST(ConnectionPoolTest, CancelledStreamsCloseTheirConnections) {
  io_context loop;
  constexpr int kStreams = 20;
  int open_streams = 0;
  listener_options options;
  options.address = "127.0.0.1:0";
  options.limits = [] { return caller_limits{}; };
  struct count_guard {
    int& count;
    ~count_guard() { --count; }
  };
  listener engine(loop, options,
                  [&open_streams](exchange& call) -> awaitable<void> {
                    ++open_streams;
                    const count_guard guard{open_streams};
                    response head;
                    co_await call.BeginStream(std::move(head));
                    for (;;) {
                      co_await call.WriteStream("id: 1\n");
                      co_await Sleep(milliseconds(2));
                    }
                  });
  ASSERT_TRUE(engine.Start());
  const std::string address = "127.0.0.1:" + std::to_string(engine.Port());
  connection_pool pool(loop);
  std::vector<cancel_signal> signals;
  int ended = 0;
  for (int i = 0; i < kStreams; ++i) {
    signals.push_back(MakeCancelSignal());
    SpawnCancellable(loop, ReadAll(pool, address), signals.back(),
                     [&ended](const std::exception_ptr& /*failure*/,
                              int /*pieces*/) { ++ended; });
  }
  const auto watch = [&]() -> awaitable<void> {
    while (open_streams < kStreams) {
      co_await Sleep(milliseconds(1));
    }
    for (const cancel_signal& signal : signals) Cancel(signal);
    signals.clear();
    while (ended < kStreams || open_streams > 0) {
      co_await Sleep(milliseconds(1));
    }
    loop.stop();
  };
  boost::asio::co_spawn(loop, watch(), boost::asio::detached);
  loop.run_for(std::chrono::seconds(20));
  EXPECT_EQ(ended, kStreams);
  EXPECT_EQ(open_streams, 0);
}

// Sends a request with a body of `sent` bytes, which is answered with one of
// `received` bytes. Returns how many handlers the loop ran meanwhile.
size_t CountHandlers(size_t sent, size_t received) {
  io_context loop;
  listener_options options;
  options.address = "127.0.0.1:0";
  options.limits = [] { return caller_limits{}; };
  listener server(loop, options, [received](exchange& call) -> awaitable<void> {
    response answer;
    answer.body.resize(received);
    co_await call.Reply(std::move(answer));
  });
  EXPECT_TRUE(server.Start());
  connection_pool pool(loop);
  bool is_done = false;
  const auto send = [&]() -> awaitable<void> {
    request input;
    input.method = "POST";
    input.target = "/";
    input.body = std::string(sent, 0);
    call_options limits;
    limits.deadline = In(milliseconds(10000));
    limits.connect_deadline = limits.deadline;
    const call_result result = co_await Call(
        pool, "127.0.0.1:" + std::to_string(server.Port()), input, limits);
    EXPECT_EQ(result.answer.body.size(), received);
    is_done = true;
  };
  boost::asio::co_spawn(loop, send(), boost::asio::detached);
  size_t handlers = 0;
  while (!is_done && loop.run_one_for(std::chrono::seconds(10)) > 0) ++handlers;
  EXPECT_TRUE(is_done);
  return handlers;
}

// Guards against messages that are read in pieces of 512 bytes. Between two
// pieces a busy process runs everything else that is ready, so that a view of
// some kilobytes arrived seconds late, and no timeout ended the call.
TEST(ConnectionPoolTest, LargeBodiesAreReadInFewTurnsOfTheLoop) {
  constexpr size_t kBytes = 1024 * 1024;
  constexpr size_t kMaxHandlers = 400;
  EXPECT_LT(CountHandlers(0, kBytes), kMaxHandlers);
  EXPECT_LT(CountHandlers(kBytes, 0), kMaxHandlers);
}

// Guards against an event that is delivered only when the next one arrives: its
// chunk was received together with the start of the following chunk.
TEST(ConnectionPoolTest, EventsAreDeliveredBeforeTheNextChunkIsComplete) {
  using boost::asio::ip::tcp;
  io_context loop;
  tcp::acceptor acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket peer(loop);
  acceptor.async_accept(peer, [&peer](boost::system::error_code failure) {
    ASSERT_FALSE(failure);
    static constexpr std::string_view kStart =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nid: 1\r\n5\r\nid: 2\r\n5";
    boost::asio::write(peer, boost::asio::buffer(kStart.data(), kStart.size()));
  });
  connection_pool pool(loop);
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::string received;
  const auto read = [&]() -> awaitable<void> {
    acquire_terms terms;
    const auto open = co_await pool.Acquire(address, In(milliseconds(2000)),
                                            std::move(terms));
    response head;
    co_await open->ReadHead(head, In(milliseconds(2000)));
    while (received.size() < std::string("id: 1id: 2").size()) {
      const body_state state =
          co_await open->ReadSome(received, In(milliseconds(2000)));
      if (state != body_state::kMore) break;
    }
  };
  boost::asio::co_spawn(loop, read(),
                        [&loop](const std::exception_ptr&) { loop.stop(); });
  loop.run_for(std::chrono::seconds(20));
  EXPECT_EQ(received, "id: 1id: 2");
}

// Sends `calls` requests one after the other to a server that states its idle
// timeout, or none if `keep_alive` is empty. Returns how many of them used a
// connection again.
int CountReused(const std::string& keep_alive, milliseconds idle_limit) {
  constexpr int kCalls = 4;
  io_context loop;
  listener_options options;
  options.address = "127.0.0.1:0";
  options.limits = [] { return caller_limits{}; };
  listener server(
      loop, options, [&keep_alive](exchange& call) -> awaitable<void> {
        response answer;
        answer.headers = {
            {"Id", std::string(Find(call.Request().headers, "Id"))}};
        if (!keep_alive.empty()) {
          answer.headers.push_back({"Keep-Alive", keep_alive});
        }
        co_await call.Reply(std::move(answer));
      });
  EXPECT_TRUE(server.Start());
  const std::string address = "127.0.0.1:" + std::to_string(server.Port());
  pool_options limits;
  limits.idle_limit = idle_limit;
  connection_pool pool(loop, limits);
  int reused = 0;
  const auto send_all = [&]() -> awaitable<void> {
    for (int i = 0; i < kCalls; ++i) {
      acquire_terms terms;
      terms.request_id = std::to_string(i);
      std::unique_ptr<connection> open = co_await pool.Acquire(
          address, In(milliseconds(2000)), std::move(terms));
      if (open->IsReused()) ++reused;
      request input;
      input.target = "/";
      input.headers = {{"Id", std::to_string(i)}};
      co_await open->Write(input, In(milliseconds(2000)));
      response head;
      co_await open->ReadHead(head, In(milliseconds(2000)));
      open->MarkIdentified();
      body_state state = body_state::kMore;
      while (state == body_state::kMore) {
        std::string body;
        state = co_await open->ReadSome(body, In(milliseconds(2000)));
      }
      pool.Release(std::move(open));
    }
    loop.stop();
  };
  boost::asio::co_spawn(loop, send_all(), boost::asio::detached);
  loop.run_for(std::chrono::seconds(20));
  return reused;
}

// Guards against a new connection for nearly every request of an entry that
// sends one to each endpoint only every few seconds.
TEST(ConnectionPoolTest, IdleTimeoutOfThePeerReplacesTheDefault) {
  constexpr milliseconds kNoTime{0};
  constexpr milliseconds kLong{60000};
  EXPECT_EQ(CountReused("", kNoTime), 0);
  EXPECT_EQ(CountReused("", kLong), 3);
  EXPECT_EQ(CountReused("timeout=30, max=9", kNoTime), 3);
  EXPECT_EQ(CountReused("max=9, timeout=0", kLong), 0);
  EXPECT_EQ(CountReused("timeout=soon", kLong), 3);
}

}  // namespace
}  // namespace hickorywood::net
