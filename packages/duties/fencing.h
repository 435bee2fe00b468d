#ifndef HICKORYWOOD_DUTIES_FENCING_H_
#define HICKORYWOOD_DUTIES_FENCING_H_

// Who may carry out a duty of one instance at a time: the control leader. There
// is no second election.

#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace hickorywood::duties {

// Fencing token of a call: the term of the holder, then the number of its call.
// A call without a response may be executed after later calls of the same
// holder; its lower token then has it refused.
uint64_t FencingToken(uint64_t term, uint64_t call_number);

struct holder_terms {
  bool is_leader = false;  // with a live lease
  core::boot_time_point leads_since{};
  // Two holders must not act by turns within this time.
  std::chrono::milliseconds holder_lease{0};
  // Whether the receiver refuses calls with an older token. If it does not, a
  // call of the previous holder may be executed when this one acts already, so
  // the new holder waits for as long again.
  bool is_fenced = true;
};

// When one instance last acted, to tell whether it acted before another holder
// did.
struct act_history {
  core::boot_time_point last{};
  core::boot_time_point leads_since{};  // of the latest act
  // The latest act before `leads_since`.
  core::boot_time_point before{};
};

// A process does not know when it acted before its start.
act_history BeginHistory(core::boot_time_point started_at);

void RecordAct(act_history& history, core::boot_time_point leads_since,
               core::boot_time_point now);

// Whether this instance may act now as a holder whose calls contain its term.
// Acts by turns need two holders of which one returns within the lease, so only
// a returning holder waits for it. The others wait until the calls that their
// predecessor began have arrived, for `settle_time`.
bool MayActInTurn(const holder_terms& terms, const act_history& history,
                  std::chrono::milliseconds settle_time,
                  core::boot_time_point now);

// Whether this instance may act as the holder now. Must be checked right before
// each call, since a process may have been suspended in between.
bool MayAct(const holder_terms& terms, core::boot_time_point now);

}  // namespace hickorywood::duties

#endif  // HICKORYWOOD_DUTIES_FENCING_H_
