#ifndef HICKORYWOOD_STEPS_STEP_ORDER_H_
#define HICKORYWOOD_STEPS_STEP_ORDER_H_

// One order over the waiting tasks of all open steps. Intended for trainers
// that compete for the engines: a shortage must not delay only those with long
// texts. Plain data and decisions.

#include <cstdint>
#include <string>
#include <vector>

#include "steps/engine_model.h"

namespace hickorywood::steps {

// A task that waits for an engine.
struct waiting_task {
  uint32_t task = 0;       // index in its step
  predicted_time time{0};  // that it needs on a usual engine
  uint32_t group = 0;      // index of its group, see open_step::groups
};

struct task_group {
  // Longest predicted time until one of its open tasks ends; 0: it has none.
  predicted_time end{0};
  bool is_carried = false;  // begun in an earlier step; always waited for
};

struct open_step {
  std::string id;
  std::string trainer;          // its model
  predicted_time due{0};        // from now; negative: overdue
  int64_t wanted_groups = 0;    // that the trainer waits for; 0: all
  int64_t complete_groups = 0;  // all tasks have results
  int64_t running = 0;          // tasks at engines
  std::vector<task_group> groups;
  std::vector<waiting_task> tasks;
};

struct ordered_task {
  size_t step = 0;  // index in the input
  uint32_t task = 0;
};

// Returns the tasks in the order in which they should start:
// - first those of trainers with less than a quarter of an equal share of the
//   running tasks, so that no trainer waits for all of the others;
// - then by slack, the time that is left to the due time when the task starts
//   now. A task that can't be in time is treated like one with a little slack:
//   it is still wanted, but must not make others late;
// - last the tasks of groups beyond the number that the trainer waits for.
std::vector<ordered_task> OrderByUrgency(const std::vector<open_step>& steps);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_STEP_ORDER_H_
