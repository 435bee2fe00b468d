// Tests of the HTTP client with a server that sends bytes without end.

#include <gtest/gtest.h>

#include <chrono>
#include <future>

#include "support/endless_server.h"
#include "transport/http_client.h"

namespace hickorywood::transport {
namespace {

using testing::endless_response;
using testing::endless_server;

constexpr milliseconds kTimeout{4000};
// Twice the largest body that is collected, because small chunks nearly double
// its size, and socket buffers.
constexpr size_t kMaxSentBytes = 72UL * 1024 * 1024;

class EndlessHttpResponseTest
    : public ::testing::TestWithParam<endless_response> {};

// Guards against a process whose memory grows with bytes that are no response.
TEST_P(EndlessHttpResponseTest, RequestFails) {
  endless_server server(GetParam());
  http_client client;
  client.Start();
  http_request request;
  request.url = "http://" + server.Address() + "/x";
  request.name = {"X-Request-Id", testing::kEndlessRequestId};
  request.total_timeout = kTimeout;
  std::promise<http_response> promise;
  client.Send(std::move(request), [&promise](http_response response) {
    promise.set_value(std::move(response));
  });
  const http_response response = promise.get_future().get();
  EXPECT_EQ(response.how, delivery::kMaybeSent);
  EXPECT_FALSE(response.error.empty());
  EXPECT_FALSE(response.is_timeout);
  EXPECT_LE(server.Sent(), kMaxSentBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Scripts, EndlessHttpResponseTest,
    ::testing::ValuesIn(testing::EndlessResponses()),
    [](const ::testing::TestParamInfo<endless_response>& info) {
      std::string name = info.param.name;
      std::erase(name, ' ');
      return name;
    });

}  // namespace
}  // namespace hickorywood::transport
