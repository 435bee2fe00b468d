#include "controller/server_orderer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "duties/fencing.h"
#include "net/call.h"
#include "net/event.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;
using std::chrono::seconds;

constexpr milliseconds kPeriod{500};
constexpr milliseconds kCallTimeout{2000};
// Time after an election in which all live endpoints have sent heartbeats.
constexpr seconds kRegistrationTime{10};
// An endpoint without a heartbeat for this long is missing. Most endpoints that
// crash are back sooner.
constexpr seconds kMissingAfter{10};
// Pause after the provider had no servers in a zone, or accepted no call.
constexpr seconds kUnavailablePause{5};
// An unanswered call may still be executed for this long. Where the provider
// does not check tokens, a later call must not be overtaken by it.
constexpr seconds kLostCallTime{6};
constexpr milliseconds kRetryPause{1000};
// Age from which reported figures of the load are not used.
constexpr seconds kLoadLifetime{5};

server_target MakeTarget(const std::string& service, const std::string& zone,
                         scaling::server_kind kind, int64_t count) {
  return {service, zone, kind == scaling::server_kind::kSpot, count};
}

}  // namespace

server_orderer::server_orderer(
    asio::io_context& loop, const core::runtime_clock& clock,
    group::group_host& group, const control_state& state,
    const fleet::endpoint_registry& registry, net::connection_pool& pool,
    const fleet::protocol& wire, server_orderer_options options)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      registry_(registry),
      pool_(pool),
      wire_(wire),
      options_(std::move(options)) {}

void server_orderer::Start() {
  if (!options_.is_enabled) return;
  asio::co_spawn(loop_, RunLoop(), asio::detached);
}

void server_orderer::BeginTerm() {
  records_.clear();
  loads_.clear();
  changed_at_.clear();
  leads_since_ = clock_.Now();
  calls_ = 0;
}

void server_orderer::RecordDemands(
    const std::vector<fleet::service_demand>& demands) {
  if (!options_.is_enabled) return;
  const time_point now = clock_.Now();
  for (const fleet::service_demand& item : demands) {
    load_record& record = loads_[item.service];
    scaling::service_load& load = record.load;
    const bool is_gap = now - record.received_at > kLoadLifetime;
    record.received_at = now;
    load.running = item.running;
    load.waiting = item.waiting;
    load.longest_wait = milliseconds(item.longest_wait_ms);
    load.nearest_due = milliseconds(item.nearest_due_ms);
    int64_t places = 0;
    for (const auto& [incarnation, entry] : registry_.endpoints) {
      if (entry.item.service == item.service) places += entry.item.slots;
    }
    const bool is_idle = item.waiting == 0 && 2 * item.peak_running < places;
    if (!is_idle || is_gap) {
      load.idle_since = is_idle ? now : time_point::max();
      load.peak_running = 0;
    } else if (load.idle_since == time_point::max()) {
      load.idle_since = now;
    }
    load.peak_running = std::max(load.peak_running, item.peak_running);
  }
}

void server_orderer::RecordHeartbeat(const fleet::heartbeat& input) {
  if (!options_.is_enabled || !input.is_spot || input.leaves_ms == 0) return;
  order_record& record = records_[{input.service, input.zone, true}];
  const bool is_known = clock_.Now() - record.reclaimed_at < kMissingAfter;
  record.reclaimed_at = clock_.Now();
  if (is_known) return;
  LogEvent(event_id::kServersReclaimed,
           {{"service", input.service},
            {"zone", input.zone},
            {"ms", std::to_string(input.leaves_ms)}});
}

bool server_orderer::MayAct() const {
  duties::holder_terms terms;
  terms.is_leader = group_.IsServing();
  terms.leads_since = group_.LedSince();
  terms.holder_lease = options_.holder_lease;
  terms.is_fenced = options_.is_fenced;
  return duties::MayAct(terms, clock_.BootNow());
}

awaitable<void> server_orderer::RunLoop() {
  for (;;) {
    co_await net::Sleep(kPeriod);
    const bool is_settled = clock_.Now() - leads_since_ >= kRegistrationTime;
    if (!is_settled || !MayAct()) continue;
    // Copied, because the configuration may change while an order is sent.
    const std::vector<fleet::service> services = state_.Config().services;
    for (const fleet::service& service : services) {
      if (service.has_scaling && MayAct()) {
        co_await Plan(service);
      }
    }
  }
}

awaitable<void> server_orderer::Plan(const fleet::service& service) {
  const scaling::plan_input input = Describe(service);
  const bool is_recorded = co_await RecordFirstTargets(service.name, input);
  if (!is_recorded) co_return;
  const auto order = scaling::PlanServers(input, clock_.Now());
  if (!order) co_return;
  const server_target target =
      MakeTarget(service.name, order->zone, order->kind, order->count);
  const auto recorded =
      state_.ServerTarget(target.service, target.zone, target.is_spot);
  if (recorded != target.count) {
    changed_at_[service.name] = clock_.Now();
    std::vector<server_target> changed = {target};
    if (order->moved_from) {
      changed.push_back(MakeTarget(service.name, order->moved_from->zone,
                                   order->moved_from->kind,
                                   order->moved_from->count));
    }
    const bool is_committed = co_await CommitTargets(std::move(changed));
    if (!is_committed) co_return;
  }
  co_await Order(service.name, *order);
}

scaling::plan_input server_orderer::Describe(
    const fleet::service& service) const {
  scaling::plan_input input;
  input.terms = service.scaling;
  const time_point now = clock_.Now();
  std::map<std::pair<std::string, bool>, scaling::server_group> groups;
  for (const auto& [zone, price] : service.scaling.zone_prices) {
    groups[{zone, false}];
    if (service.scaling.spot_price > 0) groups[{zone, true}];
  }
  const auto load = loads_.find(service.name);
  const bool is_load_known =
      load != loads_.end() && now - load->second.received_at < kLoadLifetime;
  if (is_load_known) input.load = load->second.load;
  const auto changed = changed_at_.find(service.name);
  if (changed != changed_at_.end()) input.changed_at = changed->second;
  for (const auto& [incarnation, entry] : registry_.endpoints) {
    if (entry.item.service != service.name) continue;
    input.load.slots = std::max(input.load.slots, entry.item.slots);
    scaling::server_group& group =
        groups[{entry.item.zone, entry.item.is_spot}];
    const bool is_leaving =
        entry.item.state == fleet::endpoint_state::kDraining;
    const bool is_missing = now - entry.last_heartbeat_at > kMissingAfter;
    if (is_leaving) {
      ++group.leaving;
    } else if (is_missing) {
      ++group.silent;
    } else {
      ++group.present;
    }
  }
  for (auto& [key, group] : groups) {
    const auto& [zone, is_spot] = key;
    group.zone = zone;
    group.kind =
        is_spot ? scaling::server_kind::kSpot : scaling::server_kind::kRegular;
    group.target = state_.ServerTarget(service.name, zone, is_spot);
    const auto record = records_.find({service.name, zone, is_spot});
    if (record != records_.end()) {
      group.ordered_at = record->second.ordered_at;
      group.unavailable_until = record->second.unavailable_until;
      group.reclaimed_at = record->second.reclaimed_at;
      group.blocked_until = record->second.blocked_until;
    }
    input.groups.push_back(group);
  }
  return input;
}

awaitable<bool> server_orderer::RecordFirstTargets(
    const std::string& service, const scaling::plan_input& input) {
  std::vector<server_target> first;
  for (const scaling::server_group& group : input.groups) {
    if (group.target) continue;
    first.push_back(MakeTarget(service, group.zone, group.kind,
                               scaling::FirstTarget(group)));
  }
  if (first.empty()) co_return true;
  // The next pass uses the recorded numbers, or repeats a failed commit.
  co_await CommitTargets(std::move(first));
  co_return false;
}

awaitable<bool> server_orderer::CommitTargets(
    std::vector<server_target> targets) {
  const set_servers_command command{std::move(targets)};
  const auto result =
      co_await group_.Commit(kSetServersCommand, core::EncodeBinary(command));
  co_return result.is_committed;
}

awaitable<void> server_orderer::Order(const std::string& service,
                                      const scaling::planned_order& order) {
  // The lease may have ended during the commit, and the configuration may have
  // changed.
  const fleet::service* const terms =
      fleet::FindService(state_.Config(), service);
  if (!MayAct() || terms == nullptr || !terms->has_scaling) co_return;
  const bool is_spot = order.kind == scaling::server_kind::kSpot;
  fleet::server_order call;
  call.service = service;
  call.zone = order.zone;
  call.is_spot = is_spot;
  call.count = order.count;
  call.holder = options_.holder;
  call.fencing_token = duties::FencingToken(group_.Term(), ++calls_);
  net::call_options options;
  options.connect_deadline = clock_.Now() + kCallTimeout;
  options.deadline = options.connect_deadline;
  const net::request request = wire_.EncodeServerOrder(call);
  const net::call_result result =
      co_await net::Call(pool_, options_.address, request, options);
  const bool is_answered = result.how == net::progress::kAnswered;
  const time_point now = clock_.Now();
  order_record& record = records_[{service, order.zone, is_spot}];
  record.last_outcome = is_answered ? std::to_string(result.answer.status)
                                    : "no answer: " + result.error;
  bool is_accepted = false;
  if (is_answered) {
    const auto outcome = wire_.DecodeServerOrderAnswer(result.answer.status);
    is_accepted = outcome == fleet::server_order_outcome::kAccepted;
    if (is_accepted) {
      record.ordered_at = now;
    } else if (outcome == fleet::server_order_outcome::kUnavailable) {
      record.unavailable_until = now + kUnavailablePause;
    } else if (outcome == fleet::server_order_outcome::kTooManyCalls) {
      record.blocked_until = now + kRetryPause;
    }
  }
  const bool is_unknown =
      !is_answered || wire_.DecodeServerOrderAnswer(result.answer.status) ==
                          fleet::server_order_outcome::kRejected;
  if (is_unknown) {
    // A service and a zone are one subject, so the pause holds for both kinds.
    const auto pause = options_.is_fenced
                           ? std::chrono::duration_cast<seconds>(kRetryPause)
                           : kLostCallTime;
    records_[{service, order.zone, true}].blocked_until = now + pause;
    records_[{service, order.zone, false}].blocked_until = now + pause;
  }
  LogEvent(
      is_accepted ? event_id::kServersOrdered : event_id::kServerOrderFailed,
      {{"service", service},
       {"zone", order.zone},
       {"kind", scaling::KindName(order.kind)},
       {"count", std::to_string(order.count)},
       {"reason", order.reason},
       {"token", std::to_string(call.fencing_token)},
       {"status", record.last_outcome}});
}

std::string server_orderer::Report() const {
  nlohmann::json services = nlohmann::json::array();
  for (const fleet::service& service : state_.Config().services) {
    if (!service.has_scaling) continue;
    nlohmann::json groups = nlohmann::json::array();
    for (const scaling::server_group& group : Describe(service).groups) {
      const bool is_spot = group.kind == scaling::server_kind::kSpot;
      const auto record = records_.find({service.name, group.zone, is_spot});
      groups.push_back(
          {{"zone", group.zone},
           {"kind", scaling::KindName(group.kind)},
           {"present", group.present},
           {"silent", group.silent},
           {"leaving", group.leaving},
           {"target",
            group.target ? nlohmann::json(*group.target) : nlohmann::json()},
           {"last_order",
            record == records_.end() ? "" : record->second.last_outcome}});
    }
    services.push_back({{"service", service.name}, {"groups", groups}});
  }
  const nlohmann::json report = {{"is_enabled", options_.is_enabled},
                                 {"services", services}};
  return report.dump();
}

}  // namespace hickorywood::controller
