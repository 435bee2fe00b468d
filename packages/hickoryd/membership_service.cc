#include "hickoryd/membership_service.h"

#include <random>
#include <utility>

#include "core/events.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;

constexpr core::milliseconds kRoundPeriod{500};
constexpr core::milliseconds kPublishPeriod{50};
// Delay that collects the changes of one burst.
constexpr core::milliseconds kBurstDelay{20};
constexpr core::milliseconds kExchangeTimeout{1000};
constexpr core::milliseconds kRenewRetry{50};
constexpr char kExchangeMethod[] = "membership.exchange";

}  // namespace

membership_service::membership_service(instance_context& context,
                                       leader_client& leader)
    : context_(context), leader_(leader) {
  exchange_.random.seed(std::random_device()());
}

void membership_service::Start() {
  context_.control.Every(kRoundPeriod, [this] { RunRound(); });
  context_.control.Every(kPublishPeriod, [this] { Publish(); });
  context_.control.After(core::milliseconds(0), [this] { RenewLease(); });
}

membership::instance_info membership_service::SelfInfo() const {
  const settings::instance_settings& settings = context_.settings;
  return {settings.id,
          context_.boot,
          settings.site,
          settings.zone,
          context_.clock.BootNow() < lease_until_,
          context_.is_draining,
          view_.revision};
}

bool membership_service::Announce(const membership::announcement& input) {
  const std::optional<membership::announcement> checked =
      membership::CheckAnnouncement(input);
  if (!checked) return false;
  const membership::merge_result result = membership::Merge(
      exchange_.table, *checked, core::milliseconds(checked->lease_ms),
      context_.clock.Now());
  if (result == membership::merge_result::kRefused) {
    LogEvent(event_id::kAnnouncementRefused,
             {{"endpoint", input.id}, {"reason", core::LastReason().text}});
    return false;
  }
  needs_publish_ = true;
  if (result == membership::merge_result::kChanged) {
    HandleTableChanges({checked->id});
  }
  return true;
}

membership::exchange_message membership_service::AnswerExchange(
    const membership::exchange_message& request) {
  std::vector<std::string> changed;
  membership::exchange_message reply = membership::AnswerRequest(
      exchange_, SelfInfo(), request, context_.clock.Now(), changed);
  needs_publish_ = true;
  HandleTableChanges(changed);
  return reply;
}

void membership_service::HandleTableChanges(
    const std::vector<std::string>& changed) {
  for (const std::string& id : changed) {
    const auto found = exchange_.table.records.find(id);
    if (found == exchange_.table.records.end()) continue;
    const membership::announcement& latest = found->second.latest;
    LogEvent(
        latest.is_leaving ? event_id::kEndpointLeft : event_id::kEndpointJoined,
        {{"endpoint", id},
         {"name", latest.name},
         {"address", latest.address},
         {"version", std::to_string(latest.version)}});
  }
  // Joins, departures and new versions are sent immediately instead of with the
  // next round.
  if (!changed.empty() && !is_round_due_) {
    is_round_due_ = true;
    context_.control.After(kBurstDelay, [this] {
      is_round_due_ = false;
      RunRound();
    });
  }
}

void membership_service::RunRound() {
  for (const std::string& peer :
       membership::PickPeers(exchange_, context_.links.Others())) {
    ExchangeWith(peer);
  }
}

void membership_service::ExchangeWith(const std::string& peer) {
  const membership::exchange_message request = membership::MakeRequest(
      exchange_, SelfInfo(), peer, context_.clock.Now());
  context_.links.CallRpc(
      peer, kExchangeMethod, core::Encode(request), kExchangeTimeout,
      [this, up_to = request.up_to](const std::optional<std::string>& payload) {
        if (!payload) return;
        const std::optional<membership::exchange_message> reply =
            core::Decode<membership::exchange_message>(*payload);
        if (!reply) return;
        context_.control.Post([this, up_to, reply] {
          std::vector<std::string> changed;
          membership::MergeReply(exchange_, *reply, up_to, context_.clock.Now(),
                                 changed);
          needs_publish_ = true;
          HandleTableChanges(changed);
        });
      });
}

void membership_service::ExpireEndpoints() {
  for (const std::string& id :
       membership::ExpireLeases(exchange_.table, context_.clock.Now())) {
    LogEvent(event_id::kEndpointLeaseExpired, {{"endpoint", id}});
    needs_publish_ = true;
  }
}

void membership_service::RenewLease() {
  if (is_released_ || is_renewing_) return;
  is_renewing_ = true;
  control::view_request request;
  request.instance = context_.settings.id;
  request.boot = context_.boot;
  request.site = context_.settings.site;
  request.version = view_.version;
  request.revision = view_.revision;
  request.is_first = context_.clock.BootNow() >= lease_until_;
  const core::boot_time_point sent_at = context_.clock.BootNow();
  leader_.RenewView(
      request,
      [this, sent_at](const std::optional<control::view_reply>& reply) {
        is_renewing_ = false;
        ApplyView(sent_at, reply);
        const bool is_granted = reply && reply->is_granted;
        context_.control.After(is_granted ? core::milliseconds(0) : kRenewRetry,
                               [this] { RenewLease(); });
      });
}

void membership_service::ApplyView(
    core::boot_time_point sent_at,
    const std::optional<control::view_reply>& reply) {
  if (!reply || !reply->is_granted || is_released_) return;
  // A reply that arrives after a newer one must not restore the old
  // configuration.
  if (reply->is_changed && reply->view.version < view_.version) return;
  if (reply->is_changed) {
    const uint64_t earlier = view_.revision;
    view_ = reply->view;
    if (view_.revision != earlier) {
      std::map<std::string, settings::config_text> overlays;
      const std::string& site = context_.settings.site;
      if (!view_.overlay.text.empty()) {
        overlays[site] = {view_.overlay.file, view_.overlay.text};
      }
      config_ = settings::ConfigForSite({view_.base.file, view_.base.text},
                                        overlays, site);
      LogEvent(event_id::kConfigurationInForce,
               {{"revision", std::to_string(view_.revision)}});
    }
  }
  // The lease starts when the request was sent; the leader starts its own count
  // later.
  lease_until_ = sent_at + core::milliseconds(reply->lease_ms);
  was_lease_live_ = true;
  needs_publish_ = true;
  Publish();
}

void membership_service::ReleaseLease() {
  if (is_released_) return;
  is_released_ = true;
  lease_until_ = core::boot_time_point{};
  needs_publish_ = true;
  Publish();
  control::view_request request;
  request.instance = context_.settings.id;
  request.is_release = true;
  leader_.RenewView(request,
                    [](const std::optional<control::view_reply>& /*reply*/) {});
}

// A single instance without a lease must not serve, because the other instances
// may have a newer revision. When a majority of the site has no lease, the
// site is unreachable. The leader accepts changes only while a majority of each
// site has leases, so the last revision is still in force.
bool membership_service::IsSiteUnreachable(core::time_point now) const {
  size_t instances = 1;
  size_t without_lease = 1;
  for (const settings::peer_settings& peer : context_.settings.peers) {
    if (peer.site != context_.settings.site) continue;
    ++instances;
    const auto found = exchange_.peers.find(peer.id);
    if (found == exchange_.peers.end()) continue;
    const instance_view view{found->second.info, found->second.last_contact_at};
    if (!IsAlive(view, now)) continue;
    if (view.info.holds_lease) return false;
    ++without_lease;
  }
  return without_lease * 2 > instances;
}

void membership_service::Publish() {
  ExpireEndpoints();
  const core::time_point now = context_.clock.Now();
  const bool has_lease = context_.clock.BootNow() < lease_until_;
  if (was_lease_live_ && !has_lease && !is_released_) {
    was_lease_live_ = false;
    needs_publish_ = true;
    LogEvent(event_id::kConfigurationLeaseExpired,
             {{"revision", std::to_string(view_.revision)}});
  }
  if (!needs_publish_ && has_lease) return;
  needs_publish_ = false;
  auto view = std::make_shared<routing_view>();
  view->revision = view_.revision;
  view->config = config_;
  view->lease_until = lease_until_;
  view->is_site_dark = !has_lease && !is_released_ && IsSiteUnreachable(now);
  view->weights = view_.weights;
  for (const auto& [id, record] : exchange_.table.records) {
    if (!membership::IsServing(record, now)) continue;
    const bool is_engine =
        record.latest.kind == membership::endpoint_kind::kEngine;
    auto& list =
        (is_engine ? view->engines : view->services)[record.latest.name];
    list.push_back({record.latest, record.received_at, record.expires_at});
  }
  for (const auto& [id, peer] : exchange_.peers) {
    view->instances[id] = {peer.info, peer.last_contact_at};
  }
  context_.view_holder.Publish(std::move(view));
}

}  // namespace hickorywood::hickoryd
