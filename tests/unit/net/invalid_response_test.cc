// Tests calls to servers whose responses break the rules of HTTP/1.1, and to
// servers whose responses don't.

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

#include "net/call.h"
#include "support/response_cases.h"
#include "support/scripted_server.h"

namespace hickorywood::net {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using std::chrono::milliseconds;
using testing::scripted_response;
using testing::scripted_server;

// No response takes that long; only a reader that waits for more needs it.
constexpr milliseconds kDeadline{5000};
constexpr milliseconds kPollPeriod{5};
constexpr char kIdHeader[] = "X-Request-Id";

call_result CallOnce(io_context& loop, connection_pool& pool,
                     const std::string& address, const std::string& id) {
  request input;
  input.method = "GET";
  input.target = "/";
  input.headers = {{kIdHeader, id}};
  call_options options;
  options.deadline = std::chrono::steady_clock::now() + kDeadline;
  options.connect_deadline = options.deadline;
  options.expected = {kIdHeader, id};
  call_result result;
  boost::asio::co_spawn(
      loop, Call(pool, address, input, options),
      [&result](const std::exception_ptr& failure, call_result outcome) {
        EXPECT_FALSE(failure);
        result = std::move(outcome);
      });
  loop.restart();
  loop.run();
  return result;
}

bool WaitUntilClosed(const scripted_server& server) {
  const core::time_point deadline =
      std::chrono::steady_clock::now() + kDeadline;
  while (server.Closed() == 0 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  return server.Closed() > 0;
}

class InvalidResponseTest : public ::testing::TestWithParam<scripted_response> {
};

// Guards against an invalid response that is returned as an answer, and against
// bytes of it in the answer to the next request.
TEST_P(InvalidResponseTest, IsNoAnswer) {
  scripted_server server([](const request& input) {
    return Find(input.headers, kIdHeader) == "first"
               ? testing::ResponseTo(input, GetParam())
               : testing::ResponseTo(input,
                                     testing::OrdinaryResponse("second"));
  });
  io_context loop;
  connection_pool pool(loop);
  const call_result first = CallOnce(loop, pool, server.Address(), "first");
  EXPECT_EQ(first.how, progress::kMaybeSent);
  EXPECT_EQ(first.answer.status, 0);
  EXPECT_TRUE(first.answer.headers.empty());
  EXPECT_TRUE(first.answer.body.empty());
  EXPECT_FALSE(first.error.empty());
  EXPECT_FALSE(first.is_timeout);
  EXPECT_TRUE(first.is_invalid) << first.error;
  EXPECT_TRUE(GetParam().closes || WaitUntilClosed(server));
  const call_result second = CallOnce(loop, pool, server.Address(), "second");
  EXPECT_EQ(second.how, progress::kAnswered);
  EXPECT_EQ(second.answer.body, "second");
  EXPECT_EQ(server.Connections(), 2);
}

std::string NameOf(const ::testing::TestParamInfo<scripted_response>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatuses()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(StatusLines, InvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatusLines()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Fields, InvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFields()), NameOf);
INSTANTIATE_TEST_SUITE_P(Framings, InvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFramings()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Chunks, InvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidChunks()), NameOf);
INSTANTIATE_TEST_SUITE_P(Trailers, InvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidTrailers()),
                         NameOf);

// Guards against an endpoint that may have crashed and counts as running.
TEST(BrokenResponseTest, CutResponsesAreNotInvalid) {
  for (const std::string& fields :
       {std::string("Content-Length: 100\r\n\r\ncut"),
        std::string("Transfer-Encoding: chunked\r\n\r\n5\r\ncut"),
        std::string("Transfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n0\r\nX-"),
        std::string("X-Na")}) {
    scripted_server server([&fields](const request& input) {
      return testing::ResponseTo(
          input, {"Cut", "HTTP/1.1 200 OK\r\n{ids}" + fields, true});
    });
    io_context loop;
    connection_pool pool(loop);
    const call_result result = CallOnce(loop, pool, server.Address(), "first");
    EXPECT_EQ(result.how, progress::kMaybeSent) << fields;
    EXPECT_FALSE(result.is_invalid) << fields << ": " << result.error;
  }
}

class ValidResponseTest : public ::testing::TestWithParam<scripted_response> {};

// Guards against rejecting what ordinary servers send.
TEST_P(ValidResponseTest, IsAnAnswer) {
  scripted_server server([](const request& input) {
    return testing::ResponseTo(input, GetParam());
  });
  io_context loop;
  connection_pool pool(loop);
  const call_result result = CallOnce(loop, pool, server.Address(), "first");
  EXPECT_EQ(result.how, progress::kAnswered) << result.error;
  EXPECT_EQ(result.answer.status, 200);
  EXPECT_EQ(result.answer.body, testing::kCaseBody);
}

INSTANTIATE_TEST_SUITE_P(Cases, ValidResponseTest,
                         ::testing::ValuesIn(testing::ValidResponses()),
                         NameOf);

// Guards against rejecting a status that no other test sends.
TEST(ValidResponseTest, EachFinalStatusIsAnAnswer) {
  scripted_server server([](const request& input) {
    const std::string status(Find(input.headers, kIdHeader));
    const bool has_body = status != "204" && status != "304";
    return testing::ResponseTo(
        input, {"Status", "HTTP/1.1 " + status + " x\r\n{ids}" +
                              (has_body ? "Content-Length: 2\r\n\r\nok"
                                        : std::string("\r\n"))});
  });
  io_context loop;
  connection_pool pool(loop);
  for (int status = 200; status <= 599; ++status) {
    const call_result result =
        CallOnce(loop, pool, server.Address(), std::to_string(status));
    EXPECT_EQ(result.how, progress::kAnswered) << status << result.error;
    EXPECT_EQ(result.answer.status, status);
  }
  EXPECT_EQ(server.Connections(), 1);
}

}  // namespace
}  // namespace hickorywood::net
