#ifndef HICKORYWOOD_STORE_TASK_MEMORY_H_
#define HICKORYWOOD_STORE_TASK_MEMORY_H_

// Decides whether a data leader accepts further tasks. Plain data.

#include <cstddef>

namespace hickorywood::store {

// Memory of the tasks of all steps, bytes.
struct task_memory {
  size_t used = 0;
  size_t budget = 0;
};

enum class task_source {
  kSubmission,  // a whole submission
  kPart,        // a part of a large one
};

// Parts leave a quarter of the budget to whole submissions, so that large
// submissions, which may never be completed, don't keep out small ones.
inline bool MayStore(const task_memory& memory, size_t bytes,
                     task_source source) {
  const size_t reserve = source == task_source::kPart ? memory.budget / 4 : 0;
  return memory.used + bytes <= memory.budget - reserve;
}

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_TASK_MEMORY_H_
