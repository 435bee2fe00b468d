#ifndef HICKORYWOOD_ROUTING_ADAPTIVE_LIMIT_H_
#define HICKORYWOOD_ROUTING_ADAPTIVE_LIMIT_H_

// Limits how many deferrable requests may be in flight to one service, so that
// interactive requests find a free slot there. The limit shrinks when endpoints
// reject requests for lack of capacity and grows while they serve them.

#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace hickorywood::routing {

struct adaptive_limit {
  double allowed = 0;  // requests in flight; 0: no rejection or answer yet
  core::time_point shrunk_at{};
};

// The number of requests that may be in flight to endpoints that have `slots`
// slots in total. `slots` is 0 when the number of slots is unknown.
int64_t MaxRequestsInFlight(const adaptive_limit& limit, int64_t slots);

// Raises the limit after an endpoint served a request.
void RecordServed(adaptive_limit& limit, int64_t slots);
// Lowers the limit after an endpoint rejected a request because it is full.
void RecordRejected(adaptive_limit& limit, int64_t slots, core::time_point now);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_ADAPTIVE_LIMIT_H_
