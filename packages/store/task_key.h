#ifndef HICKORYWOOD_STORE_TASK_KEY_H_
#define HICKORYWOOD_STORE_TASK_KEY_H_

#include <cstdint>
#include <string>

namespace hickorywood::store {

// Identifies a task of a step.
struct task_key {
  std::string step;
  uint32_t task = 0;

  bool operator<(const task_key& other) const {
    return step != other.step ? step < other.step : task < other.task;
  }
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_TASK_KEY_H_
