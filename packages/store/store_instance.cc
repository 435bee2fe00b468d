#include "store/store_instance.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <vector>

#include "access/configuration_lease.h"
#include "core/events.h"
#include "group/group_host.h"
#include "net/connection_pool.h"
#include "net/event.h"
#include "net/listener.h"
#include "peering/leader_caller.h"
#include "peering/peer_interface.h"
#include "peering/view_follower.h"
#include "quarantine/crash_detector.h"
#include "store/dispatcher.h"
#include "store/remote_runner.h"
#include "store/step_service.h"
#include "store/step_state.h"

namespace hickorywood::store {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;

constexpr char kGroupName[] = "data";
// Time for a leadership transfer to reach the successor before the listener
// closes.
constexpr milliseconds kLeadershipTransferTime{300};

peering::follower_options FollowerOptions(
    const settings::node_settings& settings) {
  peering::follower_options options;
  options.instance = settings.id;
  options.store_address = settings.peers_address;
  options.acts_on_config = true;
  return options;
}

remote_runner_options RunnerOptions(const settings::node_settings& settings) {
  return {settings.peers_address, settings.zone};
}

step_service_options ServiceOptions(const settings::node_settings& settings) {
  step_service_options options;
  options.step_retention = settings.step_retention;
  options.min_stores = settings.DataVoters();
  options.task_budget = settings.TaskBudget();
  return options;
}

}  // namespace

struct store_instance::impl {
  impl(asio::io_context& io, const core::runtime_clock& runtime,
       const settings::node_settings& node, const fleet::protocol& wire,
       const std::shared_ptr<net::request_memory>& memory)
      : loop(io),
        clock(runtime),
        settings(node),
        pool(io),
        state(node.OutputBudget()),
        group(io, runtime,
              group::MakeGroupSettings(node, kGroupName, node.DataVoters()),
              pool, state),
        caller(pool, node.seeds),
        follower(runtime, caller, FollowerOptions(node)),
        service(io, runtime, group, state, ServiceOptions(node)),
        crashes(io, runtime, pool, follower.View(),
                [this](fleet::crash_update update) {
                  return peering::SendCrashUpdate(caller, std::move(update));
                }),
        sender(io, runtime, pool, wire, follower.View(), crashes, node.zone),
        dispatch(io, runtime, group, state, pool, sender, crashes, wire,
                 follower.View()),
        leader(pool, {}),
        runner(
            io, runtime, pool, wire, leader, RunnerOptions(node),
            [this] { return group.IsServing(); }, follower.View()),
        peers(io, peering::PeerListenerOptions(node.peers_address, memory),
              [this](net::exchange& call) { return ServePeer(call); }) {
    lease.instance = node.id;
    lease.limits.apply = node.apply_limit;
    const auto may_use_view = [this] { return MayUseView(); };
    dispatch.may_use_routes = may_use_view;
    dispatch.placement = node.placement;
    runner.may_use_view = may_use_view;
    group.on_leadership = [this](bool is_leader) {
      must_log_loaded_steps = is_leader;
      dispatch.OnLeadership(is_leader);
      service.OnChange();
    };
    group.on_applied = [this] {
      LogLoadedSteps();
      service.OnChange();
      dispatch.OnApplied();
    };
    group.on_failure = [this] { loop.stop(); };
    // Every member of the group requests the weights, because a new leader
    // needs those of all engines at once. Other stores only run tasks.
    follower.SetWeightsCondition([this] { return group.IsMember(); });
    follower.SetDemandSource([this] { return dispatch.Demands(); });
    follower.SetServiceDemandSource(
        [this] { return dispatch.ServiceDemands(); });
    follower.SetVacantStorage([this] {
      return group.IsInGroup() ? std::string() : group.Self().storage;
    });
    follower.OnChange(
        [this](const fleet::view_update& update) { OnView(update); });
  }

  bool MayUseView() {
    return access::CheckLease(lease, follower.ConfirmedAt(),
                              follower.View().config.version, clock.BootNow());
  }

  void OnView(const fleet::view_update& update) {
    const fleet::view& view = follower.View();
    group.SetContacts(peering::StoreAddresses(view));
    leader.SetInstances(peering::StoreAddresses(view));
    const std::vector<consensus::member>& voters = view.members.data_voters;
    const bool is_first_voter =
        std::find(voters.begin(), voters.end(), group.Self()) != voters.end();
    if (is_first_voter) group.Bootstrap(voters);
    sender.OnEndpoints(update);
    crashes.OnView();
    dispatch.OnView(update);
  }

  // Logs the steps that a new leader has loaded. After a loss of disks the
  // entry shows whether a missing step was lost or is just not found. Only a
  // leader that serves has applied all accepted commands.
  void LogLoadedSteps() {
    if (!must_log_loaded_steps || !group.IsServing()) return;
    must_log_loaded_steps = false;
    size_t ended = 0;
    size_t results = 0;
    for (const auto& [id, step] : state.Steps()) {
      ended += step.is_ended ? 1 : 0;
      results += step.results.size();
    }
    LogEvent(event_id::kStepsLoadedByLeader,
             {{"steps", std::to_string(state.Steps().size())},
              {"ended", std::to_string(ended)},
              {"results", std::to_string(results)}});
  }

  awaitable<void> ServePeer(net::exchange& call) {
    return peering::ServePeer(
        call,
        [this](std::string payload) {
          return group.Receive(std::move(payload));
        },
        [this](std::string method, std::string payload) {
          return Handle(std::move(method), std::move(payload));
        });
  }

  awaitable<peering::envelope> Handle(std::string method, std::string payload) {
    const bool is_of_runner = method == peering::kPollOrdersMethod ||
                              method == peering::kReportRunsMethod;
    return is_of_runner
               ? dispatch.HandleRunner(std::move(method), std::move(payload))
               : service.Handle(std::move(method), std::move(payload));
  }

  awaitable<void> Stop() {
    LogEvent(event_id::kProcessStopping, {{"instance", settings.id}});
    dispatch.OnLeadership(false);
    runner.Stop();
    group.TransferLeadership();
    co_await net::Sleep(kLeadershipTransferTime);
    peers.StopAccepting();
    LogEvent(event_id::kProcessStopped, {{"instance", settings.id}});
    loop.stop();
  }

  asio::io_context& loop;
  const core::runtime_clock& clock;
  const settings::node_settings settings;
  net::connection_pool pool;
  step_state state;
  group::group_host group;
  peering::leader_caller caller;
  peering::view_follower follower;
  step_service service;
  quarantine::crash_detector crashes;
  routing::request_sender sender;
  dispatcher dispatch;
  peering::leader_caller leader;  // calls the leader of the data group
  remote_runner runner;
  net::listener peers;
  access::configuration_lease lease;
  bool must_log_loaded_steps = false;
};

store_instance::store_instance(
    asio::io_context& loop, const core::runtime_clock& clock,
    const settings::node_settings& settings, const fleet::protocol& wire,
    const std::shared_ptr<net::request_memory>& memory)
    : impl_(std::make_unique<impl>(loop, clock, settings, wire, memory)) {}

store_instance::~store_instance() = default;

bool store_instance::Start() {
  if (!impl_->peers.Start() || !impl_->group.Start()) return false;
  impl_->group.SetLeaving(impl_->state.Retired());
  impl_->service.Start();
  impl_->dispatch.Start();
  impl_->runner.Start();
  impl_->crashes.Start();
  asio::co_spawn(impl_->loop, impl_->follower.Run(), asio::detached);
  return true;
}

void store_instance::Reload(const settings::node_settings& settings) {
  impl_->caller.SetSeeds(settings.seeds);
}

void store_instance::BeginStop() {
  asio::co_spawn(impl_->loop, impl_->Stop(), asio::detached);
}

bool store_instance::HasFailed() const { return impl_->group.HasFailed(); }

}  // namespace hickorywood::store
