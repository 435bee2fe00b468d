#include "quarantine/verdict.h"

namespace hickorywood::quarantine {

bool MayBeKnown(const crash_ledger& ledger, std::string_view key,
                const request_identity& input) {
  if (ledger.suspects.empty()) return false;
  return HasHead(ledger, DigestHeadOf(key, input));
}

verdict Check(const crash_ledger& ledger, std::string_view key,
              const request_identity& input, core::time_point now) {
  if (!MayBeKnown(ledger, key, input)) return {};
  return CheckDigest(ledger, DigestOf(key, input), now);
}

verdict CheckDigest(const crash_ledger& ledger, const std::string& digest,
                    core::time_point now) {
  verdict decision;
  decision.digest = digest;
  decision.standing = StandingOf(ledger, digest, now);
  if (decision.standing == request_standing::kQuarantined) {
    decision.left = std::chrono::ceil<core::milliseconds>(
        ledger.suspects.at(digest).quarantined_until - now);
  }
  return decision;
}

}  // namespace hickorywood::quarantine
