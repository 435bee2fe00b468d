#ifndef HICKORYWOOD_STEPS_ENGINE_MODEL_H_
#define HICKORYWOOD_STEPS_ENGINE_MODEL_H_

// Predicts how long an engine takes for a number of events, from the times
// between the events of earlier runs and from the speed that engines report.
// Intended for engines that differ permanently, engines that are slow for some
// seconds, and machines whose other work changes several times a second. Plain
// data and decisions.

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace hickorywood::steps {

using predicted_time = std::chrono::duration<double>;

// Mean time between two events, over a window with exponential decay. Times
// are those of a batch with one stream.
struct mean_event_time {
  double seconds = 0;  // decayed
  double events = 0;   // decayed
  core::time_point at{};
};

// What is known of one engine.
struct engine_model {
  mean_event_time recent;     // shows an engine that has just become slow
  mean_event_time sustained;  // shows its usual speed
  // Work of other programs on its machine, as last reported: how long work
  // takes, relative to the usual time.
  double reported_pace = 1;
  core::time_point pace_at{};
  // Means of the samples, to learn the effect of the batch.
  double mean_streams = 0;
  double mean_raw_seconds = 0;
};

// How much each further stream in the batch of an engine slows all of its
// streams, as a share of the time of one. Learned from all engines of a
// service.
struct batch_effect {
  double covariance = 0;  // of the streams and the relative event time, decayed
  double variance = 0;    // of the streams, decayed
};

// Share by which one more stream slows the others. Before anything is learned,
// a usual value; never less than 0.
double SlowdownPerStream(const batch_effect& effect);

// Records that `events` events of a stream arrived within `span` while the
// engine ran `streams` streams.
void RecordEvents(engine_model& engine, batch_effect& effect,
                  std::chrono::milliseconds span, uint64_t events,
                  int64_t streams, core::time_point now);

// Records the speed that an engine reported, in percent of the usual time.
void RecordPace(engine_model& engine, int64_t percent, core::time_point now);

// The usual event time of a service: the median of the engines that have
// recent events. Zero: unknown.
predicted_time UsualEventTime(const std::vector<const engine_model*>& engines,
                              core::time_point now);

// The expected speed of an engine, in a batch with one stream.
struct engine_pace {
  predicted_time now{0};    // time of an event at the moment
  predicted_time later{0};  // after the present disturbance, if there is one
};

// An engine that is not known yet, or was not used for long, is expected to be
// as fast as usual, so that it is tried again.
engine_pace PaceOf(const engine_model& engine, predicted_time usual,
                   core::time_point now);

// Time for `events` events at this speed, in a batch with `others` other
// streams.
predicted_time TimeFor(const engine_pace& pace, double events, int64_t others,
                       double slowdown_per_stream);

// Converts expected lengths of texts into events. Learned from complete texts,
// which compensates for hints that are all off by the same factor.
struct length_scale {
  double events = 0;    // decayed
  double expected = 0;  // decayed
};
void RecordLength(length_scale& scale, uint64_t events, int64_t expected);

// Events that a text is expected to have when it has `done` already. A text
// that is longer than expected is likely to become longer still. `expected`
// and `largest` have the unit of the hints; 0: unknown.
double ExpectedEvents(const length_scale& scale, int64_t expected,
                      int64_t largest, uint64_t done, int64_t tokens_per_event);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_ENGINE_MODEL_H_
