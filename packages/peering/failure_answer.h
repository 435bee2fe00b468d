#ifndef HICKORYWOOD_PEERING_FAILURE_ANSWER_H_
#define HICKORYWOOD_PEERING_FAILURE_ANSWER_H_

#include <chrono>

#include "fleet/protocol.h"
#include "net/message.h"
#include "peering/messages.h"

namespace hickorywood::peering {

// What a caller outside gets when the leader's answer is not kDone. "Not done"
// (503) is said only when that is known; where the fate is open it is 504.
net::response EncodeFailure(const fleet::protocol& wire, const envelope& answer,
                            std::chrono::milliseconds retry_after);

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_FAILURE_ANSWER_H_
