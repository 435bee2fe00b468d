#ifndef HICKORYWOOD_DUTIES_USAGE_LEDGER_H_
#define HICKORYWOOD_DUTIES_USAGE_LEDGER_H_

// Collects the counts of the entries at the control leader, and decides when
// the sum of a window becomes final. The counts of a window are committed
// before they are reported, because two reports of one window must never
// differ, whoever leads.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/usage.h"

namespace hickorywood::duties {

// Soft state: entries send their counts again to a new leader.
struct usage_ledger {
  // By window, then by the process that counted.
  std::map<int64_t, std::map<std::string, fleet::customer_counts>> windows;
};

// Replaces the totals of one process.
void RecordUsage(usage_ledger& ledger, const std::string& source,
                 const std::vector<fleet::usage_window>& totals);

// Sum of all processes.
fleet::customer_counts SumOf(const usage_ledger& ledger, int64_t window);

// Returns the first window of which there are counts, at the latest `latest`.
int64_t FirstWindow(const usage_ledger& ledger, int64_t latest);

// Forgets the windows up to `window`, which are final.
void RemoveUsage(usage_ledger& ledger, int64_t window);

struct closing_terms {
  std::chrono::milliseconds window{0};
  // Time after the end of a window in which the counts of entries that were out
  // of contact may still arrive.
  std::chrono::milliseconds delay{0};
  int64_t latest_closed = 0;  // 0: none was closed yet
  int64_t first = 0;  // the first window to report if none was closed yet
};

// Returns the next window whose counts become final now, or nothing.
std::optional<int64_t> NextToClose(const closing_terms& terms,
                                   core::unix_time now);

}  // namespace hickorywood::duties

#endif  // HICKORYWOOD_DUTIES_USAGE_LEDGER_H_
