#ifndef HICKORYWOOD_NET_CALL_H_
#define HICKORYWOOD_NET_CALL_H_

// Sends one request and reads the complete answer to it. Servers may answer a
// request twice, and the second answer can arrive when the connection already
// carries another request. An answer is therefore accepted only when it
// contains the id of the request, or is the first answer on its connection.

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <string>

#include "core/clock.h"
#include "net/connection_pool.h"
#include "net/message.h"

namespace hickorywood::net {

// Reads the head of the answer to the request that was written last. Answers
// with the id of another request are skipped. Returns false when no answer
// certainly belongs to the request; the connection must not be used again then.
// `id` is the header that contains the request id, with its value.
boost::asio::awaitable<bool> ReadOwnHead(connection& from, const header& id,
                                         core::time_point deadline,
                                         response& head);

// How far a request got.
enum class progress {
  kNotSent,    // no byte was sent
  kMaybeSent,  // it may have arrived; no complete answer
  kAnswered,   // a complete answer was received
};

struct call_options {
  core::time_point connect_deadline{};
  core::time_point deadline{};  // of the complete answer
  bool needs_fresh = false;
  // Maximum size of the body. A body without a stated length has a lower limit.
  size_t body_limit = 64 * 1024 * 1024;
  // The header that contains the request id in the request and in its answer. A
  // request with an empty value has no id and uses a new connection.
  header expected;
};

struct call_result {
  progress how = progress::kNotSent;
  response answer{.status = 0};  // status 0: no complete answer
  std::string error;
  bool is_timeout = false;
  // The endpoint sent bytes that are no valid response. It is running then.
  bool is_invalid = false;
};

// Sends a request and reads its complete answer. The request is sent only once;
// retries are the decision of the caller.
boost::asio::awaitable<call_result> Call(connection_pool& pool,
                                         const std::string& address,
                                         const request& input,
                                         const call_options& options);

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_CALL_H_
