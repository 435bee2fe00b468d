#include "quarantine/quarantine_log.h"

#include <absl/strings/str_join.h>

#include <string>

#include "core/events.h"

namespace hickorywood::quarantine {

using core::event_id;
using core::LogEvent;

void LogQuarantineChanges(const crash_ledger& ledger,
                          const std::vector<quarantine_change>& changes) {
  for (const quarantine_change& item : changes) {
    if (!item.is_quarantined) {
      LogEvent(event_id::kQuarantineLifted,
               {{"digest", item.digest},
                {"reason", ReleaseReasonName(item.reason)}});
      continue;
    }
    const suspect& quarantined = ledger.suspects.at(item.digest);
    LogEvent(event_id::kRequestQuarantined,
             {{"digest", item.digest},
              {"customer", quarantined.customer},
              {"endpoints", absl::StrJoin(quarantined.ends, " ")},
              {"seconds", std::to_string(quarantined.duration.count())},
              {"quarantines", std::to_string(quarantined.quarantines)}});
  }
}

}  // namespace hickorywood::quarantine
