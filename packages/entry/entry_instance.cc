#include "entry/entry_instance.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "access/caller_access.h"
#include "core/events.h"
#include "core/ids.h"
#include "duties/usage_counter.h"
#include "entry/place_client.h"
#include "entry/relay.h"
#include "entry/step_gateway.h"
#include "net/connection_pool.h"
#include "net/event.h"
#include "net/listener.h"
#include "peering/leader_caller.h"
#include "peering/view_follower.h"
#include "quarantine/crash_detector.h"

namespace hickorywood::entry {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;

// An entry without a configuration has no routes. It receives one after an
// election of the control group, which takes 450 to 900 ms after a restart of
// all instances.
constexpr milliseconds kRetryAfter{600};
constexpr milliseconds kDrainPoll{20};
// Time after which the memory of some answers is free again: most callers read
// an answer at once.
constexpr milliseconds kMemoryRetryAfter{500};
// A caller that is refused because this entry is out of contact should try
// another entry, which usually has contact.
constexpr milliseconds kOutOfContactRetryAfter{100};

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

peering::follower_options FollowerOptions(
    const settings::node_settings& settings) {
  peering::follower_options options;
  options.instance = settings.id;
  options.acts_on_config = true;
  options.scope = fleet::view_scope::kPlain;
  return options;
}

}  // namespace

struct entry_instance::impl {
  impl(asio::io_context& io, const core::runtime_clock& runtime,
       const settings::node_settings& node, const fleet::protocol& protocol,
       std::shared_ptr<net::request_memory> process_memory)
      : loop(io),
        clock(runtime),
        settings(node),
        wire(protocol),
        memory(std::move(process_memory)),
        pool(io),
        caller(pool, node.seeds),
        follower(runtime, caller, FollowerOptions(node)),
        crashes(io, runtime, pool, follower.View(),
                [this](fleet::crash_update update) {
                  return peering::SendCrashUpdate(caller, std::move(update));
                }),
        plain(io, runtime, pool, protocol, follower.View(), crashes, node.zone,
              [this](const std::string& customer,
                     core::boot_time_point began_at) {
                duties::CountRequest(usage, customer, began_at);
              }),
        places_caller(pool, node.seeds),
        places(io, runtime, places_caller, node.id, node.zone),
        stores_caller(pool, {}),
        gateway(runtime, protocol, stores_caller, node.DecodeBudget()),
        callers(io, CallerOptions(),
                [this](net::exchange& call) { return Serve(call); }),
        readiness(io, ReadinessOptions(), [this](net::exchange& call) {
          return AnswerReadiness(call);
        }) {
    lease.instance = node.id;
    lease.limits.apply = node.apply_limit;
    lease.limits.revocation = node.revocation_limit;
    usage.window = node.usage_window;
    FeedUsage();
    plain.places = [this] {
      const bool is_in_use =
          settings.shares_places && follower.View().config.needs_keys;
      return is_in_use ? &places : nullptr;
    };
    follower.OnChange([this](const fleet::view_update& update) {
      UpdateKeys();
      plain.OnEndpoints(update);
      crashes.OnView();
      stores_caller.SetInstances(peering::StoreAddresses(follower.View()));
      places_caller.SetInstances(follower.View().members.controllers);
    });
  }

  void FeedUsage() {
    if (usage.window.count() == 0) return;
    peering::usage_feed feed;
    feed.source = settings.id + "/" + core::RandomId();
    feed.pending = [this] {
      sent_usage = usage.changes;
      return duties::UnacknowledgedWindows(usage);
    };
    feed.received = [this](uint64_t term, std::optional<core::unix_time> time) {
      duties::Acknowledge(usage, term, sent_usage);
      if (time) duties::RecordLeaderTime(usage, *time, clock.BootNow());
    };
    follower.SetUsageFeed(std::move(feed));
  }

  void UpdateKeys() {
    const fleet::configuration& config = follower.View().config;
    if (config.version == keys_version) return;
    keys_version = config.version;
    keys = access::MakeKeyDirectory(config, key_secret);
  }

  net::listener_options CallerOptions() {
    net::listener_options options;
    options.address = settings.callers_address;
    options.limits = [this] { return Limits(); };
    options.memory = memory;
    options.customer = [this](const net::request& head) {
      return CustomerOf(head);
    };
    options.on_memory_shortage = [this] {
      return wire.EncodeFailure(
          kUnavailable, "the memory for callers is in use", kMemoryRetryAfter);
    };
    options.on_stall = [this](size_t unread) {
      LogEvent(event_id::kSlowReaderClosed,
               {{"bytes", std::to_string(unread)},
                {"held", std::to_string(memory->budget.total)}});
    };
    return options;
  }

  net::listener_options ReadinessOptions() {
    net::listener_options options;
    options.address = settings.readiness_address;
    options.limits = [] { return net::caller_limits{}; };
    options.memory = memory;
    return options;
  }

  // The configured limits. A limit that is not configured has the default of
  // the listener.
  net::caller_limits Limits() const {
    const fleet::request_limits& configured = follower.View().config.limits;
    net::caller_limits limits;
    if (configured.header_bytes > 0) {
      limits.header_bytes = static_cast<uint32_t>(configured.header_bytes);
    }
    if (configured.body_bytes > 0) {
      limits.body_bytes = static_cast<uint64_t>(configured.body_bytes);
    }
    if (configured.header_timeout_ms > 0) {
      limits.header_timeout = milliseconds(configured.header_timeout_ms);
    }
    if (configured.idle_timeout_ms > 0) {
      limits.idle_timeout = milliseconds(configured.idle_timeout_ms);
    }
    return limits;
  }

  // The customer that the memory of a request is charged to, before it is known
  // whether the request is granted.
  std::string CustomerOf(const net::request& head) const {
    const fleet::configuration& config = follower.View().config;
    if (!config.needs_keys) return "";
    const auto holder = access::FindHolder(keys, wire.CallerKey(head));
    return holder ? config.customers[*holder].name : "";
  }

  // An entry that may serve no routes or accept no keys would refuse nearly
  // every request, so the callers should use other entries.
  bool IsReady() {
    const fleet::configuration& config = follower.View().config;
    if (is_stopping || config.version == 0 || !MayServe()) return false;
    return !config.needs_keys ||
           access::MayAcceptKeys(follower.ConfirmedAt(), lease.limits,
                                 clock.BootNow());
  }

  bool MayServe() {
    return access::CheckLease(lease, follower.ConfirmedAt(),
                              follower.View().config.version, clock.BootNow());
  }

  awaitable<void> AnswerReadiness(net::exchange& call) {
    net::response answer;
    answer.status = IsReady() ? 200 : kUnavailable;
    co_await call.Reply(std::move(answer));
  }

  net::response Refuse(const net::request& input, int status,
                       const std::string& reason,
                       std::optional<milliseconds> retry_after) const {
    const bool is_denied = status == kUnauthorized;
    LogEvent(
        is_denied ? event_id::kAccessDenied : event_id::kRequestRefused,
        {{"request", wire.RequestId(input)},
         {"reason", reason},
         {"status", std::to_string(status)},
         {"configuration", std::to_string(follower.View().config.version)}});
    return wire.EncodeFailure(status, reason, retry_after);
  }

  access::access_decision Decide(const net::request& input,
                                 bool is_public) const {
    const std::string key = wire.CallerKey(input);
    access::access_input terms;
    terms.config = &follower.View().config;
    terms.keys = &keys;
    terms.key = key;
    terms.is_public = is_public;
    terms.confirmed_at = follower.ConfirmedAt();
    terms.limits = lease.limits;
    terms.now = clock.BootNow();
    return access::DecideAccess(terms);
  }

  // Returns the response to a request that is not granted.
  net::response RefuseAccess(const net::request& input,
                             access::access_outcome outcome) const {
    if (outcome == access::access_outcome::kUnknownKey) {
      return Refuse(input, kUnauthorized, "no customer holds this key",
                    std::nullopt);
    }
    return Refuse(input, kUnavailable,
                  "this instance is out of contact and can't check the key",
                  kOutOfContactRetryAfter);
  }

  // Returns the response to a request without a route.
  net::response RefuseRoute(const net::request& input) const {
    const bool is_certain =
        access::MayDeny(follower.ConfirmedAt(), lease.limits, clock.BootNow());
    if (is_certain) {
      return Refuse(input, kNotFound, "no route has this path", std::nullopt);
    }
    return Refuse(input, kUnavailable,
                  "this instance is out of contact and knows no such route",
                  kOutOfContactRetryAfter);
  }

  awaitable<void> Serve(net::exchange& call) {
    const net::request& input = call.Request();
    const fleet::configuration& config = follower.View().config;
    if (config.version == 0) {
      co_await call.Reply(Refuse(input, kUnavailable,
                                 "this instance has no configuration yet",
                                 kRetryAfter));
      co_return;
    }
    fleet::step_call step = wire.DecodeStepCall(input);
    const bool is_step = !std::holds_alternative<fleet::other_call>(step);
    // The calls about a submitted step need no route.
    if (!is_step && !MayServe()) {
      co_await call.Reply(
          Refuse(input, kUnavailable,
                 "this instance is out of contact and its routes may be old",
                 kOutOfContactRetryAfter));
      co_return;
    }
    const std::string_view host = net::Find(input.headers, "Host");
    const fleet::route* route =
        is_step ? nullptr
                : fleet::FindRoute(config, host, net::PathOf(input.target));
    if (!is_step && route == nullptr) {
      co_await call.Reply(RefuseRoute(input));
      co_return;
    }
    const bool is_public =
        is_step ? fleet::HasPublicSteps(config, host) : route->is_public;
    access::access_decision access = Decide(input, is_public);
    if (access.outcome != access::access_outcome::kGranted) {
      co_await call.Reply(RefuseAccess(input, access.outcome));
      co_return;
    }
    std::string customer = access.customer.value_or("");
    // Results that are ready are delivered, and steps are ended.
    const bool is_new_work = !is_step;
    const auto size = static_cast<int64_t>(input.body.size());
    const bool is_bounded = settings.bounds_held_memory && is_new_work;
    if (is_bounded && !MayBegin(memory->budget, customer, size)) {
      LogEvent(event_id::kMemoryBoundReached,
               {{"customer", customer},
                {"held", std::to_string(memory->budget.total)},
                {"limit", std::to_string(memory->budget.memory)}});
      co_await call.Reply(Refuse(input, kUnavailable,
                                 "the memory for callers is in use",
                                 kMemoryRetryAfter));
      co_return;
    }
    if (is_step) {
      co_await gateway.Serve(call, std::move(step), std::move(customer));
      co_return;
    }
    if (route->kind == fleet::route_kind::kRollout) {
      steps::accepted_route accepted{route->path_prefix, route->max_attempts,
                                     route->task_lifetime_ms};
      co_await gateway.Open(call, std::move(accepted), std::move(customer));
      co_return;
    }
    co_await plain.Serve(call, *route, std::move(access.customer));
  }

  awaitable<void> Stop() {
    is_stopping = true;
    LogEvent(event_id::kProcessStopping,
             {{"instance", settings.id},
              {"connections", std::to_string(callers.Connections())},
              {"in_flight", std::to_string(callers.InFlight())}});
    const core::time_point limit = clock.Now() + settings.drain_grace * 7 / 8;
    // Connected callers see "Connection: close" in the answers and connect to
    // another entry; new connections follow the readiness check.
    callers.BeginDrain();
    co_await net::Sleep(settings.drain_notice);
    callers.StopAccepting();
    while (callers.InFlight() > 0 && clock.Now() < limit) {
      co_await net::Sleep(kDrainPoll);
    }
    const bool is_late = callers.InFlight() > 0;
    LogEvent(is_late ? event_id::kDrainLimitPassed : event_id::kProcessStopped,
             {{"instance", settings.id},
              {"in_flight", std::to_string(callers.InFlight())}});
    loop.stop();
  }

  asio::io_context& loop;
  const core::runtime_clock& clock;
  const settings::node_settings settings;
  const fleet::protocol& wire;
  const std::shared_ptr<net::request_memory> memory;
  net::connection_pool pool;
  peering::leader_caller caller;
  peering::view_follower follower;
  quarantine::crash_detector crashes;
  relay plain;
  // Its short time limits must not disturb the calls of the follower.
  peering::leader_caller places_caller;
  place_client places;
  peering::leader_caller stores_caller;
  step_gateway gateway;
  net::listener callers;
  net::listener readiness;
  access::configuration_lease lease;
  const std::string key_secret = core::RandomId();
  access::key_directory keys;
  uint64_t keys_version = 0;  // of the configuration
  duties::usage_counter usage;
  uint64_t sent_usage = 0;  // its changes as of the latest request for a view
  bool is_stopping = false;
};

entry_instance::entry_instance(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               const settings::node_settings& settings,
                               const fleet::protocol& wire,
                               std::shared_ptr<net::request_memory> memory)
    : impl_(std::make_unique<impl>(loop, clock, settings, wire,
                                   std::move(memory))) {}

entry_instance::~entry_instance() = default;

bool entry_instance::Start() {
  if (!impl_->callers.Start() || !impl_->readiness.Start()) return false;
  impl_->crashes.Start();
  if (impl_->settings.shares_places) impl_->places.Start();
  asio::co_spawn(impl_->loop, impl_->follower.Run(), asio::detached);
  return true;
}

void entry_instance::Reload(const settings::node_settings& settings) {
  impl_->caller.SetSeeds(settings.seeds);
}

void entry_instance::BeginStop() {
  if (impl_->is_stopping) return;
  asio::co_spawn(impl_->loop, impl_->Stop(), asio::detached);
}

}  // namespace hickorywood::entry
