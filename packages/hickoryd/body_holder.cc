#include "hickoryd/body_holder.h"

#include <utility>

#include "core/ids.h"

namespace hickorywood::hickoryd {
namespace {

constexpr core::milliseconds kCopyTimeout{2000};
constexpr core::milliseconds kFetchTimeout{1000};
constexpr core::milliseconds kSweepPeriod{10000};
// The control state retains a step for the same time.
constexpr core::milliseconds kIdleTime = std::chrono::hours(6);

}  // namespace

body_holder::body_holder(instance_context& context) : context_(context) {
  store_.byte_limit = static_cast<size_t>(context.settings.held_body_bytes);
}

void body_holder::Start() {
  context_.traffic.Every(kSweepPeriod, [this] {
    rollout::EvictIdleSteps(store_, context_.clock.Now(), kIdleTime);
  });
}

bool body_holder::Apply(const held_bodies& bodies) {
  const core::time_point now = context_.clock.Now();
  if (bodies.is_step_dropped) {
    rollout::RemoveStep(store_, bodies.step_key);
    return true;
  }
  for (const int64_t slot : bodies.dropped) {
    rollout::RemoveSample(store_, bodies.step_key, slot);
  }
  if (!bodies.spec.empty() &&
      !rollout::StoreSpec(store_, bodies.step_key, bodies.spec, now)) {
    return false;
  }
  for (const held_sample& sample : bodies.samples) {
    if (!rollout::StoreSample(store_, bodies.step_key, sample.slot, sample.body,
                              now)) {
      return false;
    }
  }
  return true;
}

held_bodies body_holder::Get(const std::string& step_key) const {
  held_bodies bodies;
  bodies.step_key = step_key;
  const rollout::stored_step* held = rollout::FindStoredStep(store_, step_key);
  if (held == nullptr) return bodies;
  bodies.spec = held->spec;
  for (const auto& [slot, body] : held->samples) {
    bodies.samples.push_back({slot, body});
  }
  return bodies;
}

const std::string* body_holder::FindSample(const std::string& step_key,
                                           int64_t slot) const {
  const rollout::stored_step* held = rollout::FindStoredStep(store_, step_key);
  if (held == nullptr) return nullptr;
  const auto found = held->samples.find(slot);
  return found == held->samples.end() ? nullptr : &found->second;
}

void body_holder::CopyTo(const std::string& peer, const held_bodies& bodies,
                         std::function<void(bool)> done) {
  context_.links.Call(
      peer, kStorePath, core::Encode(bodies), kCopyTimeout,
      [this, done = std::move(done)](const transport::http_response& response) {
        const bool is_stored = response.how == transport::delivery::kAnswered &&
                               response.status == 200;
        context_.traffic.Post([done, is_stored] { done(is_stored); });
      });
}

void body_holder::Fetch(const std::string& peer, const std::string& step_key,
                        std::function<void(std::optional<held_bodies>)> done) {
  context_.links.Call(
      peer, kFetchPath, core::Encode(held_bodies_request{step_key}),
      kFetchTimeout,
      [this, done = std::move(done)](const transport::http_response& response) {
        std::optional<held_bodies> bodies;
        if (response.how == transport::delivery::kAnswered &&
            response.status == 200) {
          bodies = core::Decode<held_bodies>(response.body);
        }
        context_.traffic.Post([done, bodies] { done(bodies); });
      });
}

std::string body_holder::ChooseBackup(const std::string& seed) const {
  const auto view = context_.view_holder.Get();
  const core::time_point now = context_.clock.Now();
  std::string best;
  uint64_t best_score = 0;
  bool is_best_elsewhere = false;
  for (const auto& [id, instance] : view->instances) {
    if (!IsAlive(instance, now) || instance.info.is_draining) continue;
    const bool is_elsewhere = instance.info.zone != context_.settings.zone;
    const uint64_t score = core::Hash64(seed + id);
    const bool is_better =
        best.empty() || (is_elsewhere && !is_best_elsewhere) ||
        (is_elsewhere == is_best_elsewhere && score > best_score);
    if (!is_better) continue;
    best = id;
    best_score = score;
    is_best_elsewhere = is_elsewhere;
  }
  return best;
}

}  // namespace hickorywood::hickoryd
