#include "duties/usage_counter.h"

#include <utility>

namespace hickorywood::duties {
namespace {

using std::chrono::milliseconds;

// Readings of which the median is used. Single ones arrive late, for example
// when this process was frozen.
constexpr uint64_t kReadings = 5;
// How long counts are kept for a new leader. Reports of older windows have been
// made by then.
constexpr milliseconds kRetention{30000};
// A limit for an entry that never learns the time of day.
constexpr size_t kMaxUnplaced = 10000;

void CountAt(usage_counter& counter, const std::string& customer,
             core::unix_time began_at) {
  usage_counter::counted_window& item =
      counter.windows[WindowAt(began_at, counter.window)];
  ++item.counts[customer];
  item.changed_at = ++counter.changes;
}

std::optional<core::unix_time> TimeAt(const usage_counter& counter,
                                      core::boot_time_point when) {
  return MedianTime(counter.clock, when, 1);
}

void RemoveOldWindows(usage_counter& counter, core::unix_time now) {
  const int64_t oldest = WindowAt(now - kRetention, counter.window);
  std::erase_if(counter.windows,
                [oldest](const auto& item) { return item.first < oldest; });
}

}  // namespace

int64_t WindowAt(core::unix_time when, milliseconds window) {
  return when.time_since_epoch() / window;
}

void CountRequest(usage_counter& counter, const std::string& customer,
                  core::boot_time_point began_at) {
  if (counter.window.count() == 0 || customer.empty()) return;
  const auto when = TimeAt(counter, began_at);
  if (when) {
    CountAt(counter, customer, *when);
  } else if (counter.unplaced.size() < kMaxUnplaced) {
    counter.unplaced.push_back({customer, began_at});
  }
}

std::vector<fleet::usage_window> UnacknowledgedWindows(
    const usage_counter& counter) {
  std::vector<fleet::usage_window> changed;
  for (const auto& [number, item] : counter.windows) {
    if (item.changed_at <= counter.acknowledged) continue;
    changed.push_back({number, item.counts});
  }
  return changed;
}

void Acknowledge(usage_counter& counter, uint64_t term, uint64_t sent) {
  const bool is_same_leader = counter.leader_term == term;
  counter.leader_term = term;
  counter.acknowledged = is_same_leader ? sent : 0;
}

void RecordLeaderTime(usage_counter& counter, core::unix_time reading,
                      core::boot_time_point now) {
  if (counter.window.count() == 0) return;
  RecordReading(counter.clock, std::to_string(counter.readings++ % kReadings),
                reading, now);
  for (const auto& item : std::exchange(counter.unplaced, {})) {
    CountRequest(counter, item.customer, item.began_at);
  }
  RemoveOldWindows(counter, *TimeAt(counter, now));
}

}  // namespace hickorywood::duties
