#ifndef HICKORYWOOD_STEPS_TASK_CHOICE_H_
#define HICKORYWOOD_STEPS_TASK_CHOICE_H_

// Decides which task runs next, and on which engine. Decisions over plain data.

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace hickorywood::steps {

// Load and speed of an engine.
struct engine_load {
  std::string incarnation;
  int64_t slots = 0;
  int64_t running = 0;  // own dispatches in progress
  // Time between two events relative to the usual one; 1: as fast.
  double slowness = 1;
  bool is_trusted = true;    // false: no heartbeat within the timeout
  bool has_prompt = false;   // the prompt of the group is cached
  bool is_excluded = false;  // the task must not run there
};

// Returns the engine that is expected to generate the events of a task fastest.
// Each stream in the batch of an engine slows the others, so the shortest batch
// is chosen; a cached prompt of the group counts like one stream less. Skips
// engines that have `max_streams` streams or more, and the incarnation
// `excluded`, from which the task was moved because it was slow: without other
// work it would look best again. Returns nothing if all engines are full.
std::optional<size_t> ChooseEngine(
    const std::vector<engine_load>& engines,
    int64_t max_streams = std::numeric_limits<int64_t>::max(),
    const std::string& excluded = "");

// How much slower each engine generates events than its peers: its time between
// events divided by that of a fast engine, the lower quartile of all
// measured ones. A value of 0 in `gaps_ms` is unknown and results in 1.
std::vector<double> RelativeSlowness(const std::vector<double>& gaps_ms);

// Whether moving a run pays off: its engine is clearly slower than another
// engine with a free slot. Reading the text again there costs a few ms, and
// each event of a slow engine some hundred.
bool IsMoveWorthwhile(const engine_load& from,
                      const std::vector<engine_load>& engines);

// The order in which the tasks of a step start, as indices, by the expected
// length of each (0: unknown). A trainer waits for nearly all groups, and most
// groups of eight have one text of five times the usual length; the last of
// these to start determines when the step ends. So the longest tasks start
// first, and short ones fit in after them. Tasks of equal length keep the order
// of the step, in which groups that were begun before come first.
std::vector<uint32_t> OrderTasks(const std::vector<int64_t>& expected);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_TASK_CHOICE_H_
