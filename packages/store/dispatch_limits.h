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
// Runs that are being started at once. All tasks of some steps in one turn kept
// the loop of a new leader busy for longer than its followers wait for its
// heartbeat: they elected another one, and that one did the same.
constexpr size_t kMostStarting = 16;
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
// Share of a new sample in the smoothed gap between events.
constexpr double kGapWeight = 0.3;
// Age after which an engine's gap counts for nothing: it is tried again.
constexpr std::chrono::seconds kGapLifetime{3};
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
