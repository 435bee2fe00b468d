#ifndef HICKORYWOOD_NET_SPAWN_H_
#define HICKORYWOOD_NET_SPAWN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <memory>
#include <utility>

namespace hickorywood::net {

using cancel_signal = std::shared_ptr<boost::asio::cancellation_signal>;

inline cancel_signal MakeCancelSignal() {
  return std::make_shared<boost::asio::cancellation_signal>();
}

inline void Cancel(const cancel_signal& signal) {
  signal->emit(boost::asio::cancellation_type::terminal);
}

// Runs a coroutine that `signal` can cancel. `done` receives the exception
// of the coroutine, or null, and then its result, which has no meaning if there
// is an exception. A cancelled coroutine ends with an exception too.
template <typename T, typename Done>
void SpawnCancellable(boost::asio::io_context& loop,
                      boost::asio::awaitable<T> work, cancel_signal signal,
                      Done done) {
  const auto slot = signal->slot();
  boost::asio::co_spawn(
      loop, std::move(work),
      boost::asio::bind_cancellation_slot(
          slot, [signal = std::move(signal), done = std::move(done)](
                    const std::exception_ptr& failure, T result) mutable {
            done(failure, std::move(result));
          }));
}

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_SPAWN_H_
