#ifndef HICKORYWOOD_QUARANTINE_QUARANTINE_LOG_H_
#define HICKORYWOOD_QUARANTINE_QUARANTINE_LOG_H_

#include <vector>

#include "quarantine/crash_ledger.h"

namespace hickorywood::quarantine {

// Logs one event for each of `changes`. `ledger` must contain each request
// whose quarantine began.
void LogQuarantineChanges(const crash_ledger& ledger,
                          const std::vector<quarantine_change>& changes);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_QUARANTINE_LOG_H_
