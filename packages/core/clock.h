#ifndef HICKORYWOOD_CORE_CLOCK_H_
#define HICKORYWOOD_CORE_CLOCK_H_

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hickorywood::core {

using time_point = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

// Counts the time since the machine was started, including the time for which
// it was suspended, which the steady clock leaves out.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;  // NOLINT: name set by the library
  // NOLINTNEXTLINE(readability-identifier-naming): name set by the library
  static time_point now();
};
using boot_time_point = boot_clock::time_point;

// The clock of a process. It follows the monotonic clock until a test pauses
// it; after that it advances only by Advance(). All methods are thread-safe.
class runtime_clock {
 public:
  time_point Now() const;
  // For leases that must also expire while the machine is suspended. Timers
  // follow Now().
  boot_time_point BootNow() const;
  // Wall-clock time, for records that outlive the process (retention, reports).
  // Must not be used for leases.
  wall_time WallNow() const;

  void Pause();
  // Moves a paused clock forward. `step` must not be negative.
  void Advance(milliseconds step);
  // The same for a machine that is suspended for `step`: only BootNow() and
  // WallNow() move.
  void Suspend(milliseconds step);

 private:
  std::atomic<bool> paused_{false};
  std::atomic<int64_t> paused_steady_ns_{0};
  std::atomic<int64_t> paused_boot_ns_{0};
  std::atomic<int64_t> paused_wall_ns_{0};
};

// Milliseconds since the Unix epoch, the unit of wall-clock times in stored
// records.
int64_t ToUnixMillis(wall_time time);

// A time of day to the millisecond, as in messages.
using unix_time = std::chrono::sys_time<std::chrono::milliseconds>;

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_CLOCK_H_
