#include "routing/choice.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "core/ids.h"

namespace hickorywood::routing {
namespace {

bool HasCapacity(const candidate& item) {
  return item.outstanding < item.allowed;
}

// Expected cost of sending one more request to the endpoint: the requests
// there, weighted by its time per token relative to the fastest endpoint.
double ExpectedCost(const candidate& item, double fastest) {
  const bool is_known = item.token_seconds > 0 && fastest > 0;
  const double slowness = is_known ? item.token_seconds / fastest : 1.0;
  return static_cast<double>(CorrectedLoad(item) + 1) * slowness;
}

double FastestTokenSeconds(const std::vector<candidate>& candidates) {
  double fastest = 0;
  for (const candidate& item : candidates) {
    const bool is_faster = item.token_seconds > 0 &&
                           (fastest == 0 || item.token_seconds < fastest);
    if (is_faster) fastest = item.token_seconds;
  }
  return fastest;
}

int64_t MinLoad(const std::vector<candidate>& candidates,
                const std::vector<size_t>& open, bool same_zone) {
  int64_t least = std::numeric_limits<int64_t>::max();
  for (const size_t index : open) {
    if (candidates[index].is_same_zone == same_zone) {
      least = std::min(least, CorrectedLoad(candidates[index]));
    }
  }
  return least;
}

// Restricts the choice to the own zone unless its load exceeds that of the
// other zones by more than `zone_spill_margin`.
std::vector<size_t> PreferZone(const choice_policy& policy,
                               const std::vector<candidate>& candidates,
                               const std::vector<size_t>& open) {
  constexpr int64_t kNone = std::numeric_limits<int64_t>::max();
  const int64_t own_zone_load = MinLoad(candidates, open, true);
  const int64_t other_zones_load = MinLoad(candidates, open, false);
  if (own_zone_load == kNone || other_zones_load == kNone) return open;
  if (own_zone_load > other_zones_load + policy.zone_spill_margin) return open;
  std::vector<size_t> same_zone;
  for (const size_t index : open) {
    if (candidates[index].is_same_zone) same_zone.push_back(index);
  }
  return same_zone;
}

// Returns the endpoint to which rendezvous hashing assigns the prefix. All
// instances compute the same endpoint without communication, and adding or
// removing an endpoint moves only the prefixes of that endpoint.
size_t PrefixEndpoint(const std::vector<candidate>& candidates,
                      const std::vector<size_t>& open, uint64_t prefix_hash) {
  size_t best = open.front();
  uint64_t best_score = 0;
  for (const size_t index : open) {
    const uint64_t score =
        core::Hash64(candidates[index].id + std::to_string(prefix_hash));
    if (score >= best_score) {
      best_score = score;
      best = index;
    }
  }
  return best;
}

bool IsWithinBound(const choice_policy& policy,
                   const std::vector<candidate>& candidates,
                   const std::vector<size_t>& open, size_t index) {
  const double total = std::accumulate(
      open.begin(), open.end(), 0.0, [&candidates](double sum, size_t i) {
        return sum + static_cast<double>(CorrectedLoad(candidates[i]));
      });
  const double mean = (total + 1) / static_cast<double>(open.size());
  return static_cast<double>(CorrectedLoad(candidates[index])) <
         policy.affinity_load_bound * mean;
}

size_t BetterOfTwo(choice_state& state,
                   const std::vector<candidate>& candidates,
                   const std::vector<size_t>& open) {
  std::uniform_int_distribution<size_t> pick(0, open.size() - 1);
  const size_t first = open[pick(state.random)];
  const size_t second = open[pick(state.random)];
  const double fastest = FastestTokenSeconds(candidates);
  return ExpectedCost(candidates[first], fastest) <=
                 ExpectedCost(candidates[second], fastest)
             ? first
             : second;
}

size_t LeastReported(const std::vector<candidate>& candidates,
                     const std::vector<size_t>& open) {
  return *std::min_element(
      open.begin(), open.end(), [&candidates](size_t left, size_t right) {
        return candidates[left].reported_load < candidates[right].reported_load;
      });
}

}  // namespace

int64_t CorrectedLoad(const candidate& item) {
  const int64_t others =
      std::max<int64_t>(0, item.reported_load - item.outstanding_at_report);
  return others + item.outstanding;
}

std::optional<size_t> ChooseEndpoint(const choice_policy& policy,
                                     choice_state& state,
                                     const std::vector<candidate>& candidates,
                                     uint64_t prefix_hash) {
  std::vector<size_t> open;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (HasCapacity(candidates[i])) open.push_back(i);
  }
  if (open.empty()) return std::nullopt;
  switch (policy.method) {
    case choice_method::kRoundRobin:
      return open[state.round_robin_next++ % open.size()];
    case choice_method::kLeastReportedLoad:
      return LeastReported(candidates, open);
    case choice_method::kTwoChoices:
      break;
  }
  const std::vector<size_t> preferred = PreferZone(policy, candidates, open);
  if (policy.uses_affinity && prefix_hash != 0) {
    const size_t assigned = PrefixEndpoint(candidates, preferred, prefix_hash);
    if (IsWithinBound(policy, candidates, preferred, assigned)) return assigned;
  }
  return BetterOfTwo(state, candidates, preferred);
}

}  // namespace hickorywood::routing
