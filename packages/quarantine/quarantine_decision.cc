#include "quarantine/quarantine_decision.h"

namespace hickorywood::quarantine {

bool MayMatchSuspect(const crash_ledger& ledger, std::string_view key,
                     const request_identity& input) {
  if (ledger.suspects.empty()) return false;
  return HasDigestPrefix(ledger, DigestPrefixOf(key, input));
}

quarantine_decision Check(const crash_ledger& ledger, std::string_view key,
                          const request_identity& input, core::time_point now) {
  if (!MayMatchSuspect(ledger, key, input)) return {};
  return CheckDigest(ledger, DigestOf(key, input), now);
}

quarantine_decision CheckDigest(const crash_ledger& ledger,
                                const std::string& digest,
                                core::time_point now) {
  quarantine_decision decision;
  decision.digest = digest;
  decision.state = QuarantineStateOf(ledger, digest, now);
  decision.crashes = CountCrashes(ledger, digest);
  if (decision.state == quarantine_state::kQuarantined) {
    decision.remaining = std::chrono::ceil<core::milliseconds>(
        ledger.suspects.at(digest).quarantined_until - now);
  }
  return decision;
}

}  // namespace hickorywood::quarantine
