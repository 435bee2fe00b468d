#ifndef HICKORYWOOD_ROLLOUT_BODY_STORE_H_
#define HICKORYWOOD_ROLLOUT_BODY_STORE_H_

// In-memory store of specs and sample bodies. The coordinator of a step and one
// instance in another availability zone each have a copy, so that the loss of
// either one loses no data.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "rollout/step.h"

namespace hickorywood::rollout {

// Everything stored for one step.
struct stored_step {
  std::string spec;                        // step_spec as JSON
  std::map<int64_t, std::string> samples;  // sample as JSON, by slot
  core::time_point touched_at{};
};

struct body_store {
  size_t byte_limit = 0;
  size_t bytes = 0;
  std::map<std::string, stored_step> steps;  // by "pool/step"
};

// Return false, and store nothing, if the limit is reached.
bool StoreSpec(body_store& store, const std::string& step_key,
               const std::string& spec, core::time_point now);
bool StoreSample(body_store& store, const std::string& step_key, int64_t slot,
                 const std::string& body, core::time_point now);

void RemoveSample(body_store& store, const std::string& step_key, int64_t slot);
void RemoveStep(body_store& store, const std::string& step_key);

// Removes steps that have not been accessed for `idle`.
void EvictIdleSteps(body_store& store, core::time_point now,
                    core::milliseconds idle);

const stored_step* FindStoredStep(const body_store& store,
                                  const std::string& step_key);

}  // namespace hickorywood::rollout

#endif  // HICKORYWOOD_ROLLOUT_BODY_STORE_H_
