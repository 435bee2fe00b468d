// Tests of a call to an endpoint that sends bytes without end.

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <string>

#include "net/call.h"
#include "support/endless_server.h"

namespace hickorywood::net {
namespace {

using std::chrono::milliseconds;
using testing::endless_response;
using testing::endless_server;

constexpr milliseconds kDeadline{20000};
// Far below the deadline: a call ends because of what it received.
constexpr milliseconds kMaxTime{8000};
// The largest response without a length that is read, and socket buffers.
constexpr size_t kMaxSentBytes = 24UL * 1024 * 1024;

class EndlessResponseTest : public ::testing::TestWithParam<endless_response> {
};

// Guards against a process whose memory grows with bytes that are no response:
// the call must fail and close its connection before its deadline.
TEST_P(EndlessResponseTest, CallFailsSoon) {
  endless_server server(GetParam());
  boost::asio::io_context loop;
  connection_pool pool(loop);
  call_options options;
  options.deadline = std::chrono::steady_clock::now() + kDeadline;
  options.connect_deadline = options.deadline;
  options.expected = {"X-Request-Id", testing::kEndlessRequestId};
  request input;
  input.headers = {options.expected};
  const std::string address = server.Address();
  call_result result;
  boost::asio::co_spawn(
      loop, Call(pool, address, input, options),
      [&result](const std::exception_ptr& failure, call_result outcome) {
        EXPECT_FALSE(failure);
        result = std::move(outcome);
      });
  const auto started = std::chrono::steady_clock::now();
  loop.run_for(kDeadline);
  EXPECT_LE(std::chrono::steady_clock::now() - started, kMaxTime);
  EXPECT_EQ(result.how, progress::kMaybeSent);
  EXPECT_FALSE(result.is_timeout);
  EXPECT_FALSE(result.error.empty());
  EXPECT_LE(server.Sent(), kMaxSentBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Scripts, EndlessResponseTest,
    ::testing::ValuesIn(testing::EndlessResponses()),
    [](const ::testing::TestParamInfo<endless_response>& info) {
      std::string name = info.param.name;
      std::erase(name, ' ');
      return name;
    });

}  // namespace
}  // namespace hickorywood::net
