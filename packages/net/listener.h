#ifndef HICKORYWOOD_NET_LISTENER_H_
#define HICKORYWOOD_NET_LISTENER_H_

// An HTTP/1.1 listener on one I/O loop. A handler is a coroutine that answers
// one exchange. When the caller closes its connection first, the handler is
// cancelled at its next suspension point, and its resources (connections to
// endpoints, queue positions) are released as the coroutine frame is destroyed.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/message.h"
#include "net/request_memory.h"

namespace hickorywood::net {

// Limits on the size of a request, on the time to send it, and on the idle time
// of a connection.
struct caller_limits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 32 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// A request and the means to answer it. It must be answered only once.
class exchange {
 public:
  virtual ~exchange() = default;

  virtual const request& Request() const = 0;
  // Releases the body of the request after it was decoded. Its memory stays
  // charged, for what was decoded.
  virtual void ReleaseBody() = 0;
  // The IP address of the caller; empty if it has disconnected.
  virtual std::string RemoteAddress() const = 0;

  virtual boost::asio::awaitable<void> Reply(response answer) = 0;

  // Sends a streamed answer: the head, pieces, the end. Without EndStream() the
  // connection is closed, so that the caller detects the incomplete answer.
  virtual boost::asio::awaitable<void> BeginStream(response head) = 0;
  virtual boost::asio::awaitable<void> WriteStream(std::string piece) = 0;
  virtual boost::asio::awaitable<void> EndStream() = 0;
};

// Handlers must not construct an aggregate within a co_await expression
// (`co_await Reply({200, ...})`): GCC 12 copies its bytes and destroys it
// twice. Move in a named variable instead.
using handler = std::function<boost::asio::awaitable<void>(exchange&)>;

struct listener_options {
  std::string address;  // "IP:PORT"; port 0 selects a free port
  // Called before each request, so that a changed configuration applies
  // immediately.
  std::function<caller_limits()> limits;
  // Time after which a caller that accepts no further byte of its answer is
  // disconnected. Called before each write; empty, or 0: the usual time.
  std::function<std::chrono::milliseconds()> stall_timeout;
  // Called when a caller was disconnected for that, with the bytes of its
  // answer that it had not accepted.
  std::function<void(size_t unread)> on_stall;
  // Maximum number of open connections. A further one replaces the one that has
  // been idle for longest, or else the one whose transfer has been stalled for
  // longest, or is closed when there is none. The process has a limited number
  // of file descriptors.
  size_t max_connections = 3000;
  // Memory for requests and answers, shared with the other listeners of the
  // process. Empty: not bounded.
  std::shared_ptr<request_memory> memory;
  // Whether the callers are instances of this service, whose requests yield
  // their memory last.
  bool is_internal = false;
  // Returns the customer of a request from its head; empty: not called.
  std::function<std::string(const request& head)> customer;
  // Returns the response to a request that was not read for lack of memory.
  // Empty: status 503.
  std::function<response()> on_memory_shortage;
  // The same for a body above its limit. Empty: status 413.
  std::function<response()> on_too_large;
  // Bytes of a connection that the system receives before they are read. They
  // count towards the memory of the process.
  int receive_buffer_bytes = 64 * 1024;
  // Whether a request is ignored when its caller has closed the connection
  // before it is handled. A busy process then does no work that nobody waits
  // for. Not for reports, which are of use without their sender.
  bool skips_abandoned = false;
};

class listener {
 public:
  listener(boost::asio::io_context& loop, listener_options options,
           handler handle);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  // Returns false and sets the last reason when the address can't be bound.
  bool Start();
  // From now on, each answer requests that the caller closes its connection.
  void BeginDrain();
  // Closes the listening socket and the idle connections.
  void StopAccepting();

  uint16_t Port() const;
  // Number of requests that are not answered yet.
  size_t InFlight() const;
  size_t Connections() const;

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_LISTENER_H_
