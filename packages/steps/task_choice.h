#ifndef HICKORYWOOD_STEPS_TASK_CHOICE_H_
#define HICKORYWOOD_STEPS_TASK_CHOICE_H_

// Which task runs next, and at which engine. Decisions over plain data.

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace hickorywood::steps {

// What is known of an engine for the choice.
struct engine_load {
  std::string incarnation;
  int64_t slots = 0;
  int64_t running = 0;  // own dispatches that are not over
  // Time between two events against what is usual; 1: as fast.
  double slowness = 1;
  bool is_trusted = true;   // false: silent towards the control group
  bool has_prompt = false;  // it has read the prompt of the task's group
};

// The engine for a task: the one that is expected to make its events fastest.
// The batch of an engine slows each of its streams, so the shortest batch wins;
// having read the group's prompt counts like one stream less. Engines with
// `places` streams or more are passed over, and so is `left`, the incarnation
// that the task was taken off for being slow: empty of other work it would look
// best again. Empty: all are full.
std::optional<size_t> ChooseEngine(
    const std::vector<engine_load>& engines,
    int64_t places = std::numeric_limits<int64_t>::max(),
    const std::string& left = "");

// How much slower an engine makes its events than its peers do: its time
// between events against the median of all that have one. 0 in `gaps_ms`: not
// known, and then 1.
std::vector<double> Slowness(const std::vector<double>& gaps_ms);

// Whether a run is worth moving: its engine is clearly slower than another one
// that has room. Reading the text again there costs a few ms, an event of a
// slow engine some hundred.
bool IsWorthMoving(const engine_load& from,
                   const std::vector<engine_load>& engines);

// The order in which the tasks of a step start, as indices, by the length that
// is expected of each (0: not known). A trainer waits for nearly all groups,
// and most groups of eight have one text of five times the usual length: what
// starts last of these ends the step. So the longest start first; short ones
// fit in behind them. Equal ones keep the order of the step, in which groups
// that were begun before come first.
std::vector<uint32_t> OrderTasks(const std::vector<int64_t>& expected);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_TASK_CHOICE_H_
