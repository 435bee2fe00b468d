// Tracks the open steps, and chooses which task starts next and on which
// engine.

#include "store/dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <tuple>
#include <utility>

#include "core/events.h"
#include "net/spawn.h"
#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::time_point;

// Bits of a run id that count the runs of one term. They suffice for some
// thousand runs per second over weeks.
constexpr int kRunNumberBits = 40;

std::string Text(uint64_t number) { return std::to_string(number); }

}  // namespace

dispatcher::dispatcher(asio::io_context& loop, const core::runtime_clock& clock,
                       group::group_host& group, const step_state& state,
                       net::connection_pool& pool,
                       routing::request_sender& sender,
                       quarantine::crash_detector& crashes,
                       const fleet::protocol& wire, const fleet::view& view)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      pool_(pool),
      crashes_(crashes),
      wire_(wire),
      view_(view),
      own_runs_(loop, clock, pool, wire),
      rewards_(loop, clock, sender, wire, view) {
  own_runs_.on_report = [this](run_report report) {
    ApplyReport(std::move(report));
  };
  rewards_.on_finished = [this](const task_key& key, reward_outcome how,
                                const std::string& score) {
    OnScored(key, how, score);
  };
  rewards_.on_failed = [this](const task_key& key, int64_t failures) {
    tracked_task* const task = FindTask(key);
    if (task == nullptr) return;
    task->failures.reward_calls = failures;
    CommitFailures(key);
  };
  rewards_.open_in_group = [this](const task_key& key) {
    return OpenInGroup(key);
  };
}

void dispatcher::Start() {
  asio::co_spawn(loop_, RunDispatchLoop(), asio::detached);
  asio::co_spawn(loop_, RunResultCommitLoop(), asio::detached);
  asio::co_spawn(loop_, RunProgressCommitLoop(), asio::detached);
}

void dispatcher::OnLeadership(bool is_leader) {
  is_leading_ = is_leader;
  if (!is_leader) {
    CancelAll();
    runners_->runners.clear();
    for (auto& item : new_orders_) item.second.Notify();
    rewards_.CancelAll();
    newer_ = {};
    service_engines_.clear();
    pools_.clear();
    steps_.clear();
    uncommitted_results_.clear();
    demands_.clear();
    peaks_.clear();
    task_peaks_.clear();
    return;
  }
  latest_run_ = group_.Term() << kRunNumberBits;
  fleet::view_update complete;
  complete.lists = fleet::list_part::kAll;
  complete.weights_part = fleet::list_part::kAll;
  OnView(complete);
  SyncSteps();
}

void dispatcher::OnApplied() {
  if (!is_leading_) return;
  SyncSteps();
  ScheduleDispatch();
}

awaitable<void> dispatcher::RunDispatchLoop() {
  for (;;) {
    co_await step_added_.WaitUntil(clock_.Now() + (steps_.empty()
                                                       ? milliseconds(1000)
                                                       : kTaskCheckPeriod));
    if (!is_leading_) continue;
    if (!group_.IsServing()) {
      CancelAll();
      continue;
    }
    UpdateDemands();
    UpdatePeaks();
    FailExpiredTasks();
    own_runs_.EndStalled();
    HandleUnreachableRunners();
    if (MayOrder(newer_, view_)) {
      MoveStragglers();
      MoveByPrediction();
    }
    RemoveExpiredPrompts();
    DispatchTasks();
  }
}

// --- Tracking of open steps.

void dispatcher::SyncSteps() {
  for (const auto& [id, step] : state_.Steps()) {
    const bool is_open =
        !step.is_ended && step.results.size() < step.input.tasks.size();
    const bool is_known = steps_.count(id) != 0;
    if (is_open && !is_known) TrackStep(id, step);
    if (is_open) MergeFailures(step, steps_.at(id));
    if (!is_open && is_known) {
      CancelRuns(id);
      rewards_.CancelStep(id);
      steps_.erase(id);
    }
  }
  std::erase_if(steps_, [this](const auto& item) {
    const bool is_removed = state_.Steps().count(item.first) == 0;
    if (is_removed) rewards_.CancelStep(item.first);
    return is_removed;
  });
}

// A new leader tracks its steps before it has applied the last entries of its
// predecessor, so the failed attempts in these are merged when they are
// applied.
void dispatcher::MergeFailures(const steps::step& step, tracked_step& tracked) {
  for (const auto& [task, committed] : step.failures) {
    steps::failed_attempts& known = tracked.tasks[task].failures;
    known.runs = std::max(known.runs, committed.runs);
    known.reward_calls = std::max(known.reward_calls, committed.reward_calls);
  }
}

void dispatcher::TrackStep(const std::string& id, const steps::step& step) {
  tracked_step& tracked = steps_[id];
  const milliseconds age(std::max<int64_t>(
      0, core::ToUnixMillis(clock_.WallNow()) - step.opened_ms));
  tracked.opened_at = clock_.Now() - age;
  tracked.tasks.resize(step.input.tasks.size());
  for (const steps::task& task : step.input.tasks) {
    tracked.expected_tokens.push_back(
        task.request ? wire_.ExpectedTokens(*task.request) : 0);
    tracked.largest_tokens.push_back(
        task.request ? wire_.LargestOutput(*task.request) : 0);
  }
  IndexGroups(step, state_.Steps(), tracked);
  tracked.order = steps::OrderTasks(tracked.expected_tokens);
  for (const steps::task_result& result : step.results) {
    tracked.tasks[result.task].stage = task_stage::kDone;
  }
  for (const auto& [task, text] : step.progress) {
    tracked.tasks[task].text = text;
    tracked.tasks[task].committed_events = text.events;
    tracked.tasks[task].is_complete_text_committed = text.is_whole;
  }
  tracked.open_tasks = step.input.tasks.size() - step.results.size();
  for (uint32_t i = 0; i < tracked.tasks.size(); ++i) {
    if (tracked.tasks[i].stage == task_stage::kDone) continue;
    ++tracked.open_by_group[step.input.tasks[i].group];
  }
  LogEvent(event_id::kStepStarted,
           {{"step", id},
            {"number", std::to_string(step.input.number)},
            {"model", step.input.model},
            {"minimum_version", Text(step.input.minimum_version)},
            {"tasks", Text(step.input.tasks.size())},
            {"open", Text(tracked.open_tasks)},
            {"age_ms", std::to_string(age.count())}});
  for (const auto& [task, text] : step.progress) {
    const bool is_open = tracked.tasks[task].stage == task_stage::kWaiting;
    if (is_open && text.is_whole) HandleCompleteText({id, task});
  }
  step_added_.Notify();
}

std::vector<std::string> dispatcher::StepsByAge() const {
  std::vector<std::string> ids;
  ids.reserve(steps_.size());
  for (const auto& item : steps_) ids.push_back(item.first);
  std::sort(ids.begin(), ids.end(),
            [this](const std::string& left, const std::string& right) {
              return steps_.at(left).opened_at < steps_.at(right).opened_at;
            });
  return ids;
}

dispatcher::tracked_task* dispatcher::FindTask(const task_key& key) {
  const auto found = steps_.find(key.step);
  if (found == steps_.end()) return nullptr;
  return &found->second.tasks.at(key.task);
}

// Returns the engine request of a task, or nullptr if the request was
// discarded. Such a task is not run again.
const steps::task_request* dispatcher::RequestOf(const task_key& key) const {
  const steps::step* step = state_.Find(key.step);
  if (step == nullptr) return nullptr;
  const auto& request = step->input.tasks.at(key.task).request;
  return request ? &*request : nullptr;
}

const fleet::route* dispatcher::RouteOf(const std::string& step) {
  const auto found = steps_.find(step);
  if (found == steps_.end()) return nullptr;
  UpdateRoute(step, found->second);
  return found->second.route ? &*found->second.route : nullptr;
}

int64_t dispatcher::MaxAttemptsOf(const std::string& step) {
  const fleet::route* const route = RouteOf(step);
  if (route != nullptr) return route->max_attempts;
  const steps::step* const owner = state_.Find(step);
  return owner == nullptr ? 1 : owner->input.route.max_attempts;
}

milliseconds dispatcher::TaskLifetimeOf(const std::string& step) {
  const fleet::route* const route = RouteOf(step);
  if (route != nullptr) return milliseconds(route->task_lifetime_ms);
  const steps::step* const owner = state_.Find(step);
  return milliseconds(owner == nullptr ? 0
                                       : owner->input.route.task_lifetime_ms);
}

// --- Choice of the next tasks and their engines.

// Posts one pass for all handlers that the loop has ready now, because the end
// of a run, a commit and a change of an engine often occur together.
void dispatcher::ScheduleDispatch() {
  if (is_dispatch_scheduled_) return;
  is_dispatch_scheduled_ = true;
  asio::post(loop_, [this] {
    is_dispatch_scheduled_ = false;
    DispatchTasks();
  });
}

void dispatcher::DispatchTasks() {
  if (!is_leading_ || !group_.IsServing()) return;
  if (!may_use_routes() || !MayOrder(newer_, view_)) return;
  dispatch_pass pass;
  pass.starting = CountStartingRuns();
  std::vector<std::string> predicted;
  for (const std::string& id : StepsByAge()) {
    tracked_step& tracked = steps_.at(id);
    UpdateRoute(id, tracked);
    if (UsesPrediction(tracked)) {
      predicted.push_back(id);
    } else {
      DispatchStep(id, tracked, pass);
    }
  }
  if (!predicted.empty()) DispatchByUrgency(predicted, pass);
  rewards_.SendWaiting();
}

// Number of runs on this store whose engine has not sent a response head yet.
size_t dispatcher::CountStartingRuns() const {
  return static_cast<size_t>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& item) {
        return item.second->runner.empty() && !item.second->has_head;
      }));
}

void dispatcher::DispatchStep(const std::string& id, tracked_step& tracked,
                              dispatch_pass& pass) {
  if (state_.Find(id) == nullptr) return;
  for (const uint32_t i : tracked.order) {
    if (!MayStart({id, i}, tracked.tasks[i])) continue;
    // The remaining tasks start when engines respond to the runs that are
    // starting.
    if (!ChooseRunnerFor("", pass)) return;
    const auto item = FindCandidate({id, i});
    if (item && !TryStart(*item, pass)) return;
  }
}

// Whether the task waits and may be sent to an engine now.
bool dispatcher::MayStart(const task_key& key, tracked_task& task) {
  const bool is_due =
      task.stage == task_stage::kWaiting && task.not_before <= clock_.Now();
  if (!is_due) return false;
  UpdateSuspicion(key, task);
  return !IsPausedAfterCrash(key, task);
}

// Returns nothing if the request of the task was discarded, or the route of its
// step has ended.
std::optional<dispatcher::candidate> dispatcher::FindCandidate(
    const task_key& key) {
  candidate item;
  item.key = key;
  item.step = state_.Find(key.step);
  item.input = RequestOf(key);
  item.terms = RouteOf(key.step);
  if (item.input == nullptr || item.terms == nullptr) return std::nullopt;
  const tracked_step& tracked = steps_.at(key.step);
  const int64_t longest = tracked.expected_tokens[tracked.order.front()];
  item.is_long = steps::IsLong(tracked.expected_tokens[key.task], longest);
  return item;
}

dispatcher::engine_pool& dispatcher::FindPool(dispatch_pass& pass,
                                              const std::string& service,
                                              const steps::submission& input) {
  const pool_key key(service, input.model, input.minimum_version);
  auto pool = pass.pools.find(key);
  if (pool == pass.pools.end()) {
    pool = pass.pools.emplace(key, &CollectEngines(key)).first;
  }
  return *pool->second;
}

// Returns false if no engine has a free slot, or if no store can start a run.
// The following tasks need not be tried then.
bool dispatcher::TryStart(const candidate& item, dispatch_pass& pass) {
  const std::string service(
      fleet::DrawService(*item.terms, routing::DrawShare()));
  const steps::submission& input = item.step->input;
  engine_pool& engines = FindPool(pass, service, input);
  UpdateLoads(engines, item);
  const tracked_task& task = steps_.at(item.key.step).tasks[item.key.task];
  const int64_t max_streams = MaxStreamsFor(item, engines);
  auto choice =
      steps::ChooseEngine(engines.loads, max_streams, task.left_engine);
  // No other engine has a free slot, so allow the engine that the task left.
  if (!choice) choice = steps::ChooseEngine(engines.loads, max_streams);
  if (!choice && task.suspicion.crashes > 0) {
    AdmitExcluded(engines);
    choice = steps::ChooseEngine(engines.loads, max_streams);
  }
  if (!choice) return false;
  const fleet::endpoint& engine = *engines.endpoints[*choice];
  const std::optional<std::string> runner = ChooseRunnerFor(engine.zone, pass);
  if (!runner) return false;
  if (runner->empty()) ++pass.starting;
  StartRun(item, engine, *runner);
  return true;
}

std::string dispatcher::PromptOf(const candidate& item) {
  const steps::submission& input = item.step->input;
  return input.model + "/" + input.tasks[item.key.task].group;
}

void dispatcher::UpdateLoads(engine_pool& pool, const candidate& item) const {
  const std::string prompt = PromptOf(item);
  const tracked_task& task = steps_.at(item.key.step).tasks[item.key.task];
  for (size_t i = 0; i < pool.loads.size(); ++i) {
    const engine_record& record = *pool.records[i];
    pool.loads[i].running = record.running;
    pool.loads[i].has_prompt = record.groups.count(prompt) != 0;
    pool.loads[i].is_excluded =
        !quarantine::MayJoin(task.suspicion, record.suspects);
  }
}

void dispatcher::AdmitExcluded(engine_pool& pool) {
  for (steps::engine_load& load : pool.loads) load.is_excluded = false;
}

std::optional<std::string> dispatcher::ChooseRunnerFor(
    const std::string& zone, const dispatch_pass& pass) const {
  const bool is_own_limit_reached = runs_.size() >= kMaxOwnRuns;
  if (is_own_limit_reached) {
    auto other = ChooseRunner(*runners_, zone, clock_.Now());
    if (other) return other;
  }
  // No other store can take the run, so the leader runs it itself.
  if (pass.starting < kMaxStartingRuns) return "";
  return std::nullopt;
}

// Returns the number of streams on an engine below which the task may be
// started there.
int64_t dispatcher::MaxStreamsFor(const candidate& item,
                                  const engine_pool& pool) const {
  int64_t slots = 0;
  size_t engines = 0;
  for (const steps::engine_load& load : pool.loads) {
    slots = std::max(slots, load.slots);
    if (load.slots > 0) ++engines;
  }
  if (item.is_long) return slots;
  const tracked_step& tracked = steps_.at(item.key.step);
  const auto pace = paces_.find(item.step->input.model);
  if (pace == paces_.end()) return slots;
  steps::waiting_work work;
  for (const steps::engine_load& load : pool.loads) work.others += load.running;
  int64_t tokens = 0;
  const int64_t longest = tracked.expected_tokens[tracked.order.front()];
  for (size_t i = 0; i < tracked.tasks.size(); ++i) {
    const task_stage stage = tracked.tasks[i].stage;
    if (stage == task_stage::kWaiting) tokens += tracked.expected_tokens[i];
    const bool is_short = !steps::IsLong(tracked.expected_tokens[i], longest);
    if (stage == task_stage::kRunning && is_short) --work.others;
  }
  work.runs = steps::ExpectedTime(pace->second, tokens);
  work.age = clock_.Now() - tracked.opened_at;
  work.due = milliseconds(item.terms->due_ms);
  return steps::MaxStreamsForShortTasks(work, engines, slots);
}

}  // namespace hickorywood::store
