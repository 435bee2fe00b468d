#ifndef HICKORYWOOD_ROUTING_ENDPOINT_CHOICE_H_
#define HICKORYWOOD_ROUTING_ENDPOINT_CHOICE_H_

// Chooses the endpoint of a service for a plain request, from the information
// that one process has: its own count of outstanding requests, which is exact,
// and the load hints that endpoints add to their answers, which are delayed.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/endpoint_registry.h"
#include "fleet/protocol.h"

namespace hickorywood::routing {

struct endpoint_load {
  int64_t outstanding = 0;  // requests of this process
  double latency_ms = 0;    // of answered requests, smoothed; 0: no sample
  core::time_point latency_at{};
  // Requests of other processes at the endpoint, as of `load_hint_at`.
  int64_t external = 0;
  core::time_point load_hint_at{};
  int failures = 0;  // consecutive
  core::time_point avoid_until{};
};

struct endpoint_load_table {
  std::map<std::string, endpoint_load> records;  // by incarnation
};

struct choice_input {
  const std::vector<fleet::endpoint>* endpoints = nullptr;
  std::string_view service;
  std::string_view own_zone;
  const std::set<std::string>* excluded =
      nullptr;  // incarnations that were tried
  core::time_point now{};
  // Decides between endpoints of equal cost. Many processes with few requests
  // know no load; with the same order they would all choose the same endpoint.
  uint64_t seed = 0;
};

// Returns the endpoint with the lowest expected cost, or nullptr when no
// endpoint can accept the request. Endpoints that failed recently are chosen
// only when there is no alternative.
const fleet::endpoint* ChooseEndpoint(const endpoint_load_table& loads,
                                      const choice_input& input);

void RecordSent(endpoint_load_table& loads, const std::string& incarnation);
void RecordFinished(endpoint_load_table& loads, const std::string& incarnation);
void RecordAnswer(endpoint_load_table& loads, const std::string& incarnation,
                  std::chrono::milliseconds latency,
                  const std::optional<fleet::load_hint>& hint,
                  core::time_point now);
// The endpoint was unreachable, or its answer was cut off or malformed.
void RecordFailure(endpoint_load_table& loads, const std::string& incarnation,
                   core::time_point now);
// The endpoint rejected a request because it is full.
void RecordFullRejection(endpoint_load_table& loads,
                         const std::string& incarnation, core::time_point now);

// Removes the record of an endpoint. Returns false when it has outstanding
// requests, and the record stays.
bool RemoveIfIdle(endpoint_load_table& loads, const std::string& incarnation);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_ENDPOINT_CHOICE_H_
