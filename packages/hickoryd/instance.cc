#include "hickoryd/instance.h"

#include <condition_variable>
#include <fstream>
#include <functional>
#include <future>
#include <mutex>
#include <utility>

#include "core/events.h"
#include "core/ids.h"
#include "hickoryd/caller_api.h"
#include "hickoryd/peer_api.h"
#include "hickoryd/supervisor.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;

constexpr core::milliseconds kCheckPeriod{100};
constexpr size_t kTrafficQueue = 200000;
constexpr int kDrainPolls = 20;
constexpr int64_t kBytesPerMegabyte = 1024 * 1024;

std::string PortAddress(const std::string& address, uint16_t port) {
  return address.substr(0, address.find(':')) + ":" + std::to_string(port);
}

bool IsLoopback(const std::string& address) {
  return address.rfind("127.", 0) == 0;
}

// The two listeners have separate threads, and each is given half.
int64_t ListenerMemory(const settings::instance_settings& settings) {
  return settings.memory_mb * kBytesPerMegabyte / 2;
}

void WarnWithoutTokens(const settings::instance_settings& settings) {
  const settings::token_set& tokens = settings.tokens;
  const bool callers_open = tokens.operators.empty() ||
                            tokens.endpoints.empty() || tokens.trainers.empty();
  if (callers_open && !IsLoopback(settings.callers_address)) {
    LogEvent(event_id::kListenerWithoutTokens,
             {{"address", settings.callers_address}});
  }
  if (tokens.peers.empty() && !IsLoopback(settings.peers_address)) {
    LogEvent(event_id::kListenerWithoutTokens,
             {{"address", settings.peers_address}});
  }
}

}  // namespace

struct instance::impl {
  impl(const core::runtime_clock& run_clock,
       settings::instance_settings checked, const instance_options& options)
      : clock(run_clock),
        settings(std::move(checked)),
        control(clock, static_cast<size_t>(settings.control_queue)),
        traffic(clock, kTrafficQueue),
        links(clock, settings, client),
        context{clock,  settings, core::RandomId(), control,  traffic,
                client, links,    view_holder,      counters, is_draining},
        explain(clock, settings.id),
        host(settings.IsControl()
                 ? std::make_unique<replica_host>(context, [this] { Fail(); })
                 : nullptr),
        leader(context, host.get()),
        membership(context, leader),
        quarantine(context),
        generations(context, explain, quarantine, options.generation),
        calls(context, explain, leader, quarantine),
        bodies(context),
        steps(context, generations, leader, bodies, burn,
              options.hedging_enabled),
        parts{context, host.get(), leader, membership, quarantine, generations,
              calls,   steps,      bodies, explain,    burn},
        callers_handler(parts, [this] { RequestDrain(); }),
        peers_handler(parts),
        callers({settings.callers_address,
                 static_cast<size_t>(settings.request_bytes),
                 ListenerMemory(settings)},
                [this](const exchange_ptr& exchange) {
                  callers_handler.Handle(exchange);
                }),
        peers({settings.peers_address,
               static_cast<size_t>(settings.request_bytes) * 8,
               ListenerMemory(settings)},
              [this](const exchange_ptr& exchange) {
                peers_handler.Handle(exchange);
              }),
        root("hickoryd", clock) {
    if (host != nullptr) {
      orders = std::make_unique<order_service>(context, *host, membership);
    }
    BuildTree();
  }

  void BuildTree();
  bool StartControl();
  bool StartTraffic();
  bool StartPeers();
  void WritePorts() const;
  void Fail();
  void RequestDrain();
  void Drain();
  int64_t InFlight();

  const core::runtime_clock& clock;
  const settings::instance_settings settings;
  core::event_loop control;
  core::event_loop traffic;
  transport::http_client client;
  peer_links links;
  routing_view_holder view_holder;
  metrics counters;
  std::atomic<bool> is_draining{false};
  instance_context context;
  explain_log explain;
  std::unique_ptr<replica_host> host;
  leader_client leader;
  membership_service membership;
  call_quarantine quarantine;
  generation_service generations;
  call_service calls;
  body_holder bodies;
  rollout::burn_recorder burn;
  step_service steps;
  std::unique_ptr<order_service> orders;
  instance_parts parts;
  caller_api callers_handler;
  peer_api peers_handler;
  transport::http_server callers;
  transport::http_server peers;
  supervisor root;

  std::mutex mutex;
  std::condition_variable wake;
  bool drain_requested = false;  // guarded by mutex
  bool has_failed = false;       // guarded by mutex
};

// Starts the control state before the components that need it, and the caller
// listener last, so that no request is served by an instance that is only
// partly started. Components stop in reverse order.
void instance::impl::BuildTree() {
  const auto control_tree = std::make_shared<supervisor>("control", clock);
  control_tree->Add({"client",
                     [this] { return client.Start(), true; },
                     [this] { client.Stop(); },
                     {}});
  control_tree->Add({"control_loop",
                     [this] { return StartControl(); },
                     [this] { control.Stop(); },
                     {}});
  const auto traffic_tree = std::make_shared<supervisor>("traffic", clock);
  traffic_tree->Add({"traffic_loop",
                     [this] { return StartTraffic(); },
                     [this] { traffic.Stop(); },
                     {}});
  traffic_tree->Add({"peer_listener",
                     [this] { return StartPeers(); },
                     [this] { peers.Stop(); },
                     {}});
  traffic_tree->Add({"caller_listener",
                     [this] { return callers.Start(); },
                     [this] { callers.Stop(); },
                     {}});
  constexpr int kTreeRestarts = 1;
  root.AddTree(control_tree, kTreeRestarts);
  root.AddTree(traffic_tree, kTreeRestarts);
}

bool instance::impl::StartControl() {
  if (host != nullptr && !host->Start()) return false;
  membership.Start();
  if (orders != nullptr) orders->Start();
  control.Start();
  return true;
}

bool instance::impl::StartTraffic() {
  quarantine.Start();
  generations.Start();
  bodies.Start();
  steps.Start();
  traffic.Start();
  return true;
}

bool instance::impl::StartPeers() {
  if (!peers.Start()) return false;
  links.SetOwnAddress(PortAddress(settings.peers_address, peers.Port()));
  return true;
}

// Written to a temporary file and renamed, so that a reader never sees a
// partial file.
void instance::impl::WritePorts() const {
  if (settings.ports_file.empty()) return;
  const std::string temporary = settings.ports_file + ".tmp";
  std::ofstream(temporary) << "callers=" << callers.Port()
                           << "\npeers=" << peers.Port() << "\n";
  std::rename(temporary.c_str(), settings.ports_file.c_str());
}

void instance::impl::Fail() {
  const std::lock_guard<std::mutex> lock(mutex);
  has_failed = true;
  wake.notify_all();
}

void instance::impl::RequestDrain() {
  const std::lock_guard<std::mutex> lock(mutex);
  drain_requested = true;
  wake.notify_all();
}

int64_t instance::impl::InFlight() {
  std::promise<int64_t> answer;
  std::future<int64_t> result = answer.get_future();
  const bool is_queued = traffic.Post([this, &answer] {
    answer.set_value(static_cast<int64_t>(generations.Active() +
                                          calls.Active() + steps.Active()));
  });
  const int64_t active = is_queued ? result.get() : 0;
  return active + callers.InFlight();
}

// A planned stop interrupts no request. First the load balancer sees "not
// ready" and stops sending, while arriving requests are still served. Then new
// work is rejected, and requests in flight finish. Leadership and steps are
// transferred to other instances, and the configuration lease is released, so
// that no instance has to wait for a timeout.
void instance::impl::Drain() {
  LogEvent(event_id::kProcessStopping, {{"instance", settings.id}});
  std::unique_lock<std::mutex> lock(mutex);
  const auto failed = [this] { return has_failed; };
  context.is_draining = true;
  wake.wait_for(lock, settings.drain_notice, failed);
  lock.unlock();
  traffic.Post([this] { steps.Release(); });
  if (host != nullptr) {
    control.Post([this] { host->Replica().TransferLeadership(); });
  }
  const core::time_point limit = clock.Now() + settings.drain_limit;
  int quiet_polls = 0;
  lock.lock();
  while (!has_failed && clock.Now() < limit && quiet_polls < kDrainPolls) {
    lock.unlock();
    quiet_polls = InFlight() == 0 ? quiet_polls + 1 : 0;
    lock.lock();
    wake.wait_for(lock, core::milliseconds(10), failed);
  }
  lock.unlock();
  if (quiet_polls < kDrainPolls) {
    LogEvent(event_id::kDrainLimitPassed,
             {{"in_flight", std::to_string(InFlight())}});
  }
  std::promise<void> released;
  const bool is_queued = control.Post([this, &released] {
    membership.ReleaseLease();
    released.set_value();
  });
  if (is_queued) released.get_future().wait();
}

instance::instance(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}

instance::~instance() { impl_->root.Stop(); }

bool instance::Start() {
  WarnWithoutTokens(impl_->settings);
  if (!impl_->root.Start()) return false;
  impl_->WritePorts();
  LogEvent(event_id::kProcessStarted,
           {{"instance", impl_->settings.id},
            {"site", impl_->settings.site},
            {"zone", impl_->settings.zone},
            {"callers", std::to_string(impl_->callers.Port())},
            {"peers", std::to_string(impl_->peers.Port())}});
  return true;
}

void instance::BeginDrain() { impl_->RequestDrain(); }

int instance::Wait() {
  for (;;) {
    bool should_drain = false;
    {
      std::unique_lock<std::mutex> lock(impl_->mutex);
      impl_->wake.wait_for(lock, kCheckPeriod, [this] {
        return impl_->drain_requested || impl_->has_failed;
      });
      if (impl_->has_failed) return 1;
      should_drain = impl_->drain_requested;
    }
    if (should_drain) {
      impl_->Drain();
      impl_->root.Stop();
      LogEvent(event_id::kProcessStopped, {{"instance", impl_->settings.id}});
      return 0;
    }
    if (!impl_->root.Check()) return 1;
  }
}

uint16_t instance::CallersPort() const { return impl_->callers.Port(); }

uint16_t instance::PeersPort() const { return impl_->peers.Port(); }

instance_builder& instance_builder::WithSettings(
    settings::instance_settings settings) {
  settings_ = std::move(settings);
  return *this;
}

instance_builder& instance_builder::WithOptions(instance_options options) {
  options_ = options;
  return *this;
}

std::unique_ptr<instance> instance_builder::Build() {
  auto parts =
      std::make_unique<instance::impl>(clock_, std::move(settings_), options_);
  return std::unique_ptr<instance>(new instance(std::move(parts)));
}

}  // namespace hickorywood::hickoryd
