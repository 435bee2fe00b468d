#ifndef HICKORYWOOD_STEPS_REWARD_CHOICE_H_
#define HICKORYWOOD_STEPS_REWARD_CHOICE_H_

// Decides which texts are scored next when more are waiting than may be scored
// concurrently. A decision over plain data.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace hickorywood::steps {

struct waiting_reward {
  size_t open_in_group = 0;      // tasks of its group without a result
  core::time_point opened_at{};  // when its step was submitted
  uint32_t task = 0;             // index in the step
};

// The order in which to send the reward requests, as indices. Trainers wait for
// complete groups, so the group with the fewest open tasks comes first, then
// the oldest step, then the order of the step, in which groups that were begun
// before come first.
std::vector<size_t> OrderRewards(const std::vector<waiting_reward>& waiting);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_REWARD_CHOICE_H_
