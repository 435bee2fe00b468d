#ifndef HICKORYWOOD_STORE_DISPATCH_LIMITS_H_
#define HICKORYWOOD_STORE_DISPATCH_LIMITS_H_

// The times and bounds of the dispatcher, with the grounds for each.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hickorywood::store {

using std::chrono::milliseconds;

// Period of the pass over waiting and running tasks. A tenth of the time that
// an event of a slow engine takes would find nothing new.
constexpr milliseconds kWatchPeriod{100};
constexpr milliseconds kConnectTimeout{500};
// Silence before a run's first event: its prompt may wait behind a full batch.
constexpr milliseconds kFirstEventTimeout{2500};
// Silence between two events after which a run goes on elsewhere. An event
// takes 30 to 200 ms on an engine that is up, also on a slow one.
constexpr milliseconds kEventTimeout{900};
// How long an engine is left alone after a failure; doubled by each further
// one in a row.
constexpr milliseconds kAvoidAfterFailure{250};
constexpr int kMostDoublings = 4;
// Pause of a task that an engine did not take, so that it does not knock again
// at once.
constexpr milliseconds kRetryPause{30};
// Runs that one store is starting at once. All tasks of some steps in one turn
// kept the loop of a new leader busy for longer than its followers wait for its
// heartbeat: they elected another one, and that one did the same.
constexpr size_t kMostStarting = 16;
// Runs up to which the leader reads all streams itself. A stream has 20 events
// a second, and 16 us of a core an event: a tenth of a small instance's share
// each 100 streams, beside what commits take. What comes beyond goes to other
// stores; below it their calls would cost more than they spare.
constexpr size_t kMostOwnRuns = 96;
// Runs of one other store: its streams take as much of it, and losing it loses
// no more.
constexpr size_t kMostRunsOfRunner = 128;
// How long a runner's question is held back: while it has runs, so that silence
// is seen soon, and while it has none.
constexpr milliseconds kBusyWait{300};
constexpr milliseconds kIdleWait{2000};
// How much later than that an answer may come.
constexpr milliseconds kAnswerSlack{400};
// Without an answer for this long a runner ends all its runs, for its leader
// may have given them to others...
constexpr milliseconds kLeaderSilence{900};
// ... which it does after this: later, so that no task runs twice for long.
constexpr milliseconds kRunnerSilence{1200};
// Without news of a run elsewhere for this long it is given to others: its
// store ends it when its engine is silent for 2.5 s, and tells that at once. So
// its news was lost on the way.
constexpr milliseconds kQuietRun{4000};
// Time between two questions within which a runner still gets orders.
constexpr milliseconds kRunnerGap{200};
// How long a runner gathers news: ends are wanted soon, since the engine has a
// place free; the rest only feeds the view of how fast engines are and what a
// lost leader leaves behind.
constexpr milliseconds kGatherEnds{25};
constexpr milliseconds kGatherNews{300};
// A run stays this long before it may be moved, and a task is moved so often at
// most: a move costs its prompt to be read again.
constexpr milliseconds kLeastStay{400};
constexpr int kMostMoves = 2;
// How often the text of running tasks is committed, and the events of a task
// from which that is worth its bytes: most tasks are over before.
constexpr milliseconds kProgressPeriod{400};
constexpr uint64_t kWorthKeeping = 10;
// A whole text that waits for its score this long is committed without it, so
// that a lost leader does not cost the generation. A reward call takes some
// 80 ms when all is well; committing each text before it would double the
// commits for the few that a lost leader finds in between.
constexpr milliseconds kLongScoring{400};
// Time over which the streams of a model are averaged: two or three steps, so
// that it tells the work of a model and not the moment in its step.
constexpr std::chrono::duration<double> kDemandMemory{10};
// Age of the last task after which a group's prompt counts as dropped by its
// engine: two steps come and go in it, and a group can reappear in the next.
constexpr std::chrono::seconds kPromptLifetime{15};
// Later than the lifetime of a task by this, a task without a result is given
// up: the clocks of two leaders may differ by a little.
constexpr std::chrono::seconds kLifetimeSlack{3};
// Time that an engine is told it has for a task.
constexpr std::chrono::seconds kTaskTime{60};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_DISPATCH_LIMITS_H_
