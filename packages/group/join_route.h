#ifndef HICKORYWOOD_GROUP_JOIN_ROUTE_H_
#define HICKORYWOOD_GROUP_JOIN_ROUTE_H_

// Where and how often a replica asks to join its group. Only the leader can
// admit it. Of 150 stores 145 are not members; if each of them asked all others
// five times a second, these requests would take most of their processor time.
// Plain data and decisions.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "peering/messages.h"

namespace hickorywood::group {

struct join_route {
  std::string leader;  // latest known; empty: unknown
  uint64_t term = 0;   // of the leader
  // The latest term whose leader did not answer, and when.
  uint64_t failed_term = 0;
  core::time_point failed_at{};
  core::time_point next_at{};  // of the next request
  size_t next_target = 0;
};

// Returns the instances to ask now: the leader if it is known, otherwise some
// of `known`, in turn.
std::vector<std::string> JoinTargets(join_route& route,
                                     const std::set<std::string>& known);

// Updates the route from the answer of `from`.
void OnJoinAnswer(join_route& route, const std::string& from,
                  const peering::join_hint& hint, core::time_point now);

// `to` did not answer. Other instances may name it as the leader for some time.
void OnJoinFailure(join_route& route, const std::string& to,
                   core::time_point now);

// Time after which an applicant that is not needed should ask again. It bounds
// the requests to the leader for any number of applicants.
std::chrono::milliseconds JoinRetryTime(size_t applicants);

// How long an instance is listed as an applicant after a request.
std::chrono::milliseconds ApplicantLifetime(size_t applicants);

}  // namespace hickorywood::group

#endif  // HICKORYWOOD_GROUP_JOIN_ROUTE_H_
