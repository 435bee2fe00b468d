#include "steps/event_gap.h"

#include <cmath>

namespace hickorywood::steps {
namespace {

// Time constant of the decay: older samples fall to about a third (1/e) in this
// time. Several times the longest delay of a busy reader, and short compared
// with the texts that a slow engine would delay.
constexpr std::chrono::duration<double> kDecayTime{0.7};
// A gap older than this is ignored, so that the engine is tried again.
constexpr std::chrono::seconds kMaxAge{3};

}  // namespace

void RecordEvents(event_gap& gap, std::chrono::milliseconds span,
                  uint64_t events, core::time_point now) {
  if (events == 0) return;
  const std::chrono::duration<double> age = now - gap.at;
  const double decay = std::exp(-(age / kDecayTime));
  gap.ms = gap.ms * decay + static_cast<double>(span.count());
  gap.events = gap.events * decay + static_cast<double>(events);
  gap.at = now;
}

double GapMillis(const event_gap& gap, core::time_point now) {
  const bool is_known = gap.events > 0 && now - gap.at < kMaxAge;
  return is_known ? gap.ms / gap.events : 0;
}

}  // namespace hickorywood::steps
