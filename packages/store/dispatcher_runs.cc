// Starts the runs of tasks, and handles the polls and reports of the stores
// that run them.

#include <algorithm>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "group/leader_calls.h"
#include "store/dispatch_limits.h"
#include "store/dispatcher.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::time_point;

std::string Text(uint64_t number) { return std::to_string(number); }

peering::envelope NoSuchSession() {
  return {peering::call_outcome::kNotFound, "", "no such session", ""};
}

}  // namespace

void dispatcher::StartRun(const candidate& item, const fleet::endpoint& engine,
                          const std::string& runner) {
  tracked_task& task = *FindTask(item.key);
  task.stage = task_stage::kRunning;
  engine_record& record = engines_[engine.incarnation];
  ++record.running;
  record.groups[PromptOf(item)] = clock_.Now();
  const steps::submission& step = item.step->input;
  auto self = std::make_shared<run>();
  self->id = ++latest_run_;
  self->key = item.key;
  self->engine = engine;
  self->model = step.model;
  self->runner = runner;
  self->events_at_start = task.text.events;
  self->started_at = clock_.Now();
  self->last_report_at = self->started_at;
  self->suspicion = task.suspicion;
  self->is_long = item.is_long;
  self->tokens = DescribeTask(item.key).tokens;
  quarantine::AddSuspect(record.suspects, self->suspicion);
  runs_[item.key] = self;
  runs_by_id_[self->id] = self;
  LogEvent(event_id::kTaskDispatched,
           {{"task", step.tasks[item.key.task].id},
            {"step", item.key.step},
            {"endpoint", engine.incarnation},
            {"route", item.terms->name},
            {"configuration", std::to_string(view_.config.version)},
            {"lists", fleet::VersionText(view_.version)},
            {"runner", runner},
            {"after_event", Text(task.text.events)},
            {"failures", std::to_string(task.failures.runs)},
            {"expected",
             std::to_string(
                 steps_.at(item.key.step).expected_tokens[item.key.task])},
            {"in_batch", std::to_string(record.running)}});
  run_order order = MakeOrder(item, *self);
  if (runner.empty()) {
    own_runs_.Start(std::move(order));
    return;
  }
  AddOrder(*runners_, runner, std::move(order));
  new_orders_[runner].Notify();
}

run_order dispatcher::MakeOrder(const candidate& item, const run& self) const {
  const steps::submission& step = item.step->input;
  const steps::generated_text& text =
      steps_.at(item.key.step).tasks[item.key.task].text;
  fleet::dispatch_terms terms;
  terms.time_left = kTaskTimeLimit;
  terms.endpoint = self.engine.name;
  if (view_.config.needs_keys) terms.customer = step.customer;
  if (text.events > 0) terms.last_event = text.events;
  net::request input =
      wire_.EncodeTask(step, step.tasks[item.key.task].id, *item.input, terms);
  run_order order;
  order.run = self.id;
  order.incarnation = self.engine.incarnation;
  order.address = self.engine.address;
  order.target = std::move(input.target);
  order.headers = std::move(input.headers);
  order.body = std::move(input.body);
  order.events = text.events;
  order.versions = text.versions;
  order.minimum_version = step.minimum_version;
  order.is_single_version = item.terms->is_single_version;
  order.config = view_.config.version;
  order.lists = view_.version;
  return order;
}

// --- Requests of other stores that run tasks.

awaitable<peering::envelope> dispatcher::HandleRunner(std::string method,
                                                      std::string payload) {
  if (!is_leading_ || !group_.IsServing()) co_return group::NotLeader(group_);
  if (method == peering::kPollOrdersMethod) {
    co_return co_await HandleOrdersRequest(std::move(payload));
  }
  co_return HandleReportsRequest(payload);
}

namespace {

// Records in the registry that a poll ended without an answer, because the
// runner closed the connection.
class open_poll {
 public:
  open_poll(std::shared_ptr<runner_registry> registry,
            const orders_request& input, const core::runtime_clock& clock)
      : registry_(std::move(registry)),
        runner_(input.runner),
        session_(input.session),
        clock_(clock) {}
  ~open_poll() {
    if (!is_answered_) OnPollClose(*registry_, runner_, session_, clock_.Now());
  }
  open_poll(const open_poll&) = delete;
  open_poll& operator=(const open_poll&) = delete;

  void Close() { is_answered_ = true; }

 private:
  const std::shared_ptr<runner_registry> registry_;
  const std::string runner_;
  const std::string session_;
  const core::runtime_clock& clock_;
  bool is_answered_ = false;
};

}  // namespace

awaitable<peering::envelope> dispatcher::HandleOrdersRequest(
    std::string payload) {
  const auto input = core::DecodeBinary<orders_request>(payload);
  if (!input) co_return group::Malformed();
  // This store sent the poll before it became the leader itself.
  if (input->runner == group_.OwnAddress()) co_return peering::envelope{};
  if (HasLostSession(*runners_, *input)) co_return NoSuchSession();
  RescheduleLostRuns(input->runner, ApplyPoll(*runners_, *input, clock_.Now()));
  ScheduleDispatch();
  open_poll poll(runners_, *input, clock_);
  const milliseconds wait =
      std::min(milliseconds(input->wait_ms), kIdlePollWait);
  const time_point until = clock_.Now() + wait;
  const auto is_known = [this, &input] {
    return HasSession(*runners_, input->runner, input->session);
  };
  while (is_known() && !HasOrders(*runners_, input->runner) &&
         clock_.Now() < until) {
    co_await new_orders_[input->runner].WaitUntil(until);
  }
  poll.Close();
  // Leadership or the lease may have ended while the poll waited. If the
  // registry was cleared meanwhile, the next poll adds the runner to it again.
  if (!is_known() || !group_.IsServing()) co_return group::NotLeader(group_);
  const orders_answer answer =
      MakeAnswer(*runners_, input->runner, group_.Term(), clock_.Now());
  co_return group::Done(core::EncodeBinary(answer));
}

peering::envelope dispatcher::HandleReportsRequest(const std::string& payload) {
  auto input = core::DecodeBinary<reports_request>(payload);
  if (!input) return group::Malformed();
  if (!HasSession(*runners_, input->runner, input->session)) {
    return NoSuchSession();
  }
  // Repeated reports are acknowledged again but applied only once.
  if (AcceptReports(*runners_, *input, group_.Term(), clock_.Now())) {
    for (run_report& report : input->reports) ApplyReport(std::move(report));
  }
  return group::Done();
}

void dispatcher::RescheduleLostRuns(const std::string& runner,
                                    const std::vector<uint64_t>& runs) {
  if (runs.empty()) return;
  LogEvent(event_id::kRunnerUnreachable,
           {{"runner", runner}, {"runs", std::to_string(runs.size())}});
  for (const uint64_t id : runs) {
    const auto found = runs_by_id_.find(id);
    if (found == runs_by_id_.end()) continue;
    // The run was lost with its runner, so this is no failure of the engine.
    EndRun(std::shared_ptr<run>(found->second), run_outcome::kMoved);
  }
}

void dispatcher::HandleUnreachableRunners() {
  const time_point now = clock_.Now();
  for (const auto& [runner, runs] : RemoveUnreachable(*runners_, now)) {
    RescheduleLostRuns(runner, runs);
  }
  std::vector<std::shared_ptr<run>> overdue;
  for (const auto& item : runs_) {
    const run& one = *item.second;
    const bool is_overdue =
        !one.runner.empty() && now - one.last_report_at > kRunReportTimeout;
    if (is_overdue) overdue.push_back(item.second);
  }
  for (const auto& item : overdue) {
    StopRun(*item);
    RescheduleLostRuns(item->runner, {item->id});
  }
}

// --- Reports and outcomes of runs.

void dispatcher::ApplyReport(run_report report) {
  const auto found = runs_by_id_.find(report.run);
  if (found == runs_by_id_.end()) return;
  const std::shared_ptr<run> self = found->second;
  tracked_task* const task = FindTask(self->key);
  if (task == nullptr) return;
  self->last_report_at = clock_.Now();
  engine_record& engine = engines_[self->engine.incarnation];
  if (report.has_head && !self->has_head) {
    RecordResponseHead(*self, report.weights_version);
  }
  if (report.pace > 0) {
    steps::RecordPace(engine.model, report.pace, clock_.Now());
    paced_services_.insert(self->engine.service);
  }
  steps::generated_text& text = task->text;
  text.events += report.data.size();
  for (std::string& data : report.data) text.data.push_back(std::move(data));
  if (!report.versions.empty()) text.versions = std::move(report.versions);
  const milliseconds span(report.span_ms);
  steps::RecordEvents(engine.gap, span, report.spanned, clock_.Now());
  steps::RecordEvents(engine.model, effects_[self->engine.service], span,
                      report.spanned, engine.running, clock_.Now());
  UpdatePastCrash(*self, *task);
  if (report.is_over) {
    RecordReturnedOrder(report, self->engine.incarnation);
    self->has_invalid_response = report.has_invalid_response;
    EndRun(self, report.how);
  }
}

void dispatcher::RecordReturnedOrder(const run_report& report,
                                     const std::string& incarnation) {
  const bool may_order = MayOrder(newer_, view_);
  RecordReturn(newer_, report, incarnation, view_);
  if (!may_order || MayOrder(newer_, view_)) return;
  LogEvent(event_id::kDispatchHeld,
           {{"configuration", std::to_string(view_.config.version)},
            {"newer", std::to_string(newer_.config)}});
}

void dispatcher::UpdatePastCrash(run& self, const tracked_task& task) {
  if (self.is_past_crash) return;
  const uint64_t events = task.text.events - self.events_at_start;
  if (!quarantine::IsPastCrash(self.suspicion, events)) return;
  self.is_past_crash = true;
  quarantine::RecordPastCrash(engines_[self.engine.incarnation].suspects,
                              self.suspicion);
}

void dispatcher::RecordResponseHead(run& self, uint64_t weights_version) {
  self.has_head = true;
  ScheduleDispatch();
  if (weights_version == 0) return;
  // The response may report newer weights than the view of this store.
  engine_record& record = engines_[self.engine.incarnation];
  uint64_t& recorded_version = record.weights[self.model].version;
  if (weights_version <= recorded_version) return;
  ClearPrompts(record, self.model);
  recorded_version = weights_version;
  std::erase_if(pools_, [&self](const auto& item) {
    return std::get<1>(item.first) == self.model;
  });
}

void dispatcher::RemoveRun(const run& ended) {
  engine_record& engine = engines_[ended.engine.incarnation];
  --engine.running;
  quarantine::RemoveSuspect(engine.suspects, ended.suspicion,
                            ended.is_past_crash);
  if (!ended.runner.empty()) RemoveEndedRun(*runners_, ended.runner, ended.id);
  runs_by_id_.erase(ended.id);
  runs_.erase(task_key(ended.key));
}

void dispatcher::StopRun(const run& ending) {
  if (ending.runner.empty()) {
    own_runs_.Cancel(ending.id);
    return;
  }
  CancelRun(*runners_, ending.runner, ending.id);
  new_orders_[ending.runner].Notify();
}

void dispatcher::EndRun(const std::shared_ptr<run>& ended, run_outcome how) {
  RemoveRun(*ended);
  RecordEngineOutcome(ended->engine.incarnation, how);
  tracked_task* const task = FindTask(ended->key);
  if (task == nullptr) return;
  task->stage = task_stage::kWaiting;
  const auto run_time = std::chrono::duration_cast<milliseconds>(
      clock_.Now() - ended->started_at);
  LogEvent(event_id::kTaskRunEnded, {{"step", ended->key.step},
                                     {"task", Text(ended->key.task)},
                                     {"endpoint", ended->engine.incarnation},
                                     {"how", RunOutcomeName(how)},
                                     {"events", Text(task->text.events)},
                                     {"ms", std::to_string(run_time.count())}});
  const bool is_answered =
      how == run_outcome::kComplete || how == run_outcome::kFailed ||
      how == run_outcome::kUnexpected || how == run_outcome::kImpossible;
  if (is_answered) RecordServed(ended->key);
  switch (how) {
    case run_outcome::kComplete:
      if (ended->events_at_start == 0) {
        steps::RecordRun(
            paces_[ended->model], run_time,
            steps_.at(ended->key.step).expected_tokens[ended->key.task]);
      }
      steps::RecordLength(
          lengths_[ended->model], task->text.events,
          steps_.at(ended->key.step).expected_tokens[ended->key.task]);
      HandleCompleteText(ended->key);
      break;
    case run_outcome::kImpossible:
      Finish(ended->key, false);
      break;
    case run_outcome::kFailed:
      ++task->failures.runs;
      if (task->failures.runs >= MaxAttemptsOf(ended->key.step)) {
        Finish(ended->key, false);
      } else {
        CommitFailures(ended->key);
      }
      break;
    case run_outcome::kNotRun:
    case run_outcome::kUnexpected:
      task->not_before = clock_.Now() + kRetryPause;
      break;
    case run_outcome::kUnusable:
      // The step does not allow the weights that generated the text, so the
      // text can't be continued.
      task->text = steps::generated_text{};
      task->committed_events = 0;
      task->not_before = clock_.Now() + kRetryPause;
      break;
    case run_outcome::kBroken:
      // An engine that sent an invalid response did not crash.
      if (ended->has_invalid_response) {
        task->not_before = clock_.Now() + kRetryPause;
        break;
      }
      // Recorded also if the run added text, because each later run of the
      // request may add text too before it crashes its engine.
      RecordBrokenConnection(*ended);
      task->suspicion.events_at_crash =
          std::max(task->suspicion.events_at_crash,
                   task->text.events - ended->events_at_start);
      task->broken_at = clock_.Now();
      task->not_before = task->broken_at + kCrashCheckTime;
      break;
    case run_outcome::kMoved:
      break;
  }
  ScheduleDispatch();
}

// Returns no value if the request of the task was discarded.
std::optional<quarantine::request_identity> dispatcher::IdentityOf(
    const task_key& key) const {
  const steps::task_request* const input = RequestOf(key);
  if (input == nullptr) return std::nullopt;
  return quarantine::request_identity{state_.Find(key.step)->input.host, "POST",
                                      input->path, input->body, true};
}

bool dispatcher::IsPausedAfterCrash(const task_key& key, tracked_task& task) {
  const milliseconds pause =
      quarantine::PauseAfterCrash(static_cast<size_t>(task.suspicion.crashes));
  if (clock_.Now() - task.broken_at >= pause) return false;
  if (task.paused_crashes != task.suspicion.crashes) {
    task.paused_crashes = task.suspicion.crashes;
    LogEvent(event_id::kTaskPausedAfterCrash,
             {{"step", key.step},
              {"task", Text(key.task)},
              {"digest", task.digest},
              {"crashes", std::to_string(task.suspicion.crashes)},
              {"ms", std::to_string(pause.count())}});
  }
  return true;
}

void dispatcher::UpdateSuspicion(const task_key& key, tracked_task& task) {
  task.suspicion.crashes = 0;
  if (crashes_.HasNoSuspects()) return;
  if (task.digest.empty()) {
    const auto identity = IdentityOf(key);
    if (!identity) return;
    task.digest = crashes_.DigestOf(*identity);
  }
  task.suspicion.crashes = static_cast<int>(crashes_.CountCrashes(task.digest));
}

void dispatcher::RecordServed(const task_key& key) {
  const auto identity = IdentityOf(key);
  if (identity) crashes_.RecordServed(*identity);
}

void dispatcher::RecordBrokenConnection(const run& ended) {
  const auto identity = IdentityOf(ended.key);
  if (identity) crashes_.RecordBrokenConnection(*identity, ended.engine);
}

void dispatcher::RecordEngineOutcome(const std::string& incarnation,
                                     run_outcome how) {
  engine_record& engine = engines_[incarnation];
  const bool is_fault = how == run_outcome::kBroken ||
                        how == run_outcome::kNotRun ||
                        how == run_outcome::kUnexpected;
  if (!is_fault) {
    if (how == run_outcome::kComplete) engine.failures = 0;
    return;
  }
  const int doublings = std::min(engine.failures, kMaxDoublings);
  ++engine.failures;
  engine.avoid_until = clock_.Now() + kAvoidAfterFailure * (1 << doublings);
}

}  // namespace hickorywood::store
