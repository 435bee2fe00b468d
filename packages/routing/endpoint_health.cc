#include "routing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace hickorywood::routing {
namespace {

constexpr double kSpeedSmoothing = 0.2;
constexpr milliseconds kSlowStartTime{2000};
constexpr int64_t kMinConcurrencyLimit = 1;

size_t CountAvailable(stats_table& table, const std::vector<std::string>& peers,
                      time_point now) {
  return static_cast<size_t>(std::count_if(
      peers.begin(), peers.end(), [&table, now](const std::string& id) {
        return IsAvailable(table[id], now);
      }));
}

}  // namespace

void RecordSuccess(endpoint_stats& stats, int64_t generated_tokens,
                   milliseconds took) {
  stats.failures_in_row = 0;
  if (stats.concurrency_limit > 0) ++stats.concurrency_limit;
  if (generated_tokens <= 0) return;
  const double seconds = std::chrono::duration<double>(took).count() /
                         static_cast<double>(generated_tokens);
  stats.token_seconds =
      stats.token_seconds == 0
          ? seconds
          : stats.token_seconds +
                kSpeedSmoothing * (seconds - stats.token_seconds);
}

bool RecordFailure(stats_table& table, const std::string& id,
                   const std::vector<std::string>& peers,
                   const ejection_policy& policy, time_point now) {
  endpoint_stats& stats = table[id];
  ++stats.failures_in_row;
  if (stats.is_ejected || stats.failures_in_row < policy.failures) return false;
  // When most endpoints fail, the cause is probably not the endpoints, and
  // ejecting all of them would cause an outage.
  const auto floor = static_cast<size_t>(
      std::ceil(policy.floor * static_cast<double>(peers.size())));
  if (CountAvailable(table, peers, now) <= floor) return false;
  stats.is_ejected = true;
  stats.ejected_until = now + policy.time;
  return true;
}

void RecordOverload(endpoint_stats& stats, int64_t configured_limit) {
  const int64_t current =
      stats.concurrency_limit > 0 ? stats.concurrency_limit : configured_limit;
  // Starts from the number of requests in flight: a limit far above that number
  // would need many rejections before it takes effect.
  const int64_t in_use = std::max(stats.outstanding, kMinConcurrencyLimit);
  stats.concurrency_limit =
      std::max(kMinConcurrencyLimit, std::min(current, in_use) * 3 / 4);
}

bool IsAvailable(endpoint_stats& stats, time_point now) {
  if (!stats.is_ejected) return true;
  if (now < stats.ejected_until) return false;
  stats.is_ejected = false;
  stats.ejection_ended_at = now;
  stats.failures_in_row = 0;
  return true;
}

int64_t AllowedConcurrency(const endpoint_stats& stats,
                           int64_t configured_limit, time_point now) {
  int64_t limit = configured_limit;
  if (stats.concurrency_limit > 0) {
    limit = std::min(limit, stats.concurrency_limit);
  }
  const auto since_ejection = now - stats.ejection_ended_at;
  const bool is_in_slow_start = stats.ejection_ended_at != time_point{} &&
                                since_ejection < kSlowStartTime;
  if (!is_in_slow_start) return limit;
  const double share = std::chrono::duration<double>(since_ejection) /
                       std::chrono::duration<double>(kSlowStartTime);
  return std::max(kMinConcurrencyLimit,
                  static_cast<int64_t>(share * static_cast<double>(limit)));
}

}  // namespace hickorywood::routing
