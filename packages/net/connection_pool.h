#ifndef HICKORYWOOD_NET_CONNECTION_POOL_H_
#define HICKORYWOOD_NET_CONNECTION_POOL_H_

// Connections to endpoints and to the system's own instances, on one I/O loop.
// A connection that is not given back is closed, which is how work under way at
// the other side is cancelled.

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
  kEnd,     // the body is whole
  kBroken,  // the connection ended, timed out or sent what is no HTTP
};

class connection {
 public:
  virtual ~connection() = default;

  // Whether it has carried a request before: the other side may have closed it
  // meanwhile without our knowing.
  virtual bool IsReused() const = 0;
  // Writes a request. False when it failed: some of it may have arrived.
  virtual boost::asio::awaitable<bool> Write(const request& output,
                                             core::time_point deadline) = 0;
  // Reads the status line and the headers of the next answer.
  virtual boost::asio::awaitable<bool> ReadHead(response& head,
                                                core::time_point deadline) = 0;
  // Whether the answer whose head was read last names the length of its body,
  // or ends it by a mark. Any other ends with its connection.
  virtual bool IsFramed() const = 0;
  // Adds to `piece` what has arrived of the body. kBroken once `deadline` has
  // passed without news; the end of time: it waits for ever.
  virtual boost::asio::awaitable<body_state> ReadSome(
      std::string& piece, core::time_point deadline) = 0;
  // Why the last call failed.
  virtual const std::string& Error() const = 0;
  virtual void SetError(std::string why) = 0;
  virtual const std::string& Address() const = 0;
  // The answer whose head was read last names the request that it belongs to.
  // Without this a connection is not used again: a late second answer could not
  // be told from the next one.
  virtual void MarkNamed() = 0;
};

// What became of an attempt to connect.
enum class connect_outcome {
  kConnected,
  kRefused,   // the host answered that nothing listens there
  kNoAnswer,  // unreachable, or no answer in time
};

struct pool_options {
  // Kept unused for this long at most; below what endpoints commonly allow.
  std::chrono::milliseconds idle_limit{4000};
  size_t idle_per_address = 64;
  // A connection remembers the ids of all the requests that it carried, so the
  // number of these bounds its memory.
  size_t requests_per_connection = 512;
};

// Which connection a request may go over.
struct acquire_terms {
  bool needs_fresh = false;
  // Id of the request; empty: it has none, and needs a fresh connection. One
  // that carried a request of this id is not taken: a second answer to that
  // request would bear the same name.
  std::string request_id;
};

class connection_pool {
 public:
  explicit connection_pool(boost::asio::io_context& loop,
                           pool_options options = {});
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  // An idle connection to `address`, or a new one. `terms` is a variable that
  // is moved in, see handler in listener.h. Empty with the reason when it can't
  // be made by `deadline`.
  boost::asio::awaitable<std::unique_ptr<connection>> Acquire(
      std::string address, core::time_point deadline, acquire_terms terms);
  // Gives back a connection whose answer was read to its end. It is closed
  // instead where the other side asked for that, has sent more than its answer,
  // or did not name the request that it answered.
  void Release(std::unique_ptr<connection> used);
  // Opens a connection to `address` and closes it again.
  boost::asio::awaitable<connect_outcome> Probe(const std::string& address,
                                                core::time_point deadline);
  // Closes the idle connections to `address`.
  void Forget(const std::string& address);

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_CONNECTION_POOL_H_
