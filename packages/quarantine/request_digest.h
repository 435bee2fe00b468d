#ifndef HICKORYWOOD_QUARANTINE_REQUEST_DIGEST_H_
#define HICKORYWOOD_QUARANTINE_REQUEST_DIGEST_H_

// Names a request by what it asks for, so that it is known again when its
// caller sends it once more, under another id and through another instance.

#include <string>
#include <string_view>

#include "net/message.h"

namespace hickorywood::quarantine {

// What makes two requests the same one. Its id, its deadline and the headers
// that endpoints are told of are left out: a caller that tries again changes
// them.
struct request_identity {
  std::string_view customer;  // compared without case
  std::string_view method;
  std::string_view target;  // path with the query
  std::string_view body;
};

// Of a request as its caller sent it, or as it goes to an endpoint: the
// customer is the host that it is addressed to.
request_identity IdentityOf(const net::request& input);

// Digests are HMAC-SHA256 under a key that only the system's instances hold.
// Bodies can be short or known, so a plain hash in a log or a message would let
// anyone who reads it guess them.

// The head of a digest, 16 hex digits, of all but the body's bytes: its size
// stands for them. Tells most requests apart without reading their bodies.
std::string DigestHeadOf(std::string_view key, const request_identity& input);

// 48 hex digits: the head, and 128 bits of the whole.
std::string DigestOf(std::string_view key, const request_identity& input);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_REQUEST_DIGEST_H_
