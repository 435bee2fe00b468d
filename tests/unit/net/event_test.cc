#include "net/event.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <vector>

namespace hickorywood::net {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr size_t kWaiters = 100;
constexpr size_t kPerTurn = 10;

struct waiting_group {
  asio::io_context loop{1};
  event published;
  size_t resumed = 0;
};

awaitable<void> WaitOnce(waiting_group& group) {
  co_await group.published.WaitUntil(core::time_point::max());
  ++group.resumed;
}

void StartWaiters(waiting_group& group) {
  for (size_t i = 0; i < kWaiters; ++i) {
    asio::co_spawn(group.loop, WaitOnce(group), asio::detached);
  }
  group.loop.poll();
}

void Notify(waiting_group& group) {
  asio::co_spawn(group.loop, group.published.NotifyInTurns(kPerTurn),
                 asio::detached);
}

// Guards against a change that occupies the loop until all waiting processes
// have been answered, while consensus messages wait.
TEST(EventTest, OtherWorkIsDoneBetweenTheTurnsOfANotification) {
  waiting_group group;
  StartWaiters(group);
  std::vector<size_t> resumed_by_turn{0};
  std::function<void()> other_work = [&] {
    resumed_by_turn.push_back(group.resumed);
    if (group.resumed < kWaiters) asio::post(group.loop, other_work);
  };
  Notify(group);
  asio::post(group.loop, other_work);
  group.loop.restart();
  group.loop.run_for(std::chrono::seconds(5));
  EXPECT_EQ(group.resumed, kWaiters);
  for (size_t i = 1; i < resumed_by_turn.size(); ++i) {
    EXPECT_LE(resumed_by_turn[i] - resumed_by_turn[i - 1], 2 * kPerTurn);
  }
}

// A waiter that ends or begins while others are resumed is skipped.
TEST(EventTest, OnlyThoseThatWaitAtTheStartAreResumed) {
  waiting_group group;
  StartWaiters(group);
  Notify(group);
  group.loop.restart();
  group.loop.run_one();
  asio::co_spawn(group.loop, WaitOnce(group), asio::detached);
  group.loop.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(group.resumed, kWaiters);
  EXPECT_TRUE(group.published.HasWaiters());
}

}  // namespace
}  // namespace hickorywood::net
