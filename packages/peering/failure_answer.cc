#include "peering/failure_answer.h"

namespace hickorywood::peering {
namespace {

// Steps take seconds until some of their memory is free again.
constexpr std::chrono::milliseconds kMemoryRetryAfter{1000};

}  // namespace

net::response EncodeFailure(const fleet::protocol& wire, const envelope& answer,
                            std::chrono::milliseconds retry_after) {
  switch (answer.outcome) {
    case call_outcome::kRefused:
      return wire.EncodeFailure(400, answer.reason, std::nullopt);
    case call_outcome::kNotFound:
      return wire.EncodeFailure(404, answer.reason, std::nullopt);
    case call_outcome::kConflict:
      return wire.EncodeFailure(409, answer.reason, std::nullopt);
    case call_outcome::kPending:
      return wire.EncodeFailure(504, answer.reason, retry_after);
    case call_outcome::kUnknown:
      return wire.EncodeFailure(
          504, "the outcome of the call is unknown: " + answer.reason,
          std::nullopt);
    case call_outcome::kNoMemory:
      return wire.EncodeFailure(503, answer.reason, kMemoryRetryAfter);
    case call_outcome::kDone:
    case call_outcome::kNotLeader:
    case call_outcome::kUnavailable:
      break;
  }
  return wire.EncodeFailure(503, "no leader is available: " + answer.reason,
                            retry_after);
}

}  // namespace hickorywood::peering
