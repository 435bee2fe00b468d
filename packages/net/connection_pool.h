#ifndef HICKORYWOOD_NET_CONNECTION_POOL_H_
#define HICKORYWOOD_NET_CONNECTION_POOL_H_

// Pools connections to endpoints and to the system's own instances, on one I/O
// loop. A connection that is not released to the pool is closed, which cancels
// the work that the peer is doing for it.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "core/clock.h"
#include "net/message.h"

namespace hickorywood::net {

enum class body_state {
  kMore,
  kEnd,     // the body is complete
  kBroken,  // the connection ended, timed out or sent invalid HTTP
};

class connection {
 public:
  virtual ~connection() = default;

  // Whether the connection has carried a request before. The peer may have
  // closed such a connection without this process having noticed.
  virtual bool IsReused() const = 0;
  // Writes a request. Returns false on failure; part of the request may have
  // arrived.
  virtual boost::asio::awaitable<bool> Write(const request& output,
                                             core::time_point deadline) = 0;
  // Reads the status line and the headers of the next answer.
  virtual boost::asio::awaitable<bool> ReadHead(response& head,
                                                core::time_point deadline) = 0;
  // Whether the answer whose head was read last specifies the length of its
  // body or uses chunked encoding. The body of any other answer ends with its
  // connection.
  virtual bool IsFramed() const = 0;
  // Appends the received part of the body to `piece`. Returns kBroken when no
  // data arrives until `deadline`; with time_point::max() it waits without
  // limit.
  virtual boost::asio::awaitable<body_state> ReadSome(
      std::string& piece, core::time_point deadline) = 0;
  // Whether the last call failed because the peer sent bytes that are no valid
  // response. The peer is running then.
  virtual bool HasInvalidResponse() const = 0;
  // Why the last call failed.
  virtual const std::string& Error() const = 0;
  virtual void SetError(std::string why) = 0;
  virtual const std::string& Address() const = 0;
  // Records that the answer whose head was read last contains the id of its
  // request. Without this call the connection is not reused, because a late
  // second answer could not be distinguished from the next answer.
  virtual void MarkIdentified() = 0;
};

// Result of an attempt to connect.
enum class connect_outcome {
  kConnected,
  kRefused,   // the host refused the connection
  kNoAnswer,  // unreachable, or no answer until the deadline
};

struct pool_options {
  // Idle time after which a connection is not used again, if the peer states no
  // idle timeout of its own. It is below the ones that endpoints commonly have.
  std::chrono::milliseconds idle_limit{4000};
  // A peer that states its idle timeout closes connections after it; a
  // connection is not used in this last part of it (half, if it is short),
  // since the peer may close it before the request arrives.
  std::chrono::milliseconds idle_margin{1000};
  size_t idle_per_address = 64;
  // A connection stores the ids of all requests that it carried, so this number
  // bounds its memory.
  size_t requests_per_connection = 512;
};

// Specifies which connection a request may use.
struct acquire_terms {
  bool needs_fresh = false;
  // Id of the request. A request with an empty id needs a new connection. A
  // connection that has carried a request with this id is not used, because a
  // second answer to that request would contain the same id.
  std::string request_id;
};

class connection_pool {
 public:
  explicit connection_pool(boost::asio::io_context& loop,
                           pool_options options = {});
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  // Returns an idle connection to `address`, or a new one. `terms` must be a
  // variable that is moved in, see handler in listener.h. Returns nothing and
  // sets the last reason if no connection is established by `deadline`.
  boost::asio::awaitable<std::unique_ptr<connection>> Acquire(
      std::string address, core::time_point deadline, acquire_terms terms);
  // Returns a connection to the pool after its answer was read to the end. The
  // connection is closed instead when the peer requested that, sent bytes after
  // the answer, or sent an answer without the id of the request.
  void Release(std::unique_ptr<connection> used);
  // Opens a connection to `address` and closes it, to test whether it accepts
  // connections.
  boost::asio::awaitable<connect_outcome> Probe(const std::string& address,
                                                core::time_point deadline);
  // Closes the idle connections to `address`.
  void CloseIdle(const std::string& address);

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_CONNECTION_POOL_H_
