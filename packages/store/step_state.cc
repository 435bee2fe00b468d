#include "store/step_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/binary.h"

namespace hickorywood::store {
namespace {

// Time after its latest part for which an incomplete submission is kept. The
// parts are sent one after the other.
constexpr std::chrono::milliseconds kStagedLifetime{30000};

// The following functions ignore a payload that can't be decoded.

void OpenStep(step_state::content& state, const group::hosted_command& input) {
  auto submission = core::DecodeBinary<steps::submission>(input.payload);
  if (submission) {
    steps::OpenStep(state.steps, std::move(*submission), input.now_ms,
                    input.index);
  }
}

// Removes the tasks of submissions whose sender has stopped.
void RemoveOldStaged(step_state::content& state, int64_t now_ms) {
  std::erase_if(state.staged, [now_ms](const auto& item) {
    return now_ms - item.second.last_part_ms > kStagedLifetime.count();
  });
}

// A repeated part is ignored.
void StageTasks(step_state::content& state,
                const group::hosted_command& input) {
  RemoveOldStaged(state, input.now_ms);
  const auto part = core::DecodeBinary<steps::staged_part>(input.payload);
  if (!part) return;
  const auto found = state.staged.find(part->submission);
  const bool is_first = found == state.staged.end();
  const uint64_t received = is_first ? 0 : found->second.stream.received;
  if (part->offset != received) return;
  step_state::staged_tasks& staged = state.staged[part->submission];
  if (is_first) staged.index = input.index;
  staged.last_part_ms = input.now_ms;
  steps::AppendBytes(staged.stream, part->bytes);
}

void OpenStagedStep(step_state::content& state,
                    const group::hosted_command& input) {
  auto opening = core::DecodeBinary<steps::staged_submission>(input.payload);
  if (!opening) return;
  const auto found = state.staged.find(opening->staged);
  if (found == state.staged.end()) return;
  step_state::staged_tasks staged = std::move(found->second);
  state.staged.erase(found);
  if (!steps::IsComplete(staged.stream, opening->bytes)) return;
  opening->input.tasks = std::move(staged.stream.tasks);
  // The log is kept from the first part on.
  steps::OpenStep(state.steps, std::move(opening->input), input.now_ms,
                  staged.index);
}

void AddResults(step_state::content& state,
                const group::hosted_command& command) {
  auto input = core::DecodeBinary<add_results_command>(command.payload);
  if (!input) return;
  for (step_results& item : input->steps) {
    steps::RecordFailures(state.steps, item.step, item.failures);
    steps::AddResults(state.steps, item.step, std::move(item.results),
                      command.index);
  }
}

void AddProgress(step_state::content& state, const std::string& payload) {
  auto input = core::DecodeBinary<add_progress_command>(payload);
  if (!input) return;
  for (step_progress& item : input->steps) {
    steps::AddProgress(state.steps, item.step, std::move(item.tasks));
  }
}

void EndStep(step_state::content& state, const std::string& payload) {
  const auto input = core::DecodeBinary<end_step_command>(payload);
  if (input) steps::EndStep(state.steps, input->step);
}

void RemoveSteps(step_state::content& state, const std::string& payload) {
  const auto input = core::DecodeBinary<remove_steps_command>(payload);
  if (!input) return;
  steps::RemoveSteps(state.steps, input->ended_before_ms,
                     input->opened_before_ms);
}

void Retire(step_state::content& state, const std::string& payload) {
  const auto input = core::DecodeBinary<retire_command>(payload);
  if (input) state.retired.insert(input->node);
}

}  // namespace

void step_state::Apply(const group::hosted_command& input) {
  if (input.name == kOpenStepCommand) {
    OpenStep(content_, input);
  } else if (input.name == kStageTasksCommand) {
    StageTasks(content_, input);
  } else if (input.name == kOpenStagedStepCommand) {
    OpenStagedStep(content_, input);
  } else if (input.name == kAddResultsCommand) {
    AddResults(content_, input);
  } else if (input.name == kAddProgressCommand) {
    AddProgress(content_, input.payload);
  } else if (input.name == kEndStepCommand) {
    EndStep(content_, input.payload);
    steps::EvictOldOutputs(content_.steps, output_budget_);
  } else if (input.name == kRemoveStepsCommand) {
    RemoveSteps(content_, input.payload);
    RemoveOldStaged(content_, input.now_ms);
  } else if (input.name == kRetireCommand) {
    Retire(content_, input.payload);
  }
}

bool step_state::Restore(const std::string& data) {
  content_ = content{};
  if (data.empty()) return true;
  auto saved = core::DecodeBinary<content>(data);
  if (!saved) return false;
  content_ = std::move(*saved);
  return true;
}

consensus::saved_state step_state::Save(uint64_t applied) const {
  content saved;
  saved.retired = content_.retired;
  uint64_t index = applied;
  for (const auto& [id, step] : content_.steps) {
    // The `opened_index` of a step from a snapshot of the complete state is 0,
    // since the step has no log entry. The log is not truncated until that step
    // is removed.
    const uint64_t before = step.opened_index == 0 ? 0 : step.opened_index - 1;
    index = std::min(index, before);
  }
  for (const auto& [id, staged] : content_.staged) {
    index = std::min(index, staged.index - 1);
  }
  return {index, core::EncodeBinary(saved)};
}

const steps::step* step_state::Find(const std::string& id) const {
  const auto found = content_.steps.find(id);
  return found == content_.steps.end() ? nullptr : &found->second;
}

size_t step_state::TaskBytes() const {
  size_t bytes = 0;
  const auto add = [&bytes](const std::vector<steps::task>& tasks) {
    for (const steps::task& item : tasks) bytes += steps::MemoryOf(item);
  };
  for (const auto& [id, step] : content_.steps) add(step.input.tasks);
  for (const auto& [id, staged] : content_.staged) {
    add(staged.stream.tasks);
    bytes += staged.stream.pending.capacity();
  }
  return bytes;
}

const step_state::staged_tasks* step_state::FindStaged(
    const std::string& id) const {
  const auto found = content_.staged.find(id);
  return found == content_.staged.end() ? nullptr : &found->second;
}

}  // namespace hickorywood::store
