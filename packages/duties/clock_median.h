#ifndef HICKORYWOOD_DUTIES_CLOCK_MEDIAN_H_
#define HICKORYWOOD_DUTIES_CLOCK_MEDIAN_H_

// The time of day by the clocks of many instances. A single clock may be wrong
// by any amount, and may be set at any moment; the median is right as long as
// most of them are.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace hickorywood::duties {

// How far each clock is ahead of the boot clock of this machine, which is never
// set. Several readings of one clock may be kept as separate samples.
struct clock_samples {
  struct sample {
    std::chrono::milliseconds offset{0};
    core::boot_time_point taken_at{};
  };
  std::map<std::string, sample> by_source;
};

// Records that the clock of `source` shows `reading` now. A reading that took
// long to arrive seems to be behind by as long.
void RecordReading(clock_samples& samples, const std::string& source,
                   core::unix_time reading, core::boot_time_point now);

// Removes the samples that are older than `lifetime`.
void RemoveOldSamples(clock_samples& samples,
                      std::chrono::milliseconds lifetime,
                      core::boot_time_point now);

// Returns the time of day at `when`, or nothing if there are less than
// `min_samples` samples.
std::optional<core::unix_time> MedianTime(const clock_samples& samples,
                                          core::boot_time_point when,
                                          size_t min_samples);

}  // namespace hickorywood::duties

#endif  // HICKORYWOOD_DUTIES_CLOCK_MEDIAN_H_
