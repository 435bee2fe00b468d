#include "routing/endpoint_choice.h"

#include <algorithm>

#include "core/ids.h"

namespace hickorywood::routing {
namespace {

using std::chrono::milliseconds;

// Cost of an endpoint in another availability zone, in queue positions. The
// request crosses the zone boundary twice and its traffic is billed; one queue
// position takes about 25 ms.
constexpr double kOtherZoneCost = 0.3;
// Cost of an endpoint without heartbeats, in queue positions: it is chosen when
// the other endpoints have this many more requests.
constexpr double kUnresponsiveCost = 4;
// Age from which a load hint is ignored.
constexpr milliseconds kHintLifetime{1000};
// Age from which a latency is ignored, so that an endpoint that was slow is
// tried again.
constexpr milliseconds kLatencyLifetime{4000};
constexpr double kLatencySmoothing = 0.25;
// Ratio to the median latency up to which an endpoint is not considered slow:
// latencies of different requests vary by this much on the same endpoint.
constexpr double kNormalLatencyRatio = 1.8;
constexpr milliseconds kAvoidAfterFailure{300};
constexpr int kMaxDoublings = 4;
// A full endpoint has a free slot again after about one request duration.
constexpr milliseconds kAvoidAfterFull{25};

const endpoint_load& LoadOf(const endpoint_load_table& loads,
                            const std::string& incarnation) {
  static const endpoint_load kNoLoad;
  const auto found = loads.records.find(incarnation);
  return found == loads.records.end() ? kNoLoad : found->second;
}

bool IsLatencyKnown(const endpoint_load& record, core::time_point now) {
  return record.latency_ms > 0 && now - record.latency_at < kLatencyLifetime;
}

double MedianLatency(const endpoint_load_table& loads,
                     const std::vector<const fleet::endpoint*>& candidates,
                     core::time_point now) {
  std::vector<double> latencies;
  for (const fleet::endpoint* item : candidates) {
    const endpoint_load& record = LoadOf(loads, item->incarnation);
    if (IsLatencyKnown(record, now)) latencies.push_back(record.latency_ms);
  }
  if (latencies.empty()) return 0;
  const auto middle =
      latencies.begin() + static_cast<ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

double ExpectedCost(const endpoint_load& record, const fleet::endpoint& item,
                    double median_ms, const choice_input& input) {
  double queue = static_cast<double>(record.outstanding + 1);
  const auto age =
      std::chrono::duration<double>(input.now - record.load_hint_at);
  const double freshness =
      1 - age / std::chrono::duration<double>(kHintLifetime);
  if (freshness > 0) queue += freshness * static_cast<double>(record.external);
  double cost = queue;
  const bool is_slow = median_ms > 0 && IsLatencyKnown(record, input.now) &&
                       record.latency_ms > kNormalLatencyRatio * median_ms;
  if (is_slow) cost *= record.latency_ms / median_ms;
  if (item.zone != input.own_zone) cost += kOtherZoneCost;
  if (item.state == fleet::endpoint_state::kUnresponsive) {
    cost += kUnresponsiveCost;
  }
  return cost;
}

// Orders endpoints in a way that is constant for a seed, so that connections to
// the preferred ones are used again.
uint64_t PreferenceOf(const fleet::endpoint& item, uint64_t seed) {
  constexpr uint64_t kGoldenRatio = 0x9E3779B97F4A7C15;
  return (core::Hash64(item.incarnation) ^ seed) * kGoldenRatio;
}

}  // namespace

const fleet::endpoint* ChooseEndpoint(const endpoint_load_table& loads,
                                      const choice_input& input) {
  std::vector<const fleet::endpoint*> candidates;
  for (const fleet::endpoint& item : *input.endpoints) {
    const bool is_open = item.service == input.service &&
                         item.state != fleet::endpoint_state::kDraining &&
                         input.excluded->count(item.incarnation) == 0;
    if (is_open) candidates.push_back(&item);
  }
  const double median_ms = MedianLatency(loads, candidates, input.now);
  const fleet::endpoint* best = nullptr;
  double best_cost = 0;
  bool is_best_avoided = true;
  for (const fleet::endpoint* item : candidates) {
    const endpoint_load& record = LoadOf(loads, item->incarnation);
    const bool is_avoided = record.avoid_until > input.now;
    const double cost = ExpectedCost(record, *item, median_ms, input);
    const bool is_same_rank = best != nullptr && is_best_avoided == is_avoided;
    const bool is_preferred =
        is_same_rank && cost == best_cost &&
        PreferenceOf(*item, input.seed) < PreferenceOf(*best, input.seed);
    const bool is_better = best == nullptr ||
                           (is_best_avoided && !is_avoided) ||
                           (is_same_rank && cost < best_cost) || is_preferred;
    if (!is_better) continue;
    best = item;
    best_cost = cost;
    is_best_avoided = is_avoided;
  }
  return best;
}

void RecordSent(endpoint_load_table& loads, const std::string& incarnation) {
  ++loads.records[incarnation].outstanding;
}

void RecordFinished(endpoint_load_table& loads,
                    const std::string& incarnation) {
  const auto found = loads.records.find(incarnation);
  if (found != loads.records.end()) --found->second.outstanding;
}

void RecordAnswer(endpoint_load_table& loads, const std::string& incarnation,
                  milliseconds latency,
                  const std::optional<fleet::load_hint>& hint,
                  core::time_point now) {
  endpoint_load& record = loads.records[incarnation];
  const auto sample =
      static_cast<double>(std::max<int64_t>(1, latency.count()));
  record.latency_ms =
      IsLatencyKnown(record, now)
          ? record.latency_ms + kLatencySmoothing * (sample - record.latency_ms)
          : sample;
  record.latency_at = now;
  record.failures = 0;
  if (!hint) return;
  record.external =
      std::max<int64_t>(0, hint->running + hint->waiting - record.outstanding);
  record.load_hint_at = now;
}

void RecordFailure(endpoint_load_table& loads, const std::string& incarnation,
                   core::time_point now) {
  endpoint_load& record = loads.records[incarnation];
  const int doublings = std::min(record.failures, kMaxDoublings);
  ++record.failures;
  record.avoid_until = now + kAvoidAfterFailure * (1 << doublings);
}

void RecordFullRejection(endpoint_load_table& loads,
                         const std::string& incarnation, core::time_point now) {
  endpoint_load& record = loads.records[incarnation];
  record.avoid_until = std::max(record.avoid_until, now + kAvoidAfterFull);
}

bool RemoveIfIdle(endpoint_load_table& loads, const std::string& incarnation) {
  const auto found = loads.records.find(incarnation);
  if (found == loads.records.end()) return true;
  if (found->second.outstanding != 0) return false;
  loads.records.erase(found);
  return true;
}

}  // namespace hickorywood::routing
