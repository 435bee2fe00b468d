// Tests the client of the native API with servers that answer a request twice.

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/duplicate_response_server.h"
#include "transport/http_client.h"

namespace hickorywood::transport {
namespace {

constexpr int kCalls = 3;
constexpr int kAttemptsPerCall = 3;
// No call needs it: all servers answer, and only a call that timed out shows
// that one did not.
constexpr milliseconds kTimeoutMargin{20000};
constexpr char kIdHeader[] = "X-Request-Id";

std::string AnswerTo(const std::string& id, bool is_second) {
  return std::string(is_second ? "second" : "first") + " answer to " + id;
}

// Consecutive calls to one server, with a separate client.
struct series {
  net::duplicate_response script;
  std::unique_ptr<net::duplicate_response_server> server;
  int answered = 0;
  std::vector<std::string> wrong;
};

http_response Call(http_client& client, const series& self,
                   const std::string& id) {
  http_request request;
  request.url = "http://" + self.server->Address() + "/x";
  request.name = {kIdHeader, id};
  request.total_timeout = self.script.work + kTimeoutMargin;
  std::promise<http_response> promise;
  client.Send(std::move(request), [&promise](http_response response) {
    promise.set_value(std::move(response));
  });
  return promise.get_future().get();
}

void RunCalls(series& self) {
  http_client client;
  client.Start();
  for (int i = 0; i < kCalls; ++i) {
    for (int attempt = 0; attempt < kAttemptsPerCall; ++attempt) {
      const std::string id = std::to_string(i) + "-" + std::to_string(attempt);
      const http_response response = Call(client, self, id);
      if (response.how != delivery::kAnswered) continue;
      ++self.answered;
      if (response.body != AnswerTo(id, false)) {
        self.wrong.push_back(response.body);
      }
      break;
    }
  }
}

void RunAll(std::list<series>& all) {
  boost::asio::io_context loop;
  for (series& one : all) {
    one.server = std::make_unique<net::duplicate_response_server>(
        loop, one.script,
        [](const net::request& input, int /*count*/, bool is_second) {
          return AnswerTo(std::string(net::Find(input.headers, kIdHeader)),
                          is_second);
        });
  }
  const auto guard = boost::asio::make_work_guard(loop);
  std::thread servers([&loop] { loop.run(); });
  std::vector<std::future<void>> calls;
  for (series& one : all) {
    calls.push_back(std::async(std::launch::async, [&one] { RunCalls(one); }));
  }
  for (std::future<void>& one : calls) one.get();
  loop.stop();
  servers.join();
  for (series& one : all) {
    one.server.reset();  // destroyed before its loop
    std::ostringstream name;
    name << one.script;
    EXPECT_EQ(one.answered, kCalls) << name.str();
    for (const std::string& body : one.wrong) {
      ADD_FAILURE() << name.str() << ": " << body;
    }
  }
}

// Guards against callers of the native API, and instances, that accept the
// response to an earlier call.
TEST(HttpClientTest, SecondAnswersAreNotAccepted) {
  std::list<series> all;
  for (const net::duplicate_response& script : net::AllDuplicateResponses()) {
    all.push_back({script});
  }
  RunAll(all);
}

// Guards against rejecting endpoints whose responses contain no request id.
TEST(HttpClientTest, AnswersWithoutRequestIdUseFreshConnections) {
  std::list<series> all;
  for (net::duplicate_response script : net::AllDuplicateResponses()) {
    if (script.moment == net::second_moment::kLate) continue;
    script.contains_own_id = false;
    all.push_back({script});
  }
  RunAll(all);
}

}  // namespace
}  // namespace hickorywood::transport
