#ifndef HICKORYWOOD_NET_SLOT_QUEUE_H_
#define HICKORYWOOD_NET_SLOT_QUEUE_H_

// Limits how many coroutines of one I/O loop do something at the same time.

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "core/clock.h"

namespace hickorywood::net {

class slot_queue {
  struct state;

 public:
  // A slot that is held until it is destroyed.
  class slot {
   public:
    ~slot() {
      owner_->held.erase(number_);
      owner_->WakeFirst();
    }
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;

   private:
    friend class slot_queue;
    explicit slot(std::shared_ptr<state> owner)
        : owner_(std::move(owner)), number_(++owner_->latest) {
      owner_->held[number_] =
          std::chrono::steady_clock::now() + owner_->lifetime;
    }

    const std::shared_ptr<state> owner_;
    const uint64_t number_;
  };

  // A slot that is held for longer than `lifetime` is given to another holder
  // as well, so that a few peers that read nothing do not block all others.
  slot_queue(size_t slots, core::milliseconds lifetime)
      : state_(std::make_shared<state>()) {
    state_->slots = slots;
    state_->lifetime = lifetime;
  }

  // Waits for a slot, in the order of arrival. A caller that is cancelled loses
  // its place in the queue.
  boost::asio::awaitable<std::shared_ptr<slot>> Acquire() {
    const std::shared_ptr<state> shared = state_;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    const place own(shared, timer);
    while (!own.IsFirst() || !shared->HasFreeSlot()) {
      timer.expires_at(own.IsFirst() ? shared->NextExpiry()
                                     : core::time_point::max());
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return std::shared_ptr<slot>(new slot(shared));
  }

  size_t Waiting() const { return state_->waiting.size(); }

 private:
  struct state {
    bool HasFreeSlot() {
      const core::time_point now = std::chrono::steady_clock::now();
      std::erase_if(held,
                    [now](const auto& item) { return item.second <= now; });
      return held.size() < slots;
    }
    core::time_point NextExpiry() const {
      core::time_point next = core::time_point::max();
      for (const auto& [number, expiry] : held) next = std::min(next, expiry);
      return next;
    }
    void WakeFirst() {
      if (!waiting.empty()) waiting.begin()->second->cancel();
    }

    size_t slots = 1;
    core::milliseconds lifetime{};
    uint64_t latest = 0;
    std::map<uint64_t, core::time_point> held;  // until when, by slot
    std::map<uint64_t, boost::asio::steady_timer*> waiting;
  };

  // A position in the queue, left also when the coroutine is cancelled.
  class place {
   public:
    place(std::shared_ptr<state> owner, boost::asio::steady_timer& timer)
        : owner_(std::move(owner)), number_(++owner_->latest) {
      owner_->waiting[number_] = &timer;
    }
    ~place() {
      owner_->waiting.erase(number_);
      owner_->WakeFirst();
    }
    place(const place&) = delete;
    place& operator=(const place&) = delete;
    bool IsFirst() const { return owner_->waiting.begin()->first == number_; }

   private:
    const std::shared_ptr<state> owner_;
    const uint64_t number_;
  };

  std::shared_ptr<state> state_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_SLOT_QUEUE_H_
