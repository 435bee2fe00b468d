#ifndef HICKORYWOOD_QUARANTINE_SUSPECT_SEPARATION_H_
#define HICKORYWOOD_QUARANTINE_SUSPECT_SEPARATION_H_

// Limits the damage of batch work that crashes endpoints. Such work is not
// quarantined, because an endpoint may have crashed under it by chance and its
// result is still due.
//
// Possible causes of a crash are kept on separate endpoints where other places
// are free: after a crash the cause can't be distinguished from the other
// requests that were running there. From the third crash on, a request also
// pauses after each crash. Decisions over plain data.

#include <cstddef>
#include <cstdint>

#include "core/clock.h"

namespace hickorywood::quarantine {

// What is known of one request.
struct crash_suspicion {
  int crashes = 0;  // endpoints whose connections broke while they ran it
  // Events that it had made, at most, when a connection broke.
  uint64_t events_at_crash = 0;
};

// The requests with crashes that run on one endpoint.
struct suspects_on_endpoint {
  // With one crash, and not past the point at which it happened.
  int open = 0;
  int repeated = 0;  // with two crashes or more
  int all = 0;       // with any
};

// Whether a request may join those on an endpoint while another endpoint has a
// free place that it may take. One with a single crash avoids requests that may
// be the cause of it. One with two crashes is most likely the cause, so it
// avoids every request that could be taken for it.
bool MayJoin(const crash_suspicion& request, const suspects_on_endpoint& there);

// Whether a request that has made `events` events in its present run is past
// the point of its crash. Most causes crash their endpoint at the same point
// each time.
bool IsPastCrash(const crash_suspicion& request, uint64_t events);

// Minimum time between a crash under a request and its next run, by the number
// of its crashes.
core::milliseconds PauseAfterCrash(size_t crashes);

// Records a request that begins to run, gets past its crash, or ends on an
// endpoint.
void AddSuspect(suspects_on_endpoint& there, const crash_suspicion& request);
void RecordPastCrash(suspects_on_endpoint& there,
                     const crash_suspicion& request);
void RemoveSuspect(suspects_on_endpoint& there, const crash_suspicion& request,
                   bool is_past);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_SUSPECT_SEPARATION_H_
