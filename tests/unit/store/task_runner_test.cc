// Tests runs of tasks at engines that send two responses. A run delivers the
// text of its own task, or it ends without a complete text and is repeated.

#include "store/task_runner.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <list>
#include <sstream>
#include <string>
#include <vector>

#include "net/event.h"
#include "net/listener.h"
#include "platform/protocol.h"
#include "support/duplicate_response_server.h"
#include "support/endless_server.h"
#include "support/response_cases.h"
#include "support/scripted_server.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using core::milliseconds;

constexpr int kEvents = 4;
constexpr int kTasks = 3;
constexpr int kMaxRunsPerTask = 4;
constexpr milliseconds kCheckPeriod{50};
// A run may be ended as stalled when this process is held up for longer.
constexpr milliseconds kMaxDelay{200};
constexpr milliseconds kTestTimeout{100000};

// Header with the number of the run, which identifies its text. The engine may
// read the requests in another order than that of their runs.
constexpr char kRunHeader[] = "X-Run";

std::string Data(const net::request& input, bool is_second) {
  return std::string(is_second ? "second" : "first") + " text of " +
         std::string(net::Find(input.headers, "X-Request-Id")) + ", run " +
         std::string(net::Find(input.headers, kRunHeader));
}

std::string Stream(const net::request& input, int /*count*/, bool is_second) {
  const std::string last_event(net::Find(input.headers, "Last-Event-Id"));
  std::string text;
  for (int id = last_event.empty() ? 1 : std::stoi(last_event) + 1;
       id <= kEvents; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: " + Data(input, is_second) +
            "\n\n";
  }
  return text;
}

// Tasks that run one after another at one engine.
struct task_series {
  net::duplicate_response script;
  bool repeats_id = false;  // all tasks have the same id
  int complete_texts = 0;
  std::vector<std::string> foreign_data;
  bool is_finished = false;
};

// Runs a task until its text is complete.
class runner {
 public:
  runner(io_context& loop, const fleet::protocol& wire, task_series& series)
      : series_(series),
        engine_(loop, series.script, Stream),
        pool_(loop),
        runs_(loop, clock_, pool_, wire) {
    runs_.on_report = [this](run_report report) {
      for (std::string& data : report.data) data_.push_back(std::move(data));
      if (!report.is_over) return;
      outcome_ = report.how;
      run_ended_.Notify();
    };
  }

  awaitable<void> Run(std::string id) {
    int counted_runs = 0;
    while (counted_runs < kMaxRunsPerTask) {
      run_order order;
      order.run = ++latest_;
      net::request input;
      input.headers = {{"X-Request-Id", id},
                       {kRunHeader, std::to_string(order.run)}};
      order.address = engine_.Address();
      order.target = "/s/run";
      order.headers = input.headers;
      data_.clear();
      outcome_.reset();
      runs_.Start(std::move(order));
      bool was_held_up = false;
      while (!outcome_) {
        runs_.EndStalled();
        const core::time_point next_check = clock_.Now() + kCheckPeriod;
        co_await run_ended_.WaitUntil(next_check);
        was_held_up |= clock_.Now() > next_check + kMaxDelay;
      }
      if (!was_held_up) ++counted_runs;
      const std::string expected_data = Data(input, false);
      for (const std::string& data : data_) {
        if (data != expected_data) series_.foreign_data.push_back(data);
      }
      if (outcome_ != run_outcome::kComplete) continue;
      series_.complete_texts += data_.size() == kEvents ? 1 : 0;
      co_return;
    }
  }

 private:
  task_series& series_;
  core::runtime_clock clock_;
  net::duplicate_response_server engine_;
  net::connection_pool pool_;
  task_runner runs_;
  uint64_t latest_ = 0;
  std::vector<std::string> data_;
  std::optional<run_outcome> outcome_;
  net::event run_ended_;
};

awaitable<void> RunTasks(io_context& loop, const fleet::protocol& wire,
                         task_series& series) {
  runner tasks(loop, wire, series);
  for (int i = 0; i < kTasks; ++i) {
    std::string id = series.repeats_id ? "t" : "t" + std::to_string(i);
    co_await tasks.Run(std::move(id));
  }
  series.is_finished = true;
}

// Guards against adding the text of another task, or of an earlier run of the
// same task, to the text of a task.
TEST(TaskRunnerTest, SecondAnswersAreNotAddedToTexts) {
  io_context loop;
  const auto wire = platform::MakeProtocol();
  std::list<task_series> all;
  for (const net::duplicate_response& script : net::AllDuplicateResponses()) {
    for (const bool repeats_id : {false, true}) {
      all.push_back({script, repeats_id});
    }
  }
  size_t finished = 0;
  for (task_series& tasks_of_engine : all) {
    boost::asio::co_spawn(loop, RunTasks(loop, *wire, tasks_of_engine),
                          [&loop, &finished, &all](const std::exception_ptr&) {
                            if (++finished == all.size()) loop.stop();
                          });
  }
  loop.run_for(kTestTimeout);
  for (const task_series& tasks_of_engine : all) {
    std::ostringstream name;
    name << tasks_of_engine.script
         << (tasks_of_engine.repeats_id ? ", same task again" : "");
    EXPECT_TRUE(tasks_of_engine.is_finished) << name.str();
    EXPECT_EQ(tasks_of_engine.complete_texts, kTasks) << name.str();
    for (const std::string& data : tasks_of_engine.foreign_data) {
      ADD_FAILURE() << name.str() << ": " << data;
    }
  }
}

// Runs a task once at an engine that answers with `answer`.
run_outcome OutcomeOf(const net::response& answer) {
  io_context loop;
  core::runtime_clock clock;
  net::connection_pool pool(loop);
  const auto wire = platform::MakeProtocol();
  net::listener_options options;
  options.address = "127.0.0.1:0";
  options.limits = [] { return net::caller_limits{}; };
  net::listener engine(loop, options,
                       [&answer](net::exchange& call) -> awaitable<void> {
                         net::response copy = answer;
                         co_await call.Reply(std::move(copy));
                       });
  EXPECT_TRUE(engine.Start());
  task_runner runs(loop, clock, pool, *wire);
  run_outcome outcome = run_outcome::kMoved;
  runs.on_report = [&](const run_report& report) {
    if (!report.is_over) return;
    outcome = report.how;
    loop.stop();
  };
  run_order order;
  order.run = 1;
  order.address = "127.0.0.1:" + std::to_string(engine.Port());
  order.target = "/s/run";
  order.headers = {{"X-Request-Id", "t"}};
  runs.Start(std::move(order));
  loop.run_for(kTestTimeout);
  return outcome;
}

// Guards against a task that is terminated after answers that are no failed
// attempts: only 500 counts.
TEST(TaskRunnerTest, OnlyServerErrorsAreFailedAttempts) {
  net::response answer;
  answer.headers = {{"X-Request-Id", "t"}, {"X-Response-Stamp", "signed"}};
  for (const int status : {400, 404, 502, 503, 504}) {
    answer.status = status;
    EXPECT_EQ(OutcomeOf(answer), run_outcome::kUnexpected) << status;
  }
  answer.status = 500;
  EXPECT_EQ(OutcomeOf(answer), run_outcome::kFailed);
  answer.status = 422;
  EXPECT_EQ(OutcomeOf(answer), run_outcome::kImpossible);
  answer.status = 200;
  answer.headers.pop_back();
  EXPECT_EQ(OutcomeOf(answer), run_outcome::kUnexpected);
}

// Runs a task once. Returns nothing if the run does not end because of what it
// received, before it counts as stalled.
std::optional<run_outcome> RunOnceAt(const std::string& address,
                                     const std::string& request_id) {
  const auto wire = platform::MakeProtocol();
  io_context loop;
  core::runtime_clock clock;
  net::connection_pool pool(loop);
  task_runner runs(loop, clock, pool, *wire);
  std::optional<run_outcome> outcome;
  runs.on_report = [&](const run_report& report) {
    if (!report.is_over) return;
    outcome = report.how;
    loop.stop();
  };
  run_order order;
  order.run = 1;
  order.address = address;
  order.target = "/s/run";
  order.headers = {{"X-Request-Id", request_id}};
  runs.Start(std::move(order));
  loop.run_for(milliseconds(4000));
  return outcome;
}

// Guards against a store whose memory grows with an event that has no end. The
// run must end because of what it received, before it counts as stalled.
TEST(TaskRunnerTest, EndlessStreamsEndTheRun) {
  // An event that is longer than the limit, and socket buffers.
  constexpr size_t kMaxSentBytes = 16UL * 1024 * 1024;
  std::vector<testing::endless_response> scripts = testing::EndlessStreams();
  for (const auto& script : testing::EndlessResponses()) {
    scripts.push_back(script);
  }
  // Events that are valid one by one.
  std::string events;
  for (int id = 1; events.size() < kMaxSentBytes; ++id) {
    events += "id: " + std::to_string(id) +
              "\ndata: " + std::string(1000, 'x') + "\n\n";
  }
  const std::string head = testing::EndlessStreams()[2].begin;
  scripts.push_back({"events", head + events, ": filler\n"});
  for (const testing::endless_response& script : scripts) {
    testing::endless_server engine(script);
    const auto outcome =
        RunOnceAt(engine.Address(), testing::kEndlessRequestId);
    EXPECT_EQ(outcome, run_outcome::kBroken) << script.name;
    EXPECT_LE(engine.Sent(), kMaxSentBytes) << script.name;
  }
}

class TaskRunnerInvalidResponseTest
    : public ::testing::TestWithParam<testing::scripted_response> {};

// Guards against a text that is taken from an invalid response, and against an
// outcome that only a valid response may have.
TEST_P(TaskRunnerInvalidResponseTest, EndsTheRunAsBroken) {
  testing::scripted_server engine([](const net::request& input) {
    return testing::ResponseTo(input, GetParam());
  });
  EXPECT_EQ(RunOnceAt(engine.Address(), "t"), run_outcome::kBroken);
}

std::string NameOf(
    const ::testing::TestParamInfo<testing::scripted_response>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Statuses, TaskRunnerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatuses()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(StatusLines, TaskRunnerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatusLines()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Fields, TaskRunnerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFields()), NameOf);
INSTANTIATE_TEST_SUITE_P(Framings, TaskRunnerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidFramings()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Chunks, TaskRunnerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidChunks()), NameOf);
INSTANTIATE_TEST_SUITE_P(Trailers, TaskRunnerInvalidResponseTest,
                         ::testing::ValuesIn(testing::InvalidTrailers()),
                         NameOf);

}  // namespace
}  // namespace hickorywood::store
