#ifndef HICKORYWOOD_CORE_EVENTS_H_
#define HICKORYWOOD_CORE_EVENTS_H_

// Numbered log events. Alerts match on the number, not on the text.
// docs/events.md lists all events; a unit test checks that the list and this
// enum agree.

#include <functional>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace hickorywood::core {

enum class event_level { kInfo, kWarning, kError };

enum class event_id {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kListenerWithoutTokens = 1004,
  kChildRestarted = 1005,
  kChildRestartLimitReached = 1006,
  kSettingsRefused = 1007,
  kDrainLimitPassed = 1008,
  kSettingsReloaded = 1009,
  kLogLinesDropped = 1010,
  kMetricsNotServed = 1011,
  kMemoryBoundReached = 1012,
  kSlowReaderClosed = 1013,
  kLoopDelayed = 1014,
  kConnectionsRefused = 1015,
  kRequestsNotRead = 1016,
  kLogTailCut = 2001,
  kLogCorrupt = 2002,
  kStorageFailed = 2003,
  kStorageCreated = 2004,
  kLeaderElected = 2005,
  kLeadershipLost = 2006,
  kVoterReadmitted = 2007,
  kSnapshotSaved = 2008,
  kSnapshotInstalled = 2009,
  kGroupBootstrapped = 2010,
  kVoterRemoved = 2011,
  kStateLoaded = 2012,
  kVotersUnreachable = 2013,
  kNoQuorum = 2014,
  kPeerNotAnswering = 2015,
  kConfigurationAccepted = 3001,
  kConfigurationRefused = 3002,
  kConfigurationInForce = 3003,
  kConfigurationBlocked = 3004,
  kConfigurationLeaseExpired = 3005,
  kSiteExcluded = 3006,
  kWeightsPublished = 3007,
  kLeaderFound = 3008,
  kLeaderUnreachable = 3009,
  kPeerMessageMalformed = 3010,
  kConfigurationNotNewer = 3011,
  kConfigurationPending = 3012,
  kConfigurationConfirmed = 3013,
  kViewUpdateRejected = 3014,
  kViewsSent = 3015,
  kEndpointJoined = 4001,
  kEndpointLeft = 4002,
  kEndpointLeaseExpired = 4003,
  kAnnouncementRefused = 4004,
  kOrderSent = 4005,
  kOrderFailed = 4006,
  kEndpointChanged = 4007,
  kStoreJoined = 4008,
  kRetirementRequested = 4009,
  kWeightsLoaded = 4010,
  kHeartbeatRefused = 4011,
  kEndpointsInherited = 4012,
  kDepartedHeartbeat = 4013,
  kRequestRefused = 5001,
  kRequestFailed = 5002,
  kEndpointEjected = 5003,
  kAccessDenied = 5004,
  kRequestAnswered = 5005,
  kAttemptFailed = 5006,
  kEndpointCrashedUnderRequest = 5007,
  kRequestQuarantined = 5008,
  kQuarantineLifted = 5009,
  kMismatchedAnswer = 5010,
  kPlacesUnavailable = 5011,
  kPlaceRefused = 5012,
  kPlacesExpired = 5013,
  kPlacesTakenOver = 5014,
  kStepOpened = 6001,
  kStepTakenOver = 6002,
  kStepClosed = 6003,
  kSampleDiscarded = 6004,
  kStepStarted = 6005,
  kStepEnded = 6006,
  kTaskDispatched = 6007,
  kTaskRunEnded = 6008,
  kTaskFailed = 6009,
  kResultsNotCommitted = 6010,
  kResultsNotRead = 6011,
  kRewardCallEnded = 6012,
  kStepsLoadedByLeader = 6013,
  kRunsCancelledWithoutLeader = 6014,
  kRunnerUnreachable = 6015,
  kTaskPausedAfterCrash = 6016,
  kTaskBodyRead = 6017,
  kRunMoved = 6018,
  kStepRouteChanged = 6019,
  kDispatchHeld = 6020,
  kUsageClosed = 7001,
  kUsageReported = 7002,
  kUsageReportFailed = 7003,
  kUsageOverdue = 7004,
  kServersOrdered = 7005,
  kServerOrderFailed = 7006,
  kServersReclaimed = 7007,
};

struct event_info {
  event_id id;
  event_level level;
  const char* subsystem;
  const char* text;
};

// All events, ordered by number.
const std::vector<event_info>& AllEvents();

using event_field = std::pair<const char*, std::string>;

// Output format of events.
enum class log_format {
  kText,  // "HK1001 subsystem: text key=value ...", written by glog with the
          // event's level
  kJson,  // one JSON object per line on standard output, see log_sink.h
};

// Set once, before the first event.
void SetLogFormat(log_format format);

// Called for each event with its fields, even if the log line is dropped later.
using event_observer =
    std::function<void(const event_info&, std::initializer_list<event_field>)>;

// Set once, before the first event.
void SetEventObserver(event_observer observer);

void LogEvent(event_id id, std::initializer_list<event_field> fields);

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_EVENTS_H_
