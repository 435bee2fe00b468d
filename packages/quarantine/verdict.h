#ifndef HICKORYWOOD_QUARANTINE_VERDICT_H_
#define HICKORYWOOD_QUARANTINE_VERDICT_H_

// Whether a request may be sent, by what a ledger holds.

#include <chrono>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/request_digest.h"

namespace hickorywood::quarantine {

// How a request stands.
struct verdict {
  request_standing standing = request_standing::kClear;
  std::string
      digest;  // empty: it is no request of the ledger, so none was made
  core::milliseconds left{0};  // of its quarantine
};

// Whether the request can be one of those in the ledger. A body can have
// megabytes, and most requests are told from those by the rest.
bool MayBeKnown(const crash_ledger& ledger, std::string_view key,
                const request_identity& input);

// `key`: of the digests.
verdict Check(const crash_ledger& ledger, std::string_view key,
              const request_identity& input, core::time_point now);
verdict CheckDigest(const crash_ledger& ledger, const std::string& digest,
                    core::time_point now);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_VERDICT_H_
