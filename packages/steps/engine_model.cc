#include "steps/engine_model.h"

#include <algorithm>
#include <cmath>

namespace hickorywood::steps {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

// Windows of the two means. The first one is a few events long, so that a slow
// engine is detected before a text of average length ends; the second one
// averages over other work on the machine, which comes and goes within a
// second.
constexpr predicted_time kRecentWindow{0.5};
constexpr predicted_time kSustainedWindow{3};
// Age from which the recent mean is ignored: a disturbance may be over.
constexpr predicted_time kRecentLifetime{1};
// Time after which a mean without new events counts half. A short text then
// tests the engine again.
constexpr predicted_time kHalfLife{10};
// How long a reported pace is believed, and the time after which the
// remaining belief counts half. It changes several times a second.
constexpr predicted_time kPaceLifetime{0.3};
constexpr predicted_time kPaceHalfLife{0.15};
// Duration of a disturbance: how long the present speed is expected to last.
constexpr predicted_time kDisturbance{0.5};
// The effect of one stream before anything is learned: a batch of twelve makes
// events a quarter slower on a usual engine.
constexpr double kUsualSlowdown = 0.02;
// Weight of the usual value, in squared streams. Learning takes a second or
// two at some hundred samples a second.
constexpr double kUsualWeight = 200;
constexpr double kMaxSlowdown = 0.2;
constexpr double kEffectDecay = 0.999;  // per sample
// Share of a new sample in the means of one engine.
constexpr double kMeanShare = 0.1;
// A sample that differs more from the mean is a disturbance and shows nothing
// of the effect of the batch.
constexpr double kMaxDeviation = 0.5;
// Bounds of a reported pace: other figures are not plausible.
constexpr double kMinPace = 0.2;
constexpr double kMaxPace = 20;
// Weight that earlier texts keep at each new one: the last few hundred count.
constexpr double kLengthDecay = 0.995;
// Expected further share of a text that has reached its expected length, and
// its minimum in events.
constexpr double kFurtherShare = 0.3;
constexpr double kMinFurther = 2;
// Length of a text of which nothing is known.
constexpr double kUnknownEvents = 15;

void Record(mean_event_time& mean, predicted_time window, double seconds,
            double events, core::time_point now) {
  const predicted_time age = now - mean.at;
  const double kept = mean.events > 0 ? std::exp(-(age / window)) : 0;
  mean.seconds = mean.seconds * kept + seconds;
  mean.events = mean.events * kept + events;
  mean.at = now;
}

double HalvedBy(predicted_time age, predicted_time half_life) {
  return age <= predicted_time(0) ? 1 : std::exp2(-(age / half_life));
}

// Learns the effect of the batch from how the event time of one engine varies
// with its streams.
void RecordBatch(engine_model& engine, batch_effect& effect, double seconds,
                 double streams) {
  if (engine.mean_raw_seconds <= 0) {
    engine.mean_raw_seconds = seconds;
    engine.mean_streams = streams;
    return;
  }
  const double deviation = seconds / engine.mean_raw_seconds - 1;
  const double more = streams - engine.mean_streams;
  engine.mean_raw_seconds += kMeanShare * (seconds - engine.mean_raw_seconds);
  engine.mean_streams += kMeanShare * more;
  if (std::abs(deviation) > kMaxDeviation) return;
  effect.covariance = kEffectDecay * effect.covariance + more * deviation;
  effect.variance = kEffectDecay * effect.variance + more * more;
}

}  // namespace

double SlowdownPerStream(const batch_effect& effect) {
  const double learned = (kUsualSlowdown * kUsualWeight + effect.covariance) /
                         (kUsualWeight + effect.variance);
  return std::clamp(learned, 0.0, kMaxSlowdown);
}

void RecordEvents(engine_model& engine, batch_effect& effect, milliseconds span,
                  uint64_t events, int64_t streams, core::time_point now) {
  if (events == 0 || span.count() <= 0) return;
  const auto count = static_cast<double>(events);
  const auto batch = static_cast<double>(std::max<int64_t>(streams, 1));
  const double seconds = predicted_time(span).count();
  RecordBatch(engine, effect, seconds / count, batch);
  const double alone = seconds / (1 + SlowdownPerStream(effect) * (batch - 1));
  Record(engine.recent, kRecentWindow, alone, count, now);
  Record(engine.sustained, kSustainedWindow, alone, count, now);
}

void RecordPace(engine_model& engine, int64_t percent, core::time_point now) {
  constexpr double kPercent = 100;
  if (percent <= 0) return;
  engine.reported_pace =
      std::clamp(static_cast<double>(percent) / kPercent, kMinPace, kMaxPace);
  engine.pace_at = now;
}

predicted_time UsualEventTime(const std::vector<const engine_model*>& engines,
                              core::time_point now) {
  std::vector<double> known;
  for (const engine_model* item : engines) {
    const mean_event_time& mean = item->sustained;
    const bool is_known = mean.events > 0 && now - mean.at < 3 * kHalfLife;
    if (is_known) known.push_back(mean.seconds / mean.events);
  }
  if (known.empty()) return predicted_time(0);
  const auto middle =
      known.begin() + static_cast<ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return predicted_time(*middle);
}

engine_pace PaceOf(const engine_model& engine, predicted_time usual,
                   core::time_point now) {
  engine_pace pace;
  pace.later = usual;
  const mean_event_time& sustained = engine.sustained;
  if (sustained.events > 0) {
    const predicted_time mean(sustained.seconds / sustained.events);
    const double trust = HalvedBy(now - sustained.at, kHalfLife);
    pace.later = usual + trust * (mean - usual);
  }
  pace.now = pace.later;
  const mean_event_time& recent = engine.recent;
  if (recent.events > 0 && now - recent.at < kRecentLifetime) {
    pace.now = predicted_time(recent.seconds / recent.events);
    return pace;
  }
  const predicted_time age = now - engine.pace_at;
  const double trust = HalvedBy(age - kPaceLifetime, kPaceHalfLife);
  pace.now = pace.later * (1 + trust * (engine.reported_pace - 1));
  return pace;
}

predicted_time TimeFor(const engine_pace& pace, double events, int64_t others,
                       double slowdown_per_stream) {
  const double stretch =
      1 +
      slowdown_per_stream * static_cast<double>(std::max<int64_t>(0, others));
  const predicted_time at_present = events * stretch * pace.now;
  if (at_present <= kDisturbance || pace.now <= predicted_time(0)) {
    return at_present;
  }
  const double left = events * (1 - kDisturbance / at_present);
  return kDisturbance + left * stretch * pace.later;
}

void RecordLength(length_scale& scale, uint64_t events, int64_t expected) {
  if (expected <= 0) return;
  scale.events = kLengthDecay * scale.events + static_cast<double>(events);
  scale.expected =
      kLengthDecay * scale.expected + static_cast<double>(expected);
}

double ExpectedEvents(const length_scale& scale, int64_t expected,
                      int64_t largest, uint64_t done,
                      int64_t tokens_per_event) {
  const double per_event = static_cast<double>(tokens_per_event);
  double events = kUnknownEvents;
  if (expected > 0 && scale.expected > 0) {
    events = static_cast<double>(expected) * scale.events / scale.expected;
  } else if (expected > 0 && tokens_per_event > 0) {
    events = static_cast<double>(expected) / per_event;
  }
  const auto reached = static_cast<double>(done);
  const double further = std::max(kMinFurther, kFurtherShare * reached);
  if (done > 0) events = std::max(events, reached + further);
  if (largest > 0 && tokens_per_event > 0) {
    const double most = std::ceil(static_cast<double>(largest) / per_event);
    events = std::max(std::min(events, most), reached);
  }
  return events;
}

}  // namespace hickorywood::steps
