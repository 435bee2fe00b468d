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

bool MayAct(const holder_terms& terms, core::boot_time_point now) {
  const auto wait =
      terms.is_fenced ? terms.holder_lease : 2 * terms.holder_lease;
  return terms.is_leader && now - terms.leads_since >= wait;
}

}  // namespace hickorywood::duties
