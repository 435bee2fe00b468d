#include "hickoryd/step_service.h"

#include <algorithm>
#include <utility>

#include "core/events.h"
#include "core/ids.h"
#include "hickoryd/step_service_state.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;
using core::milliseconds;

constexpr milliseconds kRunPeriod{20};
constexpr milliseconds kFailedSamplePause{100};
// Generations of one step that may be queued in the pool in addition to those
// that its engines can run.
constexpr int64_t kQueuedBeyondCapacity = 16;

}  // namespace

step_service::step_service(instance_context& context,
                           generation_service& generations,
                           leader_client& leader, body_holder& bodies,
                           rollout::burn_recorder& burn, bool hedging_enabled)
    : context_(context),
      generations_(generations),
      leader_(leader),
      bodies_(bodies),
      burn_(burn),
      hedging_enabled_(hedging_enabled) {}

void step_service::Start() {
  context_.traffic.Every(kRunPeriod, [this] { RunSteps(); });
}

void step_service::Release() {
  is_released_ = true;
  std::vector<step_ptr> all;
  for (const auto& item : steps_) all.push_back(item.second);
  for (const step_ptr& step : all) StopStep(step, "the instance is stopping");
}

void step_service::RunSteps() {
  std::vector<step_ptr> all;
  for (const auto& item : steps_) all.push_back(item.second);
  for (const step_ptr& step : all) {
    LaunchSamples(step);
    Replicate(step);
    ServePulls(step);
  }
}

void step_service::LaunchSamples(const step_ptr& step) {
  const core::time_point now = context_.clock.Now();
  if (rollout::IsPastDeadline(step->run, now)) return;
  const auto view = context_.view_holder.Get();
  const settings::pool_config* pool = FindPool(*view, step->run.spec.pool);
  if (pool == nullptr) return;
  const int64_t limit =
      generations_.Capacity(step->run.spec.pool) + kQueuedBeyondCapacity;
  const auto running = static_cast<int64_t>(step->generations.size());
  if (running >= limit) return;
  const rollout::hedge_policy hedging{
      pool->hedge_after, pool->hedge_token_budget, hedging_enabled_};
  for (const rollout::launch& launch : rollout::NextLaunches(
           step->run, hedging, now, static_cast<size_t>(limit - running))) {
    BeginSample(step, launch, *pool);
  }
}

void step_service::BeginSample(const step_ptr& step,
                               const rollout::launch& launch,
                               const settings::pool_config& pool) {
  const rollout::step_spec& spec = step->run.spec;
  generation_request request;
  request.id = spec.step + "." + std::to_string(launch.slot) + "." +
               std::to_string(step->run.epoch) + "." +
               std::to_string(launch.attempt);
  request.pool = spec.pool;
  request.prompt =
      spec.prompts[static_cast<size_t>(launch.slot / spec.samples_per_prompt)];
  request.sample = launch.slot % spec.samples_per_prompt;
  request.max_tokens = spec.max_tokens;
  request.trainer = spec.trainer;
  request.resume = launch.resume;
  request.oldest_version =
      CurrentVersion(spec.pool, step->trainer_version) - pool.staleness_bound;
  if (launch.is_hedge) {
    for (const rollout::attempt& other :
         step->run.slots[static_cast<size_t>(launch.slot)].attempts) {
      const auto running = step->generations.find(other.id);
      if (running != step->generations.end()) {
        request.avoid_engine = generations_.EngineOf(running->second);
      }
    }
  }
  generation_callbacks callbacks;
  callbacks.on_progress = [step, launch](const rollout::generated_text& so_far,
                                         const std::string& /*piece*/) {
    rollout::RecordProgress(step->run, launch.slot, launch.attempt, so_far);
  };
  callbacks.on_done = [this, step, launch](const generation_result& result) {
    HandleSampleResult(step, launch, result);
  };
  step->generations[launch.attempt] = 0;
  const uint64_t id =
      generations_.Begin(std::move(request), std::move(callbacks));
  // A generation that was rejected immediately has finished already.
  const auto running = step->generations.find(launch.attempt);
  if (running != step->generations.end()) running->second = id;
}

void step_service::HandleSampleResult(const step_ptr& step,
                                      const rollout::launch& launch,
                                      const generation_result& result) {
  step->generations.erase(launch.attempt);
  if (step->is_stopped) return;
  const core::time_point now = context_.clock.Now();
  if (!result.is_complete || !rollout::IsLabelComplete(result.generated)) {
    rollout::RecordFailed(step->run, launch.slot, launch.attempt, now,
                          std::max(kFailedSamplePause, result.crash_pause));
    return;
  }
  rollout::sample sample;
  sample.slot = launch.slot;
  sample.prompt = launch.slot / step->run.spec.samples_per_prompt;
  sample.finish_reason = result.finish_reason;
  sample.generated = result.generated;
  sample.engine = result.engine;
  const rollout::completion_result outcome =
      rollout::RecordComplete(step->run, launch.attempt, sample, now);
  for (const uint64_t loser : outcome.cancel_attempts) {
    const auto running = step->generations.find(loser);
    if (running == step->generations.end()) continue;
    generations_.Cancel(running->second);
    step->generations.erase(running);
  }
  if (!outcome.is_accepted) return;
  held_bodies bodies;
  bodies.step_key = step->key;
  bodies.samples.push_back({sample.slot, core::Encode(sample)});
  if (!bodies_.Apply(bodies)) {
    // The body store is full. The sample is generated again later, since it
    // must not be delivered from a single copy.
    step->run.slots[static_cast<size_t>(sample.slot)].state =
        rollout::slot_state::kRunning;
    rollout::RecordFailed(step->run, sample.slot, launch.attempt, now,
                          kFailedSamplePause);
    return;
  }
  step->to_replicate.push_back(sample.slot);
  LaunchSamples(step);
}

// Copies complete samples to the second holder, one message at a time.
void step_service::Replicate(const step_ptr& step) {
  if (step->to_replicate.empty() || step->is_copying) return;
  if (bodies_.IsAlone()) {
    for (const int64_t slot : step->to_replicate) {
      rollout::RecordReplicated(step->run, slot);
    }
    step->to_replicate.clear();
    return;
  }
  held_bodies copy;
  copy.step_key = step->key;
  const bool has_new_backup = step->backup.empty();
  if (has_new_backup) {
    step->backup = bodies_.ChooseBackup(step->key);
    if (step->backup.empty()) return;  // no live peer; retried later
    copy = bodies_.Get(step->key);     // all undelivered bodies
  } else {
    for (const int64_t slot : step->to_replicate) {
      const std::string* body = bodies_.FindSample(step->key, slot);
      if (body != nullptr) copy.samples.push_back({slot, *body});
    }
  }
  step->is_copying = true;
  const std::vector<int64_t> slots = std::move(step->to_replicate);
  step->to_replicate.clear();
  bodies_.CopyTo(step->backup, copy, [this, step, slots](bool is_stored) {
    step->is_copying = false;
    if (step->is_stopped) return;
    if (is_stored) {
      for (const int64_t slot : slots) {
        rollout::RecordReplicated(step->run, slot);
      }
      ServePulls(step);
      return;
    }
    step->backup.clear();
    step->to_replicate.insert(step->to_replicate.end(), slots.begin(),
                              slots.end());
  });
}

int64_t step_service::CurrentVersion(const std::string& pool,
                                     int64_t trainer_version) const {
  const auto view = context_.view_holder.Get();
  const auto published = view->weights.find(pool);
  return published == view->weights.end()
             ? trainer_version
             : std::max(trainer_version, published->second);
}

void step_service::Pull(const pull_request& request, completion done) {
  const std::string key = control::StepKey(request.pool, request.step);
  const core::time_point now = context_.clock.Now();
  const auto found = steps_.find(key);
  if (found != steps_.end()) {
    const step_ptr step = found->second;
    waiting_pull pull;
    pull.request = request;
    pull.done = std::move(done);
    pull.arrived_at = now;
    pull.answer_at =
        now + milliseconds(std::clamp<int64_t>(request.wait_ms, 0, kMaxWaitMs));
    step->pulls.push_back(std::move(pull));
    ServePulls(step);
    return;
  }
  if (request.is_forwarded) {
    done(FailureReply(404, "not_run", "the step is not coordinated here",
                      milliseconds(0)));
    return;
  }
  FindCoordinator(request, done, now + kFindLimit);
}

void step_service::StopStep(const step_ptr& step, const std::string& reason) {
  if (step->is_stopped) return;
  step->is_stopped = true;
  steps_.erase(step->key);
  for (const auto& [attempt, generation] : step->generations) {
    generations_.Cancel(generation);
  }
  step->generations.clear();
  std::vector<waiting_pull> pulls = std::move(step->pulls);
  step->pulls.clear();
  for (const waiting_pull& pull : pulls) {
    pull.done(FailureReply(503, "not_run", reason, kPullRetryAfter));
  }
}

}  // namespace hickorywood::hickoryd
