// Tests the listener over raw sockets: which requests a proxy in front of
// endpoints must accept or reject, and which connections it must close, so that
// no caller receives the answer of another caller.

#include "net/listener.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "net/event.h"

namespace hickorywood::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

class ListenerTest : public ::testing::Test {
 protected:
  ListenerTest()
      : server_(loop_, Options(),
                [this](exchange& call) { return Serve(call); }) {
    EXPECT_TRUE(server_.Start());
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~ListenerTest() override {
    asio::post(loop_, [this] {
      server_.StopAccepting();
      loop_.stop();
    });
    thread_.join();
  }

  listener_options Options() {
    listener_options options;
    options.stall_timeout = [] { return milliseconds(200); };
    options.on_stall = [this](size_t unread) { stalled_.set_value(unread); };
    options.address = "127.0.0.1:0";
    options.limits = [] {
      caller_limits limits;
      limits.header_timeout = milliseconds(100);
      limits.body_bytes = 1000;
      return limits;
    };
    return options;
  }

  // Answers with the target and the body. "/wait" waits until it is cancelled.
  asio::awaitable<void> Serve(exchange& call) {
    const struct finish_guard {
      bool& is_finished;
      ~finish_guard() { is_finished = true; }
    } guard{is_finished_};
    response answer;
    answer.body = call.Request().target + "|" + call.Request().body.Text();
    if (call.Request().target == "/large") answer.body.resize(kLargeBytes);
    if (call.Request().target == "/wait") {
      co_await never_.WaitUntil(core::time_point::max());
    }
    co_await call.Reply(std::move(answer));
  }

  static constexpr size_t kLargeBytes = 32 * 1024 * 1024;

  tcp::socket Connect() {
    tcp::socket socket(client_);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_.Port()});
    return socket;
  }

  // Sends `text` and reads until the listener closes the connection.
  std::string Exchange(const std::string& text) {
    tcp::socket socket = Connect();
    error_code failure;
    asio::write(socket, asio::buffer(text), failure);
    return ReadAll(socket);
  }

  static std::string ReadAll(tcp::socket& socket) {
    std::string answer;
    error_code failure;
    asio::read(socket, asio::dynamic_buffer(answer), failure);
    return answer;
  }

  size_t InFlight() {
    std::promise<size_t> count;
    asio::post(loop_, [&] { count.set_value(server_.InFlight()); });
    return count.get_future().get();
  }

  static size_t Count(const std::string& text, const std::string& part) {
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }

  asio::io_context loop_;
  asio::io_context client_;
  event never_;
  bool is_finished_ = false;
  std::promise<size_t> stalled_;  // the bytes that a caller did not read
  listener server_;
  std::thread thread_;
};

// Guards against answers that stay in memory because their callers do not read.
TEST_F(ListenerTest, CallerThatReadsNothingIsDisconnected) {
  tcp::socket socket = Connect();
  asio::write(
      socket,
      asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::future<size_t> unread = stalled_.get_future();
  ASSERT_EQ(unread.wait_for(std::chrono::seconds(10)),
            std::future_status::ready);
  EXPECT_GT(unread.get(), 0U);
  EXPECT_EQ(InFlight(), 0U);
}

constexpr char kLast[] =
    "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

// HTTP/1.1 connections are persistent, and callers send the next request before
// they have the previous answer. Each request must get its own answer, in
// order.
TEST_F(ListenerTest, PipelinedRequestsAreAnsweredInOrder) {
  const std::string answer = Exchange(
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz" +
      std::string(kLast));
  EXPECT_EQ(Count(answer, "HTTP/1.1 200"), 3U);
  const size_t a = answer.find("/a|");
  const size_t b = answer.find("/b|xyz");
  const size_t last = answer.find("/last|");
  ASSERT_NE(last, std::string::npos) << answer;
  EXPECT_LT(a, b);
  EXPECT_LT(b, last);
}

// A request that two parsers could interpret differently allows request
// smuggling. It is rejected and the connection is closed, so that no bytes
// after it are parsed as a request.
TEST_F(ListenerTest, AmbiguousFramingIsRejectedAndTheConnectionCloses) {
  for (const char* head :
       {"Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: +3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Host : h\r\n",
        "Content-Length: 0x3\r\n"}) {
    const std::string answer = Exchange("POST /a HTTP/1.1\r\n" +
                                        std::string(head) + "\r\nxyz" + kLast);
    EXPECT_EQ(Count(answer, "HTTP/1.1 400"), 1U) << head << answer;
    EXPECT_EQ(Count(answer, "HTTP/1.1 200"), 0U) << head << answer;
  }
}

TEST_F(ListenerTest, OversizedHeadersAndBodiesAreRejected) {
  const std::string header = Exchange("GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " +
                                      std::string(100000, 'x') + "\r\n\r\n");
  EXPECT_EQ(Count(header, "HTTP/1.1 431"), 1U) << header;
  const std::string body =
      Exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" +
               std::string(1001, 'x'));
  EXPECT_EQ(Count(body, "HTTP/1.1 413"), 1U) << body;
}

TEST_F(ListenerTest, ContinueIsSentWhenExpected) {
  tcp::socket socket = Connect();
  asio::write(socket,
              asio::buffer(std::string(
                  "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                  "Connection: close\r\nContent-Length: 3\r\n\r\n")));
  std::string interim(25, ' ');
  asio::read(socket, asio::buffer(interim));
  EXPECT_EQ(interim, "HTTP/1.1 100 Continue\r\n\r\n");
  asio::write(socket, asio::buffer(std::string("xyz")));
  EXPECT_NE(ReadAll(socket).find("/a|xyz"), std::string::npos);
}

// Connections that never complete their header occupy a file descriptor each.
// They are closed when the header timeout expires.
TEST_F(ListenerTest, UnfinishedHeadersAreClosed) {
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < 50; ++i) {
    sockets.push_back(Connect());
    asio::write(sockets.back(),
                asio::buffer(std::string("GET /a HTTP/1.1\r\nHo")));
  }
  EXPECT_EQ(Count(Exchange(kLast), "HTTP/1.1 200"), 1U);
  for (tcp::socket& socket : sockets) {
    EXPECT_EQ(Count(ReadAll(socket), "200"), 0U);
  }
}

// A caller closes its connection before it receives its answer. The handler is
// cancelled, so that the request at the endpoint is cancelled too.
TEST_F(ListenerTest, DisconnectedCallerCancelsTheHandler) {
  {
    tcp::socket socket = Connect();
    asio::write(
        socket,
        asio::buffer(std::string("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")));
    while (InFlight() == 0) std::this_thread::yield();
  }
  while (InFlight() > 0) std::this_thread::yield();
  EXPECT_TRUE(is_finished_);
}

}  // namespace
}  // namespace hickorywood::net
