#ifndef HICKORYWOOD_ROUTING_ENDPOINT_CHOICE_H_
#define HICKORYWOOD_ROUTING_ENDPOINT_CHOICE_H_

// Which endpoint of a service takes a plain request. Decisions over what one
// entry knows: its own count of outstanding requests, which is exact, and the
// load that endpoints add to their answers, which is late.

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

struct endpoint_record {
  int64_t outstanding = 0;  // own requests
  double latency_ms = 0;    // of answered requests, smoothed; 0: not known
  core::time_point latency_at{};
  // Requests of other entries, as of `hint_at`.
  int64_t foreign = 0;
  core::time_point hint_at{};
  int failures = 0;  // in a row
  core::time_point avoid_until{};
};

struct endpoint_book {
  std::map<std::string, endpoint_record> records;  // by incarnation
};

struct choice_input {
  const std::vector<fleet::endpoint>* endpoints = nullptr;
  std::string_view service;
  std::string_view own_zone;
  const std::set<std::string>* excluded = nullptr;  // tried before
  core::time_point now{};
};

// The endpoint that is expected to answer first, or nullptr when there is none
// that could take the request. Endpoints that failed lately are taken only when
// there is no other.
const fleet::endpoint* ChooseEndpoint(const endpoint_book& book,
                                      const choice_input& input);

void NoteSent(endpoint_book& book, const std::string& incarnation);
void NoteOver(endpoint_book& book, const std::string& incarnation);
void NoteAnswer(endpoint_book& book, const std::string& incarnation,
                std::chrono::milliseconds latency,
                const std::optional<fleet::load_hint>& hint,
                core::time_point now);
// It was unreachable, cut the answer off, or spoiled it.
void NoteFailure(endpoint_book& book, const std::string& incarnation,
                 core::time_point now);
// It said that it is full.
void NoteFull(endpoint_book& book, const std::string& incarnation,
              core::time_point now);

// Drops what is known of endpoints that are gone.
void KeepOnly(endpoint_book& book,
              const std::vector<fleet::endpoint>& endpoints);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_ENDPOINT_CHOICE_H_
