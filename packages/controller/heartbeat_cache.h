#ifndef HICKORYWOOD_CONTROLLER_HEARTBEAT_CACHE_H_
#define HICKORYWOOD_CONTROLLER_HEARTBEAT_CACHE_H_

// The heartbeats that the leader accepted through this control instance. A
// heartbeat that changes nothing but its sequence is acknowledged at once, and
// the leader receives it in a batch of refreshes: 3,000 endpoints send 2,500
// heartbeats a second, and forwarding each one separately would cost the leader
// as many calls. Plain data and functions.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "fleet/endpoint_registry.h"

namespace hickorywood::controller {

// The heartbeats that an instance sends to the leader in one call.
struct heartbeat_batch {
  std::vector<fleet::heartbeat> heartbeats;
  std::vector<fleet::heartbeat_refresh> refreshes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat_batch, heartbeats,
                                                refreshes)

struct heartbeat_batch_answer {
  uint64_t term = 0;                  // of the leader
  std::vector<std::string> refusals;  // by heartbeat; empty: accepted
  std::vector<std::string> unknown;   // refreshed but not listed incarnations
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat_batch_answer, term,
                                                refusals, unknown)

struct heartbeat_cache {
  uint64_t term = 0;  // of the leader that accepted all entries
  // When the leader last replied; min(): never.
  core::time_point last_reply_at = core::time_point::min();
  struct accepted_heartbeat {
    fleet::heartbeat latest;
    core::time_point received_at{};
  };
  std::map<std::string, accepted_heartbeat> accepted;  // by incarnation
  // The sequences that are to be sent to the leader as refreshes, by
  // incarnation.
  std::map<std::string, uint64_t> refreshes;
};

// Accepts a heartbeat that equals the latest one but for a higher sequence,
// provided that the leader replied recently. Returns false when the heartbeat
// must be sent to the leader.
bool AcceptIfUnchanged(heartbeat_cache& cache, const fleet::heartbeat& input,
                       core::time_point now);

// Removes the pending refreshes and returns them.
std::vector<fleet::heartbeat_refresh> ExtractRefreshes(heartbeat_cache& cache);

// Updates the entries from the leader's reply to a batch.
void ApplyBatchAnswer(heartbeat_cache& cache, const heartbeat_batch& batch,
                      const heartbeat_batch_answer& answer,
                      core::time_point now);

// Removes endpoints that have sent no heartbeat to this instance for a while.
void EvictExpired(heartbeat_cache& cache, core::time_point now);

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_HEARTBEAT_CACHE_H_
