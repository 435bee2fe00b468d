#include "controller/weight_load_scheduler.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "core/events.h"
#include "duties/fencing.h"
#include "net/call.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;

constexpr milliseconds kPlanPeriod{200};
// Minimum interval between two planning rounds for each endpoint. A round
// visits each of them in about 1 us, so that planning takes at most a tenth of
// the loop.
constexpr std::chrono::microseconds kPlanPausePerEndpoint{10};
// The same relative to the time that the latest round took: a busy machine
// plans for longer than that.
constexpr int kPlanPausePerPlanTime = 10;
constexpr milliseconds kMaxPlanPause{1000};
constexpr milliseconds kCallTimeout{700};
// Maximum size of the answer to a report call or an order. Dozens of them are
// received at the same time.
constexpr size_t kMaxReplyBytes = 1024UL * 1024;
// Pause between the first two requests for a report while a load runs, and
// factor and maximum of the following ones. The next load waits for the report
// of the previous one, so a load near its usual time must be noticed at once.
// Each report needs a connection of its own, so one that takes much longer is
// asked for less often.
constexpr milliseconds kReportPause{30};
constexpr double kReportPauseGrowth = 1.5;
constexpr milliseconds kMaxReportPause{200};
// Share of the average load time after which the first report is requested. It
// is less than the full time, so that the average follows loads that became
// faster.
constexpr double kFirstReportShare = 0.97;
// Divisor of a new sample in the exponential smoothing.
constexpr int kSmoothingDivisor = 4;
// Bounds of the time that is assumed between two versions.
constexpr milliseconds kMinPublishPeriod{500};
constexpr milliseconds kMaxPublishPeriod{60000};
// After this time an order is abandoned and sent again.
constexpr milliseconds kLoadTimeout{6000};
// How long an engine that did not respond is excluded from planning. Heartbeats
// reveal a crash only after several seconds.
constexpr milliseconds kUnreachableTime{2000};
// Time after an election within which orders of the previous leader may still
// arrive: the timeout of a call, and the time that it is on its way.
constexpr milliseconds kSettleTime = kCallTimeout + milliseconds(300);
// Pause before another order to an engine that did not accept one.
constexpr milliseconds kRetryPause{700};

std::chrono::nanoseconds PlanPause(size_t endpoints,
                                   std::chrono::nanoseconds plan_time) {
  const std::chrono::nanoseconds by_endpoints =
      kPlanPausePerEndpoint * static_cast<int64_t>(endpoints);
  const std::chrono::nanoseconds by_time = kPlanPausePerPlanTime * plan_time;
  return std::max(by_endpoints,
                  std::min<std::chrono::nanoseconds>(by_time, kMaxPlanPause));
}

}  // namespace

weight_load_scheduler::weight_load_scheduler(
    asio::io_context& loop, const core::runtime_clock& clock,
    group::group_host& group, const control_state& state,
    net::connection_pool& pool, const fleet::protocol& wire,
    const fleet::endpoint_registry& registry, weight_table& table,
    weight_load_scheduler_options options)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      pool_(pool),
      wire_(wire),
      registry_(registry),
      table_(table),
      options_(std::move(options)),
      orders_(duties::BeginHistory(clock.BootNow())) {}

void weight_load_scheduler::Start() {
  asio::co_spawn(loop_, RunPlanLoop(), asio::detached);
}

bool weight_load_scheduler::MayOrder() const {
  duties::holder_terms terms;
  terms.is_leader = group_.IsServing();
  terms.leads_since = group_.LedSince();
  terms.holder_lease = options_.holder_lease;
  return duties::MayActInTurn(terms, orders_, kSettleTime, clock_.BootNow());
}

// Updates the average time between two versions of each model.
void weight_load_scheduler::RecordPublications() {
  const time_point now = clock_.Now();
  for (const auto& [model, version] : state_.Versions()) {
    publication& latest = publications_[model];
    if (version == latest.version) continue;
    if (latest.version != 0 && version == latest.version + 1) {
      const auto gap =
          std::chrono::duration_cast<milliseconds>(now - latest.published_at);
      const milliseconds sample =
          std::clamp(gap, kMinPublishPeriod, kMaxPublishPeriod);
      latest.period += (sample - latest.period) / kSmoothingDivisor;
    }
    latest.version = version;
    latest.published_at = now;
  }
}

awaitable<void> weight_load_scheduler::RunPlanLoop() {
  for (;;) {
    const bool is_idle = state_.Versions().empty() || !MayOrder();
    co_await wake_.WaitUntil(clock_.Now() +
                             (is_idle ? milliseconds(1000) : kPlanPeriod));
    // Ends of loads that came together are planned for together.
    const time_point next =
        planned_at_ + PlanPause(registry_.endpoints.size(), plan_time_);
    if (clock_.Now() < next) {
      co_await net::Sleep(std::chrono::ceil<milliseconds>(next - clock_.Now()));
    }
    planned_at_ = clock_.Now();
    RecordPublications();
    std::erase_if(order_sequences_, [this](const auto& item) {
      return registry_.endpoints.count(item.first) == 0;
    });
    if (!MayOrder()) continue;
    for (const fleet::service& service : state_.Config().services) {
      if (service.has_engines) PlanService(service);
    }
    plan_time_ = clock_.Now() - planned_at_;
  }
}

void weight_load_scheduler::PlanService(const fleet::service& service) {
  load_plan_input input;
  const std::map<std::string, double> weights =
      WeightsOf(service.engine.models, table_.demands);
  for (const std::string& model : service.engine.models) {
    const auto found = publications_.find(model);
    if (found == publications_.end()) continue;
    plannable_model& terms = input.models[model];
    terms.newest = found->second.version;
    terms.period = found->second.period;
    terms.weight = weights.at(model);
    const auto peak = table_.peak_tasks.find(model);
    if (peak != table_.peak_tasks.end()) terms.peak_tasks = peak->second;
  }
  if (input.models.empty()) return;
  input.load_time = load_time_;
  const time_point now = clock_.Now();
  for (const auto& [incarnation, entry] : registry_.endpoints) {
    if (entry.item.service != service.name ||
        entry.item.state == fleet::endpoint_state::kDraining) {
      continue;
    }
    // Excluded, so that another engine is chosen in its place.
    const auto until = unreachable_until_.find(incarnation);
    if (until != unreachable_until_.end() && until->second > now) continue;
    const bool is_loading = loads_in_progress_.count(incarnation) != 0;
    const auto avoid = avoid_until_.find(incarnation);
    plannable_engine engine;
    engine.incarnation = incarnation;
    engine.slots = entry.item.slots;
    engine.is_usable = !is_loading &&
                       entry.item.state == fleet::endpoint_state::kReady &&
                       (avoid == avoid_until_.end() || avoid->second <= now);
    if (is_loading) ++input.loads_in_progress;
    input.engines.push_back(engine);
  }
  for (const planned_load& load : PlanLoads(table_, input)) StartLoad(load);
}

void weight_load_scheduler::StartLoad(const planned_load& load) {
  const fleet::endpoint target = registry_.endpoints.at(load.incarnation).item;
  loads_in_progress_.insert(load.incarnation);
  SetLoading(table_, load.incarnation, load.target.model);
  if (on_change) on_change();
  asio::co_spawn(
      loop_, Load(load, target),
      [this, load, started = clock_.Now()](const std::exception_ptr& failure,
                                           load_outcome outcome) {
        const auto took =
            std::chrono::duration_cast<milliseconds>(clock_.Now() - started);
        LogEvent(event_id::kWeightsLoaded,
                 {{"endpoint", load.incarnation},
                  {"model", load.target.model},
                  {"version", std::to_string(load.target.version)},
                  {"done", outcome == load_outcome::kDone ? "true" : "false"},
                  {"under_way", std::to_string(loads_in_progress_.size())},
                  {"usual_ms", std::to_string(load_time_.count())},
                  {"ms", std::to_string(took.count())}});
        loads_in_progress_.erase(load.incarnation);
        SetLoading(table_, load.incarnation, "");
        if (failure || outcome != load_outcome::kDone) {
          avoid_until_[load.incarnation] = clock_.Now() + kRetryPause;
        }
        if (outcome == load_outcome::kUnreachable) {
          unreachable_until_[load.incarnation] =
              clock_.Now() + kUnreachableTime;
        }
        if (on_change) on_change();
        wake_.Notify();
      });
}

bool weight_load_scheduler::IsLoaded(const planned_load& load) const {
  return VersionAt(table_, load.incarnation, load.target.model).value_or(0) >=
         load.target.version;
}

awaitable<weight_load_scheduler::load_outcome> weight_load_scheduler::Load(
    planned_load load, fleet::endpoint target) {
  if (order_sequences_.count(load.incarnation) == 0) {
    const auto before = co_await Report(target);
    if (!before) co_return load_outcome::kUnreachable;
    RecordReport(load, *before);
    if (IsLoaded(load)) co_return load_outcome::kDone;
    if (before->is_busy) co_return load_outcome::kRetryLater;
    order_sequences_[load.incarnation] = before->order_sequence;
  }
  if (!MayOrder()) co_return load_outcome::kRetryLater;
  // Known again when a report shows that this order was executed.
  const uint64_t sequence = order_sequences_[load.incarnation];
  order_sequences_.erase(load.incarnation);
  const auto outcome = co_await Order(load, target, sequence);
  if (outcome == fleet::order_outcome::kFenced) co_return load_outcome::kFenced;
  const bool is_accepted = !outcome ||
                           *outcome == fleet::order_outcome::kStarted ||
                           *outcome == fleet::order_outcome::kAlreadyDone;
  if (!is_accepted) co_return load_outcome::kRetryLater;
  const time_point started = clock_.Now();
  co_await net::Sleep(
      std::chrono::duration_cast<milliseconds>(kFirstReportShare * load_time_));
  milliseconds pause = kReportPause;
  while (clock_.Now() - started < kLoadTimeout && group_.IsServing()) {
    const auto after = co_await Report(target);
    if (after) {
      RecordReport(load, *after);
      if (IsLoaded(load)) {
        order_sequences_[load.incarnation] = after->order_sequence;
        const auto took =
            std::chrono::duration_cast<milliseconds>(clock_.Now() - started);
        load_time_ += (took - load_time_) / kSmoothingDivisor;
        co_return load_outcome::kDone;
      }
      // The order got no response and is not being executed. It may still
      // arrive, but its precondition fails once another order was accepted.
      if (!outcome && !after->is_busy) co_return load_outcome::kRetryLater;
    }
    co_await net::Sleep(pause);
    pause = std::min(kMaxReportPause, std::chrono::duration_cast<milliseconds>(
                                          kReportPauseGrowth * pause));
  }
  co_return load_outcome::kRetryLater;
}

awaitable<std::optional<fleet::endpoint_report>> weight_load_scheduler::Report(
    const fleet::endpoint& target) {
  net::call_options options;
  options.connect_deadline = clock_.Now() + kCallTimeout;
  options.deadline = options.connect_deadline;
  options.body_limit = kMaxReplyBytes;
  const net::request input = wire_.EncodeReportCall(target.name);
  const net::call_result result =
      co_await net::Call(pool_, target.address, input, options);
  if (result.how != net::progress::kAnswered) co_return std::nullopt;
  auto report = wire_.DecodeReport(result.answer);
  // The report is of another incarnation under the same name, which has its own
  // entry in the table.
  const bool is_other_incarnation =
      report && report->started_ms && *report->started_ms != target.started_ms;
  if (is_other_incarnation) co_return std::nullopt;
  co_return report;
}

awaitable<std::optional<fleet::order_outcome>> weight_load_scheduler::Order(
    const planned_load& load, const fleet::endpoint& target,
    uint64_t expected_sequence) {
  fleet::load_order order;
  order.endpoint = target.name;
  order.target = load.target;
  order.mode = fleet::swap_mode::kRetain;
  order.holder = options_.holder;
  order.fencing_token = group_.Term();
  order.expected_sequence = expected_sequence;
  net::call_options options;
  options.connect_deadline = clock_.Now() + kCallTimeout;
  options.deadline = options.connect_deadline;
  options.body_limit = kMaxReplyBytes;
  const net::request input = wire_.EncodeOrder(order);
  duties::RecordAct(orders_, group_.LedSince(), clock_.BootNow());
  const net::call_result result =
      co_await net::Call(pool_, target.address, input, options);
  std::optional<fleet::order_outcome> outcome;
  if (result.how == net::progress::kAnswered) {
    outcome = wire_.DecodeOrderAnswer(result.answer.status);
  }
  LogEvent(event_id::kOrderSent,
           {{"endpoint", load.incarnation},
            {"model", load.target.model},
            {"version", std::to_string(load.target.version)},
            {"token", std::to_string(order.fencing_token)},
            {"sequence", std::to_string(expected_sequence)},
            {"status", outcome ? std::to_string(result.answer.status)
                               : "none: " + result.error}});
  co_return outcome;
}

void weight_load_scheduler::RecordReport(const planned_load& load,
                                         const fleet::endpoint_report& report) {
  for (const fleet::model_version& item : report.models) {
    RecordVersion(table_, load.incarnation, item.model, item.version);
  }
}

}  // namespace hickorywood::controller
