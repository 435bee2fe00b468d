#ifndef HICKORYWOOD_TESTS_SUPPORT_RESPONSE_CASES_H_
#define HICKORYWOOD_TESTS_SUPPORT_RESPONSE_CASES_H_

// Responses of servers that break the rules of HTTP/1.1, and ones that don't.
// All have the signature of an endpoint and the id of their request.

#include <string>
#include <vector>

#include "net/message.h"
#include "support/scripted_server.h"

namespace hickorywood::testing {

// The body of all cases.
extern const char kCaseBody[];

// Status codes that are not from 100 to 599, and 101 without a request for it.
std::vector<scripted_response> InvalidStatuses();
// Other versions than HTTP/1.0 and HTTP/1.1, and malformed status lines.
std::vector<scripted_response> InvalidStatusLines();
// Blanks and control bytes in the names of fields, and other invalid lines.
std::vector<scripted_response> InvalidFields();
// Lengths and transfer codings that leave the end of the body undetermined.
std::vector<scripted_response> InvalidFramings();
// Malformed chunks.
std::vector<scripted_response> InvalidChunks();
// Invalid lines in the trailers of a chunked body.
std::vector<scripted_response> InvalidTrailers();
// Responses that ordinary servers send.
std::vector<scripted_response> ValidResponses();

// Fills in the id of a request.
scripted_response ResponseTo(const net::request& input,
                             scripted_response response);
// Replaces the body of a case that states its length, and the length.
scripted_response WithBody(scripted_response response, const std::string& body);
// A complete response with this body.
scripted_response OrdinaryResponse(const std::string& body);

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_RESPONSE_CASES_H_
