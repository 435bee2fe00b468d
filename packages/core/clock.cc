#include "core/clock.h"

#include <time.h>

namespace hickorywood::core {
namespace {

using std::chrono::duration_cast;
using std::chrono::nanoseconds;

}  // namespace

boot_clock::time_point boot_clock::now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    nanoseconds(time.tv_nsec));
}

time_point runtime_clock::Now() const {
  if (!paused_) return std::chrono::steady_clock::now();
  return time_point(nanoseconds(paused_steady_ns_.load()));
}

boot_time_point runtime_clock::BootNow() const {
  if (!paused_) return boot_clock::now();
  return boot_time_point(nanoseconds(paused_boot_ns_.load()));
}

wall_time runtime_clock::WallNow() const {
  if (!paused_) return std::chrono::system_clock::now();
  return wall_time(
      duration_cast<wall_time::duration>(nanoseconds(paused_wall_ns_.load())));
}

void runtime_clock::Pause() {
  paused_steady_ns_ =
      duration_cast<nanoseconds>(Now().time_since_epoch()).count();
  paused_boot_ns_ =
      duration_cast<nanoseconds>(BootNow().time_since_epoch()).count();
  paused_wall_ns_ =
      duration_cast<nanoseconds>(WallNow().time_since_epoch()).count();
  paused_ = true;
}

void runtime_clock::Advance(milliseconds step) {
  const int64_t step_ns = duration_cast<nanoseconds>(step).count();
  paused_steady_ns_ += step_ns;
  paused_boot_ns_ += step_ns;
  paused_wall_ns_ += step_ns;
}

void runtime_clock::Suspend(milliseconds step) {
  const int64_t step_ns = duration_cast<nanoseconds>(step).count();
  paused_boot_ns_ += step_ns;
  paused_wall_ns_ += step_ns;
}

int64_t ToUnixMillis(wall_time time) {
  return duration_cast<milliseconds>(time.time_since_epoch()).count();
}

}  // namespace hickorywood::core
