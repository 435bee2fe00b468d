#ifndef HICKORYWOOD_DUTIES_USAGE_COUNTER_H_
#define HICKORYWOOD_DUTIES_USAGE_COUNTER_H_

// Counts the requests that began to run for each customer, by window, at the
// entry that sent them, and keeps the counts until the control leader has them.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "duties/clock_median.h"
#include "fleet/usage.h"

namespace hickorywood::duties {

struct usage_counter {
  std::chrono::milliseconds window{0};  // 0: usage is not counted
  struct counted_window {
    fleet::customer_counts counts;
    uint64_t changed_at = 0;  // value of `changes` after its latest change
  };
  std::map<int64_t, counted_window> windows;
  uint64_t changes = 0;
  // The leader of `leader_term` has all changes up to `acknowledged`.
  uint64_t leader_term = 0;
  uint64_t acknowledged = 0;
  // Requests that began before this entry knew the time of day.
  struct unplaced_request {
    std::string customer;
    core::boot_time_point began_at{};
  };
  std::vector<unplaced_request> unplaced;
  // Latest readings of the leader's time.
  clock_samples clock;
  uint64_t readings = 0;
};

// Number of the window that contains `when`.
int64_t WindowAt(core::unix_time when, std::chrono::milliseconds window);

void CountRequest(usage_counter& counter, const std::string& customer,
                  core::boot_time_point began_at);

// Returns the totals of the windows that the leader may not have.
std::vector<fleet::usage_window> UnacknowledgedWindows(
    const usage_counter& counter);

// The leader of `term` has received the windows as of `sent`, a value of
// `changes`. A new leader lacks what earlier ones have received, so it gets all
// windows again.
void Acknowledge(usage_counter& counter, uint64_t term, uint64_t sent);

// Records the time of day by the leader, and counts the requests that waited
// for it.
void RecordLeaderTime(usage_counter& counter, core::unix_time reading,
                      core::boot_time_point now);

}  // namespace hickorywood::duties

#endif  // HICKORYWOOD_DUTIES_USAGE_COUNTER_H_
