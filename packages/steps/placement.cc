#include "steps/placement.h"

#include <algorithm>

namespace hickorywood::steps {
namespace {

// Time until the first event on a usual engine when the prompt must be read:
// a thousand tokens at 200 tokens per ms.
constexpr predicted_time kPromptTime{0.005};
// Counted for an engine without heartbeats: it is used when the other engines
// are well filled, or when none sends heartbeats.
constexpr predicted_time kNoHeartbeatTime{0.5};
// Counted where the memory of the engine does not suffice: an interrupted
// stream waits for about half a second.
constexpr predicted_time kInterruptionTime{0.5};
// Counted for the engine that a task was moved away from.
constexpr predicted_time kReturnTime{0.5};
// Weight of the delay of a stream on which no step depends, relative to one on
// which a step depends.
constexpr double kUncriticalWeight = 0.25;
// A predicted free place is uncertain, so a task waits for it only if that
// saves at least this much.
constexpr predicted_time kMinWaitGain{0.3};
// Minimum gain of a move, absolute and relative to the remaining time: the
// spread of predictions from some ten events. A move also costs a new
// connection and reading the text again.
constexpr predicted_time kMinMoveGain{0.3};
constexpr double kMinMoveShare = 0.25;

// Delay that a further stream causes to the streams that run on an engine.
predicted_time DelayOfOthers(const placement_engine& engine,
                             const placement_task& task,
                             double slowdown_per_stream) {
  const auto critical = static_cast<double>(engine.critical);
  const double others =
      critical +
      kUncriticalWeight * (static_cast<double>(engine.running) - critical);
  return others * slowdown_per_stream * task.events * engine.pace.later;
}

// Tokens beyond the memory of an engine make it interrupt a stream and read its
// text again later.
bool HasMemory(const placement_engine& engine, const placement_task& task) {
  return engine.token_capacity == 0 || engine.running == 0 ||
         engine.used_tokens + task.tokens <= engine.token_capacity;
}

predicted_time CostOf(const placement_engine& engine,
                      const placement_task& task, double slowdown_per_stream) {
  predicted_time cost = TimeOn(engine, task, slowdown_per_stream) +
                        DelayOfOthers(engine, task, slowdown_per_stream);
  if (!HasMemory(engine, task)) cost += kInterruptionTime;
  const bool has_left =
      !task.left_engine.empty() && engine.incarnation == task.left_engine;
  if (has_left) cost += kReturnTime;
  return cost;
}

struct candidate {
  predicted_time cost{0};
  size_t index = 0;
};

bool IsBetter(const candidate& left, const candidate& right,
              const std::vector<placement_engine>& engines) {
  if (left.cost != right.cost) return left.cost < right.cost;
  const placement_engine& first = engines[left.index];
  const placement_engine& second = engines[right.index];
  if (first.running != second.running) return first.running < second.running;
  return first.incarnation < second.incarnation;
}

}  // namespace

predicted_time TimeOn(const placement_engine& engine,
                      const placement_task& task, double slowdown_per_stream) {
  predicted_time time =
      TimeFor(engine.pace, task.events, engine.running, slowdown_per_stream);
  if (!engine.has_prompt) time += kPromptTime;
  if (!engine.is_trusted) time += kNoHeartbeatTime;
  return time;
}

placement Place(const std::vector<placement_engine>& engines,
                const placement_task& task, double slowdown_per_stream) {
  std::optional<candidate> best;       // among the engines with a free place
  std::optional<candidate> best_full;  // among the others
  for (size_t i = 0; i < engines.size(); ++i) {
    const placement_engine& engine = engines[i];
    if (engine.slots <= 0 || engine.is_excluded) continue;
    candidate item;
    item.index = i;
    item.cost = CostOf(engine, task, slowdown_per_stream);
    const bool has_place = engine.running < engine.slots;
    // Without heartbeats, the prediction of a free place may be wrong.
    if (!has_place && !engine.is_trusted) continue;
    if (!has_place) item.cost += engine.next_free;
    std::optional<candidate>& rival = has_place ? best : best_full;
    if (!rival || IsBetter(item, *rival, engines)) rival = item;
  }
  placement result;
  const bool is_wait_better =
      best && best_full && best_full->cost + kMinWaitGain < best->cost;
  if (!best || is_wait_better) {
    if (best_full) {
      result.awaited = best_full->index;
      result.end = TimeOn(engines[best_full->index], task, slowdown_per_stream);
    }
    return result;
  }
  result.engine = best->index;
  result.end = TimeOn(engines[best->index], task, slowdown_per_stream);
  return result;
}

bool IsMoveWorthwhile(predicted_time here, predicted_time elsewhere) {
  const predicted_time gain = here - elsewhere;
  return gain >= kMinMoveGain && gain >= kMinMoveShare * here;
}

}  // namespace hickorywood::steps
