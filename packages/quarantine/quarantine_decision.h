#ifndef HICKORYWOOD_QUARANTINE_QUARANTINE_DECISION_H_
#define HICKORYWOOD_QUARANTINE_QUARANTINE_DECISION_H_

// Decides from a ledger whether a request may be sent.

#include <chrono>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/request_digest.h"

namespace hickorywood::quarantine {

// State of one request.
struct quarantine_decision {
  quarantine_state state = quarantine_state::kClear;
  // Empty: the request is not in the ledger, so its digest was not computed.
  std::string digest;
  core::milliseconds remaining{0};  // until the quarantine ends
  size_t crashes = 0;               // that are attributed to the request
};

// Whether the request can be one of those in the ledger, by the prefix of its
// digest. Avoids hashing bodies, which can have megabytes, for most requests.
bool MayMatchSuspect(const crash_ledger& ledger, std::string_view key,
                     const request_identity& input);

// `key` is the key of the digests.
quarantine_decision Check(const crash_ledger& ledger, std::string_view key,
                          const request_identity& input, core::time_point now);
quarantine_decision CheckDigest(const crash_ledger& ledger,
                                const std::string& digest,
                                core::time_point now);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_QUARANTINE_DECISION_H_
