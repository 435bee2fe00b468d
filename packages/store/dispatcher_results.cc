// Commits results and progress of tasks, and ends runs that are expired, moved
// or cancelled.

#include <algorithm>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "net/spawn.h"
#include "store/dispatch_limits.h"
#include "store/dispatcher.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::time_point;

std::string Text(uint64_t number) { return std::to_string(number); }

}  // namespace

// --- Scores and results of tasks.

// The reward request is sent only now, after the last event of the text. A
// score of an incomplete text would not belong to the text in the result.
void dispatcher::HandleCompleteText(const task_key& key) {
  tracked_task* const task = FindTask(key);
  const steps::task_request* const input = RequestOf(key);
  if (task == nullptr || input == nullptr) return;
  task->text.is_whole = true;
  if (!input->HasReward()) {
    Finish(key, true);
    return;
  }
  task->stage = task_stage::kScoring;
  task->completed_at = clock_.Now();
  rewards_.Add({key, input->reward, state_.Find(key.step)->input.customer,
                steps_.at(key.step).opened_at, task->failures.reward_calls});
  ScheduleDispatch();
}

void dispatcher::OnScored(const task_key& key, reward_outcome how,
                          const std::string& score) {
  Finish(key, how == reward_outcome::kScored, score);
  ScheduleDispatch();
}

size_t dispatcher::OpenInGroup(const task_key& key) {
  const steps::step* step = state_.Find(key.step);
  const auto found = steps_.find(key.step);
  if (step == nullptr || found == steps_.end()) return 0;
  return found->second.open_by_group[step->input.tasks.at(key.task).group];
}

void dispatcher::Finish(const task_key& key, bool is_complete,
                        std::string score) {
  tracked_task* const task = FindTask(key);
  if (task == nullptr || task->stage == task_stage::kDone) return;
  task->stage = task_stage::kDone;
  rewards_.CancelTask(key);
  if (const steps::step* step = state_.Find(key.step)) {
    --steps_.at(key.step).open_by_group[step->input.tasks.at(key.task).group];
  }
  steps::task_result result;
  result.task = key.task;
  result.is_complete = is_complete;
  result.score = std::move(score);
  if (is_complete) {
    result.output = steps::JoinText(task->text);
    result.versions = task->text.versions;
  } else {
    LogEvent(event_id::kTaskFailed,
             {{"step", key.step},
              {"task", Text(key.task)},
              {"failures", std::to_string(task->failures.runs)}});
  }
  task->text = steps::generated_text{};
  uncommitted_results_.push_back({key.step, {std::move(result)}, {}});
  has_uncommitted_results_.Notify();
}

void dispatcher::CommitFailures(const task_key& key) {
  const tracked_task* const task = FindTask(key);
  if (task == nullptr) return;
  steps::failed_attempts failures = task->failures;
  failures.task = key.task;
  uncommitted_results_.push_back({key.step, {}, {failures}});
  has_uncommitted_results_.Notify();
}

// Commits all results that were queued during the previous commit in one batch,
// so that the rate of disk syncs does not grow with the rate of results.
awaitable<void> dispatcher::RunResultCommitLoop() {
  for (;;) {
    if (uncommitted_results_.empty()) {
      co_await has_uncommitted_results_.WaitUntil(time_point::max());
      continue;
    }
    add_results_command batch;
    batch.steps = std::move(uncommitted_results_);
    uncommitted_results_.clear();
    const auto result =
        co_await group_.Commit(kAddResultsCommand, core::EncodeBinary(batch));
    if (result.is_committed) continue;
    LogEvent(event_id::kResultsNotCommitted,
             {{"results", Text(batch.steps.size())},
              {"proposed", result.was_proposed ? "true" : "false"}});
    // The lease may be renewed late for a moment while this replica still
    // leads.
    if (is_leading_ && !result.was_proposed) {
      uncommitted_results_.insert(uncommitted_results_.begin(),
                                  batch.steps.begin(), batch.steps.end());
      co_await net::Sleep(kRetryPause);
    }
  }
}

// The text of a running task is committed when it has enough new events. A
// complete text is committed alone only if its score takes long. Most scores
// arrive earlier, and the text is committed with its score in one command.
bool dispatcher::NeedsProgressCommit(const tracked_task& task) const {
  if (task.stage == task_stage::kRunning) {
    return task.text.events >= task.committed_events + kMinEventsToCommit;
  }
  return task.stage == task_stage::kScoring &&
         !task.is_complete_text_committed &&
         clock_.Now() - task.completed_at >= kScoringCommitDelay;
}

// Collects the text that tasks have gained since their last commit, for the
// tasks that need a commit.
add_progress_command dispatcher::CollectProgress() {
  add_progress_command command;
  for (auto& [id, tracked] : steps_) {
    step_progress progress;
    progress.step = id;
    for (uint32_t i = 0; i < tracked.tasks.size(); ++i) {
      tracked_task& task = tracked.tasks[i];
      if (!NeedsProgressCommit(task)) continue;
      const uint64_t from = task.committed_events;
      steps::task_progress new_progress;
      new_progress.task = i;
      new_progress.after = from;
      new_progress.text.events = task.text.events;
      new_progress.text.versions = task.text.versions;
      new_progress.text.is_whole = task.text.is_whole;
      new_progress.text.data.assign(
          task.text.data.begin() + static_cast<ptrdiff_t>(from),
          task.text.data.end());
      task.committed_events = task.text.events;
      task.is_complete_text_committed = task.text.is_whole;
      progress.tasks.push_back(std::move(new_progress));
    }
    if (!progress.tasks.empty()) command.steps.push_back(std::move(progress));
  }
  return command;
}

// Commits the text of long tasks periodically, so that a new leader has to
// generate about a second of it again and not all. A failed commit needs no
// retry: it fails when leadership is lost, and the new leader has the text of
// the earlier commits.
awaitable<void> dispatcher::RunProgressCommitLoop() {
  for (;;) {
    co_await net::Sleep(kProgressCommitPeriod);
    const bool has_work = !runs_.empty() || !rewards_.IsIdle();
    if (!is_leading_ || !has_work || !group_.IsServing()) continue;
    const add_progress_command command = CollectProgress();
    if (command.steps.empty()) continue;
    co_await group_.Commit(kAddProgressCommand, core::EncodeBinary(command));
  }
}

// --- Periodic checks and cancellation of runs.

// Updates the moving average of the number of streams of each model.
void dispatcher::UpdateDemands() {
  const time_point now = clock_.Now();
  const std::chrono::duration<double> passed = now - demands_at_;
  const double share = std::min(1.0, passed / kDemandSmoothingTime);
  demands_at_ = now;
  std::map<std::string, double> streams;
  for (const auto& item : runs_) ++streams[item.second->model];
  for (const auto& item : streams) demands_.try_emplace(item.first, 0);
  for (auto& [model, mean] : demands_) {
    const auto found = streams.find(model);
    const double current = found == streams.end() ? 0 : found->second;
    mean += share * (current - mean);
  }
}

void dispatcher::UpdatePeaks() {
  const time_point now = clock_.Now();
  std::map<std::string, int64_t> streams;
  for (const auto& item : runs_) ++streams[item.second->engine.service];
  UpdatePeaks(peaks_, streams, kPeakWindow, now);
  std::map<std::string, int64_t> tasks;
  for (const auto& [id, tracked] : steps_) {
    const steps::step* const step = state_.Find(id);
    if (step == nullptr) continue;
    tasks[step->input.model] +=
        std::count_if(tracked.tasks.begin(), tracked.tasks.end(),
                      [](const tracked_task& task) {
                        return task.stage == task_stage::kWaiting ||
                               task.stage == task_stage::kRunning;
                      });
  }
  UpdatePeaks(task_peaks_, tasks, kTaskPeakWindow, now);
}

void dispatcher::UpdatePeaks(std::map<std::string, peak_count>& peaks,
                             const std::map<std::string, int64_t>& counts,
                             std::chrono::seconds window, time_point now) {
  for (const auto& item : counts) peaks.try_emplace(item.first);
  for (auto& [key, peak] : peaks) {
    const auto found = counts.find(key);
    const int64_t current = found == counts.end() ? 0 : found->second;
    const bool is_over = now - peak.at > window;
    if (current < peak.count && !is_over) continue;
    peak = {current, now};
  }
}

std::vector<fleet::service_demand> dispatcher::ServiceDemands() const {
  if (!is_leading_) return {};
  std::map<std::string, fleet::service_demand> demands;
  for (const auto& [service, peak] : peaks_) {
    demands[service].peak_running = peak.count;
  }
  for (const auto& item : runs_) ++demands[item.second->engine.service].running;
  const time_point now = clock_.Now();
  for (const auto& [id, tracked] : steps_) {
    if (tracked.services.empty()) continue;
    fleet::service_demand& demand = demands[tracked.services.front()];
    for (const tracked_task& task : tracked.tasks) {
      if (task.stage != task_stage::kWaiting) continue;
      ++demand.waiting;
      const bool is_new = task.text.events == 0 && task.moves == 0;
      if (!is_new) continue;
      const auto waited =
          std::chrono::duration_cast<milliseconds>(now - tracked.opened_at);
      demand.longest_wait_ms =
          std::max<int64_t>(demand.longest_wait_ms, waited.count());
      const int64_t due = tracked.due.count();
      const bool is_nearest =
          demand.nearest_due_ms == 0 || due < demand.nearest_due_ms;
      if (due > 0 && is_nearest) demand.nearest_due_ms = due;
    }
  }
  std::vector<fleet::service_demand> list;
  for (auto& [service, demand] : demands) {
    const fleet::service* terms = fleet::FindService(view_.config, service);
    if (terms == nullptr || !terms->has_scaling) continue;
    demand.service = service;
    list.push_back(std::move(demand));
  }
  return list;
}

std::vector<fleet::model_demand> dispatcher::Demands() const {
  std::vector<fleet::model_demand> list;
  for (const auto& [model, streams] : demands_) {
    const auto peak = task_peaks_.find(model);
    list.push_back(
        {model, streams, peak == task_peaks_.end() ? 0 : peak->second.count});
  }
  return list;
}

void dispatcher::FailExpiredTasks() {
  const time_point now = clock_.Now();
  for (auto& [id, tracked] : steps_) {
    const milliseconds lifetime = TaskLifetimeOf(id);
    if (lifetime <= milliseconds(0)) continue;
    if (now - tracked.opened_at < lifetime + kTaskLifetimeSlack) continue;
    for (uint32_t i = 0; i < tracked.tasks.size(); ++i) {
      if (tracked.tasks[i].stage == task_stage::kDone) continue;
      const auto running = runs_.find({id, i});
      if (running != runs_.end()) {
        const std::shared_ptr<run> ending = running->second;
        StopRun(*ending);
        RemoveRun(*ending);
      }
      Finish({id, i}, false);
    }
  }
}

// Moves runs away from engines that are clearly slower than others with free
// slots. Otherwise one slow engine delays every group that has a task on it.
void dispatcher::MoveStragglers() {
  std::vector<std::shared_ptr<run>> moving;
  std::map<std::string, const engine_pool*> by_step;
  for (const auto& [key, item] : runs_) {
    if (!MayMove(*item) || UsesPrediction(item->engine.service)) continue;
    const auto step = state_.Steps().find(key.step);
    if (step == state_.Steps().end()) continue;
    auto pool = by_step.find(key.step);
    if (pool == by_step.end()) {
      const engine_pool& engines =
          CollectEngines({item->engine.service, step->second.input.model,
                          step->second.input.minimum_version});
      pool = by_step.emplace(key.step, &engines).first;
    }
    const std::vector<steps::engine_load>& loads = pool->second->loads;
    const std::string& incarnation = item->engine.incarnation;
    const auto own = std::find_if(loads.begin(), loads.end(),
                                  [&incarnation](const auto& load) {
                                    return load.incarnation == incarnation;
                                  });
    if (own == loads.end()) continue;
    if (steps::IsMoveWorthwhile(*own, loads)) moving.push_back(item);
  }
  for (const auto& item : moving) MoveRun(item);
}

bool dispatcher::MayMove(const run& active) {
  const tracked_task* const task = FindTask(active.key);
  return task != nullptr && task->moves < kMaxMoves &&
         clock_.Now() - active.started_at >= kMinRunTimeBeforeMove;
}

void dispatcher::MoveRun(const std::shared_ptr<run>& moved) {
  if (tracked_task* const task = FindTask(moved->key)) {
    ++task->moves;
    task->left_engine = moved->engine.incarnation;
  }
  StopRun(*moved);
  EndRun(moved, run_outcome::kMoved);
}

void dispatcher::CancelRuns(const std::string& step) {
  std::vector<std::shared_ptr<run>> ending;
  for (const auto& [key, item] : runs_) {
    if (key.step == step) ending.push_back(item);
  }
  for (const auto& item : ending) {
    StopRun(*item);
    RemoveRun(*item);
  }
}

void dispatcher::CancelAll() {
  rewards_.Suspend();
  const std::map<task_key, std::shared_ptr<run>> ending = runs_;
  for (const auto& [key, item] : ending) {
    if (tracked_task* const task = FindTask(key)) {
      task->stage = task_stage::kWaiting;
    }
    StopRun(*item);
    RemoveRun(*item);
  }
}

}  // namespace hickorywood::store
