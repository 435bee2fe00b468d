// Chooses which task of all steps starts next, on which engine, and which runs
// are moved, by the predicted ends of the tasks.

#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "core/events.h"
#include "store/dispatch_limits.h"
#include "store/dispatcher.h"

namespace hickorywood::store {
namespace {

using core::event_id;
using core::LogEvent;
using core::time_point;
using steps::predicted_time;

// Event time of a service whose engines have sent no events yet. All of its
// engines then look alike.
constexpr predicted_time kUnknownEventTime{0.04};
// A run with less time left is not moved: a new connection and reading the text
// again take a part of it.
constexpr predicted_time kMinTimeToMove{0.4};
// Time that a move takes.
constexpr predicted_time kMoveTime{0.06};
// Tasks of a pool that may wait for places on faster engines before the others
// are not tried in this pass. It bounds the time of a pass while the fast
// engines are full.
constexpr int kMaxWaitingPerPass = 16;

std::string MillisText(predicted_time time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

}  // namespace

void dispatcher::IndexGroups(const steps::step& step,
                             const steps::step_table& known,
                             tracked_step& tracked) {
  std::map<std::string, uint32_t> indexes;
  for (const steps::task& task : step.input.tasks) {
    const auto index = static_cast<uint32_t>(indexes.size());
    tracked.group_indexes.push_back(
        indexes.emplace(task.group, index).first->second);
  }
  tracked.carried_groups.assign(indexes.size(), false);
  for (const auto& [id, other] : known) {
    const bool is_earlier = other.input.model == step.input.model &&
                            other.input.number < step.input.number;
    if (!is_earlier) continue;
    for (const steps::task& task : other.input.tasks) {
      const auto found = indexes.find(task.group);
      if (found != indexes.end()) tracked.carried_groups[found->second] = true;
    }
  }
}

// Once for each configuration: finding the route in each pass would take too
// long with some thousand routes.
void dispatcher::UpdateRoute(const std::string& id, tracked_step& tracked) {
  const steps::step* const step = state_.Find(id);
  const bool is_current = tracked.route_version == view_.config.version;
  if (is_current || step == nullptr) return;
  tracked.route_version = view_.config.version;
  const fleet::route* const found =
      fleet::FindRouteOfStep(view_.config, step->input.host,
                             step->input.route.prefix, step->input.path);
  const std::vector<std::string> previous_services = tracked.services;
  tracked.route.reset();
  tracked.services.clear();
  if (found != nullptr) {
    tracked.route = *found;
    tracked.due = milliseconds(found->due_ms);
    for (const fleet::weighted_service& item : found->services) {
      tracked.services.push_back(item.service);
    }
  }
  const bool is_unchanged =
      found != nullptr && tracked.services == previous_services;
  if (is_unchanged) return;
  LogEvent(event_id::kStepRouteChanged,
           {{"step", id},
            {"accepted", step->input.route.prefix},
            {"route", found == nullptr ? "" : found->name},
            {"prefix", found == nullptr ? "" : found->path_prefix},
            {"services", absl::StrJoin(tracked.services, " ")},
            {"configuration", std::to_string(view_.config.version)}});
}

bool dispatcher::UsesPrediction(const std::string& service) const {
  switch (placement) {
    case settings::task_placement::kStreams:
      return false;
    case settings::task_placement::kPredicted:
      return true;
    case settings::task_placement::kAuto:
      return view_.config.needs_keys || paced_services_.count(service) != 0;
  }
  return false;
}

bool dispatcher::UsesPrediction(const tracked_step& tracked) const {
  return !tracked.services.empty() &&
         std::all_of(
             tracked.services.begin(), tracked.services.end(),
             [this](const std::string& name) { return UsesPrediction(name); });
}

predicted_time dispatcher::EventTimeOf(const std::string& service,
                                       dispatch_pass& pass) const {
  const auto known = pass.event_times.find(service);
  if (known != pass.event_times.end()) return known->second;
  std::vector<const steps::engine_model*> models;
  for (const fleet::endpoint& item : view_.endpoints) {
    if (item.service != service) continue;
    const auto found = engines_.find(item.incarnation);
    if (found != engines_.end()) models.push_back(&found->second.model);
  }
  predicted_time usual = steps::UsualEventTime(models, clock_.Now());
  if (usual <= predicted_time(0)) usual = kUnknownEventTime;
  pass.event_times[service] = usual;
  return usual;
}

dispatcher::length_terms dispatcher::LengthTermsOf(
    const std::string& id, const tracked_step& tracked) const {
  length_terms terms;
  const auto scale = lengths_.find(state_.Find(id)->input.model);
  if (scale != lengths_.end()) terms.scale = scale->second;
  if (tracked.services.empty()) return terms;
  const fleet::service* const service =
      fleet::FindService(view_.config, tracked.services.front());
  if (service != nullptr) {
    terms.tokens_per_event = service->engine.tokens_per_event;
  }
  return terms;
}

steps::placement_task dispatcher::DescribeTask(
    const task_key& key, const tracked_step& tracked,
    const length_terms& terms) const {
  const tracked_task& task = tracked.tasks[key.task];
  const int64_t largest = tracked.largest_tokens[key.task];
  const int64_t expected = tracked.expected_tokens[key.task];
  const uint64_t done = task.text.events;
  steps::placement_task described;
  described.events = steps::ExpectedEvents(terms.scale, expected, largest, done,
                                           terms.tokens_per_event) -
                     static_cast<double>(done);
  // The limit of the task contains its prompt and its longest output.
  const int64_t limit = state_.Find(key.step)->input.tasks[key.task].tokens;
  const bool is_expected = expected > 0 && expected < largest;
  const int64_t prompt = std::max<int64_t>(0, limit - largest);
  described.tokens = prompt + (is_expected ? expected : largest);
  described.left_engine = task.left_engine;
  return described;
}

steps::placement_task dispatcher::DescribeTask(const task_key& key) const {
  const tracked_step& tracked = steps_.at(key.step);
  return DescribeTask(key, tracked, LengthTermsOf(key.step, tracked));
}

void dispatcher::CollectUse(dispatch_pass& pass) const {
  std::map<std::string, length_terms> terms;  // by step
  for (const auto& [key, active] : runs_) {
    const auto tracked = steps_.find(key.step);
    const auto record = engines_.find(active->engine.incarnation);
    if (tracked == steps_.end() || record == engines_.end()) continue;
    auto lengths = terms.find(key.step);
    if (lengths == terms.end()) {
      lengths =
          terms.emplace(key.step, LengthTermsOf(key.step, tracked->second))
              .first;
    }
    const predicted_time usual = EventTimeOf(active->engine.service, pass);
    const steps::engine_pace pace =
        steps::PaceOf(record->second.model, usual, clock_.Now());
    const predicted_time remaining = steps::TimeFor(
        pace, DescribeTask(key, tracked->second, lengths->second).events,
        record->second.running - 1,
        steps::SlowdownPerStream(EffectOf(active->engine.service)));
    engine_use& use = pass.use[active->engine.incarnation];
    use.next_free =
        use.runs == 0 ? remaining : std::min(use.next_free, remaining);
    ++use.runs;
    use.tokens += active->tokens;
    use.long_runs += active->is_long ? 1 : 0;
  }
}

steps::batch_effect dispatcher::EffectOf(const std::string& service) const {
  const auto found = effects_.find(service);
  return found == effects_.end() ? steps::batch_effect{} : found->second;
}

std::vector<steps::placement_engine> dispatcher::DescribeEngines(
    const engine_pool& pool, const std::string& service,
    dispatch_pass& pass) const {
  const predicted_time usual = EventTimeOf(service, pass);
  const fleet::service* const terms = fleet::FindService(view_.config, service);
  std::vector<steps::placement_engine> engines;
  engines.reserve(pool.loads.size());
  for (size_t i = 0; i < pool.loads.size(); ++i) {
    const steps::engine_load& load = pool.loads[i];
    steps::placement_engine engine;
    engine.incarnation = load.incarnation;
    engine.slots = load.slots;
    engine.running = load.running;
    engine.pace = steps::PaceOf(pool.records[i]->model, usual, clock_.Now());
    engine.is_trusted = load.is_trusted;
    engine.has_prompt = load.has_prompt;
    engine.is_excluded = load.is_excluded;
    if (terms != nullptr) engine.token_capacity = terms->engine.kv_tokens;
    const auto found = pass.use.find(load.incarnation);
    if (found != pass.use.end()) {
      engine.critical = found->second.long_runs;
      engine.used_tokens = found->second.tokens;
      engine.next_free = found->second.next_free;
    }
    engines.push_back(std::move(engine));
  }
  return engines;
}

steps::open_step dispatcher::DescribeStep(const std::string& id,
                                          tracked_step& tracked,
                                          dispatch_pass& pass) {
  const steps::submission& input = state_.Find(id)->input;
  const predicted_time event_time = EventTimeOf(tracked.services.front(), pass);
  const length_terms terms = LengthTermsOf(id, tracked);
  steps::open_step open;
  open.id = id;
  open.trainer = input.model;
  open.due = tracked.opened_at + tracked.due - clock_.Now();
  open.wanted_groups = input.wanted_groups;
  open.complete_groups =
      std::count_if(tracked.open_by_group.begin(), tracked.open_by_group.end(),
                    [](const auto& item) { return item.second == 0; });
  open.groups.resize(tracked.carried_groups.size());
  for (uint32_t i = 0; i < tracked.tasks.size(); ++i) {
    tracked_task& task = tracked.tasks[i];
    const bool is_open = task.stage == task_stage::kWaiting ||
                         task.stage == task_stage::kRunning;
    if (!is_open) continue;
    const uint32_t group = tracked.group_indexes[i];
    const predicted_time time =
        DescribeTask({id, i}, tracked, terms).events * event_time;
    open.groups[group].is_carried = tracked.carried_groups[group];
    open.groups[group].end = std::max(open.groups[group].end, time);
    if (task.stage == task_stage::kRunning) ++open.running;
    if (MayStart({id, i}, task)) open.tasks.push_back({i, time, group});
  }
  return open;
}

void dispatcher::DispatchByUrgency(const std::vector<std::string>& ids,
                                   dispatch_pass& pass) {
  if (!ChooseRunnerFor("", pass)) return;
  const bool has_waiting =
      std::any_of(ids.begin(), ids.end(), [this](const std::string& id) {
        const std::vector<tracked_task>& tasks = steps_.at(id).tasks;
        return std::any_of(tasks.begin(), tasks.end(),
                           [](const tracked_task& task) {
                             return task.stage == task_stage::kWaiting;
                           });
      });
  if (!has_waiting) return;
  CollectUse(pass);
  std::vector<steps::open_step> open;
  for (const std::string& id : ids) {
    if (state_.Find(id) == nullptr) continue;
    open.push_back(DescribeStep(id, steps_.at(id), pass));
  }
  for (const steps::ordered_task& item : steps::OrderByUrgency(open)) {
    const start_outcome outcome =
        StartByPrediction({open[item.step].id, item.task}, pass);
    // The remaining tasks start when engines respond to the runs that are
    // starting.
    if (outcome == start_outcome::kNoRunner) return;
  }
}

// Tasks of one step must not keep those of another from starting: engines may
// be loading the weights that only one of them needs.
dispatcher::start_outcome dispatcher::StartByPrediction(const task_key& key,
                                                        dispatch_pass& pass) {
  if (!ChooseRunnerFor("", pass)) return start_outcome::kNoRunner;
  const auto item = FindCandidate(key);
  if (!item) return start_outcome::kDone;
  const std::string service(
      fleet::DrawService(*item->terms, routing::DrawShare()));
  const steps::submission& input = item->step->input;
  const pool_key key_of_pool(service, input.model, input.minimum_version);
  if (pass.full_pools.count(key_of_pool) != 0) return start_outcome::kDone;
  engine_pool& pool = FindPool(pass, service, input);
  UpdateLoads(pool, *item);
  const bool has_place = std::any_of(
      pool.loads.begin(), pool.loads.end(),
      [](const steps::engine_load& load) { return load.running < load.slots; });
  if (!has_place) {
    pass.full_pools.insert(key_of_pool);
    return start_outcome::kDone;
  }
  const steps::placement_task task = DescribeTask(key);
  const double slowdown = steps::SlowdownPerStream(EffectOf(service));
  steps::placement chosen =
      steps::Place(DescribeEngines(pool, service, pass), task, slowdown);
  const bool is_suspected =
      steps_.at(key.step).tasks[key.task].suspicion.crashes > 0;
  if (!chosen.engine && is_suspected) {
    AdmitExcluded(pool);
    chosen = steps::Place(DescribeEngines(pool, service, pass), task, slowdown);
  }
  if (!chosen.engine) {
    if (chosen.awaited) {
      // The next task that waits for this engine gets a later place.
      const steps::engine_load& awaited = pool.loads[*chosen.awaited];
      pass.use[awaited.incarnation].next_free += chosen.end / awaited.slots;
      const bool is_limit_reached =
          ++pass.waiting[key_of_pool] >= kMaxWaitingPerPass;
      if (is_limit_reached) pass.full_pools.insert(key_of_pool);
    }
    return start_outcome::kDone;
  }
  const fleet::endpoint& engine = *pool.endpoints[*chosen.engine];
  const std::optional<std::string> runner = ChooseRunnerFor(engine.zone, pass);
  if (!runner) return start_outcome::kNoRunner;
  if (runner->empty()) ++pass.starting;
  StartRun(*item, engine, *runner);
  engine_use& use = pass.use[engine.incarnation];
  use.next_free =
      use.runs == 0 ? chosen.end : std::min(use.next_free, chosen.end);
  ++use.runs;
  use.tokens += task.tokens;
  use.long_runs += item->is_long ? 1 : 0;
  return start_outcome::kDone;
}

std::vector<steps::placement_engine>& dispatcher::EnginesToMoveTo(
    const run& active, move_pass& pass) {
  const std::string& service = active.engine.service;
  const std::pair key(active.key.step, service);
  const auto known = pass.engines.find(key);
  if (known != pass.engines.end()) return known->second;
  if (pass.figures.use.empty()) CollectUse(pass.figures);
  const steps::submission& input = state_.Find(active.key.step)->input;
  const engine_pool& pool =
      CollectEngines({service, input.model, input.minimum_version});
  return pass.engines.emplace(key, DescribeEngines(pool, service, pass.figures))
      .first->second;
}

std::optional<dispatcher::planned_move> dispatcher::PlanMove(
    const std::shared_ptr<run>& active, move_pass& pass) {
  const std::string& service = active->engine.service;
  if (!UsesPrediction(service) || !MayMove(*active)) return std::nullopt;
  // Tasks suspected of crashing engines must not share one, which the choice
  // below does not check.
  if (active->suspicion.crashes > 0) return std::nullopt;
  const predicted_time usual = EventTimeOf(service, pass.figures);
  const double slowdown = steps::SlowdownPerStream(EffectOf(service));
  const engine_record& record = engines_[active->engine.incarnation];
  steps::placement_task task = DescribeTask(active->key);
  const predicted_time here =
      steps::TimeFor(steps::PaceOf(record.model, usual, clock_.Now()),
                     task.events, record.running - 1, slowdown);
  // Nothing is gained by moving a run from an engine of usual speed.
  if (here < kMinTimeToMove || here <= task.events * usual) return std::nullopt;
  std::vector<steps::placement_engine>& engines =
      EnginesToMoveTo(*active, pass);
  task.left_engine = active->engine.incarnation;
  const steps::placement best = steps::Place(engines, task, slowdown);
  if (!best.engine) return std::nullopt;
  steps::placement_engine& target = engines[*best.engine];
  const predicted_time there = best.end + kMoveTime;
  const bool is_same = target.incarnation == active->engine.incarnation;
  if (is_same || !steps::IsMoveWorthwhile(here, there)) return std::nullopt;
  ++target.running;
  target.used_tokens += task.tokens;
  return planned_move{active, here, there};
}

// A text that ends late on a slow engine delays its group, its step and the
// next steps of the trainer, also when the step is still in time.
void dispatcher::MoveByPrediction() {
  std::vector<planned_move> moves;
  move_pass pass;
  for (const auto& [key, active] : runs_) {
    auto move = PlanMove(active, pass);
    if (move) moves.push_back(std::move(*move));
  }
  for (const planned_move& item : moves) {
    LogEvent(event_id::kRunMoved,
             {{"step", item.moved->key.step},
              {"task", std::to_string(item.moved->key.task)},
              {"endpoint", item.moved->engine.incarnation},
              {"here_ms", MillisText(item.here)},
              {"there_ms", MillisText(item.there)}});
    MoveRun(item.moved);
  }
}

}  // namespace hickorywood::store
