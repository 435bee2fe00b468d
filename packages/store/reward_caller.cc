#include "store/reward_caller.h"

#include <algorithm>
#include <utility>

#include "core/events.h"
#include "quarantine/suspect_separation.h"
#include "steps/reward_choice.h"
#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

using core::event_id;
using core::LogEvent;
using core::time_point;

// Timeout of requests of a route that has none configured.
constexpr milliseconds kDefaultTimeout{2000};

milliseconds RetryPauseAfter(const routing::send_outcome& outcome) {
  return std::max(kRetryPause, quarantine::PauseAfterCrash(outcome.crashes));
}

bool IsScored(const routing::send_outcome& outcome) {
  return outcome.answer && outcome.answer->status / 100 == 2;
}

}  // namespace

reward_caller::reward_caller(boost::asio::io_context& loop,
                             const core::runtime_clock& clock,
                             routing::request_sender& sender,
                             const fleet::protocol& wire,
                             const fleet::view& view)
    : loop_(loop), clock_(clock), sender_(sender), wire_(wire), view_(view) {}

void reward_caller::Add(reward_job job) {
  const auto new_job = std::make_shared<job_state>();
  const task_key key = job.key;
  new_job->job = std::move(job);
  jobs_[key] = new_job;
}

void reward_caller::SendWaiting() {
  const time_point now = clock_.Now();
  // Free slots of each route, computed once per pass. Computing them for each
  // job iterates over all endpoints and took an eighth of a busy leader's CPU
  // time.
  std::map<const fleet::route*, int64_t> free_slots;
  const auto free_slots_at =
      [this, &free_slots](const fleet::route* route) -> int64_t& {
    const auto [found, is_new] = free_slots.try_emplace(route, 0);
    if (is_new) found->second = FreeSlotsAt(*route);
    return found->second;
  };
  std::vector<steps::waiting_reward> waiting;
  std::vector<std::shared_ptr<job_state>> waiting_jobs;
  for (const auto& [key, job] : jobs_) {
    if (job->is_sent || job->not_before > now) continue;
    const fleet::route* route = RouteOf(job->job);
    if (route == nullptr || free_slots_at(route) <= 0) continue;
    steps::waiting_reward item;
    item.open_in_group = open_in_group(key);
    item.opened_at = job->job.opened_at;
    item.task = key.task;
    waiting.push_back(item);
    waiting_jobs.push_back(job);
  }
  for (const size_t index : steps::OrderRewards(waiting)) {
    const fleet::route* route = RouteOf(waiting_jobs[index]->job);
    int64_t& slots_left = free_slots_at(route);
    if (slots_left <= 0) continue;
    --slots_left;
    Start(waiting_jobs[index], *route);
  }
}

// Returns the route of a job in the current configuration, or nullptr if there
// is none, or one whose endpoints don't serve plain requests.
const fleet::route* reward_caller::RouteOf(const reward_job& job) const {
  const fleet::route* const found =
      fleet::FindRoute(view_.config, job.request.host, job.request.path);
  const bool is_plain =
      found != nullptr && (found->kind == fleet::route_kind::kIdempotent ||
                           found->kind == fleet::route_kind::kNonIdempotent);
  return is_plain ? found : nullptr;
}

int64_t reward_caller::SlotsOf(const fleet::route& route) const {
  int64_t slots = 0;
  for (const fleet::endpoint& item : view_.endpoints) {
    const bool is_open = item.state != fleet::endpoint_state::kDraining;
    const bool is_of_route =
        std::any_of(route.services.begin(), route.services.end(),
                    [&item](const fleet::weighted_service& service) {
                      return service.service == item.service;
                    });
    if (is_open && is_of_route) slots += item.slots;
  }
  return slots;
}

int64_t reward_caller::FreeSlotsAt(const fleet::route& route) {
  const route_state& state = routes_[route.name];
  return routing::MaxRequestsInFlight(state.limit, SlotsOf(route)) -
         state.running;
}

void reward_caller::Start(const std::shared_ptr<job_state>& job,
                          fleet::route route) {
  // A reward request may always be repeated, whatever the kind of its route.
  route.kind = fleet::route_kind::kIdempotent;
  const time_point started = clock_.Now();
  const milliseconds timeout =
      route.timeout_ms > 0 ? milliseconds(route.timeout_ms) : kDefaultTimeout;
  routing::send_terms terms;
  terms.route = route;
  terms.id = job->job.request.id;
  terms.is_batch = true;
  if (view_.config.needs_keys) terms.customer = job->job.customer;
  terms.deadline = started + timeout;
  job->is_sent = true;
  job->cancel = net::MakeCancelSignal();
  ++routes_[route.name].running;
  const auto send = [](routing::request_sender& sender, net::request input,
                       routing::send_terms agreed)
      -> boost::asio::awaitable<routing::send_outcome> {
    co_return co_await sender.Send(input, agreed);
  };
  net::SpawnCancellable(
      loop_, send(sender_, wire_.EncodeReward(job->job.request), terms),
      job->cancel,
      [this, job, route, started, cancel = job->cancel](
          const std::exception_ptr& failure,
          const routing::send_outcome& outcome) {
        --routes_[route.name].running;
        const auto found = jobs_.find(job->job.key);
        const bool is_current = found != jobs_.end() && found->second == job &&
                                job->cancel == cancel;
        if (!failure && is_current) FinishSend(job, route, started, outcome);
      });
}

void reward_caller::FinishSend(const std::shared_ptr<job_state>& job,
                               const fleet::route& route, time_point started,
                               const routing::send_outcome& outcome) {
  const time_point now = clock_.Now();
  const bool is_scored = IsScored(outcome);
  routing::adaptive_limit& limit = routes_[route.name].limit;
  if (outcome.refusals > 0) {
    routing::RecordRejected(limit, SlotsOf(route), now);
  } else if (outcome.answer) {
    routing::RecordServed(limit, SlotsOf(route));
  }
  job->job.failures += outcome.failed_answers;
  const bool is_abandoned =
      !is_scored && job->job.failures >= route.max_attempts;
  const auto call_time =
      std::chrono::duration_cast<milliseconds>(now - started);
  const int status = outcome.answer ? outcome.answer->status : 0;
  LogEvent(event_id::kRewardCallEnded,
           {{"step", job->job.key.step},
            {"task", std::to_string(job->job.key.task)},
            {"request", job->job.request.id},
            {"route", route.name},
            {"status", std::to_string(status)},
            {"endpoints", std::to_string(outcome.endpoints)},
            {"refusals", std::to_string(outcome.refusals)},
            {"failures", std::to_string(job->job.failures)},
            {"problem", outcome.problem},
            {"ms", std::to_string(call_time.count())}});
  job->is_sent = false;
  job->not_before = now + RetryPauseAfter(outcome);
  if (!is_scored && !is_abandoned) {
    if (outcome.failed_answers > 0) {
      on_failed(job->job.key, job->job.failures);
    }
    return;
  }
  const task_key key = job->job.key;
  jobs_.erase(key);
  if (is_scored) {
    on_finished(key, reward_outcome::kScored,
                wire_.DecodeMarks(*outcome.answer).signature);
  } else {
    on_finished(key, reward_outcome::kAbandoned, "");
  }
}

void reward_caller::CancelSend(job_state& job) {
  if (!job.is_sent) return;
  job.is_sent = false;
  const net::cancel_signal cancel = std::exchange(job.cancel, nullptr);
  net::Cancel(cancel);
}

void reward_caller::CancelTask(const task_key& key) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) return;
  const std::shared_ptr<job_state> job = found->second;
  jobs_.erase(found);
  CancelSend(*job);
}

void reward_caller::CancelStep(const std::string& step) {
  std::vector<task_key> ended;
  for (const auto& item : jobs_) {
    if (item.first.step == step) ended.push_back(item.first);
  }
  for (const task_key& key : ended) CancelTask(key);
}

void reward_caller::CancelAll() {
  Suspend();
  jobs_.clear();
}

void reward_caller::Suspend() {
  for (const auto& item : jobs_) CancelSend(*item.second);
}

}  // namespace hickorywood::store
