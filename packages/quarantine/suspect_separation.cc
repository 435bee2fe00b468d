#include "quarantine/suspect_separation.h"

#include <algorithm>

namespace hickorywood::quarantine {
namespace {

// A request that has made this many events counts as past its crash, so that
// long requests don't keep an endpoint to themselves after a loss by chance.
constexpr uint64_t kEventsWithoutCrash = 5;

}  // namespace

bool MayJoin(const crash_suspicion& request,
             const suspects_on_endpoint& there) {
  if (request.crashes == 0) return true;
  if (request.crashes == 1) return there.open == 0 && there.repeated == 0;
  return there.all == 0;
}

bool IsPastCrash(const crash_suspicion& request, uint64_t events) {
  return events > std::min(request.events_at_crash, kEventsWithoutCrash);
}

void AddSuspect(suspects_on_endpoint& there, const crash_suspicion& request) {
  if (request.crashes == 0) return;
  ++there.all;
  if (request.crashes == 1) ++there.open;
  if (request.crashes >= 2) ++there.repeated;
}

void RecordPastCrash(suspects_on_endpoint& there,
                     const crash_suspicion& request) {
  if (request.crashes == 1) --there.open;
}

void RemoveSuspect(suspects_on_endpoint& there, const crash_suspicion& request,
                   bool is_past) {
  if (request.crashes == 0) return;
  --there.all;
  if (request.crashes == 1 && !is_past) --there.open;
  if (request.crashes >= 2) --there.repeated;
}

}  // namespace hickorywood::quarantine
