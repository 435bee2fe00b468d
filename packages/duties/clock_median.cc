#include "duties/clock_median.h"

#include <algorithm>
#include <vector>

namespace hickorywood::duties {
namespace {

using std::chrono::milliseconds;

milliseconds SinceBoot(core::boot_time_point when) {
  return std::chrono::duration_cast<milliseconds>(when.time_since_epoch());
}

}  // namespace

void RecordReading(clock_samples& samples, const std::string& source,
                   core::unix_time reading, core::boot_time_point now) {
  samples.by_source[source] = {reading.time_since_epoch() - SinceBoot(now),
                               now};
}

void RemoveOldSamples(clock_samples& samples, milliseconds lifetime,
                      core::boot_time_point now) {
  std::erase_if(samples.by_source, [&](const auto& item) {
    return now - item.second.taken_at > lifetime;
  });
}

std::optional<core::unix_time> MedianTime(const clock_samples& samples,
                                          core::boot_time_point when,
                                          size_t min_samples) {
  if (samples.by_source.empty()) return std::nullopt;
  if (samples.by_source.size() < min_samples) return std::nullopt;
  std::vector<milliseconds> offsets;
  for (const auto& [source, sample] : samples.by_source) {
    offsets.push_back(sample.offset);
  }
  const auto middle =
      offsets.begin() + static_cast<ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return core::unix_time(SinceBoot(when) + *middle);
}

}  // namespace hickorywood::duties
