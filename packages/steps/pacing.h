#ifndef HICKORYWOOD_STEPS_PACING_H_
#define HICKORYWOOD_STEPS_PACING_H_

// Limits how fast the short tasks of a step are started. Each additional stream
// of an engine slows the events of all its streams (33 ms alone, 41 ms in a
// batch of twelve), and the few long texts determine when a step ends. Starting
// all tasks of a step at once in full batches slows the long texts down; short
// tasks can start a little later and still finish long before. Decisions over
// plain data.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hickorywood::steps {

using task_time = std::chrono::duration<double>;

// Expected work of the tasks of one step that have not started.
struct waiting_work {
  task_time runs{0};  // total of all of them, one after the other
  // Streams on the engines other than short tasks of this step.
  int64_t others = 0;
  task_time age{0};  // of the step
  task_time due{0};  // from the submission of the step; 0: unknown
};

// Number of streams on an engine up to which short tasks are started: the
// number that lets all of them start in time, in addition to the streams that
// run there anyway. Returns `slots` if the work does not fit or an estimate is
// missing.
int64_t MaxStreamsForShortTasks(const waiting_work& work, size_t engines,
                                int64_t slots);

// Whether a task is long for its step, so that it is started at once.
bool IsLong(int64_t expected, int64_t longest);

// Time per unit of expected length, learned from complete runs. It compensates
// for length hints that are all off by the same factor.
struct run_pace {
  double seconds = 0;
  double expected = 0;
};
void RecordRun(run_pace& pace, task_time duration, int64_t expected);
// 0: nothing has been learned yet.
task_time ExpectedTime(const run_pace& pace, int64_t expected);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_PACING_H_
