#include "group/join_route.h"

#include <algorithm>

namespace hickorywood::group {
namespace {

using core::time_point;
using std::chrono::milliseconds;

// Instances that are asked at once while the leader is not known.
constexpr size_t kMaxTargets = 5;
// Time after which an instance may be taken for the leader again although it
// did not answer.
constexpr milliseconds kFailureLifetime{2000};
// Mean time between two requests of all applicants together: a request takes
// about 0.2 ms of the leader.
constexpr milliseconds kTimePerApplicant{10};
constexpr milliseconds kMinApplicantLifetime{1000};
// An applicant stays listed although two of its requests were lost.
constexpr int kRequestsPerLifetime = 3;

}  // namespace

std::vector<std::string> JoinTargets(join_route& route,
                                     const std::set<std::string>& known) {
  if (!route.leader.empty()) return {route.leader};
  const std::vector<std::string> all(known.begin(), known.end());
  std::vector<std::string> targets;
  for (size_t i = 0; i < std::min(kMaxTargets, all.size()); ++i) {
    targets.push_back(all[route.next_target++ % all.size()]);
  }
  return targets;
}

void OnJoinAnswer(join_route& route, const std::string& from,
                  const peering::join_hint& hint, time_point now) {
  if (hint.leader == from) {
    route.leader = from;
    route.term = hint.term;
    route.failed_term = 0;
    route.next_at = now + milliseconds(hint.retry_ms);
    return;
  }
  const bool has_failed = hint.term <= route.failed_term &&
                          now - route.failed_at < kFailureLifetime;
  if (hint.leader.empty() || has_failed) {
    if (from == route.leader) route.leader.clear();
    return;
  }
  const bool is_newer = hint.term > route.term || route.leader.empty();
  if (!is_newer && from != route.leader) return;
  route.leader = hint.leader;
  route.term = hint.term;
}

void OnJoinFailure(join_route& route, const std::string& to, time_point now) {
  if (to != route.leader) return;
  route.failed_term = std::max(route.failed_term, route.term);
  route.failed_at = now;
  route.leader.clear();
}

milliseconds JoinRetryTime(size_t applicants) {
  return kTimePerApplicant * static_cast<int64_t>(applicants);
}

milliseconds ApplicantLifetime(size_t applicants) {
  return std::max(kMinApplicantLifetime,
                  kRequestsPerLifetime * JoinRetryTime(applicants));
}

}  // namespace hickorywood::group
