#include "steps/pacing.h"

#include <algorithm>
#include <cmath>

namespace hickorywood::steps {
namespace {

// Share of the due time in which all tasks should have started. A hint can be
// far off: a long text that was mistaken for a short one can use the remaining
// time.
constexpr double kStartShare = 0.3;
// With less time left than this, all waiting tasks are started at once.
constexpr task_time kMinStartTime{0.1};
// Fraction of the longest expected length from which a task counts as long.
constexpr double kLongTaskFraction = 0.4;
// Weight that earlier runs keep at each new run: some hundred runs have
// influence, which is two or three steps.
constexpr double kDecayPerRun = 0.995;

}  // namespace

int64_t MaxStreamsForShortTasks(const waiting_work& work, size_t engines,
                                int64_t slots) {
  const task_time remaining = kStartShare * work.due - work.age;
  const bool has_estimate = work.runs > task_time(0) && engines > 0;
  if (!has_estimate || remaining < kMinStartTime) return slots;
  const double streams =
      work.runs / remaining + static_cast<double>(work.others);
  const double per_engine =
      std::ceil(streams / static_cast<double>(engines)) + 1;
  return per_engine < static_cast<double>(slots)
             ? static_cast<int64_t>(per_engine)
             : slots;
}

bool IsLong(int64_t expected, int64_t longest) {
  return static_cast<double>(expected) >=
         kLongTaskFraction * static_cast<double>(longest);
}

void RecordRun(run_pace& pace, task_time duration, int64_t expected) {
  if (expected <= 0) return;
  pace.seconds = kDecayPerRun * pace.seconds + duration.count();
  pace.expected = kDecayPerRun * pace.expected + static_cast<double>(expected);
}

task_time ExpectedTime(const run_pace& pace, int64_t expected) {
  if (pace.expected <= 0) return task_time(0);
  return task_time(pace.seconds / pace.expected *
                   static_cast<double>(expected));
}

}  // namespace hickorywood::steps
