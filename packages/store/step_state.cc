#include "store/step_state.h"

#include <algorithm>
#include <utility>

#include "core/binary.h"

namespace hickorywood::store {
namespace {

void OpenStep(step_state::content& held, const group::hosted_command& input) {
  auto submission = core::DecodeBinary<steps::submission>(input.payload);
  if (submission) {
    steps::OpenStep(held.steps, std::move(*submission), input.now_ms,
                    input.index);
  }
}

void AddResults(step_state::content& held,
                const group::hosted_command& command) {
  auto input = core::DecodeBinary<add_results_command>(command.payload);
  if (!input) return;
  for (step_results& item : input->steps) {
    steps::AddResults(held.steps, item.step, std::move(item.results),
                      command.index);
  }
}

void AddProgress(step_state::content& held, const std::string& payload) {
  auto input = core::DecodeBinary<add_progress_command>(payload);
  if (!input) return;
  for (step_progress& item : input->steps) {
    steps::AddProgress(held.steps, item.step, std::move(item.tasks));
  }
}

void EndStep(step_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<end_step_command>(payload);
  if (input) steps::EndStep(held.steps, input->step);
}

void ForgetSteps(step_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<forget_steps_command>(payload);
  if (!input) return;
  steps::ForgetSteps(held.steps, input->ended_before_ms,
                     input->opened_before_ms);
}

void Retire(step_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<retire_command>(payload);
  if (input) held.retired.insert(input->node);
}

}  // namespace

void step_state::Apply(const group::hosted_command& input) {
  if (input.name == kOpenStepCommand) {
    OpenStep(held_, input);
  } else if (input.name == kAddResultsCommand) {
    AddResults(held_, input);
  } else if (input.name == kAddProgressCommand) {
    AddProgress(held_, input.payload);
  } else if (input.name == kEndStepCommand) {
    EndStep(held_, input.payload);
    steps::LeaveOldOutputs(held_.steps, output_budget_);
  } else if (input.name == kForgetStepsCommand) {
    ForgetSteps(held_, input.payload);
  } else if (input.name == kRetireCommand) {
    Retire(held_, input.payload);
  }
}

bool step_state::Restore(const std::string& data) {
  held_ = content{};
  if (data.empty()) return true;
  auto saved = core::DecodeBinary<content>(data);
  if (!saved) return false;
  held_ = std::move(*saved);
  return true;
}

consensus::saved_state step_state::Save(uint64_t applied) const {
  content saved;
  saved.retired = held_.retired;
  uint64_t index = applied;
  for (const auto& [id, where] : held_.steps) {
    // A step from a snapshot of the complete state has no log entry. The log is
    // not truncated until that step is removed.
    const uint64_t before =
        where.opened_index == 0 ? 0 : where.opened_index - 1;
    index = std::min(index, before);
  }
  return {index, core::EncodeBinary(saved)};
}

const steps::step* step_state::Find(const std::string& id) const {
  const auto found = held_.steps.find(id);
  return found == held_.steps.end() ? nullptr : &found->second;
}

}  // namespace hickorywood::store
