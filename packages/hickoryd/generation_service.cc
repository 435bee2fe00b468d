#include "hickoryd/generation_service.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include "core/ids.h"
#include "hickoryd/generation_state.h"

namespace hickorywood::hickoryd {
namespace {

constexpr core::milliseconds kTimerPeriod{20};
constexpr int kInteractivePriority = 0;
constexpr int kRolloutPriority = 10;
// Prompts with the same first kPrefixBytes bytes are assumed to share a cached
// prefix.
constexpr size_t kPrefixBytes = 256;

}  // namespace

const char* OutcomeName(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kNotRun:
      return "not_run";
    case request_outcome::kUnknown:
      return "unknown";
    case request_outcome::kRan:
      return "ran";
  }
  return "unknown";
}

generation_service::generation_service(instance_context& context,
                                       explain_log& explain,
                                       call_quarantine& quarantine,
                                       generation_policy policy)
    : context_(context),
      explain_(explain),
      quarantine_(quarantine),
      policy_(policy) {
  choice_.random.seed(std::random_device()());
}

void generation_service::Start() {
  context_.traffic.Every(kTimerPeriod, [this] { CheckTimers(); });
}

uint64_t generation_service::Begin(generation_request request,
                                   generation_callbacks callbacks) {
  const core::time_point now = context_.clock.Now();
  auto item = std::make_shared<generation>();
  item->id = next_id_++;
  item->generated = request.resume;
  item->request = std::move(request);
  item->callbacks = std::move(callbacks);
  item->arrived_at = now;
  // Includes the sample number: the samples of one prompt run concurrently, and
  // without it one crashed engine would be attributed to the prompt once per
  // sample.
  item->target = "/v1/completions#" + std::to_string(item->request.sample);
  const uint64_t id = item->id;
  active_[id] = item;

  const auto view = context_.view_holder.Get();
  const generation_request& submitted = item->request;
  if (!MayServe(*view, context_.clock.BootNow())) {
    Fail(*item, "this instance has no valid configuration lease",
         kNoEngineRetryAfter);
    return id;
  }
  const settings::pool_config* pool = FindPool(*view, submitted.pool);
  if (pool == nullptr) {
    Fail(*item, "no pool '" + submitted.pool + "' at this site",
         core::milliseconds(0));
    return id;
  }
  pool_state& state = pools_[submitted.pool];
  state.budget.share = view->config->routing.retry_budget;
  // The coordinator of a step limits how many of its requests are queued.
  // External callers are rejected as soon as their expected wait is too long.
  if (submitted.kind == routing::traffic_class::kInteractive) {
    const routing::admission_decision decision = routing::Admit(
        state.rate, state.queue.interactive.size(), pool->queue_wait);
    if (!decision.is_admitted) {
      Fail(*item, "the pool is overloaded", decision.retry_after);
      return id;
    }
  }
  const auto trainer = view->config->trainers.find(submitted.trainer);
  if (trainer != view->config->trainers.end()) {
    routing::SetWeight(state.queue, submitted.trainer, trainer->second.weight);
  }
  item->is_queued = true;
  routing::Push(state.queue, {id, submitted.trainer, submitted.kind,
                              submitted.max_tokens, now});
  Pump(submitted.pool);
  return id;
}

void generation_service::Cancel(uint64_t id) {
  const auto found = active_.find(id);
  if (found == active_.end()) return;
  const std::shared_ptr<generation> item = found->second;
  active_.erase(found);
  if (item->is_queued) routing::Remove(pools_[item->request.pool].queue, id);
  if (item->transfer != 0) {
    context_.client.Cancel(item->transfer);
    FinishAttempt(*item);
  }
  Pump(item->request.pool);
}

std::string generation_service::EngineOf(uint64_t id) const {
  const auto found = active_.find(id);
  return found == active_.end() ? "" : found->second->engine;
}

std::vector<std::string> generation_service::EngineIds(
    const std::string& pool) const {
  std::vector<std::string> ids;
  const auto view = context_.view_holder.Get();
  const settings::pool_config* config = FindPool(*view, pool);
  if (config == nullptr) return ids;
  const auto engines = view->engines.find(config->model);
  if (engines == view->engines.end()) return ids;
  for (const endpoint_view& engine : engines->second) {
    ids.push_back(engine.latest.id);
  }
  return ids;
}

int64_t generation_service::Capacity(const std::string& pool) const {
  const auto view = context_.view_holder.Get();
  const settings::pool_config* config = FindPool(*view, pool);
  if (config == nullptr) return 0;
  return static_cast<int64_t>(EngineIds(pool).size()) *
         config->engine_concurrency;
}

std::vector<routing::candidate> generation_service::Candidates(
    const routing_view& view, const settings::pool_config& pool,
    const generation& item, std::vector<endpoint_view>& endpoints) {
  const core::time_point now = context_.clock.Now();
  std::vector<routing::candidate> candidates;
  const auto engines = view.engines.find(pool.model);
  if (engines == view.engines.end()) return candidates;
  for (const endpoint_view& engine : engines->second) {
    const membership::announcement& latest = engine.latest;
    const bool is_fit = engine.expires_at > now && !latest.is_swapping &&
                        latest.version >= item.request.oldest_version;
    routing::endpoint_stats& stats = stats_[latest.id];
    if (!is_fit || !routing::IsAvailable(stats, now)) continue;
    uint64_t& seen = latest_report_seq_[latest.id];
    if (seen != latest.seq) {
      seen = latest.seq;
      stats.outstanding_at_report = stats.outstanding;
    }
    routing::candidate next;
    next.id = latest.id;
    next.is_same_zone = latest.zone == context_.settings.zone;
    next.reported_load = latest.running + latest.queued;
    next.outstanding = stats.outstanding;
    next.outstanding_at_report = stats.outstanding_at_report;
    next.allowed =
        routing::AllowedConcurrency(stats, pool.engine_concurrency, now);
    next.token_seconds = stats.token_seconds;
    candidates.push_back(next);
    endpoints.push_back(engine);
  }
  // Excludes the engine to avoid only if there is another candidate.
  const bool has_other =
      std::any_of(candidates.begin(), candidates.end(),
                  [&item](const routing::candidate& other) {
                    return other.id != item.request.avoid_engine;
                  });
  for (size_t i = 0; has_other && i < candidates.size(); ++i) {
    if (candidates[i].id == item.request.avoid_engine) {
      candidates[i].allowed = 0;
    }
  }
  return candidates;
}

void generation_service::Pump(const std::string& pool) {
  pool_state& state = pools_[pool];
  const core::time_point now = context_.clock.Now();
  std::vector<routing::waiting_request> early;
  while (const std::optional<routing::waiting_request> next =
             routing::Pop(state.queue)) {
    const auto found = active_.find(next->id);
    if (found == active_.end()) continue;
    const std::shared_ptr<generation> item = found->second;
    if (item->not_before > now) {
      early.push_back(*next);
      continue;
    }
    if (!Dispatch(pool, *item)) {
      routing::PutBack(state.queue, *next);
      break;
    }
  }
  for (auto item = early.rbegin(); item != early.rend(); ++item) {
    routing::PutBack(state.queue, *item);
  }
}

// False when no engine has room.
bool generation_service::Dispatch(const std::string& pool, generation& item) {
  if (FailIfQuarantined(item)) return true;
  const auto view = context_.view_holder.Get();
  const settings::pool_config* config = FindPool(*view, pool);
  if (config == nullptr) return false;
  std::vector<endpoint_view> endpoints;
  const std::vector<routing::candidate> candidates =
      Candidates(*view, *config, item, endpoints);
  const uint64_t prefix =
      core::Hash64(item.request.prompt.substr(0, kPrefixBytes));
  const std::optional<size_t> chosen =
      routing::ChooseEndpoint(policy_.choice, choice_, candidates, prefix);
  if (!chosen) return false;
  const routing::candidate& winner = candidates[*chosen];
  explain_.Add(item.request.id,
               "sent to " + winner.id + ": corrected load " +
                   std::to_string(routing::CorrectedLoad(winner)) + " among " +
                   std::to_string(candidates.size()) + " engines" +
                   (winner.is_same_zone ? ", same zone" : ", other zone"));
  item.is_queued = false;
  SendTo(item, endpoints[*chosen], *config);
  return true;
}

void generation_service::SendTo(generation& item, const endpoint_view& endpoint,
                                const settings::pool_config& pool) {
  const core::time_point now = context_.clock.Now();
  ++item.attempt;
  item.engine = endpoint.latest.id;
  item.announced = endpoint.latest;
  item.attempt_id = item.request.id + "-" + std::to_string(item.attempt);
  item.status = 0;
  item.has_end_mark = false;
  item.finish_reason.clear();
  item.stream = transport::completion_stream();
  item.attempt_started_at = now;
  item.progress_at = now;
  if (!policy_.resumes) item.generated = item.request.resume;
  item.attempt_first_token = item.generated.token_count;
  routing::endpoint_stats& stats = stats_[item.engine];
  ++stats.outstanding;

  transport::completion_request completion;
  completion.request_id = item.attempt_id;
  completion.prompt = item.request.prompt;
  completion.max_tokens = item.request.max_tokens;
  completion.priority =
      item.request.kind == routing::traffic_class::kInteractive
          ? kInteractivePriority
          : kRolloutPriority;
  completion.resume_text = item.generated.text;
  completion.resume_tokens = item.generated.token_count;

  transport::http_request request;
  request.url = "http://" + endpoint.latest.address + "/v1/completions";
  request.headers = {{"Content-Type", "application/json"}};
  request.name = {"X-Request-Id", item.attempt_id};
  request.body = transport::EncodeCompletionRequest(completion);
  request.connect_timeout =
      std::min(pool.progress_timeout, core::milliseconds(500));
  request.needs_fresh_connection =
      routing::NeedsNewConnection(stale_connections_, endpoint.latest.id, now);
  const uint64_t id = item.id;
  const uint64_t attempt = item.attempt;
  request.on_status = [this, id, attempt](int status) {
    context_.traffic.Post([this, id, attempt, status] {
      const auto found = active_.find(id);
      if (found != active_.end() && found->second->attempt == attempt) {
        found->second->status = status;
      }
    });
  };
  request.on_data = [this, id, attempt](std::string_view bytes) {
    context_.traffic.Post([this, id, attempt, text = std::string(bytes)] {
      HandleBytes(id, attempt, text);
    });
  };
  item.transfer = context_.client.Send(
      std::move(request),
      [this, id, attempt](const transport::http_response& response) {
        context_.traffic.Post([this, id, attempt, response] {
          HandleStreamEnd(id, attempt, response);
        });
      });
}

void generation_service::CheckTimers() {
  const core::time_point now = context_.clock.Now();
  const auto view = context_.view_holder.Get();
  std::vector<std::shared_ptr<generation>> overdue;
  std::vector<std::shared_ptr<generation>> stalled;
  for (const auto& [id, item] : active_) {
    const bool is_late = item->request.deadline != core::time_point{} &&
                         now >= item->request.deadline;
    if (is_late) {
      overdue.push_back(item);
      continue;
    }
    const settings::pool_config* pool = FindPool(*view, item->request.pool);
    if (item->transfer == 0 || pool == nullptr) continue;
    if (now - item->progress_at > pool->progress_timeout) {
      stalled.push_back(item);
    }
  }
  for (const auto& item : overdue) {
    if (item->transfer != 0) {
      context_.client.Cancel(item->transfer);
      item->was_maybe_sent = true;
      FinishAttempt(*item);
    }
    Fail(*item, "the deadline has passed", core::milliseconds(0));
  }
  for (const auto& item : stalled) {
    if (active_.count(item->id) == 0) continue;
    routing::RecordTimeout(stale_connections_, item->engine, now);
    HandleFailure(*item, "the engine sent no data within the progress timeout",
                  true);
  }
  for (const auto& [name, state] : pools_) {
    if (state.queue.size > 0) Pump(name);
  }
}

}  // namespace hickorywood::hickoryd
