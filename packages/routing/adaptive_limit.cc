#include "routing/adaptive_limit.h"

#include <algorithm>

namespace hickorywood::routing {
namespace {

// Share of a service's slots that deferrable requests may use. The rest is
// reserved for interactive requests: endpoints slow down when they are nearly
// full, and a request that finds a free slot starts without queueing.
constexpr double kMaxSlotShare = 0.5;
// Lower bound of the limit. Without requests in flight there would be no
// answers from which the limit could grow again.
constexpr double kMinRequests = 2;
// Factor that is applied to the limit at a rejection.
constexpr double kShrinkFactor = 0.7;
// Rejections within this time count as one, because their requests were sent
// under the same limit.
constexpr std::chrono::milliseconds kRejectionWindow{200};

double MaxRequests(int64_t slots) {
  return std::max(kMinRequests, kMaxSlotShare * static_cast<double>(slots));
}

double CurrentLimit(const adaptive_limit& limit, int64_t slots) {
  const double max_requests = MaxRequests(slots);
  return limit.allowed > 0 ? std::min(limit.allowed, max_requests)
                           : max_requests;
}

}  // namespace

int64_t MaxRequestsInFlight(const adaptive_limit& limit, int64_t slots) {
  return static_cast<int64_t>(CurrentLimit(limit, slots));
}

// Raises the limit by about 1 for every `limit` answers (additive increase).
void RecordServed(adaptive_limit& limit, int64_t slots) {
  const double current = CurrentLimit(limit, slots);
  limit.allowed = std::min(MaxRequests(slots), current + 1 / current);
}

void RecordRejected(adaptive_limit& limit, int64_t slots,
                    core::time_point now) {
  const bool is_same_overload =
      limit.allowed > 0 && now - limit.shrunk_at < kRejectionWindow;
  if (is_same_overload) return;
  limit.allowed =
      std::max(kMinRequests, kShrinkFactor * CurrentLimit(limit, slots));
  limit.shrunk_at = now;
}

}  // namespace hickorywood::routing
