#include "rollout/step.h"

#include <algorithm>

#include "core/reason.h"

namespace hickorywood::rollout {
namespace {

// With fewer complete samples the median is not a reliable estimate of the
// duration.
constexpr size_t kMinDurations = 4;

int64_t GroupSize(const step_run& step) { return step.spec.samples_per_prompt; }

attempt* FindAttempt(slot& item, uint64_t id) {
  for (attempt& candidate : item.attempts) {
    if (candidate.id == id) return &candidate;
  }
  return nullptr;
}

void RemoveAttempt(step_run& step, slot& item, uint64_t id) {
  const attempt* dropped = FindAttempt(item, id);
  if (dropped != nullptr) {
    step.hedge_tokens_reserved -= dropped->reserved_tokens;
  }
  item.attempts.erase(
      std::remove_if(item.attempts.begin(), item.attempts.end(),
                     [id](const attempt& other) { return other.id == id; }),
      item.attempts.end());
}

void SetWaiting(step_run& step, size_t index) {
  slot& item = step.slots[index];
  item.state = slot_state::kWaiting;
  item.is_replicated = false;
  item.result = sample{};
  step.next_waiting = std::min(step.next_waiting, index);
}

launch StartAttempt(step_run& step, size_t index, bool is_hedge,
                    const generated_text& resume, time_point now) {
  attempt fresh;
  fresh.id = step.next_attempt++;
  fresh.is_hedge = is_hedge;
  fresh.started_at = now;
  fresh.so_far = resume;
  fresh.resumed_tokens = resume.token_count;
  slot& item = step.slots[index];
  item.state = slot_state::kRunning;
  item.attempts.push_back(fresh);
  return {static_cast<int64_t>(index), fresh.id, is_hedge, resume};
}

double MedianDuration(const step_run& step) {
  return step.durations[step.durations.size() / 2];
}

int64_t MeanTokens(const step_run& step) {
  return step.tokens_generated /
         std::max<int64_t>(1, static_cast<int64_t>(step.durations.size()));
}

double RunningMillis(const attempt& item, time_point now) {
  return std::chrono::duration<double, std::milli>(now - item.started_at)
      .count();
}

// Expected number of tokens that a hedge started now generates in addition to
// the original attempt.
int64_t ExpectedHedgeTokens(const step_run& step, const attempt& original) {
  // The lengths are heavy-tailed: a sample longer than the mean most likely has
  // a considerable part still to come.
  constexpr int64_t kMeanDivisor = 3;
  const int64_t mean = MeanTokens(step);
  const int64_t left_of_mean = mean - original.so_far.token_count;
  return std::max<int64_t>({1, left_of_mean, mean / kMeanDivisor});
}

bool HasHedgeBudget(const step_run& step, const hedge_policy& policy,
                    int64_t expected) {
  const double allowed =
      policy.token_budget * static_cast<double>(step.tokens_generated);
  const int64_t spent = step.hedge_tokens + step.hedge_tokens_reserved;
  return static_cast<double>(spent + expected) <= allowed;
}

// Starts hedges for running samples that exceed the threshold. Each hedge
// continues from the original's current text, so that it costs only the tokens
// that are still missing.
void AddHedges(step_run& step, const hedge_policy& policy, time_point now,
               size_t limit, std::vector<launch>& launches) {
  if (!policy.is_enabled || step.durations.size() < kMinDurations) return;
  const double threshold = policy.after * MedianDuration(step);
  for (size_t i = 0; i < step.slots.size() && launches.size() < limit; ++i) {
    const slot& item = step.slots[i];
    if (item.state != slot_state::kRunning || item.attempts.size() != 1) {
      continue;
    }
    const attempt original = item.attempts.front();
    if (RunningMillis(original, now) < threshold) continue;
    const int64_t expected = ExpectedHedgeTokens(step, original);
    if (!HasHedgeBudget(step, policy, expected)) return;
    step.hedge_tokens_reserved += expected;
    launches.push_back(StartAttempt(step, i, true, original.so_far, now));
    step.slots[i].attempts.back().reserved_tokens = expected;
  }
}

// Number of tokens that a losing attempt generated and that are discarded. This
// excludes the tokens that a losing hedge resumed from the original, and the
// tokens of a losing original that the winner resumed.
int64_t WastedTokens(const attempt& loser, const attempt& winner) {
  return loser.so_far.token_count -
         (loser.is_hedge ? loser.resumed_tokens : winner.resumed_tokens);
}

bool IsStale(const sample& result, int64_t trainer_version, int64_t bound) {
  const std::optional<int64_t> oldest = OldestVersion(result.generated);
  return oldest && trainer_version - *oldest > bound;
}

bool IsGroupReady(const step_run& step, size_t first) {
  for (size_t i = first; i < first + static_cast<size_t>(GroupSize(step));
       ++i) {
    if (step.slots[i].state != slot_state::kComplete ||
        !step.slots[i].is_replicated) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<step_spec> CheckSpec(const step_spec& spec) {
  using core::Fail;
  using core::reason_code;
  if (spec.step.empty() || spec.step.size() > 128) {
    return Fail(reason_code::kInvalid, "a step id of 1 to 128 bytes is needed");
  }
  if (spec.trainer.empty()) {
    return Fail(reason_code::kInvalid, "a trainer is needed");
  }
  if (spec.prompts.empty()) {
    return Fail(reason_code::kInvalid, "at least one prompt is needed");
  }
  if (spec.samples_per_prompt < 1 || spec.max_tokens < 1 ||
      spec.max_tokens > kMaxTokens) {
    return Fail(reason_code::kInvalid,
                "samples_per_prompt must be positive, and max_tokens must lie "
                "between 1 and 131072");
  }
  if (spec.deadline_ms < 0) {
    return Fail(reason_code::kInvalid, "deadline_ms must not be negative");
  }
  const auto prompts = static_cast<int64_t>(spec.prompts.size());
  if (spec.samples_per_prompt > kMaxSlots ||
      prompts > kMaxSlots / spec.samples_per_prompt) {
    return Fail(reason_code::kInvalid, "too many samples in one step");
  }
  return spec;
}

step_run StartStep(const step_spec& spec, uint64_t epoch, time_point now) {
  step_run step;
  step.spec = spec;
  step.epoch = epoch;
  step.opened_at = now;
  step.slots.resize(spec.prompts.size() *
                    static_cast<size_t>(spec.samples_per_prompt));
  return step;
}

std::vector<launch> NextLaunches(step_run& step, const hedge_policy& policy,
                                 time_point now, size_t limit) {
  std::vector<launch> launches;
  bool is_any_waiting = false;
  bool is_prefix = true;
  for (size_t i = step.next_waiting;
       i < step.slots.size() && launches.size() < limit; ++i) {
    if (step.slots[i].state != slot_state::kWaiting) {
      if (is_prefix) step.next_waiting = i + 1;
      continue;
    }
    if (step.slots[i].not_before > now) {
      is_prefix = false;
      is_any_waiting = true;
      continue;
    }
    launches.push_back(StartAttempt(step, i, false, generated_text{}, now));
    if (is_prefix) step.next_waiting = i + 1;
  }
  if (!is_any_waiting) AddHedges(step, policy, now, limit, launches);
  return launches;
}

void RecordProgress(step_run& step, int64_t slot_index, uint64_t attempt_id,
                    const generated_text& so_far) {
  attempt* running =
      FindAttempt(step.slots[static_cast<size_t>(slot_index)], attempt_id);
  if (running != nullptr) running->so_far = so_far;
}

completion_result RecordComplete(step_run& step, uint64_t attempt_id,
                                 const sample& result, time_point now) {
  completion_result outcome;
  slot& item = step.slots[static_cast<size_t>(result.slot)];
  const attempt* winner = FindAttempt(item, attempt_id);
  if (item.state != slot_state::kRunning || winner == nullptr) return outcome;
  outcome.is_accepted = true;
  step.tokens_generated += result.generated.token_count;
  const double duration = RunningMillis(item.attempts.front(), now);
  step.durations.insert(
      std::upper_bound(step.durations.begin(), step.durations.end(), duration),
      duration);
  for (const attempt& other : item.attempts) {
    step.hedge_tokens_reserved -= other.reserved_tokens;
    if (other.id == attempt_id) continue;
    outcome.cancel_attempts.push_back(other.id);
    step.hedge_tokens += WastedTokens(other, *winner);
  }
  item.attempts.clear();
  item.state = slot_state::kComplete;
  item.result = result;
  item.is_replicated = false;
  return outcome;
}

void RecordFailed(step_run& step, int64_t slot_index, uint64_t attempt_id,
                  time_point now, milliseconds pause) {
  const auto index = static_cast<size_t>(slot_index);
  slot& item = step.slots[index];
  if (item.state != slot_state::kRunning) return;
  RemoveAttempt(step, item, attempt_id);
  if (!item.attempts.empty()) return;
  SetWaiting(step, index);
  item.not_before = now + pause;
}

void RecordReplicated(step_run& step, int64_t slot_index) {
  step.slots[static_cast<size_t>(slot_index)].is_replicated = true;
}

void RestoreSample(step_run& step, const sample& result) {
  if (result.slot < 0 ||
      result.slot >= static_cast<int64_t>(step.slots.size())) {
    return;
  }
  slot& item = step.slots[static_cast<size_t>(result.slot)];
  if (item.state != slot_state::kWaiting) return;
  item.state = slot_state::kComplete;
  item.result = result;
  item.is_replicated = false;
}

void MarkDelivered(step_run& step, const std::vector<int64_t>& slots) {
  for (const int64_t index : slots) {
    if (index < 0 || index >= static_cast<int64_t>(step.slots.size())) continue;
    step.slots[static_cast<size_t>(index)].state = slot_state::kDelivered;
  }
}

formed_batch FormBatch(step_run& step, int64_t trainer_version, int64_t bound,
                       size_t limit) {
  formed_batch batch;
  for (size_t i = 0; i < step.slots.size(); ++i) {
    const slot& item = step.slots[i];
    if (item.state != slot_state::kComplete ||
        !IsStale(item.result, trainer_version, bound)) {
      continue;
    }
    batch.discarded.push_back(static_cast<int64_t>(i));
    ++step.discarded;
    SetWaiting(step, i);
  }
  const auto group = static_cast<size_t>(GroupSize(step));
  for (size_t first = 0; first < step.slots.size(); first += group) {
    if (!batch.slots.empty() && batch.slots.size() + group > limit) break;
    if (!IsGroupReady(step, first)) continue;
    for (size_t i = first; i < first + group; ++i) {
      batch.slots.push_back(static_cast<int64_t>(i));
    }
  }
  return batch;
}

bool IsAllDelivered(const step_run& step) {
  return std::all_of(
      step.slots.begin(), step.slots.end(),
      [](const slot& item) { return item.state == slot_state::kDelivered; });
}

bool IsPastDeadline(const step_run& step, time_point now) {
  return step.spec.deadline_ms > 0 &&
         now - step.opened_at >= milliseconds(step.spec.deadline_ms);
}

}  // namespace hickorywood::rollout
