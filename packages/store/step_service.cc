#include "store/step_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <optional>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "group/leader_calls.h"

namespace hickorywood::store {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;
using group::Done;
using group::Malformed;
using peering::call_outcome;
using peering::envelope;

constexpr milliseconds kMaintenancePeriod{500};
// Period of the commands that remove old steps. Each command costs a disk sync.
constexpr std::chrono::seconds kStepRemovalPeriod{10};
// Maximum size of the outputs in one page of results. Further results are in
// the next page.
constexpr uint64_t kMaxPageBytes = 1000 * 1000;
// The same for a page that is read from disk. A log entry contains results of
// several steps, so a few times this size is decoded, which takes a small
// instance some 50 ms.
constexpr uint64_t kMaxDiskPageBytes = 150 * 1000;
constexpr milliseconds kMaxWait{5000};
// Time for which the memory of all tasks is not summed up again.
constexpr milliseconds kTaskMemoryLifetime{500};

envelope NoMemory() {
  return {call_outcome::kNoMemory, "", "the memory for steps is in use", ""};
}

envelope NoSuch(const std::string& what) {
  return {call_outcome::kNotFound, "", "no such " + what, ""};
}

// Outputs of `step` in an encoded add_results_command, by task.
std::optional<std::map<uint32_t, std::string>> OutputsOf(
    const std::string& step, const std::string& payload) {
  auto command = core::DecodeBinary<add_results_command>(payload);
  if (!command) return std::nullopt;
  std::map<uint32_t, std::string> outputs;
  for (step_results& results : command->steps) {
    if (results.step != step) continue;
    for (steps::task_result& item : results.results) {
      outputs.try_emplace(item.task, std::move(item.output));
    }
  }
  return outputs;
}

}  // namespace

step_service::step_service(asio::io_context& loop,
                           const core::runtime_clock& clock,
                           group::group_host& group, const step_state& state,
                           step_service_options options)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      options_(options),
      task_memory_{0, options.task_budget} {}

void step_service::Start() {
  asio::co_spawn(loop_, RunMaintenanceLoop(), asio::detached);
}

void step_service::OnChange() {
  group_.SetLeaving(state_.Retired());
  changed_.Notify();
}

envelope step_service::NotLeader() const { return group::NotLeader(group_); }

awaitable<envelope> step_service::Handle(std::string method,
                                         std::string payload) {
  if (!group_.IsServing()) co_return NotLeader();
  if (method == peering::kLeaderMethod) co_return Done();
  if (method == peering::kOpenStepMethod) {
    co_return co_await OpenStep(std::move(payload));
  }
  if (method == peering::kStageTasksMethod) {
    co_return co_await StageTasks(std::move(payload));
  }
  if (method == peering::kOpenStagedStepMethod) {
    co_return co_await OpenStagedStep(std::move(payload));
  }
  if (method == peering::kReadResultsMethod) {
    co_return co_await ReadResults(std::move(payload));
  }
  if (method == peering::kReadTaskMethod) {
    co_return co_await ReadTask(std::move(payload));
  }
  if (method == peering::kEndStepMethod) {
    co_return co_await EndStep(std::move(payload));
  }
  if (method == peering::kRetireMethod) {
    co_return co_await Retire(std::move(payload));
  }
  if (method == peering::kRetirementMethod) {
    co_return co_await ReadRetirement(std::move(payload));
  }
  co_return envelope{call_outcome::kRefused, "", "no method '" + method + "'",
                     ""};
}

const steps::step* step_service::FindStep(const std::string& id,
                                          const std::string& customer) const {
  const steps::step* step = state_.Find(id);
  const bool is_visible = step != nullptr && steps::MayAccess(*step, customer);
  return is_visible ? step : nullptr;
}

std::optional<envelope> step_service::FindOpened(
    const steps::submission& input) const {
  const steps::step* opened = state_.Find(input.id);
  if (opened == nullptr) return std::nullopt;
  if (steps::MayAccess(*opened, input.customer)) return Done();
  return envelope{call_outcome::kConflict, "",
                  "another customer's step has this id", ""};
}

bool step_service::HasMemoryFor(size_t bytes, task_source source) {
  const time_point now = clock_.Now();
  if (now >= task_memory_until_) {
    task_memory_until_ = now + kTaskMemoryLifetime;
    task_memory_.used = state_.TaskBytes();
  }
  const bool may_store = MayStore(task_memory_, bytes, source);
  if (may_store) task_memory_.used += bytes;
  return may_store;
}

awaitable<envelope> step_service::OpenStep(std::string payload) {
  {
    const auto input = core::DecodeBinary<steps::submission>(payload);
    if (!input) co_return Malformed();
    if (const auto opened = FindOpened(*input)) co_return *opened;
  }
  if (!HasMemoryFor(payload.size(), task_source::kSubmission)) {
    co_return NoMemory();
  }
  co_return co_await CommitCall(kOpenStepCommand, std::move(payload));
}

awaitable<envelope> step_service::StageTasks(std::string payload) {
  if (!HasMemoryFor(payload.size(), task_source::kPart)) co_return NoMemory();
  co_return co_await CommitCall(kStageTasksCommand, std::move(payload));
}

awaitable<envelope> step_service::OpenStagedStep(std::string payload) {
  const auto input = core::DecodeBinary<steps::staged_submission>(payload);
  if (!input) co_return Malformed();
  if (const auto opened = FindOpened(input->input)) co_return *opened;
  const step_state::staged_tasks* staged = state_.FindStaged(input->staged);
  if (staged == nullptr || !steps::IsComplete(staged->stream, input->bytes)) {
    co_return envelope{call_outcome::kUnavailable, "",
                       "parts of the submission are missing", ""};
  }
  envelope answer =
      co_await CommitCall(kOpenStagedStepCommand, std::move(payload));
  // The tasks may have been removed before the command was applied.
  const bool is_opened = state_.Find(input->input.id) != nullptr;
  if (answer.outcome == call_outcome::kDone && !is_opened) {
    answer.outcome = call_outcome::kUnavailable;
  }
  co_return answer;
}

awaitable<envelope> step_service::ReadResults(std::string payload) {
  const auto input = core::DecodeBinary<peering::read_results_request>(payload);
  if (!input) co_return Malformed();
  const milliseconds wait = std::min(milliseconds(input->wait_ms), kMaxWait);
  const time_point until = clock_.Now() + wait;
  for (;;) {
    if (!group_.IsServing()) co_return NotLeader();
    const steps::step* step = FindStep(input->step, input->customer);
    if (step == nullptr) co_return NoSuch("step");
    const bool has_all =
        step->is_ended || step->results.size() == step->input.tasks.size();
    const bool has_new_results = step->results.size() > input->after;
    if (has_new_results || has_all || clock_.Now() >= until) {
      const bool is_on_disk = input->after < step->results.size() &&
                              step->results[input->after].bytes_on_disk > 0;
      const uint64_t bytes = std::min(
          input->page_bytes, is_on_disk ? kMaxDiskPageBytes : kMaxPageBytes);
      steps::result_page page = steps::ReadPage(*step, input->after, bytes);
      if (!ReadOutputs(input->step, page)) {
        LogEvent(event_id::kResultsNotRead,
                 {{"step", input->step}, {"reason", core::LastReason().text}});
        co_return envelope{call_outcome::kUnavailable, "",
                           "results can't be read from disk", ""};
      }
      co_return Done(core::EncodeBinary(page));
    }
    co_await changed_.WaitUntil(until);
  }
}

// Reads the outputs that are only on disk. The results of one log entry are
// adjacent in a page, so each entry is read once.
bool step_service::ReadOutputs(const std::string& step,
                               steps::result_page& page) {
  uint64_t index = 0;
  std::map<uint32_t, std::string> outputs;  // of the entry at `index`, by task
  for (steps::task_result& item : page.results) {
    if (item.bytes_on_disk == 0) continue;
    if (item.index != index) {
      const auto command = group_.ReadCommand(item.index);
      if (!command) return false;
      auto found = OutputsOf(step, command->payload);
      if (!found) return false;
      outputs = std::move(*found);
      index = item.index;
    }
    if (!steps::RestoreOutput(item, std::move(outputs[item.task]))) {
      return false;
    }
  }
  return true;
}

awaitable<envelope> step_service::ReadTask(std::string payload) {
  const auto input = core::DecodeBinary<peering::read_task_request>(payload);
  if (!input) co_return Malformed();
  const steps::step* step = FindStep(input->step, input->customer);
  if (step == nullptr) co_return NoSuch("step");
  for (uint32_t i = 0; i < step->input.tasks.size(); ++i) {
    const steps::task& task = step->input.tasks[i];
    if (task.id != input->task) continue;
    LogEvent(event_id::kTaskBodyRead,
             {{"step", input->step},
              {"task", input->task},
              {"has_result", steps::HasResult(*step, i) ? "true" : "false"},
              {"is_ended", step->is_ended ? "true" : "false"},
              {"bytes",
               std::to_string(task.request ? task.request->body.size() : 0)}});
    if (!task.request) co_return NoSuch("request body: it was discarded");
    co_return Done(task.request->body);
  }
  co_return NoSuch("task");
}

awaitable<envelope> step_service::EndStep(std::string payload) {
  const auto input = core::DecodeBinary<peering::end_step_request>(payload);
  if (!input) co_return Malformed();
  const steps::step* step = FindStep(input->name, input->customer);
  if (step == nullptr) co_return NoSuch("step");
  if (step->is_ended) co_return Done();
  const size_t results = step->results.size();
  end_step_command command;
  command.step = input->name;
  envelope answer =
      co_await CommitCall(kEndStepCommand, core::EncodeBinary(command));
  if (answer.outcome == call_outcome::kDone) {
    LogEvent(event_id::kStepEnded,
             {{"step", input->name}, {"results", std::to_string(results)}});
  }
  co_return answer;
}

// --- Retirement of stores.

// Returns the number of stores that are members of the group or wait to join
// it, without `node` and the stores that are being retired.
size_t step_service::StoresWithout(const std::string& node) const {
  std::set<std::string> nodes = group_.Applicants();
  for (const std::string& member : group_.Members()) nodes.insert(member);
  for (const std::string& leaving : state_.Retired()) nodes.erase(leaving);
  nodes.erase(node);
  return nodes.size();
}

awaitable<envelope> step_service::Retire(std::string payload) {
  const auto input = core::DecodeBinary<peering::named_item>(payload);
  if (!input) co_return Malformed();
  if (state_.Retired().count(input->name) != 0) co_return Done();
  if (StoresWithout(input->name) < options_.min_stores) {
    co_return envelope{call_outcome::kConflict, "",
                       "too few stores would be left", ""};
  }
  retire_command command;
  command.node = input->name;
  co_return co_await CommitCall(kRetireCommand, core::EncodeBinary(command));
}

// A store is retired when it is not a member of the group and no acknowledged
// data depends on a single disk.
awaitable<envelope> step_service::ReadRetirement(std::string payload) {
  const auto input = core::DecodeBinary<peering::named_item>(payload);
  if (!input) co_return Malformed();
  if (state_.Retired().count(input->name) == 0) co_return NoSuch("retirement");
  const std::vector<std::string> members = group_.Members();
  const bool is_member =
      std::find(members.begin(), members.end(), input->name) != members.end();
  const peering::flag_answer answer{!is_member && group_.HasEnoughVoters()};
  co_return Done(core::EncodeBinary(answer));
}

// --- Periodic maintenance.

awaitable<envelope> step_service::CommitCall(std::string name,
                                             std::string payload) {
  return group::CommitCall(group_, std::move(name), std::move(payload));
}

awaitable<void> step_service::RunMaintenanceLoop() {
  time_point next_removal_at = clock_.Now() + kStepRemovalPeriod;
  for (;;) {
    co_await net::Sleep(kMaintenancePeriod);
    if (!group_.IsServing()) continue;
    // A leader that is being retired must transfer leadership before it can
    // leave the group.
    if (state_.Retired().count(group_.OwnAddress()) != 0) {
      group_.TransferLeadership();
    }
    if (clock_.Now() < next_removal_at) continue;
    next_removal_at = clock_.Now() + kStepRemovalPeriod;
    co_await RemoveOldSteps();
  }
}

awaitable<void> step_service::RemoveOldSteps() {
  const int64_t now_ms = core::ToUnixMillis(clock_.WallNow());
  remove_steps_command command;
  command.ended_before_ms = now_ms - options_.step_retention.count();
  command.opened_before_ms = now_ms - options_.open_step_retention.count();
  const bool has_old =
      std::any_of(state_.Steps().begin(), state_.Steps().end(),
                  [&command](const auto& item) {
                    return item.second.opened_ms < command.ended_before_ms;
                  });
  if (!has_old && !state_.HasStaged()) co_return;
  co_await group_.Commit(kRemoveStepsCommand, core::EncodeBinary(command));
}

}  // namespace hickorywood::store
