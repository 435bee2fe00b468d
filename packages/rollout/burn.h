#ifndef HICKORYWOOD_ROLLOUT_BURN_H_
#define HICKORYWOOD_ROLLOUT_BURN_H_

// Burn rates of service-level objectives: how fast the error budget of each
// objective is used over several time windows, and by which causes. Counts are
// stored per minute for one hour, which limits the memory.

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace hickorywood::rollout {

// The objectives that are measured.
enum class objective {
  kTrainerIdle,
  kFreshSamples,
  kStepsOnTime,
  kAcknowledgement
};
NLOHMANN_JSON_SERIALIZE_ENUM(objective,
                             {{objective::kTrainerIdle, "trainer_idle"},
                              {objective::kFreshSamples, "fresh_samples"},
                              {objective::kStepsOnTime, "steps_on_time"},
                              {objective::kAcknowledgement, "acknowledgement"}})

constexpr size_t kBurnMinutes = 60;

// Good and bad amounts in one minute. The unit depends on the objective:
// milliseconds of trainer time, samples, steps or calls.
struct burn_bucket {
  int64_t minute = -1;  // minutes since the epoch; -1: unused
  double good = 0;
  double bad = 0;
  std::map<std::string, double> causes;  // part of `bad` by cause
};

struct burn_series {
  std::array<burn_bucket, kBurnMinutes> buckets;
};

struct burn_key {
  objective kind = objective::kTrainerIdle;
  std::string subject;  // name of the pool or service
};
inline bool operator<(const burn_key& left, const burn_key& right) {
  return left.kind != right.kind ? left.kind < right.kind
                                 : left.subject < right.subject;
}

struct burn_recorder {
  std::map<burn_key, burn_series> series;
};

// Adds amounts at wall time `now`. `cause` is the cause of the bad amount.
void AddBurn(burn_recorder& recorder, objective kind,
             const std::string& subject, double good, double bad,
             const std::string& cause, core::wall_time now);

// Sums of one series over the last `window_minutes`. Instances send these to
// the report.
struct burn_sum {
  objective kind = objective::kTrainerIdle;
  std::string subject;
  int64_t window_minutes = 0;
  double good = 0;
  double bad = 0;
  std::map<std::string, double> causes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(burn_sum, kind, subject,
                                                window_minutes, good, bad,
                                                causes)

std::vector<burn_sum> SumBurn(const burn_recorder& recorder,
                              const std::vector<std::chrono::minutes>& windows,
                              core::wall_time now);

// Returns the bad share divided by the allowed bad share: how many times faster
// than allowed the error budget is used. A rate of 1 uses exactly the budget.
// Returns 0 without measurements.
double BurnRate(const burn_sum& sum, double allowed_bad_share);

}  // namespace hickorywood::rollout

#endif  // HICKORYWOOD_ROLLOUT_BURN_H_
