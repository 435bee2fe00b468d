#ifndef HICKORYWOOD_NET_EVENT_H_
#define HICKORYWOOD_NET_EVENT_H_

// Primitives for waiting in coroutines of one I/O loop.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <set>
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

  bool HasWaiters() const { return !waiting_->empty(); }

  void Notify() {
    for (boost::asio::steady_timer* timer : *waiting_) timer->cancel();
  }

 private:
  using timer_set = std::set<boost::asio::steady_timer*>;

  // Removes the timer from the set also when its coroutine is cancelled.
  class registration {
   public:
    registration(std::shared_ptr<timer_set> set,
                 boost::asio::steady_timer& timer)
        : set_(std::move(set)), timer_(&timer) {
      set_->insert(timer_);
    }
    ~registration() { set_->erase(timer_); }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

   private:
    std::shared_ptr<timer_set> set_;
    boost::asio::steady_timer* timer_;
  };

  std::shared_ptr<timer_set> waiting_ = std::make_shared<timer_set>();
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
