#ifndef HICKORYWOOD_NET_EVENT_H_
#define HICKORYWOOD_NET_EVENT_H_

// Primitives for waiting in coroutines of one I/O loop.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "core/clock.h"

namespace hickorywood::net {

// A condition that wakes every coroutine that waits for it.
class event {
 public:
  // Returns at the next Notify() or at `deadline`, whichever is earlier.
  boost::asio::awaitable<void> WaitUntil(core::time_point deadline) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_at(deadline);
    const registration scope(waiting_, timer);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  bool HasWaiters() const { return !waiting_->timers.empty(); }

  void Notify() {
    for (const auto& [number, timer] : waiting_->timers) timer->cancel();
  }

  // The same for those that wait now, but resumes at most `count` of them in
  // one turn of the loop, so that other work is done in between.
  boost::asio::awaitable<void> NotifyInTurns(size_t count) {
    const std::shared_ptr<waiter_list> waiting = waiting_;
    const uint64_t last = waiting->latest;
    uint64_t resumed = 0;  // number of the last one
    for (;;) {
      auto next = waiting->timers.upper_bound(resumed);
      const auto end = waiting->timers.upper_bound(last);
      for (size_t i = 0; i < count && next != end; ++i, ++next) {
        resumed = next->first;
        next->second->cancel();
      }
      if (next == end) co_return;
      co_await boost::asio::post(co_await boost::asio::this_coro::executor,
                                 boost::asio::use_awaitable);
    }
  }

 private:
  struct waiter_list {
    // By the order in which they began to wait.
    std::map<uint64_t, boost::asio::steady_timer*> timers;
    uint64_t latest = 0;
  };

  // Removes the timer from the list also when its coroutine is cancelled.
  class registration {
   public:
    registration(std::shared_ptr<waiter_list> list,
                 boost::asio::steady_timer& timer)
        : list_(std::move(list)), number_(++list_->latest) {
      list_->timers[number_] = &timer;
    }
    ~registration() { list_->timers.erase(number_); }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

   private:
    std::shared_ptr<waiter_list> list_;
    uint64_t number_;
  };

  std::shared_ptr<waiter_list> waiting_ = std::make_shared<waiter_list>();
};

// A value that is set once and that coroutines can wait for. Copies share the
// value.
template <typename T>
class one_shot {
 public:
  one_shot() : state_(std::make_shared<state>()) {}

  void Set(T value) const {
    if (state_->value) return;
    state_->value.emplace(std::move(value));
    state_->is_set.Notify();
  }

  // Returns nothing if no value is set by `deadline`.
  boost::asio::awaitable<std::optional<T>> WaitUntil(
      core::time_point deadline) const {
    const std::shared_ptr<state> shared = state_;
    if (!shared->value) co_await shared->is_set.WaitUntil(deadline);
    co_return shared->value;
  }

 private:
  struct state {
    std::optional<T> value;
    event is_set;
  };
  std::shared_ptr<state> state_;
};

// Suspends the calling coroutine for `time`.
inline boost::asio::awaitable<void> Sleep(core::milliseconds time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_EVENT_H_
