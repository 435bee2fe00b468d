#ifndef HICKORYWOOD_NET_RESPONSE_RULES_H_
#define HICKORYWOOD_NET_RESPONSE_RULES_H_

// Decides whether a response is valid (RFC 9110, RFC 9112). Each client asks
// with the lines of a response as it received them. A response that is not
// valid must not be used, and its connection must be closed.

#include <string_view>

#include "net/message.h"

namespace hickorywood::net {

// How the end of a body is determined.
enum class body_framing {
  kNone,  // there is no body, whatever the fields say
  kLength,
  kChunked,
  kConnection,  // the body ends with its connection
};

// The head of a final or an interim response.
struct response_head {
  bool is_http11 = false;  // otherwise HTTP/1.0
  int status = 0;          // 0: the status line was not added yet
  header_list headers;
  // The empty line was added, and `framing` is set.
  bool is_complete = false;
  body_framing framing = body_framing::kConnection;
};

// Adds the next line of a head, with its line end. Returns false and sets the
// last reason if the response is not valid.
bool AddHeadLine(response_head& head, std::string_view line);

// Whether a complete head is followed by the head of another response to the
// same request (RFC 9110, section 15.2).
bool IsInterim(const response_head& head);

// Checks a line of the trailers of a chunked body. Returns false and sets the
// last reason if it is not valid.
bool IsValidTrailer(std::string_view line);

// Checks the trailers. `bytes` are the last chunk and the trailers, and may
// begin with the line end of the chunk before. Returns false and sets the last
// reason if they are not valid.
bool IsValidLastChunk(std::string_view bytes);

// Checks the line ends of a chunk header, or of trailers, of which `bytes` were
// received. Returns false and sets the last reason if they are not valid.
bool IsValidIncompleteChunk(std::string_view bytes);

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_RESPONSE_RULES_H_
