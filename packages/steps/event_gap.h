#ifndef HICKORYWOOD_STEPS_EVENT_GAP_H_
#define HICKORYWOOD_STEPS_EVENT_GAP_H_

// Measures the time between two events of an engine's streams. A busy reader
// finds several events at once. If each event had its own gap, most gaps would
// be 0 and one a tenth of a second, and the latest gap would make engines of
// equal speed look slow or fast. So the time and the events are summed, with
// exponential decay.

#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace hickorywood::steps {

struct event_gap {
  double ms = 0;      // spent by the streams, decayed
  double events = 0;  // received in this time, decayed
  core::time_point at{};
};

// Records that `events` arrived in a stream within `span`.
void RecordEvents(event_gap& gap, std::chrono::milliseconds span,
                  uint64_t events, core::time_point now);

// Milliseconds between two events; 0: no recent events.
double GapMillis(const event_gap& gap, core::time_point now);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_EVENT_GAP_H_
