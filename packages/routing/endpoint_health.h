#ifndef HICKORYWOOD_ROUTING_ENDPOINT_HEALTH_H_
#define HICKORYWOOD_ROUTING_ENDPOINT_HEALTH_H_

// Health of an endpoint as this instance observes it: its own requests to the
// endpoint, their failures, and the ejection of a failing endpoint.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hickorywood::routing {

using core::milliseconds;
using core::time_point;

struct endpoint_stats {
  int64_t outstanding = 0;  // requests of this instance in flight there
  int64_t outstanding_at_report =
      0;  // `outstanding` when the endpoint last reported its load
  int64_t concurrency_limit = 0;  // adaptive; 0: not limited yet
  int64_t failures_in_row = 0;
  bool is_ejected = false;
  time_point ejected_until{};
  time_point
      ejection_ended_at{};  // end of the last ejection, where slow start begins
  double token_seconds = 0;  // smoothed time per token; 0: no sample yet
};

struct ejection_policy {
  int64_t failures = 3;
  milliseconds time{5000};
  double floor = 0.5;  // share of endpoints that is never ejected
};

using stats_table = std::map<std::string, endpoint_stats>;  // by endpoint id

// Records a successful request. `generated_tokens` and `took` update the
// measured speed; 0 tokens leave it unchanged.
void RecordSuccess(endpoint_stats& stats, int64_t generated_tokens,
                   milliseconds took);

// Records a failure that the endpoint caused (no connection, cut stream,
// timeout, 5xx). Returns true when the endpoint is ejected because of it.
// `peers` are the ids of the endpoints to which `ejection_policy::floor`
// applies, `id` included.
bool RecordFailure(stats_table& table, const std::string& id,
                   const std::vector<std::string>& peers,
                   const ejection_policy& policy, time_point now);

// Records that the endpoint rejected a request for lack of capacity. This
// lowers the concurrency limit and doesn't count as a failure.
void RecordOverload(endpoint_stats& stats, int64_t configured_limit);

// Returns whether the endpoint may be chosen at `now`. Ends an ejection that
// has expired.
bool IsAvailable(endpoint_stats& stats, time_point now);

// The number of requests that this instance may have in flight at the endpoint.
// After an ejection it starts low and grows, so that an endpoint that is still
// warming up is not overloaded.
int64_t AllowedConcurrency(const endpoint_stats& stats,
                           int64_t configured_limit, time_point now);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_ENDPOINT_HEALTH_H_
