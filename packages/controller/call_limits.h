#ifndef HICKORYWOOD_CONTROLLER_CALL_LIMITS_H_
#define HICKORYWOOD_CONTROLLER_CALL_LIMITS_H_

// Time limits of calls from outside that an instance forwards to the leader.

#include <chrono>

namespace hickorywood::controller {

// Callers switch to another instance when they get no response within a second.
// This limit is shorter, so that they receive an error with a reason before
// their own timeout.
constexpr std::chrono::milliseconds kForwardTimeout{850};
// Limit of one attempt. It leaves time for a second attempt, at the next
// leader.
constexpr std::chrono::milliseconds kAttemptTimeout{600};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_CALL_LIMITS_H_
