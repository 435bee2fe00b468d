#include "controller/controller.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "controller/control_api.h"
#include "controller/heartbeat_forwarder.h"
#include "controller/leader_service.h"
#include "controller/place_holder.h"
#include "controller/server_orderer.h"
#include "controller/usage_reporter.h"
#include "controller/weight_load_scheduler.h"
#include "core/events.h"
#include "group/group_host.h"
#include "group/leader_calls.h"
#include "net/connection_pool.h"
#include "net/listener.h"
#include "peering/leader_caller.h"
#include "peering/peer_interface.h"
#include "peering/view_follower.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;

// Time after which the memory of some calls is free again: most take less.
constexpr milliseconds kMemoryRetryAfter{500};
constexpr int kUnavailable = 503;
// An endpoint is unresponsive after this many missed heartbeats, plus a second
// for delays.
constexpr int kMaxMissedHeartbeats = 3;
constexpr std::chrono::seconds kHeartbeatDelay{1};
// Endpoints often open a new connection for each heartbeat. With a longer
// timeout, the idle connections of 3,000 endpoints that report each second
// exceed the limit on file descriptors. An endpoint that reuses its connection
// sends the next heartbeat within this time.
constexpr std::chrono::seconds kControlIdleTimeout{3};
// Time for the leadership transfer to reach the successor before the listeners
// close.
constexpr milliseconds kLeadershipTransferTime{300};

constexpr char kGroupName[] = "control";
// Voters of the control group. Five tolerate the loss of two.
constexpr size_t kVoters = 5;

weight_load_scheduler_options SchedulerOptions(
    const settings::node_settings& settings) {
  weight_load_scheduler_options options;
  options.holder = settings.id;
  options.holder_lease = settings.holder_lease;
  return options;
}

usage_reporter_options ReporterOptions(
    const settings::node_settings& settings) {
  usage_reporter_options options;
  options.is_enabled = settings.reports_usage;
  options.holder = settings.id;
  options.address = settings.provider_address;
  options.window = settings.usage_window;
  options.due = settings.usage_due;
  options.holder_lease = settings.holder_lease;
  options.is_fenced = settings.is_provider_fenced;
  return options;
}

server_orderer_options OrdererOptions(const settings::node_settings& settings) {
  server_orderer_options options;
  options.is_enabled = settings.orders_servers;
  options.holder = settings.id;
  options.address = settings.provider_address;
  options.holder_lease = settings.holder_lease;
  options.is_fenced = settings.is_provider_fenced;
  return options;
}

peering::follower_options FollowerOptions(
    const settings::node_settings& settings) {
  peering::follower_options options;
  options.instance = settings.id;
  options.heartbeat_address = settings.control_address;
  return options;
}

}  // namespace

struct controller::impl {
  impl(asio::io_context& io, const core::runtime_clock& runtime,
       const settings::node_settings& node, const fleet::protocol& wire,
       const std::shared_ptr<net::request_memory>& memory)
      : loop(io),
        clock(runtime),
        settings(node),
        pool(io),
        group(io, runtime, group::MakeGroupSettings(node, kGroupName, kVoters),
              pool, state),
        stores_caller(pool, {}),
        usage(io, runtime, group, state, pool, wire, ReporterOptions(node)),
        service(io, runtime, group, state, registry, weights, usage,
                stores_caller),
        load_scheduler(io, runtime, group, state, pool, wire, registry, weights,
                       SchedulerOptions(node)),
        servers(io, runtime, group, state, registry, pool, wire,
                OrdererOptions(node)),
        places(io, runtime, group, state, registry, node.shares_places),
        caller(pool, node.seeds),
        follower(runtime, caller, FollowerOptions(node)),
        heartbeats(io, runtime, caller),
        api(wire, caller, heartbeats),
        peers(io, peering::PeerListenerOptions(node.peers_address, memory),
              [this](net::exchange& call) { return ServePeer(call); }),
        control(io, ControlListenerOptions(node, wire, memory),
                [this](net::exchange& call) { return api.Serve(call); }) {
    registry.options.unresponsive_after =
        node.endpoint_heartbeat * kMaxMissedHeartbeats + kHeartbeatDelay;
    service.SetHeartbeatAddress(node.control_address);
    api.heartbeat_address = [this](const std::string& endpoint) {
      return service.HeartbeatAddressFor(endpoint);
    };
    caller.ServeLocally(
        node.peers_address, [this](std::string method, std::string payload) {
          return service.Handle(std::move(method), std::move(payload));
        });
    Connect();
  }

  static net::listener_options ControlListenerOptions(
      const settings::node_settings& node, const fleet::protocol& wire,
      std::shared_ptr<net::request_memory> memory) {
    net::listener_options options;
    options.address = node.control_address;
    options.memory = std::move(memory);
    options.on_memory_shortage = [&wire] {
      return wire.EncodeFailure(kUnavailable, "the memory for calls is in use",
                                kMemoryRetryAfter);
    };
    const uint64_t body_bytes = node.ControlBodyLimit();
    options.limits = [body_bytes] {
      net::caller_limits limits;
      limits.idle_timeout = kControlIdleTimeout;
      limits.body_bytes = std::min(limits.body_bytes, body_bytes);
      return limits;
    };
    return options;
  }

  void Connect() {
    group.on_leadership = [this](bool is_leader) {
      if (is_leader) {
        servers.BeginTerm();
        places.BeginTerm();
      }
      service.OnLeadership(is_leader, follower.View());
      load_scheduler.Wake();
    };
    group.on_applied = [this] {
      service.OnApplied();
      load_scheduler.Wake();
      places.OnEndpoints();
    };
    group.on_failure = [this] { loop.stop(); };
    service.on_endpoints = [this] {
      load_scheduler.Wake();
      places.OnEndpoints();
    };
    service.on_heartbeat = [this](const fleet::heartbeat& input) {
      servers.RecordHeartbeat(input);
    };
    service.on_demands = [this](const auto& demands) {
      servers.RecordDemands(demands);
    };
    service.handlers[peering::kScalingMethod] =
        [this](std::string) -> awaitable<peering::envelope> {
      co_return group::Done(servers.Report());
    };
    service.handlers[peering::kUsageMethod] =
        [this](std::string) -> awaitable<peering::envelope> {
      co_return group::Done(usage.Report());
    };
    service.handlers[peering::kBorrowPlacesMethod] = [this](std::string call) {
      return places.Borrow(std::move(call));
    };
    service.handlers[peering::kReturnPlacesMethod] = [this](std::string call) {
      return places.Return(std::move(call));
    };
    load_scheduler.on_change = [this] { service.OnWeightsChanged(); };
    follower.OnChange([this](const fleet::view_update& /*update*/) {
      stores_caller.SetInstances(peering::StoreAddresses(follower.View()));
      group.SetContacts(Contacts());
    });
    group.SetContacts(settings.seeds);
    group.SetAnnounced(settings.seeds);
  }

  // Control instances that can admit this one to the group: the seeds and those
  // of the view.
  std::vector<std::string> Contacts() const {
    std::vector<std::string> contacts = settings.seeds;
    const std::vector<std::string>& controllers =
        follower.View().members.controllers;
    contacts.insert(contacts.end(), controllers.begin(), controllers.end());
    return contacts;
  }

  awaitable<void> ServePeer(net::exchange& call) {
    return peering::ServePeer(
        call,
        [this](std::string payload) {
          return group.Receive(std::move(payload));
        },
        [this](std::string method, std::string payload) {
          return HandleCall(std::move(method), std::move(payload));
        });
  }

  awaitable<peering::envelope> HandleCall(std::string method,
                                          std::string payload) {
    if (method == peering::kLeaderAnnouncementMethod) {
      co_return group::HandleAnnouncement(group, payload);
    }
    co_return co_await service.Handle(std::move(method), std::move(payload));
  }

  awaitable<void> Stop() {
    LogEvent(event_id::kProcessStopping, {{"instance", settings.id}});
    group.TransferLeadership();
    co_await net::Sleep(kLeadershipTransferTime);
    control.BeginDrain();
    control.StopAccepting();
    peers.StopAccepting();
    const core::time_point limit = clock.Now() + settings.drain_grace / 2;
    while (control.InFlight() > 0 && clock.Now() < limit) {
      co_await net::Sleep(milliseconds(20));
    }
    LogEvent(event_id::kProcessStopped, {{"instance", settings.id}});
    loop.stop();
  }

  asio::io_context& loop;
  const core::runtime_clock& clock;
  settings::node_settings settings;
  net::connection_pool pool;
  fleet::endpoint_registry registry;
  weight_table weights;
  control_state state;
  group::group_host group;
  peering::leader_caller stores_caller;
  usage_reporter usage;
  leader_service service;
  weight_load_scheduler load_scheduler;
  server_orderer servers;
  place_holder places;
  peering::leader_caller caller;
  peering::view_follower follower;
  heartbeat_forwarder heartbeats;
  control_api api;
  net::listener peers;
  net::listener control;
};

controller::controller(asio::io_context& loop, const core::runtime_clock& clock,
                       const settings::node_settings& settings,
                       const fleet::protocol& wire,
                       const std::shared_ptr<net::request_memory>& memory)
    : impl_(std::make_unique<impl>(loop, clock, settings, wire, memory)) {}

controller::~controller() = default;

bool controller::Start() {
  if (!impl_->peers.Start() || !impl_->control.Start()) return false;
  if (!impl_->group.Start()) return false;
  // All instances get the same seeds at the first start, so they choose the
  // same founder without communication.
  const settings::node_settings& settings = impl_->settings;
  const bool is_founder = settings.is_first_start && !settings.seeds.empty() &&
                          settings.seeds.front() == settings.peers_address;
  if (is_founder) impl_->group.Bootstrap();
  impl_->service.Start();
  impl_->load_scheduler.Start();
  impl_->usage.Start();
  impl_->servers.Start();
  impl_->places.Start();
  impl_->heartbeats.Start();
  asio::co_spawn(impl_->loop, impl_->follower.Run(), asio::detached);
  return true;
}

void controller::Reload(const settings::node_settings& settings) {
  impl_->settings.seeds = settings.seeds;
  impl_->caller.SetSeeds(settings.seeds);
  impl_->group.SetContacts(impl_->Contacts());
  impl_->group.SetAnnounced(settings.seeds);
}

void controller::BeginStop() {
  asio::co_spawn(impl_->loop, impl_->Stop(), asio::detached);
}

bool controller::HasFailed() const { return impl_->group.HasFailed(); }

}  // namespace hickorywood::controller
