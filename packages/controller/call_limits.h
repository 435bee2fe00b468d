#ifndef HICKORYWOOD_CONTROLLER_CALL_LIMITS_H_
#define HICKORYWOOD_CONTROLLER_CALL_LIMITS_H_

// How long a call from outside may take on its way to the leader.

#include <chrono>

namespace hickorywood::controller {

// Callers go on to another instance after a second without an answer; what they
// get before that tells them more.
constexpr std::chrono::milliseconds kPatience{850};
// One try at a leader: a second one must fit, at the next leader.
constexpr std::chrono::milliseconds kOneTry{600};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_CALL_LIMITS_H_
