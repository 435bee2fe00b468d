#include "steps/pacing.h"

#include <algorithm>
#include <cmath>

namespace hickorywood::steps {
namespace {

// Share of the due time in which all tasks shall have been started. A hint can
// be far off: a long text that was taken for a short one still has the rest.
constexpr double kStartShare = 0.3;
// Below this, all that waits is started at once.
constexpr task_time kShortest{0.1};
// Part of the longest expected length from which a task counts as long.
constexpr double kLongShare = 0.4;
// Weight that is left of what was learned before at each run: some hundred runs
// count, which are two or three steps.
constexpr double kMemory = 0.995;

}  // namespace

int64_t PlacesForShortTasks(const waiting_work& work, size_t engines,
                            int64_t slots) {
  const task_time left = kStartShare * work.due - work.age;
  const bool is_known = work.runs > task_time(0) && engines > 0;
  if (!is_known || left < kShortest) return slots;
  const double streams = work.runs / left + static_cast<double>(work.others);
  const double each = std::ceil(streams / static_cast<double>(engines)) + 1;
  return each < static_cast<double>(slots) ? static_cast<int64_t>(each) : slots;
}

bool IsLong(int64_t expected, int64_t longest) {
  return static_cast<double>(expected) >=
         kLongShare * static_cast<double>(longest);
}

void NoteRun(run_pace& pace, task_time took, int64_t expected) {
  if (expected <= 0) return;
  pace.seconds = kMemory * pace.seconds + took.count();
  pace.expected = kMemory * pace.expected + static_cast<double>(expected);
}

task_time ExpectedTime(const run_pace& pace, int64_t expected) {
  if (pace.expected <= 0) return task_time(0);
  return task_time(pace.seconds / pace.expected *
                   static_cast<double>(expected));
}

}  // namespace hickorywood::steps
