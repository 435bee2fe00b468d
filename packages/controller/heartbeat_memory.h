#ifndef HICKORYWOOD_CONTROLLER_HEARTBEAT_MEMORY_H_
#define HICKORYWOOD_CONTROLLER_HEARTBEAT_MEMORY_H_

// What a control instance remembers of the heartbeats that the leader took
// through it. One that says nothing new is acknowledged at once and told to the
// leader in a sum with others: 3,000 endpoints send 2,500 heartbeats a second,
// and each forwarded by itself costs the leader a call. Plain data and
// functions.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "fleet/endpoint_registry.h"

namespace hickorywood::controller {

// What an instance tells the leader in one call.
struct heartbeat_batch {
  std::vector<fleet::heartbeat> heartbeats;
  std::vector<fleet::heartbeat_refresh> refreshes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat_batch, heartbeats,
                                                refreshes)

struct heartbeat_batch_answer {
  uint64_t term = 0;                  // of the leader
  std::vector<std::string> refusals;  // by heartbeat; empty: taken
  std::vector<std::string> unknown;   // incarnations that were refreshed
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat_batch_answer, term,
                                                refusals, unknown)

struct heartbeat_memory {
  uint64_t term = 0;  // of the leader that took all that is held
  // When the leader last answered.
  core::time_point in_touch_at = core::time_point::min();
  struct known_heartbeat {
    fleet::heartbeat latest;
    core::time_point heard_at{};
  };
  std::map<std::string, known_heartbeat> taken;  // by incarnation
  // Latest sequences that the leader was not told yet, by incarnation.
  std::map<std::string, uint64_t> refreshes;
};

// Takes a heartbeat that says nothing new, while the leader is in touch. False:
// it must be told whole.
bool TakeIfKnown(heartbeat_memory& memory, const fleet::heartbeat& input,
                 core::time_point now);

// The refreshes to be told, which count as told from here on.
std::vector<fleet::heartbeat_refresh> TakeRefreshes(heartbeat_memory& memory);

// Takes the leader's answer to a batch.
void NoteAnswer(heartbeat_memory& memory, const heartbeat_batch& batch,
                const heartbeat_batch_answer& answer, core::time_point now);

// Forgets endpoints that have not been heard here for long.
void ForgetOld(heartbeat_memory& memory, core::time_point now);

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_HEARTBEAT_MEMORY_H_
