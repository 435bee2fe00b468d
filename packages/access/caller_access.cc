#include "access/caller_access.h"

namespace hickorywood::access {

access_decision DecideAccess(const access_input& input) {
  if (!input.config->needs_keys) return {};
  const std::optional<size_t> holder = FindHolder(*input.keys, input.key);
  const bool is_accepted =
      holder && MayAcceptKeys(input.confirmed_at, input.limits, input.now);
  if (is_accepted) {
    return {access_outcome::kGranted, input.config->customers[*holder].name};
  }
  if (input.is_public) return {access_outcome::kGranted, ""};
  const bool is_certain = MayDeny(input.confirmed_at, input.limits, input.now);
  if (!holder && is_certain) return {access_outcome::kUnknownKey, {}};
  return {access_outcome::kUnconfirmed, {}};
}

}  // namespace hickorywood::access
