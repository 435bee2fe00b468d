#include "hickoryd/node_main.h"

#include <signal.h>
#include <sys/stat.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <cstdio>
#include <initializer_list>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "controller/controller.h"
#include "core/clock.h"
#include "core/events.h"
#include "core/log_sink.h"
#include "core/reason.h"
#include "entry/entry_instance.h"
#include "hickoryd/event_metrics.h"
#include "net/event.h"
#include "net/listener.h"
#include "net/message.h"
#include "net/request_memory.h"
#include "platform/protocol.h"
#include "settings/node_settings.h"
#include "store/store_instance.h"

namespace hickorywood::hickoryd {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
constexpr int64_t kBytesPerMegabyte = 1024 * 1024;
constexpr char kMetricsPath[] = "/metrics";
// Limit of concurrent connections from metrics collectors.
constexpr size_t kMetricsConnections = 8;
// Log lines are buffered for this time, so that a busy process makes fewer
// writes.
constexpr milliseconds kLogDelay{50};
// Interval for checking the settings file: its writer need not send a signal,
// and new seeds are needed only when no known instance is reachable.
constexpr std::chrono::seconds kSettingsPeriod{2};

// Interval for measuring the delay of the event loop, and the delay from which
// on it is logged: a quarter of the time limit of a consensus message.
constexpr milliseconds kLoopCheckPeriod{100};
constexpr milliseconds kLoopDelayToLog{100};
// Minimum interval between two log lines about it.
constexpr std::chrono::seconds kLoopLogInterval{1};

std::optional<settings::node_settings> Load(const std::string& file) {
  std::vector<core::finding> findings;
  auto loaded = settings::LoadNodeSettings(file, findings);
  if (!loaded) {
    std::fputs(core::FormatFindings(findings).c_str(), stderr);
    LogEvent(event_id::kSettingsRefused,
             {{"file", file}, {"findings", core::FormatFindings(findings)}});
  }
  return loaded;
}

// Blocks or unblocks the signals that a node handles.
void ChangeSignalMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, number);
  }
  pthread_sigmask(how, &signals, nullptr);
}

// The modification time of the file in nanoseconds; 0 if it is unavailable.
int64_t ChangedAt(const std::string& file) {
  struct stat info {};
  if (stat(file.c_str(), &info) != 0) return 0;
  return info.st_mtim.tv_sec * 1000000000LL + info.st_mtim.tv_nsec;
}

class node {
 public:
  node(std::string settings_file, settings::node_settings settings)
      : file_(std::move(settings_file)),
        settings_(std::move(settings)),
        wire_(platform::MakeProtocol()),
        memory_(
            net::MakeRequestMemory(settings_.memory_mb * kBytesPerMegabyte)),
        changed_at_(ChangedAt(file_)) {}

  int Run();

 private:
  bool StartRole();
  void StartMetrics();
  awaitable<void> ServeMetrics(net::exchange& call) const;
  awaitable<void> RunSignalLoop();
  awaitable<void> RunSettingsWatchLoop();
  awaitable<void> RunDelayWatchLoop() const;
  void Reload(const char* cause);
  void ScheduleLogFlush();

  const std::string file_;
  const settings::node_settings settings_;
  const core::runtime_clock clock_;
  const std::unique_ptr<fleet::protocol> wire_;
  const std::shared_ptr<net::request_memory> memory_;
  int64_t changed_at_;
  asio::io_context loop_{1};
  std::unique_ptr<entry::entry_instance> entry_;
  std::unique_ptr<controller::controller> controller_;
  std::unique_ptr<store::store_instance> store_;
  event_metrics metrics_;
  std::unique_ptr<net::listener> metrics_listener_;
  bool is_stopping_ = false;
};

bool node::StartRole() {
  if (settings_.role == settings::node_role::kEntry) {
    entry_ = std::make_unique<entry::entry_instance>(loop_, clock_, settings_,
                                                     *wire_, memory_);
    return entry_->Start();
  }
  if (settings_.role == settings::node_role::kStore) {
    store_ = std::make_unique<store::store_instance>(loop_, clock_, settings_,
                                                     *wire_, memory_);
    return store_->Start();
  }
  controller_ = std::make_unique<controller::controller>(
      loop_, clock_, settings_, *wire_, memory_);
  return controller_->Start();
}

// A failure to serve metrics does not stop the instance.
void node::StartMetrics() {
  if (settings_.metrics_address.empty()) return;
  core::SetEventObserver(
      [this](const core::event_info& info,
             std::initializer_list<core::event_field> fields) {
        metrics_.Record(info, fields);
      });
  net::listener_options options;
  options.address = settings_.metrics_address;
  options.limits = [] { return net::caller_limits{}; };
  options.max_connections = kMetricsConnections;
  options.memory = memory_;
  metrics_listener_ = std::make_unique<net::listener>(
      loop_, options,
      [this](net::exchange& call) { return ServeMetrics(call); });
  if (metrics_listener_->Start()) return;
  LogEvent(event_id::kMetricsNotServed, {{"address", settings_.metrics_address},
                                         {"reason", core::LastReason().text}});
}

awaitable<void> node::ServeMetrics(net::exchange& call) const {
  net::response answer;
  const bool is_known = net::PathOf(call.Request().target) == kMetricsPath;
  answer.status = is_known ? 200 : 404;
  if (is_known) {
    answer.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    answer.body = metrics_.Text();
  }
  co_await call.Reply(std::move(answer));
}

int node::Run() {
  core::log_sink::Standard().OnFirstLine([this] { ScheduleLogFlush(); });
  StartMetrics();
  if (!StartRole()) {
    LogEvent(event_id::kChildRestartLimitReached,
             {{"reason", core::LastReason().text}});
    core::log_sink::Standard().Flush();
    return kExitFailed;
  }
  LogEvent(event_id::kProcessStarted,
           {{"instance", settings_.id},
            {"role", entry_   ? "entry"
                     : store_ ? "store"
                              : "control"},
            {"zone", settings_.zone},
            {"peers", settings_.peers_address},
            {"first_start", settings_.is_first_start ? "true" : "false"},
            {"seeds", std::to_string(settings_.seeds.size())}});
  asio::co_spawn(loop_, RunSignalLoop(), asio::detached);
  asio::co_spawn(loop_, RunSettingsWatchLoop(), asio::detached);
  asio::co_spawn(loop_, RunDelayWatchLoop(), asio::detached);
  loop_.run();
  core::log_sink::Standard().Flush();
  const bool has_failed = (controller_ && controller_->HasFailed()) ||
                          (store_ && store_->HasFailed());
  return has_failed ? kExitFailed : 0;
}

// Log lines are written only on the thread of the loop, so the timer needs no
// lock.
void node::ScheduleLogFlush() {
  asio::co_spawn(
      loop_,
      []() -> awaitable<void> {
        co_await net::Sleep(kLogDelay);
        core::log_sink& sink = core::log_sink::Standard();
        sink.Flush();
        const uint64_t dropped = sink.ExchangeDroppedCount();
        if (dropped > 0) {
          LogEvent(event_id::kLogLinesDropped,
                   {{"lines", std::to_string(dropped)}});
        }
      },
      asio::detached);
}

awaitable<void> node::RunSignalLoop() {
  asio::signal_set signals(loop_, SIGTERM, SIGINT, SIGHUP);
  ChangeSignalMask(SIG_UNBLOCK);
  for (;;) {
    const auto [failure, number] =
        co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    if (failure) co_return;
    if (number == SIGHUP) {
      Reload("signal");
      continue;
    }
    if (std::exchange(is_stopping_, true)) continue;
    if (entry_) entry_->BeginStop();
    if (controller_) controller_->BeginStop();
    if (store_) store_->BeginStop();
  }
}

awaitable<void> node::RunSettingsWatchLoop() {
  for (;;) {
    co_await net::Sleep(kSettingsPeriod);
    const int64_t now = ChangedAt(file_);
    if (now != 0 && now != changed_at_) Reload("file");
  }
}

// Logs how late timers are, which is how long any message waits here.
awaitable<void> node::RunDelayWatchLoop() const {
  milliseconds longest{0};
  core::time_point next_log{};
  for (;;) {
    const core::time_point due = clock_.Now() + kLoopCheckPeriod;
    co_await net::Sleep(kLoopCheckPeriod);
    const core::time_point now = clock_.Now();
    const auto delay = std::chrono::duration_cast<milliseconds>(now - due);
    longest = std::max(longest, delay);
    if (longest < kLoopDelayToLog || now < next_log) continue;
    LogEvent(event_id::kLoopDelayed, {{"ms", std::to_string(longest.count())}});
    longest = milliseconds(0);
    next_log = now + kLoopLogInterval;
  }
}

// If the file can't be read, the current settings stay in force.
void node::Reload(const char* cause) {
  changed_at_ = ChangedAt(file_);
  const auto fresh = Load(file_);
  if (!fresh) return;
  if (entry_) entry_->Reload(*fresh);
  if (controller_) controller_->Reload(*fresh);
  if (store_) store_->Reload(*fresh);
  LogEvent(event_id::kSettingsReloaded,
           {{"cause", cause}, {"seeds", std::to_string(fresh->seeds.size())}});
}

}  // namespace

int RunNode(const std::string& settings_file, bool only_check) {
  // Blocks the signals until the loop handles them. Until then they, including
  // SIGHUP, would terminate the process, and a store that reads its log takes
  // seconds to start its loop.
  ChangeSignalMask(SIG_BLOCK);
  core::SetLogFormat(core::log_format::kJson);
  signal(SIGPIPE, SIG_IGN);
  auto settings = Load(settings_file);
  if (!settings) {
    core::log_sink::Standard().Flush();
    return kExitBadSettings;
  }
  if (only_check) return 0;
  node running(settings_file, std::move(*settings));
  return running.Run();
}

}  // namespace hickorywood::hickoryd
