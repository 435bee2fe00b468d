#include "duties/fencing.h"

#include <algorithm>

namespace hickorywood::duties {
namespace {

// Number of calls of one term that have distinct tokens. All later calls of the
// term share the last token.
constexpr int kCallBits = 20;
constexpr uint64_t kMaxCallNumber = (uint64_t{1} << kCallBits) - 1;

}  // namespace

uint64_t FencingToken(uint64_t term, uint64_t call_number) {
  return (term << kCallBits) | std::min(call_number, kMaxCallNumber);
}

act_history BeginHistory(core::boot_time_point started_at) {
  return {started_at, core::boot_time_point{}, started_at};
}

void RecordAct(act_history& history, core::boot_time_point leads_since,
               core::boot_time_point now) {
  if (history.leads_since != leads_since) {
    history.before = history.last;
    history.leads_since = leads_since;
  }
  history.last = now;
}

bool MayActInTurn(const holder_terms& terms, const act_history& history,
                  std::chrono::milliseconds settle_time,
                  core::boot_time_point now) {
  const bool has_acted = history.leads_since == terms.leads_since;
  const core::boot_time_point before =
      has_acted ? history.before : history.last;
  return terms.is_leader && now - terms.leads_since >= settle_time &&
         now - before >= terms.holder_lease;
}

bool MayAct(const holder_terms& terms, core::boot_time_point now) {
  const auto wait =
      terms.is_fenced ? terms.holder_lease : 2 * terms.holder_lease;
  return terms.is_leader && now - terms.leads_since >= wait;
}

}  // namespace hickorywood::duties
