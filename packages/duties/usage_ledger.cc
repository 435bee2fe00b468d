#include "duties/usage_ledger.h"

#include <algorithm>

namespace hickorywood::duties {
namespace {

// After a long outage, reports of older windows would be refused as overdue,
// and no entry has their counts any more.
constexpr int64_t kMaxMissedWindows = 12;

}  // namespace

void RecordUsage(usage_ledger& ledger, const std::string& source,
                 const std::vector<fleet::usage_window>& totals) {
  for (const fleet::usage_window& item : totals) {
    ledger.windows[item.number][source] = item.counts;
  }
}

fleet::customer_counts SumOf(const usage_ledger& ledger, int64_t window) {
  fleet::customer_counts sum;
  const auto found = ledger.windows.find(window);
  if (found == ledger.windows.end()) return sum;
  for (const auto& [source, counts] : found->second) {
    for (const auto& [customer, count] : counts) sum[customer] += count;
  }
  return sum;
}

int64_t FirstWindow(const usage_ledger& ledger, int64_t latest) {
  if (ledger.windows.empty()) return latest;
  return std::min(ledger.windows.begin()->first, latest);
}

void RemoveUsage(usage_ledger& ledger, int64_t window) {
  ledger.windows.erase(ledger.windows.begin(),
                       ledger.windows.upper_bound(window));
}

std::optional<int64_t> NextToClose(const closing_terms& terms,
                                   core::unix_time now) {
  // The newest window that has ended for long enough.
  const int64_t newest =
      (now.time_since_epoch() - terms.delay) / terms.window - 1;
  const int64_t next =
      terms.latest_closed > 0 ? terms.latest_closed + 1 : terms.first;
  if (next > newest) return std::nullopt;
  return std::max(next, newest - kMaxMissedWindows);
}

}  // namespace hickorywood::duties
