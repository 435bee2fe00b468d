#include "core/events.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "core/log_sink.h"

namespace hickorywood::core {
namespace {

// Quotes a value that contains spaces, quotes or control characters, so that
// text from a caller can't forge another field or log line.
std::string QuoteValue(const std::string& value) {
  const auto is_plain = [](unsigned char c) {
    return c > ' ' && c != '"' && c != '=' && c < 0x7f;
  };
  if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain)) {
    return value;
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return quoted + "\"";
}

const event_info* FindEvent(event_id id) {
  for (const event_info& info : AllEvents()) {
    if (info.id == id) return &info;
  }
  return nullptr;
}

log_format& CurrentFormat() {
  static log_format format = log_format::kText;
  return format;
}

event_observer& CurrentObserver() {
  static auto* const kObserver = new event_observer;
  return *kObserver;
}

const char* LevelName(event_level level) {
  switch (level) {
    case event_level::kInfo:
      return "info";
    case event_level::kWarning:
      return "warning";
    case event_level::kError:
      return "error";
  }
  return "info";
}

void WriteJsonLine(const event_info& info,
                   std::initializer_list<event_field> fields) {
  const int64_t now_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  nlohmann::ordered_json line;
  line["time_ms"] = now_ms;
  line["event"] = "HK" + std::to_string(static_cast<int>(info.id));
  line["level"] = LevelName(info.level);
  line["subsystem"] = info.subsystem;
  line["text"] = info.text;
  for (const auto& [key, value] : fields) line[key] = value;
  const bool is_important = info.level != event_level::kInfo;
  log_sink::Standard().Add(
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      is_important);
}

}  // namespace

const std::vector<event_info>& AllEvents() {
  constexpr auto kInfo = event_level::kInfo;
  constexpr auto kWarning = event_level::kWarning;
  constexpr auto kError = event_level::kError;
  static const auto* const kCatalogue = new std::vector<event_info>{
      {event_id::kProcessStarted, kInfo, "process", "started"},
      {event_id::kProcessStopping, kInfo, "process", "stopping"},
      {event_id::kProcessStopped, kInfo, "process", "stopped"},
      {event_id::kListenerWithoutTokens, kWarning, "process",
       "listener without tokens"},
      {event_id::kChildRestarted, kWarning, "process", "child restarted"},
      {event_id::kChildRestartLimitReached, kError, "process",
       "child passed its restart limit"},
      {event_id::kSettingsRefused, kError, "process", "settings refused"},
      {event_id::kDrainLimitPassed, kWarning, "process", "drain limit passed"},
      {event_id::kSettingsReloaded, kInfo, "process", "settings reloaded"},
      {event_id::kLogLinesDropped, kWarning, "process", "log lines dropped"},
      {event_id::kMetricsNotServed, kWarning, "process",
       "metrics are not served"},
      {event_id::kMemoryBoundReached, kWarning, "process",
       "memory held for callers is above its bound"},
      {event_id::kSlowReaderClosed, kWarning, "process",
       "slow reader disconnected"},
      {event_id::kLoopDelayed, kWarning, "process", "event loop delayed"},
      {event_id::kConnectionsRefused, kWarning, "process",
       "connections refused"},
      {event_id::kRequestsNotRead, kWarning, "process",
       "requests not read for lack of memory"},
      {event_id::kLogTailCut, kWarning, "storage",
       "incomplete record at the end of the log removed"},
      {event_id::kLogCorrupt, kError, "storage", "log is corrupt"},
      {event_id::kStorageFailed, kError, "storage", "write failed"},
      {event_id::kStorageCreated, kInfo, "storage", "new data folder"},
      {event_id::kLeaderElected, kInfo, "consensus", "leader elected"},
      {event_id::kLeadershipLost, kWarning, "consensus", "leadership lost"},
      {event_id::kVoterReadmitted, kInfo, "consensus", "voter admitted"},
      {event_id::kSnapshotSaved, kInfo, "consensus", "snapshot saved"},
      {event_id::kSnapshotInstalled, kInfo, "consensus", "snapshot installed"},
      {event_id::kGroupBootstrapped, kInfo, "consensus", "group bootstrapped"},
      {event_id::kVoterRemoved, kWarning, "consensus", "voter removed"},
      {event_id::kStateLoaded, kInfo, "storage", "state loaded"},
      {event_id::kVotersUnreachable, kWarning, "consensus",
       "unreachable voters changed"},
      {event_id::kNoQuorum, kWarning, "consensus", "no quorum in an election"},
      {event_id::kPeerNotAnswering, kWarning, "consensus",
       "consensus message not answered"},
      {event_id::kConfigurationAccepted, kInfo, "configuration", "accepted"},
      {event_id::kConfigurationRefused, kWarning, "configuration", "refused"},
      {event_id::kConfigurationInForce, kInfo, "configuration",
       "in force at this instance"},
      {event_id::kConfigurationBlocked, kWarning, "configuration",
       "blocked: site unreachable"},
      {event_id::kConfigurationLeaseExpired, kWarning, "configuration",
       "lease expired"},
      {event_id::kSiteExcluded, kWarning, "configuration",
       "site exclusion changed"},
      {event_id::kWeightsPublished, kInfo, "configuration",
       "weights published"},
      {event_id::kLeaderFound, kInfo, "configuration",
       "control leader reachable"},
      {event_id::kLeaderUnreachable, kWarning, "configuration",
       "control leader unreachable"},
      {event_id::kPeerMessageMalformed, kWarning, "configuration",
       "malformed message from another instance"},
      {event_id::kConfigurationNotNewer, kInfo, "configuration",
       "not newer than the stored configuration"},
      {event_id::kConfigurationPending, kWarning, "configuration",
       "not in force everywhere yet"},
      {event_id::kConfigurationConfirmed, kInfo, "configuration",
       "in force at every instance in contact"},
      {event_id::kViewUpdateRejected, kWarning, "configuration",
       "update of the view rejected"},
      {event_id::kViewsSent, kInfo, "configuration", "views sent"},
      {event_id::kEndpointJoined, kInfo, "membership", "endpoint joined"},
      {event_id::kEndpointLeft, kInfo, "membership", "endpoint leaving"},
      {event_id::kEndpointLeaseExpired, kWarning, "membership",
       "endpoint lease expired"},
      {event_id::kAnnouncementRefused, kWarning, "membership",
       "announcement refused"},
      {event_id::kOrderSent, kInfo, "orders", "order sent"},
      {event_id::kOrderFailed, kWarning, "orders", "order failed"},
      {event_id::kEndpointChanged, kInfo, "membership", "endpoint changed"},
      {event_id::kStoreJoined, kInfo, "membership", "store joined"},
      {event_id::kRetirementRequested, kInfo, "membership",
       "retirement of a store requested"},
      {event_id::kWeightsLoaded, kInfo, "orders", "load of weights finished"},
      {event_id::kHeartbeatRefused, kInfo, "membership", "heartbeat refused"},
      {event_id::kEndpointsInherited, kInfo, "membership",
       "endpoints inherited"},
      {event_id::kDepartedHeartbeat, kInfo, "membership",
       "heartbeat of a departed endpoint ignored"},
      {event_id::kRequestRefused, kInfo, "routing", "request refused"},
      {event_id::kRequestFailed, kWarning, "routing", "request failed"},
      {event_id::kEndpointEjected, kWarning, "routing", "endpoint ejected"},
      {event_id::kAccessDenied, kWarning, "access", "access denied"},
      {event_id::kRequestAnswered, kInfo, "routing", "request answered"},
      {event_id::kAttemptFailed, kInfo, "routing", "attempt failed"},
      {event_id::kEndpointCrashedUnderRequest, kWarning, "routing",
       "endpoint crashed while running a request"},
      {event_id::kRequestQuarantined, kWarning, "routing",
       "request quarantined"},
      {event_id::kQuarantineLifted, kInfo, "routing", "quarantine lifted"},
      {event_id::kMismatchedAnswer, kWarning, "routing",
       "response belongs to another request"},
      {event_id::kPlacesUnavailable, kWarning, "routing",
       "holder of the shared places is unreachable"},
      {event_id::kPlaceRefused, kInfo, "routing",
       "no shared place in time for a request"},
      {event_id::kPlacesExpired, kWarning, "routing",
       "leases of shared places expired"},
      {event_id::kPlacesTakenOver, kInfo, "routing",
       "new holder leases the shared places"},
      {event_id::kStepOpened, kInfo, "rollout", "step opened"},
      {event_id::kStepTakenOver, kWarning, "rollout", "step taken over"},
      {event_id::kStepClosed, kInfo, "rollout", "step closed"},
      {event_id::kSampleDiscarded, kInfo, "rollout", "sample discarded"},
      {event_id::kStepStarted, kInfo, "rollout", "step started"},
      {event_id::kStepEnded, kInfo, "rollout", "step ended by its trainer"},
      {event_id::kTaskDispatched, kInfo, "rollout", "task dispatched"},
      {event_id::kTaskRunEnded, kInfo, "rollout", "run of a task ended"},
      {event_id::kTaskFailed, kWarning, "rollout", "task failed"},
      {event_id::kResultsNotCommitted, kWarning, "rollout",
       "results not committed"},
      {event_id::kResultsNotRead, kError, "rollout",
       "results can't be read from disk"},
      {event_id::kRewardCallEnded, kInfo, "rollout", "reward call ended"},
      {event_id::kStepsLoadedByLeader, kInfo, "rollout",
       "steps loaded by a new leader"},
      {event_id::kRunsCancelledWithoutLeader, kWarning, "rollout",
       "runs cancelled without a leader"},
      {event_id::kRunnerUnreachable, kWarning, "rollout",
       "runs of an unreachable store lost"},
      {event_id::kTaskPausedAfterCrash, kWarning, "rollout",
       "task paused after crashes of its engines"},
      {event_id::kTaskBodyRead, kInfo, "rollout", "body of a task read"},
      {event_id::kRunMoved, kInfo, "rollout", "run moved to another engine"},
      {event_id::kStepRouteChanged, kInfo, "rollout",
       "services of a step set by its route"},
      {event_id::kDispatchHeld, kWarning, "rollout",
       "tasks wait for a newer configuration"},
      {event_id::kUsageClosed, kInfo, "duties", "usage of a window is final"},
      {event_id::kUsageReported, kInfo, "duties", "usage reported"},
      {event_id::kUsageReportFailed, kWarning, "duties",
       "report of usage failed"},
      {event_id::kUsageOverdue, kError, "duties", "report of usage is overdue"},
      {event_id::kServersOrdered, kInfo, "duties", "servers ordered"},
      {event_id::kServerOrderFailed, kWarning, "duties",
       "order of servers failed"},
      {event_id::kServersReclaimed, kWarning, "duties",
       "servers are being reclaimed"},
  };
  return *kCatalogue;
}

void SetLogFormat(log_format format) { CurrentFormat() = format; }

void SetEventObserver(event_observer observer) {
  CurrentObserver() = std::move(observer);
}

void LogEvent(event_id id, std::initializer_list<event_field> fields) {
  const event_info* info = FindEvent(id);
  if (info == nullptr) return;
  if (CurrentObserver()) CurrentObserver()(*info, fields);
  if (CurrentFormat() == log_format::kJson) {
    WriteJsonLine(*info, fields);
    return;
  }
  std::string line = "HK" + std::to_string(static_cast<int>(id)) + " " +
                     info->subsystem + ": " + info->text;
  for (const auto& [key, value] : fields) {
    line += std::string(" ") + key + "=" + QuoteValue(value);
  }
  switch (info->level) {
    case event_level::kInfo:
      LOG(INFO) << line;
      return;
    case event_level::kWarning:
      LOG(WARNING) << line;
      return;
    case event_level::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace hickorywood::core
