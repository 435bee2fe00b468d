#ifndef HICKORYWOOD_STEPS_PLACEMENT_H_
#define HICKORYWOOD_STEPS_PLACEMENT_H_

// Chooses the engine on which a task is predicted to end first. Intended for
// engines and texts that differ much: the longest texts, which are placed
// first, take the fastest engines, and short texts use the places where they
// delay none of these. Plain data and decisions.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "steps/engine_model.h"

namespace hickorywood::steps {

// An engine with its load, as seen by the only process that gives it tasks.
struct placement_engine {
  std::string incarnation;
  int64_t slots = 0;     // 0: the task can't run there
  int64_t running = 0;   // streams of own dispatches
  int64_t critical = 0;  // those among them on which the end of a step depends
  engine_pace pace;
  // Tokens of the prompts and expected outputs of the running streams, and the
  // capacity of the engine; capacity 0: unknown.
  int64_t used_tokens = 0;
  int64_t token_capacity = 0;
  predicted_time next_free{0};  // until the first of its streams ends
  bool is_trusted = true;       // false: no heartbeat within the timeout
  bool has_prompt = false;      // the prompt of the group is cached
  bool is_excluded = false;     // the task must not run there
};

struct placement_task {
  double events = 0;        // that are still to be generated
  int64_t tokens = 0;       // of the prompt and of the expected output
  std::string left_engine;  // that the task was moved away from; empty: none
};

// Predicted time until the end of a task that starts now on an engine with a
// free place.
predicted_time TimeOn(const placement_engine& engine,
                      const placement_task& task, double slowdown_per_stream);

struct placement {
  // Index of the engine; nothing: no engine can take the task now, or waiting
  // for the next free place of a faster engine ends it earlier.
  std::optional<size_t> engine;
  // The full engine whose next free place the task waits for.
  std::optional<size_t> awaited;
  predicted_time end{0};  // from the start of the task
};

placement Place(const std::vector<placement_engine>& engines,
                const placement_task& task, double slowdown_per_stream);

// Whether to move a run that needs `here` more time: elsewhere it ends earlier
// by more than such predictions usually vary.
bool IsMoveWorthwhile(predicted_time here, predicted_time elsewhere);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_PLACEMENT_H_
