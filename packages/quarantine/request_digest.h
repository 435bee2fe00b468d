#ifndef HICKORYWOOD_QUARANTINE_REQUEST_DIGEST_H_
#define HICKORYWOOD_QUARANTINE_REQUEST_DIGEST_H_

// Identifies a request by its content, so that it is recognized when its caller
// sends it again under another id and through another instance.

#include <string>
#include <string_view>

#include "net/message.h"

namespace hickorywood::quarantine {

// The parts that make two requests the same. The id, the deadline and the
// headers for endpoints are left out, since a caller that retries changes them.
struct request_identity {
  std::string_view customer;  // compared without case
  std::string_view method;
  std::string_view target;  // path with the query
  std::string_view body;
  // Work that was accepted to be run later: a task, its reward call, a sample
  // of a step. It is never quarantined, because its result is still due. A
  // caller's request with the same content is another request.
  bool is_batch = false;
};

// Identity of a request as its caller sent it, or as it is sent to an endpoint:
// the customer is the value of the Host header.
request_identity IdentityOf(const net::request& input);

// Digests are HMAC-SHA256 under a key that only the system's instances have.
// Bodies can be short or predictable, so anyone who reads a plain hash in a log
// or a message could guess them.

// Prefix of a digest, 16 hex digits. It covers the size of the body, but not
// its content, and distinguishes most requests without reading their bodies.
std::string DigestPrefixOf(std::string_view key, const request_identity& input);

// 48 hex digits: the prefix, and 128 bits that cover the body as well.
std::string DigestOf(std::string_view key, const request_identity& input);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_REQUEST_DIGEST_H_
