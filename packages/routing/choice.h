#ifndef HICKORYWOOD_ROUTING_CHOICE_H_
#define HICKORYWOOD_ROUTING_CHOICE_H_

// Chooses an endpoint for one request.

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hickorywood::routing {

// An endpoint that can accept the request.
struct candidate {
  std::string id;
  bool is_same_zone = false;
  int64_t reported_load = 0;  // running + queued there, in its last report
  int64_t outstanding = 0;    // requests of this instance, now
  int64_t outstanding_at_report = 0;  // requests of this instance at the report
  int64_t allowed = 0;       // requests that this instance may have there
  double token_seconds = 0;  // smoothed time per token; 0: no sample
};

enum class choice_method {
  kTwoChoices,         // the better of two random ones, by expected cost
  kRoundRobin,         // baseline for measurements
  kLeastReportedLoad,  // baseline for measurements
};

struct choice_policy {
  choice_method method = choice_method::kTwoChoices;
  bool uses_affinity = true;
  // Prefix affinity applies only while the load of the endpoint is below this
  // multiple of the mean load.
  double affinity_load_bound = 1.25;
  // Endpoints of other zones are used when each endpoint of the own zone has
  // more than this many requests above the least loaded endpoint elsewhere.
  int64_t zone_spill_margin = 4;
};

// State that a method retains between choices.
struct choice_state {
  uint64_t round_robin_next = 0;
  std::mt19937_64 random;
};

// Estimates the current load of a candidate: the requests of other instances
// (the reported load without those of this instance) plus the current requests
// of this instance. Reports are delayed; with the reported load alone, all
// instances would send their requests to the same apparently idle endpoint
// until the next report.
int64_t CorrectedLoad(const candidate& item);

// Returns the index of the chosen candidate, or nothing if none has capacity. A
// `prefix_hash` of 0 disables affinity.
std::optional<size_t> ChooseEndpoint(const choice_policy& policy,
                                     choice_state& state,
                                     const std::vector<candidate>& candidates,
                                     uint64_t prefix_hash);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_CHOICE_H_
