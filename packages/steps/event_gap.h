#ifndef HICKORYWOOD_STEPS_EVENT_GAP_H_
#define HICKORYWOOD_STEPS_EVENT_GAP_H_

// How long an engine takes between two events of a stream, from what its
// streams show. A busy reader finds several events at once: taken one by one
// their gaps are 0 and then a tenth of a second, and whichever came last made
// engines that were as fast as any other look slow or fast. So time and events
// are summed, and old ones fade.

#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace hickorywood::steps {

struct event_gap {
  double ms = 0;      // that the streams spent, faded
  double events = 0;  // that came in them, faded
  core::time_point at{};
};

// `events` came within `span` of a stream.
void NoteEvents(event_gap& gap, std::chrono::milliseconds span, uint64_t events,
                core::time_point now);

// Milliseconds between two events; 0: nothing was seen lately.
double GapMillis(const event_gap& gap, core::time_point now);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_EVENT_GAP_H_
