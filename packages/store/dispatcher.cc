#include "store/dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "net/spawn.h"

namespace hickorywood::store {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;

// Period of the pass over waiting and running tasks. A tenth of the time that
// an event of a slow engine takes would find nothing new.
constexpr milliseconds kWatchPeriod{100};
constexpr milliseconds kConnectTimeout{500};
// Silence before a run's first event: its prompt may wait behind a full batch.
constexpr milliseconds kFirstEventTimeout{2500};
// Silence between two events after which a run goes on elsewhere. An event
// takes 30 to 200 ms on an engine that is up, also on a slow one.
constexpr milliseconds kEventTimeout{900};
// How long an engine is left alone after a failure; doubled by each further
// one in a row.
constexpr milliseconds kAvoidAfterFailure{250};
constexpr int kMostDoublings = 4;
// Pause of a task that an engine did not take, so that it does not knock again
// at once.
constexpr milliseconds kRetryPause{30};
// Runs that are being started at once. All tasks of some steps in one turn kept
// the loop of a new leader busy for longer than its followers wait for its
// heartbeat: they elected another one, and that one did the same.
constexpr size_t kMostStarting = 16;
// A run stays this long before it may be moved, and a task is moved so often at
// most: a move costs its prompt to be read again.
constexpr milliseconds kLeastStay{400};
constexpr int kMostMoves = 2;
// How often the text of running tasks is committed, and the events of a task
// from which that is worth its bytes: most tasks are over before.
constexpr milliseconds kProgressPeriod{800};
constexpr uint64_t kWorthKeeping = 16;
// Share of a new sample in the smoothed gap between events.
constexpr double kGapWeight = 0.3;
// Age after which an engine's gap counts for nothing: it is tried again.
constexpr std::chrono::seconds kGapLifetime{3};
// Later than the lifetime of a task by this, a task without a result is given
// up: the clocks of two leaders may differ by a little.
constexpr std::chrono::seconds kLifetimeSlack{3};
// Time that an engine is told it has for a task.
constexpr std::chrono::seconds kTaskTime{60};

std::string Text(uint64_t number) { return std::to_string(number); }

}  // namespace

dispatcher::dispatcher(asio::io_context& loop, const core::runtime_clock& clock,
                       group::group_host& group, const step_state& state,
                       net::connection_pool& pool, const fleet::protocol& wire,
                       const fleet::view& view)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      pool_(pool),
      wire_(wire),
      view_(view) {}

void dispatcher::Start() {
  asio::co_spawn(loop_, KeepWatching(), asio::detached);
  asio::co_spawn(loop_, KeepCommitting(), asio::detached);
  asio::co_spawn(loop_, KeepProgress(), asio::detached);
}

void dispatcher::OnLeadership(bool is_leader) {
  is_leading_ = is_leader;
  if (!is_leader) {
    CancelAll();
    steps_.clear();
    outbox_.clear();
    return;
  }
  SyncSteps();
}

void dispatcher::OnApplied() {
  if (!is_leading_) return;
  SyncSteps();
  Pump();
}

void dispatcher::OnView() {
  std::set<std::string> known;
  for (const fleet::endpoint& item : view_.endpoints) {
    known.insert(item.incarnation);
  }
  std::erase_if(engines_, [&known](const auto& item) {
    return known.count(item.first) == 0 && item.second.running == 0;
  });
  for (const fleet::engine_weights_entry& item : view_.weights) {
    if (known.count(item.incarnation) == 0) continue;
    weights_at_engine& weights = engines_[item.incarnation].weights[item.model];
    weights.version = std::max(weights.version, item.version);
    weights.is_loading = item.is_loading;
  }
  if (is_leading_) Pump();
}

awaitable<void> dispatcher::KeepWatching() {
  for (;;) {
    co_await wake_.WaitUntil(
        clock_.Now() + (steps_.empty() ? milliseconds(1000) : kWatchPeriod));
    if (!is_leading_) continue;
    if (!group_.IsServing()) {
      CancelAll();
      continue;
    }
    GiveUpOld();
    EndStalledRuns();
    MoveStragglers();
    Pump();
  }
}

// --- Steps.

void dispatcher::SyncSteps() {
  for (const auto& [id, where] : state_.Steps()) {
    const bool is_open =
        !where.is_ended && where.results.size() < where.input.tasks.size();
    const bool is_known = steps_.count(id) != 0;
    if (is_open && !is_known) StartStep(id, where);
    if (!is_open && is_known) {
      CancelRuns(id);
      steps_.erase(id);
    }
  }
  std::erase_if(steps_, [this](const auto& item) {
    return state_.Steps().count(item.first) == 0;
  });
}

void dispatcher::StartStep(const std::string& id, const steps::step& where) {
  step_run& fresh = steps_[id];
  const milliseconds age(std::max<int64_t>(
      0, core::ToUnixMillis(clock_.WallNow()) - where.opened_ms));
  fresh.opened_at = clock_.Now() - age;
  fresh.tasks.resize(where.input.tasks.size());
  for (const steps::task_result& result : where.results) {
    fresh.tasks[result.task].stage = task_stage::kDone;
  }
  for (const auto& [task, text] : where.progress) {
    fresh.tasks[task].text = text;
    fresh.tasks[task].committed_events = text.events;
  }
  fresh.open_tasks = where.input.tasks.size() - where.results.size();
  LogEvent(event_id::kStepStarted,
           {{"step", id},
            {"number", std::to_string(where.input.number)},
            {"model", where.input.model},
            {"minimum_version", Text(where.input.minimum_version)},
            {"tasks", Text(where.input.tasks.size())},
            {"open", Text(fresh.open_tasks)},
            {"age_ms", std::to_string(age.count())}});
  wake_.Notify();
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

dispatcher::task_run* dispatcher::FindTask(const task_key& key) {
  const auto found = steps_.find(key.step);
  if (found == steps_.end()) return nullptr;
  return &found->second.tasks.at(key.task);
}

// The terms of a task under the configuration in force now; nullptr: it has no
// route any more.
const fleet::route* dispatcher::RouteOf(const task_key& key) const {
  const steps::step* step = state_.Find(key.step);
  if (step == nullptr) return nullptr;
  return fleet::FindRoute(view_.config, step->input.host,
                          step->input.tasks.at(key.task).path);
}

// --- Starting runs.

void dispatcher::Pump() {
  if (!is_leading_ || !group_.IsServing()) return;
  for (const std::string& id : StepsByAge()) PumpStep(id, steps_.at(id));
}

// Runs whose engine has not answered yet.
size_t dispatcher::Starting() const {
  return static_cast<size_t>(
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& item) { return !item.second->has_head; }));
}

void dispatcher::PumpStep(const std::string& id, step_run& where) {
  size_t starting = Starting();
  const auto found = state_.Steps().find(id);
  if (found == state_.Steps().end()) return;
  const steps::step& step = found->second;
  const time_point now = clock_.Now();
  for (uint32_t i = 0; i < where.tasks.size(); ++i) {
    const task_run& task = where.tasks[i];
    if (task.stage != task_stage::kWaiting || task.not_before > now) continue;
    candidate item;
    item.key = {id, i};
    item.step = &step;
    item.terms = RouteOf(item.key);
    if (item.terms == nullptr) continue;
    // The rest starts as engines answer.
    if (starting >= kMostStarting) return;
    if (!TryStart(item)) return;
    ++starting;
  }
}

// False when no engine has room, so that the tasks behind need not be tried.
bool dispatcher::TryStart(const candidate& item) {
  static thread_local std::mt19937_64 random{std::random_device()()};
  const double draw = std::uniform_real_distribution<double>(0, 1)(random);
  const std::string service(fleet::DrawService(*item.terms, draw));
  const steps::submission& input = item.step->input;
  const std::vector<steps::engine_load> loads =
      LoadsFor(service, input.model, input.minimum_version);
  const std::string group =
      input.model + "/" + input.tasks[item.key.task].group;
  const auto choice = steps::ChooseEngine(loads, group);
  if (!choice) return false;
  const std::string& incarnation = loads[*choice].incarnation;
  const auto engine =
      std::find_if(view_.endpoints.begin(), view_.endpoints.end(),
                   [&incarnation](const fleet::endpoint& candidate) {
                     return candidate.incarnation == incarnation;
                   });
  engines_[incarnation].groups.insert(group);
  StartRun(item, *engine);
  return true;
}

std::vector<steps::engine_load> dispatcher::LoadsFor(const std::string& service,
                                                     const std::string& model,
                                                     uint64_t minimum_version) {
  const time_point now = clock_.Now();
  std::vector<steps::engine_load> loads;
  std::vector<double> gaps;
  for (const fleet::endpoint& item : view_.endpoints) {
    if (item.service != service ||
        item.state == fleet::endpoint_state::kDraining) {
      continue;
    }
    const engine_record& record = engines_[item.incarnation];
    gaps.push_back(now - record.gap_at < kGapLifetime ? record.gap_ms : 0);
    steps::engine_load load;
    load.incarnation = item.incarnation;
    load.slots = item.slots;
    load.running = record.running;
    load.is_trusted = item.state == fleet::endpoint_state::kReady;
    load.groups = record.groups;
    const auto weights = record.weights.find(model);
    const bool is_unfit = weights != record.weights.end() &&
                          (weights->second.is_loading ||
                           weights->second.version < minimum_version);
    if (is_unfit || record.avoid_until > now) load.slots = 0;
    loads.push_back(std::move(load));
  }
  const std::vector<double> slowness = steps::Slowness(gaps);
  for (size_t i = 0; i < loads.size(); ++i) loads[i].slowness = slowness[i];
  return loads;
}

void dispatcher::StartRun(const candidate& item,
                          const fleet::endpoint& engine) {
  task_run& task = *FindTask(item.key);
  task.stage = task_stage::kRunning;
  ++engines_[engine.incarnation].running;
  fleet::dispatch_terms terms;
  terms.time_left = kTaskTime;
  terms.incarnation = engine.incarnation;
  if (task.text.events > 0) terms.last_event = task.text.events;
  const steps::submission& step = item.step->input;
  const steps::task& spec = step.tasks[item.key.task];
  steps::text_rules rules;
  rules.minimum_version = step.minimum_version;
  rules.is_single_version = item.terms->is_single_version;
  auto self = std::make_shared<run>();
  self->key = item.key;
  self->engine = engine;
  self->model = step.model;
  self->events_at_start = task.text.events;
  self->started_at = clock_.Now();
  self->heard_at = self->started_at;
  self->patience = kFirstEventTimeout;
  runs_[item.key] = self;
  LogEvent(
      event_id::kTaskDispatched,
      {{"task", spec.id},
       {"step", item.key.step},
       {"endpoint", engine.incarnation},
       {"after_event", Text(task.text.events)},
       {"failures", std::to_string(task.failures)},
       {"in_batch", std::to_string(engines_[engine.incarnation].running)}});
  net::SpawnCancellable(
      loop_, Run(self, wire_.EncodeTask(step, spec, terms), rules),
      self->cancel,
      [this, self](const std::exception_ptr& failure, run_end how) {
        EndRun(self, failure ? run_end::kMoved : how);
      });
}

// --- One run.

awaitable<dispatcher::run_end> dispatcher::Run(std::shared_ptr<run> self,
                                               net::request input,
                                               steps::text_rules rules) {
  std::unique_ptr<net::connection> open = co_await pool_.Acquire(
      self->engine.address, clock_.Now() + kConnectTimeout);
  if (!open) co_return run_end::kNotRun;
  const time_point deadline = clock_.Now() + kFirstEventTimeout;
  const bool is_written = co_await open->Write(input, deadline);
  if (!is_written) co_return run_end::kBroken;
  net::response head;
  const bool has_head = co_await open->ReadHead(head, deadline);
  if (!has_head) co_return run_end::kBroken;
  self->has_head = true;
  if (Starting() < kMostStarting / 2) Pump();
  const fleet::answer_marks marks = wire_.DecodeMarks(head);
  if (marks.is_not_run) co_return run_end::kNotRun;
  if (head.status == 422) co_return run_end::kImpossible;
  if (head.status != 200 || !marks.is_signed) co_return run_end::kFailed;
  if (marks.weights_version) {
    // Newer than what the view says, where the leader has not heard yet.
    uint64_t& known =
        engines_[self->engine.incarnation].weights[self->model].version;
    known = std::max(known, *marks.weights_version);
  }
  const task_run* task = FindTask(self->key);
  if (task == nullptr) co_return run_end::kMoved;
  if (!steps::MayContinue(task->text, rules, marks.weights_version)) {
    co_return run_end::kUnusable;
  }
  const run_end how =
      co_await ReadText(self, *open, rules, marks.weights_version);
  if (how == run_end::kComplete) pool_.Release(std::move(open));
  co_return how;
}

awaitable<dispatcher::run_end> dispatcher::ReadText(
    std::shared_ptr<run> self, net::connection& from,
    const steps::text_rules& rules, std::optional<uint64_t> version) {
  const steps::version_reader read = [this](const std::string& field,
                                            const std::string& value) {
    return wire_.EventVersion(field, value);
  };
  std::string buffer;
  for (;;) {
    const net::body_state state =
        co_await from.ReadSome(buffer, time_point::max());
    if (state == net::body_state::kBroken) co_return run_end::kBroken;
    task_run* const task = FindTask(self->key);
    if (task == nullptr) co_return run_end::kMoved;
    while (const auto fields = steps::TakeEvent(buffer)) {
      const steps::event_verdict verdict =
          steps::AddEvent(task->text, *fields, rules, read, version);
      if (verdict == steps::event_verdict::kSpoiled) co_return run_end::kBroken;
      if (verdict != steps::event_verdict::kTaken) {
        co_return run_end::kUnusable;
      }
      const time_point now = clock_.Now();
      const bool is_first = task->text.events == self->events_at_start + 1;
      if (!is_first) {
        NoteGap(self->engine.incarnation,
                std::chrono::duration_cast<milliseconds>(now - self->heard_at));
      }
      self->heard_at = now;
      self->patience = kEventTimeout;
    }
    if (state != net::body_state::kEnd) continue;
    co_return buffer.empty() ? run_end::kComplete : run_end::kBroken;
  }
}

void dispatcher::EndRun(const std::shared_ptr<run>& ended, run_end how) {
  static constexpr const char* kWords[] = {"complete", "failed", "impossible",
                                           "not_run",  "broken", "unusable",
                                           "moved"};
  engine_record& engine = engines_[ended->engine.incarnation];
  --engine.running;
  const auto found = runs_.find(ended->key);
  const bool is_current = found != runs_.end() && found->second == ended;
  if (!is_current) return;
  runs_.erase(found);
  // A run that was taken off its engine ends as if the engine had cut it, and
  // one whose engine is silent as if it had been taken off.
  if (ended->is_moving && how == run_end::kBroken) how = run_end::kMoved;
  if (ended->is_stalled && how == run_end::kMoved) how = run_end::kBroken;
  NoteEngine(ended->engine.incarnation, how);
  task_run* const task = FindTask(ended->key);
  if (task == nullptr) return;
  task->stage = task_stage::kWaiting;
  const auto took = std::chrono::duration_cast<milliseconds>(clock_.Now() -
                                                             ended->started_at);
  LogEvent(event_id::kTaskRunEnded, {{"step", ended->key.step},
                                     {"task", Text(ended->key.task)},
                                     {"endpoint", ended->engine.incarnation},
                                     {"how", kWords[static_cast<size_t>(how)]},
                                     {"events", Text(task->text.events)},
                                     {"ms", std::to_string(took.count())}});
  switch (how) {
    case run_end::kComplete:
      Finish(ended->key, true);
      break;
    case run_end::kImpossible:
      Finish(ended->key, false);
      break;
    case run_end::kFailed: {
      ++task->failures;
      const fleet::route* terms = RouteOf(ended->key);
      const int64_t most = terms == nullptr ? 1 : terms->max_attempts;
      if (task->failures >= most) Finish(ended->key, false);
      break;
    }
    case run_end::kNotRun:
      task->not_before = clock_.Now() + kRetryPause;
      break;
    case run_end::kUnusable:
      // Text of weights that the step does not allow can't be gone on with.
      task->text = steps::generated_text{};
      task->committed_events = 0;
      task->not_before = clock_.Now() + kRetryPause;
      break;
    case run_end::kBroken:
    case run_end::kMoved:
      break;
  }
  Pump();
}

void dispatcher::NoteEngine(const std::string& incarnation, run_end how) {
  engine_record& engine = engines_[incarnation];
  const bool is_fault = how == run_end::kBroken || how == run_end::kNotRun;
  if (!is_fault) {
    if (how == run_end::kComplete) engine.failures = 0;
    return;
  }
  const int doublings = std::min(engine.failures, kMostDoublings);
  ++engine.failures;
  engine.avoid_until = clock_.Now() + kAvoidAfterFailure * (1 << doublings);
}

void dispatcher::NoteGap(const std::string& incarnation, milliseconds gap) {
  engine_record& engine = engines_[incarnation];
  const auto sample = static_cast<double>(gap.count());
  const bool is_fresh = clock_.Now() - engine.gap_at < kGapLifetime;
  engine.gap_ms = is_fresh && engine.gap_ms > 0
                      ? engine.gap_ms + kGapWeight * (sample - engine.gap_ms)
                      : sample;
  engine.gap_at = clock_.Now();
}

// --- Results.

void dispatcher::Finish(const task_key& key, bool is_complete) {
  task_run* const task = FindTask(key);
  if (task == nullptr || task->stage == task_stage::kDone) return;
  task->stage = task_stage::kDone;
  steps::task_result result;
  result.task = key.task;
  result.is_complete = is_complete;
  if (is_complete) {
    result.output = steps::JoinText(task->text);
    result.versions = task->text.versions;
  } else {
    LogEvent(event_id::kTaskGivenUp,
             {{"step", key.step},
              {"task", Text(key.task)},
              {"failures", std::to_string(task->failures)}});
  }
  task->text = steps::generated_text{};
  outbox_.push_back({key.step, {std::move(result)}});
  outbox_filled_.Notify();
}

// Commits all that has come in while the commit before was under way, so that
// the rate of syncs does not rise with the rate of results.
awaitable<void> dispatcher::KeepCommitting() {
  for (;;) {
    if (outbox_.empty()) {
      co_await outbox_filled_.WaitUntil(time_point::max());
      continue;
    }
    add_results_command batch;
    batch.steps = std::move(outbox_);
    outbox_.clear();
    const auto result =
        co_await group_.Commit(kAddResultsCommand, core::EncodeBinary(batch));
    if (result.is_committed) continue;
    LogEvent(event_id::kResultsNotCommitted,
             {{"results", Text(batch.steps.size())},
              {"proposed", result.was_proposed ? "true" : "false"}});
    // The lease may be late by a moment while this replica still leads.
    if (is_leading_ && !result.was_proposed) {
      outbox_.insert(outbox_.begin(), batch.steps.begin(), batch.steps.end());
      co_await net::Sleep(kRetryPause);
    }
  }
}

// What the running tasks have gained since it was last committed, where that is
// worth a commit.
add_progress_command dispatcher::CollectProgress() {
  std::map<std::string, step_progress> by_step;
  for (const auto& [key, item] : runs_) {
    task_run* const task = FindTask(key);
    if (task == nullptr) continue;
    const uint64_t from = task->committed_events;
    if (task->text.events < from + kWorthKeeping) continue;
    steps::task_progress gained;
    gained.task = key.task;
    gained.after = from;
    gained.text.events = task->text.events;
    gained.text.versions = task->text.versions;
    gained.text.data.assign(
        task->text.data.begin() + static_cast<ptrdiff_t>(from),
        task->text.data.end());
    task->committed_events = task->text.events;
    by_step[key.step].tasks.push_back(std::move(gained));
  }
  add_progress_command command;
  for (auto& [step, progress] : by_step) {
    progress.step = step;
    command.steps.push_back(std::move(progress));
  }
  return command;
}

// Commits the text of long tasks now and then, so that a lost leader costs its
// successor a second of it and not all. A commit that fails is no loss: without
// leadership nothing is committed, and the successor knows what came before.
awaitable<void> dispatcher::KeepProgress() {
  for (;;) {
    co_await net::Sleep(kProgressPeriod);
    if (!is_leading_ || runs_.empty() || !group_.IsServing()) continue;
    const add_progress_command command = CollectProgress();
    if (command.steps.empty()) continue;
    co_await group_.Commit(kAddProgressCommand, core::EncodeBinary(command));
  }
}

// --- Upkeep.

void dispatcher::GiveUpOld() {
  const time_point now = clock_.Now();
  for (auto& [id, where] : steps_) {
    for (uint32_t i = 0; i < where.tasks.size(); ++i) {
      if (where.tasks[i].stage == task_stage::kDone) continue;
      const fleet::route* terms = RouteOf({id, i});
      const bool has_route = terms != nullptr && terms->task_lifetime_ms > 0;
      if (!has_route) continue;
      const milliseconds lifetime(terms->task_lifetime_ms);
      if (now - where.opened_at < lifetime + kLifetimeSlack) continue;
      const auto running = runs_.find({id, i});
      if (running != runs_.end()) {
        net::Cancel(running->second->cancel);
      }
      Finish({id, i}, false);
    }
  }
}

// Ends runs whose engine has been silent for too long. One pass over all in
// place of a timer for each read: a stream has a read for every 30 ms.
void dispatcher::EndStalledRuns() {
  const time_point now = clock_.Now();
  std::vector<std::shared_ptr<run>> stalled;
  for (const auto& item : runs_) {
    const run& candidate = *item.second;
    const bool is_silent = now - candidate.heard_at > candidate.patience;
    if (is_silent && !candidate.is_stalled) stalled.push_back(item.second);
  }
  for (const auto& item : stalled) {
    item->is_stalled = true;
    net::Cancel(item->cancel);
  }
}

// Takes runs off engines that are clearly slower than others with room. Without
// it one slow engine holds up every group that has a task on it.
void dispatcher::MoveStragglers() {
  std::vector<std::shared_ptr<run>> moving;
  std::map<std::string, std::vector<steps::engine_load>> by_step;
  for (const auto& [key, item] : runs_) {
    const bool is_settled =
        clock_.Now() - item->started_at >= kLeastStay && !item->is_moving;
    const task_run* task = FindTask(key);
    if (!is_settled || task == nullptr || task->moves >= kMostMoves) continue;
    const auto step = state_.Steps().find(key.step);
    if (step == state_.Steps().end()) continue;
    auto loads = by_step.find(key.step);
    if (loads == by_step.end()) {
      loads =
          by_step
              .emplace(key.step,
                       LoadsFor(item->engine.service, step->second.input.model,
                                step->second.input.minimum_version))
              .first;
    }
    const std::string& incarnation = item->engine.incarnation;
    const auto own =
        std::find_if(loads->second.begin(), loads->second.end(),
                     [&incarnation](const steps::engine_load& load) {
                       return load.incarnation == incarnation;
                     });
    if (own == loads->second.end()) continue;
    if (steps::IsWorthMoving(*own, loads->second)) moving.push_back(item);
  }
  for (const auto& item : moving) {
    item->is_moving = true;
    if (task_run* const task = FindTask(item->key)) ++task->moves;
    net::Cancel(item->cancel);
  }
}

void dispatcher::CancelRuns(const std::string& step) {
  std::vector<std::shared_ptr<run>> ending;
  for (const auto& [key, item] : runs_) {
    if (key.step == step) ending.push_back(item);
  }
  for (const auto& item : ending) {
    runs_.erase(item->key);
    net::Cancel(item->cancel);
  }
}

void dispatcher::CancelAll() {
  std::map<task_key, std::shared_ptr<run>> ending = std::move(runs_);
  runs_.clear();
  for (const auto& item : ending) {
    if (task_run* const task = FindTask(item.first)) {
      task->stage = task_stage::kWaiting;
    }
    net::Cancel(item.second->cancel);
  }
}

}  // namespace hickorywood::store
