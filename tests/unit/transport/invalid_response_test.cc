// Tests the client of the native API with servers whose responses break the
// rules of HTTP/1.1, and with servers whose responses don't.

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include "hickoryctl/client.h"
#include "support/response_cases.h"
#include "support/scripted_server.h"
#include "transport/http_client.h"

namespace hickorywood::transport {
namespace {

using testing::scripted_response;
using testing::scripted_server;

// No response takes that long; only a reader that waits for more needs it.
constexpr milliseconds kTimeout{5000};
constexpr milliseconds kPollPeriod{5};
constexpr char kIdHeader[] = "X-Request-Id";

http_request MakeRequest(const scripted_server& server, const std::string& id) {
  http_request request;
  request.method = "GET";
  request.url = "http://" + server.Address() + "/x";
  request.name = {kIdHeader, id};
  request.total_timeout = kTimeout;
  return request;
}

http_response Send(http_client& client, http_request request) {
  std::promise<http_response> promise;
  client.Send(std::move(request), [&promise](http_response response) {
    promise.set_value(std::move(response));
  });
  return promise.get_future().get();
}

bool WaitUntilClosed(const scripted_server& server) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (server.Closed() == 0 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  return server.Closed() > 0;
}

class InvalidHttpResponseTest
    : public ::testing::TestWithParam<scripted_response> {};

// Guards against an invalid response that is returned as a response, and
// against bytes of it in the response to the next request.
TEST_P(InvalidHttpResponseTest, IsNoResponse) {
  scripted_server server([](const net::request& input) {
    return net::Find(input.headers, kIdHeader) == "first"
               ? testing::ResponseTo(input, GetParam())
               : testing::ResponseTo(input,
                                     testing::OrdinaryResponse("second"));
  });
  http_client client;
  client.Start();
  const http_response first = Send(client, MakeRequest(server, "first"));
  EXPECT_EQ(first.how, delivery::kMaybeSent) << first.status << first.body;
  EXPECT_FALSE(first.error.empty());
  EXPECT_FALSE(first.is_timeout);
  EXPECT_TRUE(first.is_invalid) << first.error;
  EXPECT_TRUE(GetParam().closes || WaitUntilClosed(server));
  const http_response second = Send(client, MakeRequest(server, "second"));
  EXPECT_EQ(second.how, delivery::kAnswered) << second.error;
  EXPECT_EQ(second.body, "second");
  EXPECT_EQ(server.Connections(), 2);
}

// Guards against a stream that ends as complete although its response is
// invalid.
TEST_P(InvalidHttpResponseTest, IsNoCompleteStream) {
  scripted_server server([](const net::request& input) {
    return testing::ResponseTo(input, GetParam());
  });
  http_client client;
  client.Start();
  http_request request = MakeRequest(server, "first");
  request.on_data = [](std::string_view) {};
  request.on_status = [](int status) { EXPECT_EQ(status, 200); };
  EXPECT_EQ(Send(client, std::move(request)).how, delivery::kMaybeSent);
}

// Guards against an operator who is shown an invalid response as an answer.
TEST_P(InvalidHttpResponseTest, IsNoReplyToAnOperator) {
  scripted_server server([](const net::request& input) {
    return testing::ResponseTo(input, GetParam());
  });
  const hickoryctl::reply reply = hickoryctl::SendRequest(
      {server.Address(), ""}, "GET", "/v1/status", "", kTimeout);
  EXPECT_FALSE(reply.is_answered) << reply.status << reply.body;
  EXPECT_FALSE(reply.error.empty());
}

std::string NameOf(const ::testing::TestParamInfo<scripted_response>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidHttpResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatuses()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(StatusLines, InvalidHttpResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatusLines()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Fields, InvalidHttpResponseTest,
                         ::testing::ValuesIn(testing::InvalidFields()), NameOf);
INSTANTIATE_TEST_SUITE_P(Framings, InvalidHttpResponseTest,
                         ::testing::ValuesIn(testing::InvalidFramings()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Chunks, InvalidHttpResponseTest,
                         ::testing::ValuesIn(testing::InvalidChunks()), NameOf);
INSTANTIATE_TEST_SUITE_P(Trailers, InvalidHttpResponseTest,
                         ::testing::ValuesIn(testing::InvalidTrailers()),
                         NameOf);

// Guards against a server that may have crashed and counts as running.
TEST(BrokenHttpResponseTest, CutResponsesAreNotInvalid) {
  for (const std::string& fields :
       {std::string("Content-Length: 100\r\n\r\ncut"),
        std::string("Transfer-Encoding: chunked\r\n\r\n5\r\ncut"),
        std::string("Transfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n0\r\nX-")}) {
    scripted_server server([&fields](const net::request& input) {
      return testing::ResponseTo(
          input, {"Cut", "HTTP/1.1 200 OK\r\n{ids}" + fields, true});
    });
    http_client client;
    client.Start();
    const http_response response = Send(client, MakeRequest(server, "first"));
    EXPECT_EQ(response.how, delivery::kMaybeSent) << fields;
    EXPECT_FALSE(response.is_invalid) << fields << ": " << response.error;
  }
}

class ValidHttpResponseTest
    : public ::testing::TestWithParam<scripted_response> {};

// Guards against rejecting what ordinary servers send.
TEST_P(ValidHttpResponseTest, IsAResponse) {
  scripted_server server([](const net::request& input) {
    return testing::ResponseTo(input, GetParam());
  });
  http_client client;
  client.Start();
  const http_response collected = Send(client, MakeRequest(server, "first"));
  EXPECT_EQ(collected.how, delivery::kAnswered) << collected.error;
  EXPECT_EQ(collected.status, 200);
  EXPECT_EQ(collected.body, testing::kCaseBody);
  std::string streamed;
  http_request request = MakeRequest(server, "second");
  request.on_data = [&streamed](std::string_view bytes) { streamed += bytes; };
  EXPECT_EQ(Send(client, std::move(request)).how, delivery::kAnswered);
  EXPECT_EQ(streamed, testing::kCaseBody);
}

INSTANTIATE_TEST_SUITE_P(Cases, ValidHttpResponseTest,
                         ::testing::ValuesIn(testing::ValidResponses()),
                         NameOf);

// Guards against rejecting a status that no other test sends.
TEST(ValidHttpResponseTest, EachFinalStatusIsAResponse) {
  scripted_server server([](const net::request& input) {
    const std::string status(net::Find(input.headers, kIdHeader));
    const bool has_body = status != "204" && status != "304";
    return testing::ResponseTo(
        input, {"Status", "HTTP/1.1 " + status + " x\r\n{ids}" +
                              (has_body ? "Content-Length: 2\r\n\r\nok"
                                        : std::string("\r\n"))});
  });
  http_client client;
  client.Start();
  for (int status = 200; status <= 599; ++status) {
    const http_response response =
        Send(client, MakeRequest(server, std::to_string(status)));
    EXPECT_EQ(response.how, delivery::kAnswered) << status << response.error;
    EXPECT_EQ(response.status, status);
  }
  EXPECT_EQ(server.Connections(), 1);
}

}  // namespace
}  // namespace hickorywood::transport
