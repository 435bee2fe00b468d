// Runs of tasks at engines that answer twice. A run brings the text of its own
// task, or it ends without a whole text and is made again.

#include "store/task_runner.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <list>
#include <sstream>
#include <string>
#include <vector>

#include "net/event.h"
#include "platform/protocol.h"
#include "support/stuttering_server.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using boost::asio::io_context;
using core::milliseconds;

constexpr int kEvents = 4;
constexpr int kTasks = 3;
constexpr int kTries = 4;
constexpr milliseconds kWatch{50};
constexpr milliseconds kLimit{100000};

std::string Data(const net::request& input, int count, bool is_second) {
  return std::string(is_second ? "second" : "first") + " text of " +
         std::string(net::Find(input.headers, "X-Request-Id")) +
         ", run as number " + std::to_string(count);
}

std::string Stream(const net::request& input, int count, bool is_second) {
  const std::string last(net::Find(input.headers, "Last-Event-Id"));
  std::string text;
  for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= kEvents; ++id) {
    text += "id: " + std::to_string(id) +
            "\ndata: " + Data(input, count, is_second) + "\n\n";
  }
  return text;
}

// Tasks that run one after the other at one engine.
struct series {
  net::stutter script;
  bool repeats_id = false;  // one task that runs again and again
  int complete = 0;
  std::vector<std::string> wrong;
  bool is_over = false;
};

// Runs a task until its text is whole.
class runner {
 public:
  runner(io_context& loop, const fleet::protocol& wire, series& self)
      : self_(self),
        engine_(loop, self.script, Stream),
        pool_(loop),
        runs_(loop, clock_, pool_, wire) {
    runs_.on_report = [this](run_report report) {
      for (std::string& data : report.data) data_.push_back(std::move(data));
      if (!report.is_over) return;
      ended_ = report.how;
      has_news_.Notify();
    };
  }

  awaitable<void> Run(std::string id) {
    net::request input;
    input.headers = {{"X-Request-Id", id}};
    for (int i = 0; i < kTries; ++i) {
      run_order order;
      order.run = ++latest_;
      order.address = engine_.Address();
      order.target = "/s/run";
      order.headers = input.headers;
      data_.clear();
      ended_.reset();
      runs_.Start(std::move(order));
      while (!ended_) {
        runs_.EndStalled();
        co_await has_news_.WaitUntil(clock_.Now() + kWatch);
      }
      const std::string own = Data(input, engine_.Requests(), false);
      for (const std::string& data : data_) {
        if (data != own) self_.wrong.push_back(data);
      }
      if (ended_ != run_end::kComplete) continue;
      self_.complete += data_.size() == kEvents ? 1 : 0;
      co_return;
    }
  }

 private:
  series& self_;
  core::runtime_clock clock_;
  net::stuttering_server engine_;
  net::connection_pool pool_;
  task_runner runs_;
  uint64_t latest_ = 0;
  std::vector<std::string> data_;
  std::optional<run_end> ended_;
  net::event has_news_;
};

awaitable<void> RunTasks(io_context& loop, const fleet::protocol& wire,
                         series& self) {
  runner tasks(loop, wire, self);
  for (int i = 0; i < kTasks; ++i) {
    std::string id = self.repeats_id ? "t" : "t" + std::to_string(i);
    co_await tasks.Run(std::move(id));
  }
  self.is_over = true;
}

// Guards against the text of one task that is listed as that of another, and
// against that of an earlier run of the same task.
TEST(TaskRunnerTest, SecondAnswersAreInNoText) {
  io_context loop;
  const auto wire = platform::MakeProtocol();
  std::list<series> all;
  for (const net::stutter& script : net::AllStutters()) {
    for (const bool repeats_id : {false, true}) {
      all.push_back({script, repeats_id});
    }
  }
  size_t over = 0;
  for (series& one : all) {
    boost::asio::co_spawn(loop, RunTasks(loop, *wire, one),
                          [&loop, &over, &all](const std::exception_ptr&) {
                            if (++over == all.size()) loop.stop();
                          });
  }
  loop.run_for(kLimit);
  for (const series& one : all) {
    std::ostringstream name;
    name << one.script << (one.repeats_id ? ", same task again" : "");
    EXPECT_TRUE(one.is_over) << name.str();
    EXPECT_EQ(one.complete, kTasks) << name.str();
    for (const std::string& data : one.wrong) {
      ADD_FAILURE() << name.str() << ": " << data;
    }
  }
}

}  // namespace
}  // namespace hickorywood::store
