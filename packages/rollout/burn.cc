#include "rollout/burn.h"

#include <algorithm>

namespace hickorywood::rollout {
namespace {

int64_t MinuteOf(core::wall_time time) {
  return std::chrono::duration_cast<std::chrono::minutes>(
             time.time_since_epoch())
      .count();
}

}  // namespace

void AddBurn(burn_recorder& recorder, objective kind,
             const std::string& subject, double good, double bad,
             const std::string& cause, core::wall_time now) {
  const int64_t minute = MinuteOf(now);
  burn_series& series = recorder.series[{kind, subject}];
  burn_bucket& bucket =
      series.buckets[static_cast<size_t>(minute) % kBurnMinutes];
  if (bucket.minute != minute) {
    bucket = burn_bucket{};
    bucket.minute = minute;
  }
  bucket.good += good;
  bucket.bad += bad;
  if (bad > 0) bucket.causes[cause] += bad;
}

std::vector<burn_sum> SumBurn(const burn_recorder& recorder,
                              const std::vector<std::chrono::minutes>& windows,
                              core::wall_time now) {
  const int64_t current = MinuteOf(now);
  std::vector<burn_sum> sums;
  for (const auto& [key, series] : recorder.series) {
    for (const std::chrono::minutes window : windows) {
      burn_sum sum{key.kind, key.subject, window.count(), 0, 0, {}};
      for (const burn_bucket& bucket : series.buckets) {
        const bool is_inside =
            bucket.minute >= 0 && current - bucket.minute < window.count();
        if (!is_inside) continue;
        sum.good += bucket.good;
        sum.bad += bucket.bad;
        for (const auto& [cause, amount] : bucket.causes) {
          sum.causes[cause] += amount;
        }
      }
      sums.push_back(sum);
    }
  }
  return sums;
}

double BurnRate(const burn_sum& sum, double allowed_bad_share) {
  const double total = sum.good + sum.bad;
  if (total <= 0 || allowed_bad_share <= 0) return 0;
  return sum.bad / total / allowed_bad_share;
}

}  // namespace hickorywood::rollout
