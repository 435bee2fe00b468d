// Tests on real sockets for the behavior of libcurl and Pistache that the
// design depends on.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "transport/access.h"
#include "transport/engine_protocol.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/rpc.h"
#include "unit/transport/raw_server.h"

namespace hickorywood::transport {
namespace {

http_response Send(http_client& client, http_request request) {
  std::promise<http_response> promise;
  client.Send(std::move(request), [&promise](http_response response) {
    promise.set_value(std::move(response));
  });
  return promise.get_future().get();
}

http_request Post(uint16_t port, bool is_single_shot) {
  http_request request;
  request.url = "http://127.0.0.1:" + std::to_string(port) + "/x";
  request.body = "body";
  request.is_single_shot = is_single_shot;
  request.total_timeout = milliseconds(5000);
  return request;
}

// The server answers the first POST, keeps the connection open, reads the
// second POST on it and closes it without a response. libcurl then sends that
// POST again on a new connection: the server receives it twice while the caller
// gets one success. On a dedicated connection it is sent once.
TEST(HttpClientTest, SingleShotIsNeverSentTwice) {
  for (const bool is_single_shot : {false, true}) {
    raw_server server(raw_server::script::kAnswerThenReadAndClose);
    http_client client;
    client.Start();
    EXPECT_EQ(Send(client, Post(server.Port(), is_single_shot)).status, 200);
    const http_response second =
        Send(client, Post(server.Port(), is_single_shot));
    if (is_single_shot) {
      EXPECT_EQ(server.Requests(), 2);  // one per call
    } else {
      EXPECT_EQ(second.status, 200);
      // libcurl sent the second request twice.
      EXPECT_EQ(server.Requests(), 3);
    }
  }
}

TEST(HttpClientTest, RefusedConnectionIsNotSent) {
  uint16_t port = 0;
  {
    raw_server server(raw_server::script::kAnswer);
    port = server.Port();
  }
  http_client client;
  client.Start();
  EXPECT_EQ(Send(client, Post(port, true)).how, delivery::kNotSent);
}

// The server closes the connection after reading the request, so the request
// may have run.
TEST(HttpClientTest, ResetAfterReadingMayHaveRun) {
  raw_server server(raw_server::script::kReadAndClose);
  http_client client;
  client.Start();
  EXPECT_EQ(Send(client, Post(server.Port(), true)).how, delivery::kMaybeSent);
}

TEST(HttpClientTest, TruncatedBodyIsNotAnswered) {
  raw_server server(raw_server::script::kTruncatedBody);
  http_client client;
  client.Start();
  const http_response response = Send(client, Post(server.Port(), true));
  EXPECT_EQ(response.how, delivery::kMaybeSent);
  EXPECT_FALSE(response.error.empty());
}

class HttpServerTest : public ::testing::Test {
 protected:
  HttpServerTest()
      : server_({"127.0.0.1:0", 4096},
                [this](std::shared_ptr<http_exchange> exchange) {
                  Handle(std::move(exchange));
                }) {
    started_ = server_.Start();
    client_.Start();
  }

  void Handle(std::shared_ptr<http_exchange> exchange) {
    if (exchange->Path() == "/hang") {
      exchange->OnDisconnect([this] { disconnected_.set_value(); });
      hanging_ = std::move(exchange);
      arrived_.set_value();
      return;
    }
    if (exchange->Path() == "/stream") {
      exchange->BeginStream(200, {{"X-Own", "yes"}}, "text/plain");
      // From another thread, as all streams of this project are written.
      std::thread([exchange] {
        for (int i = 0; i < 200; ++i) {
          exchange->WriteStream("piece " + std::to_string(i) + "\n");
        }
        exchange->EndStream();
      }).detach();
      return;
    }
    exchange->Reply(200, {{"X-Own", exchange->Header("X-Ask")}}, "text/plain",
                    exchange->Body() + exchange->Query("q"));
  }

  http_request Ask(const std::string& path) const {
    http_request request = Post(server_.Port(), false);
    request.url = "http://127.0.0.1:" + std::to_string(server_.Port()) + path;
    return request;
  }

  bool started_ = false;
  std::promise<void> arrived_;
  std::promise<void> disconnected_;
  std::shared_ptr<http_exchange> hanging_;
  http_server server_;
  http_client client_;
};

TEST_F(HttpServerTest, HeadersBodyAndQueryArrive) {
  ASSERT_TRUE(started_);
  http_request request = Ask("/x?q=more");
  request.headers = {{"X-Ask", "hello"}};
  const http_response response = Send(client_, std::move(request));
  EXPECT_EQ(response.body, "bodymore");
  EXPECT_EQ(response.Header("x-own"), "hello");
}

TEST_F(HttpServerTest, StreamFromAnotherThreadIsComplete) {
  for (int round = 0; round < 5; ++round) {
    const http_response response = Send(client_, Ask("/stream"));
    EXPECT_EQ(response.how, delivery::kAnswered) << response.error;
    EXPECT_EQ(response.Header("X-Own"), "yes");
    EXPECT_NE(response.body.find("piece 199\n"), std::string::npos);
  }
}

TEST_F(HttpServerTest, DisconnectOfCallerIsDetected) {
  http_request request = Ask("/hang");
  const uint64_t id = client_.Send(std::move(request),
                                   [](const http_response& /*response*/) {});
  arrived_.get_future().wait();
  client_.Cancel(id);
  EXPECT_EQ(disconnected_.get_future().wait_for(std::chrono::seconds(10)),
            std::future_status::ready);
}

// A request over the limit is rejected, and the next request on the same
// connection receives its own response.
TEST_F(HttpServerTest, RequestAfterAnOversizedOneGetsItsOwnAnswer) {
  for (int round = 0; round < 5; ++round) {
    http_request large = Ask("/x");
    large.body = std::string(10000, 'x');
    EXPECT_EQ(Send(client_, std::move(large)).status, 413);
    EXPECT_EQ(Send(client_, Ask("/x?q=own")).body, "bodyown");
  }
}

TEST(RpcTest, CallsAreRoutedAndFailuresReported) {
  rpc_dispatcher dispatcher(
      {{"echo",
        [](const std::string& payload) {
          return std::optional<std::string>(payload + "!");
        }},
       {"fail",
        [](const std::string& /*payload*/) -> std::optional<std::string> {
          return core::Fail(core::reason_code::kUnavailable, "not now");
        }}});
  EXPECT_EQ(DecodeRpcAnswer(dispatcher.Handle(EncodeRpcCall("echo", "a\"b\n"))),
            "a\"b\n!");
  EXPECT_FALSE(DecodeRpcAnswer(dispatcher.Handle(EncodeRpcCall("fail", ""))));
  EXPECT_EQ(core::LastReason().text, "not now");
  EXPECT_FALSE(
      DecodeRpcAnswer(dispatcher.Handle(EncodeRpcCall("unknown", ""))));
}

RC_GTEST_PROP(RpcTest, AnyBytesAreHandled, (const std::string& bytes)) {
  rpc_dispatcher dispatcher({{"echo", [](const std::string& payload) {
                                return std::optional<std::string>(payload);
                              }}});
  dispatcher.Handle(bytes);
  DecodeRpcAnswer(bytes);
}

// The parsed chunks are independent of how the bytes of the stream are split.
RC_GTEST_PROP(CompletionStreamTest, ChunksDoNotDependOnPieces, ()) {
  std::string text;
  for (int i = 0; i < 10; ++i) {
    text +=
        "data: "
        "{\"id\":\"r\",\"choices\":[{\"text\":\"t\",\"finish_reason\":null}],"
        "\"token_offset\":" +
        std::to_string(i) + ",\"token_count\":1,\"weights_version\":3}\r\n\r\n";
  }
  text += "data: [DONE]\n\n";
  completion_stream stream;
  size_t chunks = 0;
  bool is_ended = false;
  while (!text.empty()) {
    const auto size = *rc::gen::inRange<size_t>(1, 40);
    const auto events = stream.Feed(text.substr(0, size));
    RC_ASSERT(events.has_value());
    for (const completion_stream::event& event : *events) {
      is_ended = event.is_end;
      if (!event.is_end) {
        RC_ASSERT(event.chunk.token_offset == static_cast<int64_t>(chunks++));
      }
    }
    text.erase(0, size);
  }
  RC_ASSERT(chunks == 10U);
  RC_ASSERT(is_ended);
}

RC_GTEST_PROP(CompletionStreamTest, AnyBytesAreAccepted,
              (const std::string& bytes)) {
  completion_stream stream;
  stream.Feed("data: " + bytes + "\n");
  stream.Feed(bytes);
}

TEST(CompletionStreamTest, OversizedEventIsRejected) {
  completion_stream stream;
  EXPECT_FALSE(stream.Feed(std::string(2 * 1024 * 1024, 'x')));
}

TEST(AccessTest, BearerTokens) {
  EXPECT_EQ(CheckBearer("", ""), access_result::kGranted);
  EXPECT_EQ(CheckBearer("", "secret"), access_result::kMissing);
  EXPECT_EQ(CheckBearer("Basic secret", "secret"), access_result::kMissing);
  EXPECT_EQ(CheckBearer("Bearer secre", "secret"), access_result::kWrong);
  EXPECT_EQ(CheckBearer("Bearer secret", "secret"), access_result::kGranted);
}

}  // namespace
}  // namespace hickorywood::transport
