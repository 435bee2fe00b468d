#ifndef HICKORYWOOD_STORE_DISPATCH_LIMITS_H_
#define HICKORYWOOD_STORE_DISPATCH_LIMITS_H_

// Timeouts, periods and limits of the dispatcher, with the reason for each.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hickorywood::store {

using std::chrono::milliseconds;

// Period of the pass over waiting and running tasks. A slow engine takes longer
// than this for one event, so a shorter period would find no changes.
constexpr milliseconds kTaskCheckPeriod{100};
constexpr milliseconds kConnectTimeout{500};
// Maximum time from the request to the first event of a run. It is longer than
// kEventTimeout because the prompt may wait behind a full batch.
constexpr milliseconds kFirstEventTimeout{2500};
// Maximum time between two events of a run. After that the task continues on
// another engine. A working engine, even a slow one, takes 30 to 200 ms for an
// event.
constexpr milliseconds kEventTimeout{900};
// Maximum size of the events that one run adds to a text, well above that of a
// text that an engine has memory for.
constexpr size_t kMaxRunBytes = 4UL * 1024 * 1024;
// Time for which an engine gets no new runs after a failure. Each further
// failure in a row doubles it.
constexpr milliseconds kAvoidAfterFailure{250};
constexpr int kMaxDoublings = 4;
// Minimum time before a task that an engine rejected is sent again.
constexpr milliseconds kRetryPause{30};
// Minimum time before a task whose connection broke is sent again. By then it
// is usually known whether the engine has crashed, and thus whether the task
// may be the cause.
constexpr milliseconds kCrashCheckTime{30};
// Maximum number of runs that one store is starting at the same time. Starting
// all tasks of several steps at once kept the loop of a new leader busy for
// longer than its followers wait for a heartbeat. They elected another leader,
// which then had the same problem.
constexpr size_t kMaxStartingRuns = 16;
// Number of runs up to which the leader reads all streams itself. A stream has
// 20 events per second and each event takes 16 us of a core, so 100 streams
// take a tenth of a small instance's CPU share, in addition to the commits.
// Further runs go to other stores. Below this limit the calls to other stores
// would cost more than they save.
constexpr size_t kMaxOwnRuns = 96;
// Maximum number of runs on one other store. It bounds the CPU time that their
// streams take there, and the number of runs that are lost with that store.
constexpr size_t kMaxRunsPerRunner = 128;
// Maximum time for which the leader delays its answer to a runner's poll. It is
// shorter while the runner has runs, so that an unreachable runner is detected
// soon.
constexpr milliseconds kBusyPollWait{300};
constexpr milliseconds kIdlePollWait{2000};
// Time for which a runner waits for the leader's reply, in addition to the
// delay above if it polls.
constexpr milliseconds kReplyTimeout{400};
// A runner that gets no answer from its leader for this long cancels all its
// runs, because the leader may have given their tasks to other runners.
constexpr milliseconds kLeaderContactTimeout{900};
// The leader gives the tasks of an unreachable runner to others after this
// time. It is longer than kLeaderContactTimeout, so that no task runs twice for
// long.
constexpr milliseconds kRunnerContactTimeout{1200};
// The leader gives a task to another runner when it gets no report of the run
// for this long. The runner ends a run whose engine sends no event for 2.5 s
// and reports that at once, so after this time the report must have been lost.
constexpr milliseconds kRunReportTimeout{4000};
// Time since the last contact of a runner within which it gets orders although
// it is not polling.
constexpr milliseconds kMaxPollGap{200};
// Time for which a runner collects reports before it sends them. The delay is
// short for outcomes, because the engine has a free slot. Other reports only
// update the estimates of engine speed and the text that a successor of the
// leader can continue from.
constexpr milliseconds kOutcomeBatchDelay{25};
constexpr milliseconds kProgressReportPeriod{300};
// Minimum age of a run that is moved, and maximum number of moves of a task.
// After a move the new engine has to process the prompt again.
constexpr milliseconds kMinRunTimeBeforeMove{400};
constexpr int kMaxMoves = 2;
// Period of committing the text of running tasks, and the number of new events
// from which a task is included. Most tasks finish before they reach it.
constexpr milliseconds kProgressCommitPeriod{400};
constexpr uint64_t kMinEventsToCommit = 10;
// A complete text that waits for its score this long is committed without the
// score, so that it need not be generated again if the leader fails. A reward
// call usually takes some 80 ms. Committing each text before its reward call
// would double the number of commits, and few texts would benefit.
constexpr milliseconds kScoringCommitDelay{400};
// Time constant for averaging the streams of a model. It covers two or three
// steps, so that the average reflects the load of the model and not the current
// phase of a step.
constexpr std::chrono::duration<double> kDemandSmoothingTime{10};
// Time for which the highest number of streams is reported. Trainers submit a
// step every few seconds, so it covers one.
constexpr std::chrono::seconds kPeakWindow{8};
// Number of engines among which the tasks of a model are placed; more if it has
// more open tasks. With a choice among all of 10,000 engines, each pass would
// take as long as 40 with this number.
constexpr size_t kMaxPoolEngines = 256;
// Period of looking for prompts that are not cached any more.
constexpr std::chrono::seconds kPromptCheckPeriod{1};
// The same for the open tasks of a model, by whose number weights are loaded to
// engines: it covers several steps, also of a trainer that pauses.
constexpr std::chrono::seconds kTaskPeakWindow{30};
// Time after the last task of a group until its prompt counts as evicted by the
// engine. Two steps pass in this time, and a group can occur again in the next
// step.
constexpr std::chrono::seconds kPromptCacheLifetime{15};
// A task without a result fails this long after its lifetime. The slack allows
// for clock differences between two leaders.
constexpr std::chrono::seconds kTaskLifetimeSlack{3};
// Time limit for a task that is sent to the engine.
constexpr std::chrono::seconds kTaskTimeLimit{60};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_DISPATCH_LIMITS_H_
