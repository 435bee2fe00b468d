#ifndef HICKORYWOOD_NET_CALL_H_
#define HICKORYWOOD_NET_CALL_H_

// One request and its own whole answer. Servers may answer a request twice, the
// second time late, over a connection that carries another request by then. So
// an answer is taken only with evidence that it is the request's own: it names
// the request, or it is the first one on its connection.

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <string>

#include "core/clock.h"
#include "net/connection_pool.h"
#include "net/message.h"

namespace hickorywood::net {

// Reads the head of the answer to the request that was written last. Answers
// that name other requests are passed over. False: none came that is the
// request's own for certain, and the connection is of no use any more.
// `id`: the header that names the request, with its value.
boost::asio::awaitable<bool> ReadOwnHead(connection& from, const header& id,
                                         core::time_point deadline,
                                         response& head);

// How far a request got.
enum class progress {
  kNotSent,    // no byte of it left this process
  kMaybeSent,  // it may have arrived; there is no whole answer
  kAnswered,   // a whole answer was received
};

struct call_options {
  core::time_point connect_deadline{};
  core::time_point deadline{};  // of the whole answer
  bool needs_fresh = false;
  size_t body_limit = 64 * 1024 * 1024;
  // The header by which the request and its answer name the request. Empty
  // value: it has no name, and goes over a connection of its own.
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

#endif  // HICKORYWOOD_NET_CALL_H_
