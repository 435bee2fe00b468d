#ifndef HICKORYWOOD_NET_LISTENER_H_
#define HICKORYWOOD_NET_LISTENER_H_

// An HTTP/1.1 listener on one I/O loop. A handler is a coroutine that answers
// one exchange; when the caller closes its connection first, the handler is
// cancelled at its next suspension, and what it holds (connections to
// endpoints, places in queues) is given back as its frame unwinds.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/message.h"

namespace hickorywood::net {

// What a caller may send, and how long it may take or stay idle.
struct caller_limits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 32 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One request and the way to answer it. Answered once.
class exchange {
 public:
  virtual ~exchange() = default;

  virtual const request& Request() const = 0;

  virtual boost::asio::awaitable<void> Reply(response answer) = 0;

  // A streamed answer: the head, pieces, the end. Without End() the connection
  // is closed, so that the caller sees that the answer is not whole.
  virtual boost::asio::awaitable<void> BeginStream(response head) = 0;
  virtual boost::asio::awaitable<void> WriteStream(std::string piece) = 0;
  virtual boost::asio::awaitable<void> EndStream() = 0;
};

// Handlers take care not to build an aggregate within a co_await expression
// (`co_await Reply({200, ...})`): GCC 12 copies its bytes and destroys it
// twice. A named variable that is moved in is right.
using handler = std::function<boost::asio::awaitable<void>(exchange&)>;

struct listener_options {
  std::string address;  // "IP:PORT"; port 0 takes a free one
  // Read before each request, so that a changed configuration counts at once.
  std::function<caller_limits()> limits;
  // Connections held at once; past it new ones are closed. The descriptors of
  // the process bound it.
  size_t max_connections = 3000;
};

class listener {
 public:
  listener(boost::asio::io_context& loop, listener_options options,
           handler handle);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  // False with the reason when the address can't be bound.
  bool Start();
  // Each answer from now on asks its caller to close the connection.
  void BeginDrain();
  // Closes the listening socket and the connections without a request.
  void StopAccepting();

  uint16_t Port() const;
  // Requests that are not answered yet.
  size_t InFlight() const;
  size_t Connections() const;

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_LISTENER_H_
