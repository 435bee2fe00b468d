#include "steps/event_gap.h"

#include <cmath>

namespace hickorywood::steps {
namespace {

// Time in which what was seen fades to a third. Several times the longest that
// a busy reader's events pile up, and short against the texts that a slow
// engine would hold up.
constexpr std::chrono::duration<double> kMemory{0.7};
// Age after which an engine's gap counts for nothing: it is tried again.
constexpr std::chrono::seconds kLifetime{3};

}  // namespace

void NoteEvents(event_gap& gap, std::chrono::milliseconds span, uint64_t events,
                core::time_point now) {
  if (events == 0) return;
  const std::chrono::duration<double> age = now - gap.at;
  const double left = std::exp(-(age / kMemory));
  gap.ms = gap.ms * left + static_cast<double>(span.count());
  gap.events = gap.events * left + static_cast<double>(events);
  gap.at = now;
}

double GapMillis(const event_gap& gap, core::time_point now) {
  const bool is_known = gap.events > 0 && now - gap.at < kLifetime;
  return is_known ? gap.ms / gap.events : 0;
}

}  // namespace hickorywood::steps
