#include "hickoryd/order_service.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/events.h"
#include "transport/engine_protocol.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;

constexpr core::milliseconds kPlanPeriod{50};
constexpr core::milliseconds kSendTimeout{1000};

}  // namespace

order_service::order_service(instance_context& context, replica_host& host,
                             membership_service& membership)
    : context_(context), host_(host), membership_(membership) {}

void order_service::Start() {
  context_.control.Every(kPlanPeriod, [this] { Plan(); });
}

void order_service::Plan() {
  control::replica& replica = host_.Replica();
  const core::time_point now = context_.clock.Now();
  if (!replica.IsServing()) return;
  // Engines that ignore fencing numbers can't distinguish an old leader's order
  // from a new one. An order that the old leader sent just before its lease
  // expired may still arrive within the send timeout.
  if (context_.clock.BootNow() - replica.ElectedAt() < kSendTimeout) return;
  if (tracker_.term != replica.Term()) {
    control::StartOrderTracker(tracker_, replica.Term(), now);
  }
  if (replica.State().weights.empty()) return;

  RefreshConfigs();
  plan_input input;
  for (const auto& item : context_.links.SiteSizes()) {
    AddSite(item.first, now, input);
  }
  for (const control::planned_order& order : control::PlanOrders(
           tracker_, input.engines, input.targets, input.limits, now)) {
    Send(order);
  }
}

void order_service::RefreshConfigs() {
  const control::control_state& state = host_.Replica().State();
  if (configs_revision_ == state.revision) return;
  configs_revision_ = state.revision;
  configs_.clear();
  for (const auto& item : context_.links.SiteSizes()) {
    std::optional<settings::site_config> config =
        control::SiteConfig(state, item.first);
    if (config) configs_[item.first] = std::move(*config);
  }
}

// Adds the engines of one site. The pools of each site are planned separately,
// because each site has its own swap floor.
void order_service::AddSite(const std::string& site, core::time_point now,
                            plan_input& input) const {
  const control::control_state& state = host_.Replica().State();
  const auto config = configs_.find(site);
  if (config == configs_.end()) return;
  const settings::weights_config& weights = config->second.weights;
  input.limits = {weights.orders_per_second, weights.order_timeout};
  std::map<std::string, std::string> key_of_model;
  for (const auto& [name, pool] : config->second.pools) {
    const std::string key = site + "/" + name;
    key_of_model[pool.model] = key;
    const auto version = state.weights.find(name);
    if (version != state.weights.end()) {
      input.targets[key] = {version->second, pool.swap_floor};
    }
  }
  for (const auto& [id, record] : membership_.Table().records) {
    const membership::announcement& latest = record.latest;
    const auto key = key_of_model.find(latest.name);
    const bool is_engine = latest.kind == membership::endpoint_kind::kEngine &&
                           latest.site == site;
    if (!is_engine || !membership::IsServing(record, now) ||
        key == key_of_model.end()) {
      continue;
    }
    input.engines.push_back(
        {id, latest.address, key->second, latest.version, latest.is_swapping});
  }
}

void order_service::Send(const control::planned_order& order) {
  // Checked again directly before sending, because the process may have been
  // suspended after planning.
  if (!host_.Replica().IsServing()) return;
  transport::http_request request;
  request.url = "http://" + order.address + "/v1/orders";
  request.headers = {{"Content-Type", "application/json"}};
  if (!context_.settings.tokens.endpoints.empty()) {
    request.headers.push_back(
        {"Authorization", "Bearer " + context_.settings.tokens.endpoints});
  }
  request.body = transport::EncodeOrder(
      {transport::order_kind::kLoadVersion, order.fence, order.version, ""});
  request.total_timeout = kSendTimeout;
  request.is_single_shot = true;
  LogEvent(event_id::kOrderSent, {{"engine", order.engine},
                                  {"version", std::to_string(order.version)},
                                  {"fence", std::to_string(order.fence)}});
  context_.client.Send(
      std::move(request),
      [this, order](const transport::http_response& response) {
        if (response.how == transport::delivery::kAnswered &&
            response.status < 300) {
          return;
        }
        context_.control.Post([this, order, response] {
          LogEvent(event_id::kOrderFailed,
                   {{"engine", order.engine},
                    {"status", std::to_string(response.status)},
                    {"error", response.error}});
          // An order that was sent but got no response may be executed. It
          // stays open until the engine reports or the order times out.
          const bool is_known_not_executed =
              response.how != transport::delivery::kMaybeSent;
          if (is_known_not_executed) {
            control::RecordOrderFailure(tracker_, order.engine);
          }
        });
      });
}

}  // namespace hickorywood::hickoryd
