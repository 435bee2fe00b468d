#include "quarantine/suspect_separation.h"

#include <algorithm>

namespace hickorywood::quarantine {
namespace {

// A request that has made this many events counts as past its crash, so that
// long requests don't keep an endpoint to themselves after a loss by chance.
constexpr uint64_t kEventsWithoutCrash = 5;
// Crashes from which on a request pauses. Fewer are common by chance when a
// rack fails.
constexpr size_t kCrashesToPause = 3;
// Pause after that crash. Each further crash doubles it.
constexpr core::milliseconds kFirstPause{250};
// Waiting work must run within 5 s where endpoints have free places. The pause,
// a run that breaks at once and the choice of an endpoint fit in that twice.
constexpr core::milliseconds kMaxPause{2000};

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

core::milliseconds PauseAfterCrash(size_t crashes) {
  if (crashes < kCrashesToPause) return core::milliseconds(0);
  core::milliseconds pause = kFirstPause;
  for (size_t i = kCrashesToPause; i < crashes && pause < kMaxPause; ++i) {
    pause *= 2;
  }
  return std::min(pause, kMaxPause);
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
