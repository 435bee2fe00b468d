#ifndef HICKORYWOOD_CORE_CLOCK_H_
#define HICKORYWOOD_CORE_CLOCK_H_

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hickorywood::core {

using time_point = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

// The clock of a process. It follows the monotonic clock until a test pauses
// it; after that it advances only by Advance(). All methods are thread-safe.
class runtime_clock {
 public:
  time_point Now() const;
  // Wall-clock time, for records that outlive the process (retention, reports).
  // Must not be used for leases.
  wall_time WallNow() const;

  void Pause();
  // Moves a paused clock forward. `step` must not be negative.
  void Advance(milliseconds step);

 private:
  std::atomic<bool> paused_{false};
  std::atomic<int64_t> paused_steady_ns_{0};
  std::atomic<int64_t> paused_wall_ns_{0};
};

// Milliseconds since the Unix epoch, the unit of wall-clock times in stored
// records.
int64_t ToUnixMillis(wall_time time);

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_CLOCK_H_
