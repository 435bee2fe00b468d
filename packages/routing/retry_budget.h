#ifndef HICKORYWOOD_ROUTING_RETRY_BUDGET_H_
#define HICKORYWOOD_ROUTING_RETRY_BUDGET_H_

namespace hickorywood::routing {

// Limits retries to a share of the successes, per pool or service. When most
// requests fail, retrying each of them multiplies the load while capacity is
// lowest; the budget bounds this additional load.
struct retry_budget {
  double share = 0.1;     // retries that one success adds
  double available = 10;  // retries that may be made now
};

void RecordSuccess(retry_budget& budget);

// Consumes one retry. Returns false when the budget is exhausted.
bool ConsumeRetry(retry_budget& budget);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_RETRY_BUDGET_H_
