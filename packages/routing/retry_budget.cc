#include "routing/retry_budget.h"

#include <algorithm>

namespace hickorywood::routing {
namespace {

// Upper bound of the saved retries. It covers the loss of an endpoint in a pool
// with little traffic, and is too small to add significant load.
constexpr double kMaxAvailableRetries = 50;

}  // namespace

void RecordSuccess(retry_budget& budget) {
  budget.available =
      std::min(kMaxAvailableRetries, budget.available + budget.share);
}

bool ConsumeRetry(retry_budget& budget) {
  if (budget.available < 1) return false;
  budget.available -= 1;
  return true;
}

}  // namespace hickorywood::routing
