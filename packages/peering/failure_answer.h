#ifndef HICKORYWOOD_PEERING_FAILURE_ANSWER_H_
#define HICKORYWOOD_PEERING_FAILURE_ANSWER_H_

#include <chrono>

#include "fleet/protocol.h"
#include "net/message.h"
#include "peering/messages.h"

namespace hickorywood::peering {

// Encodes the failure response to an outside caller when the reply of the
// leader is not kDone. 503 is returned only when the call was certainly not
// executed; when that is unknown the status is 504.
net::response EncodeFailure(const fleet::protocol& wire, const envelope& answer,
                            std::chrono::milliseconds retry_after);

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_FAILURE_ANSWER_H_
