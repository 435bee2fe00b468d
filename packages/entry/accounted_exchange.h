#ifndef HICKORYWOOD_ENTRY_ACCOUNTED_EXCHANGE_H_
#define HICKORYWOOD_ENTRY_ACCOUNTED_EXCHANGE_H_

// An exchange that records the memory that it holds for its caller: the request
// until the exchange ends, and the answer while it is being written.

#include <boost/asio/awaitable.hpp>
#include <string>
#include <utility>

#include "entry/held_memory.h"
#include "net/listener.h"

namespace hickorywood::entry {

class accounted_exchange : public net::exchange {
 public:
  accounted_exchange(net::exchange& call, held_memory& held,
                     std::string customer)
      : call_(call), held_(held), customer_(std::move(customer)) {
    Add(static_cast<int64_t>(call.Request().body.size()));
  }
  ~accounted_exchange() override { Add(-bytes_); }
  accounted_exchange(const accounted_exchange&) = delete;
  accounted_exchange& operator=(const accounted_exchange&) = delete;

  const net::request& Request() const override { return call_.Request(); }

  boost::asio::awaitable<void> Reply(net::response answer) override {
    const auto size = static_cast<int64_t>(answer.body.size());
    Add(size);
    co_await call_.Reply(std::move(answer));
    Add(-size);
  }

  boost::asio::awaitable<void> BeginStream(net::response head) override {
    return call_.BeginStream(std::move(head));
  }

  boost::asio::awaitable<void> WriteStream(std::string piece) override {
    const auto size = static_cast<int64_t>(piece.size());
    Add(size);
    co_await call_.WriteStream(std::move(piece));
    Add(-size);
  }

  boost::asio::awaitable<void> EndStream() override {
    return call_.EndStream();
  }

 private:
  void Add(int64_t bytes) {
    bytes_ += bytes;
    RecordHeld(held_, customer_, bytes);
  }

  net::exchange& call_;
  held_memory& held_;
  const std::string customer_;
  int64_t bytes_ = 0;
};

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_ACCOUNTED_EXCHANGE_H_
