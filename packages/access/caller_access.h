#ifndef HICKORYWOOD_ACCESS_CALLER_ACCESS_H_
#define HICKORYWOOD_ACCESS_CALLER_ACCESS_H_

// Decides on whose behalf a caller's request is served, if at all.

#include <optional>
#include <string>
#include <string_view>

#include "access/configuration_lease.h"
#include "access/key_directory.h"
#include "fleet/configuration.h"

namespace hickorywood::access {

enum class access_outcome {
  kGranted,
  kUnknownKey,   // no customer holds the key, or there is none
  kUnconfirmed,  // unknown, because this instance is out of contact
};

struct access_decision {
  access_outcome outcome = access_outcome::kGranted;
  // The customer that the request is served for. Empty name: a public route,
  // and no known key. Nothing: the configuration identifies no customers.
  std::optional<std::string> customer;
};

struct access_input {
  const fleet::configuration* config = nullptr;
  const key_directory* keys = nullptr;  // of the same configuration
  std::string_view key;                 // empty: the request has none
  bool is_public = false;               // its route needs no key
  confirmation confirmed_at;
  lease_limits limits;
  core::boot_time_point now{};
};

// A request that is granted here and is still running when its key is withdrawn
// is finished: the bound applies to when requests are accepted.
access_decision DecideAccess(const access_input& input);

}  // namespace hickorywood::access

#endif  // HICKORYWOOD_ACCESS_CALLER_ACCESS_H_
