#include "hickoryd/report.h"

#include <algorithm>
#include <memory>
#include <mutex>
#include <utility>

namespace hickorywood::hickoryd {
namespace {

const std::vector<std::chrono::minutes> kWindows = {std::chrono::minutes(5),
                                                    std::chrono::minutes(30),
                                                    std::chrono::minutes(60)};

}  // namespace

instance_status StatusFromView(const instance_context& context) {
  const auto view = context.view_holder.Get();
  const core::boot_time_point now = context.clock.BootNow();
  instance_status status;
  status.id = context.settings.id;
  status.site = context.settings.site;
  status.zone = context.settings.zone;
  status.is_draining = context.is_draining;
  status.is_ready = MayServe(*view, now) && !context.is_draining;
  status.is_site_dark = view->is_site_dark;
  status.revision = view->revision;
  const auto left =
      std::chrono::duration_cast<core::milliseconds>(view->lease_until - now);
  status.lease_left_ms = std::max<int64_t>(0, left.count());
  status.weights = view->weights;
  for (const auto* lists : {&view->engines, &view->services}) {
    for (const auto& [name, endpoints] : *lists) {
      for (const endpoint_view& endpoint : endpoints) {
        const membership::announcement& latest = endpoint.latest;
        status.endpoints.push_back({latest.id, latest.name, latest.address,
                                    latest.zone, latest.version, latest.running,
                                    latest.queued, latest.is_swapping});
      }
    }
  }
  return status;
}

instance_burn MakeBurn(const instance_context& context,
                       const rollout::burn_recorder& recorder) {
  instance_burn burn;
  burn.id = context.settings.id;
  burn.site = context.settings.site;
  const auto view = context.view_holder.Get();
  if (view->config) {
    const settings::objectives_config& objectives = view->config->objectives;
    burn.allowed_bad["trainer_idle"] = objectives.trainer_idle_share;
    burn.allowed_bad["fresh_samples"] = 1 - objectives.fresh_share;
    burn.allowed_bad["steps_on_time"] = 1 - objectives.steps_on_time_share;
    burn.allowed_bad["acknowledgement"] = 1 - objectives.acknowledgement_share;
  }
  burn.sums = rollout::SumBurn(recorder, kWindows, context.clock.WallNow());
  return burn;
}

void CallAllPeers(instance_context& context, const std::string& path,
                  const std::string& body, core::milliseconds timeout,
                  std::function<void(peer_answers)> done) {
  struct gathering {
    std::mutex mutex;
    peer_answers answers;
    size_t missing = 0;
    std::function<void(peer_answers)> done;
  };
  const std::vector<std::string>& others = context.links.Others();
  if (others.empty()) {
    done({});
    return;
  }
  auto state = std::make_shared<gathering>();
  state->missing = others.size();
  state->done = std::move(done);
  for (const std::string& peer : others) {
    context.links.Call(peer, path, body, timeout,
                       [state, peer](const transport::http_response& response) {
                         const bool is_answer =
                             response.how == transport::delivery::kAnswered &&
                             response.status == 200;
                         bool is_last = false;
                         {
                           const std::lock_guard<std::mutex> lock(state->mutex);
                           state->answers[peer] =
                               is_answer
                                   ? std::optional<std::string>(response.body)
                                   : std::nullopt;
                           is_last = --state->missing == 0;
                         }
                         if (is_last) state->done(state->answers);
                       });
  }
}

}  // namespace hickorywood::hickoryd
