#ifndef HICKORYWOOD_STEPS_PACING_H_
#define HICKORYWOOD_STEPS_PACING_H_

// How fast the short tasks of a step are started. An engine makes the events of
// all its streams slower with each one more (33 ms alone, 41 ms in a batch of
// twelve), and what ends a step are its few long texts. All of a step's tasks
// at once in full batches slow these down; short ones can come a little later
// and still be done long before. Decisions over plain data.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hickorywood::steps {

using task_time = std::chrono::duration<double>;

// What is expected of the tasks that still wait in one step.
struct waiting_work {
  task_time runs{0};  // of all of them, one after the other
  // Streams on the engines that are no short tasks of this step.
  int64_t others = 0;
  task_time age{0};  // of the step
  task_time due{0};  // of the step, from its submission; 0: not known
};

// Streams on each engine up to which short tasks are started: beside what runs
// there anyway, as many as it takes to have all of them started in good time.
// All places when the work doesn't fit, or nothing is known.
int64_t PlacesForShortTasks(const waiting_work& work, size_t engines,
                            int64_t slots);

// Whether a task is long for its step: it is started at once.
bool IsLong(int64_t expected, int64_t longest);

// Time that a unit of expected length takes, learned from whole runs. Hints
// that are off by a factor for all tasks are made good by it.
struct run_pace {
  double seconds = 0;
  double expected = 0;
};
void NoteRun(run_pace& pace, task_time took, int64_t expected);
// 0: nothing was learned yet.
task_time ExpectedTime(const run_pace& pace, int64_t expected);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_PACING_H_
