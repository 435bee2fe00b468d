#ifndef HICKORYWOOD_NET_CONNECTION_POOL_H_
#define HICKORYWOOD_NET_CONNECTION_POOL_H_

// Connections to endpoints and to the system's own instances, on one I/O loop.
// A connection that is not given back is closed, which is how work under way at
// the other side is cancelled.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/message.h"

namespace hickorywood::net {

// How far a request got.
enum class progress {
  kNotSent,    // no byte of it left this process
  kMaybeSent,  // it may have arrived; there is no whole answer
  kAnswered,   // a whole answer was received
};

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
  // Adds to `piece` what has arrived of the body. kBroken once `deadline` has
  // passed without news; the end of time: it waits for ever.
  virtual boost::asio::awaitable<body_state> ReadSome(
      std::string& piece, core::time_point deadline) = 0;
  // Why the last call failed.
  virtual const std::string& Error() const = 0;
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
};

class connection_pool {
 public:
  explicit connection_pool(boost::asio::io_context& loop,
                           pool_options options = {});
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  // An idle connection to `address`, or a new one. Empty with the reason when
  // it can't be made by `deadline`.
  boost::asio::awaitable<std::unique_ptr<connection>> Acquire(
      const std::string& address, core::time_point deadline,
      bool needs_fresh = false);
  // Gives back a connection whose answer was read to its end. It is closed
  // instead where the other side asked for that or has sent more than its
  // answer.
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

struct call_options {
  core::time_point connect_deadline{};
  core::time_point deadline{};  // of the whole answer
  bool needs_fresh = false;
  size_t body_limit = 64 * 1024 * 1024;
  // An answer that carries this header with another value belongs to an earlier
  // request and is passed over. Empty name: not checked.
  header expected;
};

struct call_result {
  progress how = progress::kNotSent;
  response answer{.status = 0};  // status 0: no whole answer came
  std::string error;
  bool is_timeout = false;
};

// One request with its whole answer. Sent once, whatever happens: repeating is
// the caller's decision.
boost::asio::awaitable<call_result> Call(connection_pool& pool,
                                         const std::string& address,
                                         const request& input,
                                         const call_options& options);

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_CONNECTION_POOL_H_
