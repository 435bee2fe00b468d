#ifndef HICKORYWOOD_ACCESS_CONFIGURATION_LEASE_H_
#define HICKORYWOOD_ACCESS_CONFIGURATION_LEASE_H_

// How long an instance may act on its copy of the configuration. A key that was
// withdrawn must stop working everywhere within a bound, also at an instance
// that is partitioned, was frozen, or has just started and can't be notified.
// Each instance therefore limits the age of its copy by itself.
//
// Routes have the same problem, and the control leader helps to solve it: it
// acknowledges a change only when every instance that has requested a view
// within kContactLease has the change. The others were confirmed for the last
// time before that, so they stop by themselves in time.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"

namespace hickorywood::access {

// How long an instance counts as in contact after its latest request for a view
// arrived. Requests are 0.7 s apart, 1.1 s when a response is lost.
constexpr std::chrono::milliseconds kContactLease{1500};

struct lease_limits {
  // Longest time after the acknowledgement of a change for which requests may
  // be served without it. 0: not limited.
  std::chrono::milliseconds apply{0};
  // Longest time after the withdrawal of a key for which it may be accepted.
  // 0: not limited.
  std::chrono::milliseconds revocation{0};
  // Age of the copy up to which it decides that a route or a key does not
  // exist. Beyond it, a newer configuration may well contain them.
  std::chrono::milliseconds denial{1500};
};

// `confirmed_at`: when this instance sent the latest request to the control
// leader whose response left it without a newer configuration to apply. Every
// configuration that was acknowledged before that moment is in its copy.
// Nothing: no response was received since the start.
using confirmation = std::optional<core::boot_time_point>;

// Whether requests may be served by the routes of the copy.
bool MayServe(const confirmation& confirmed_at, const lease_limits& limits,
              core::boot_time_point now);

// The lease of one instance, and whether it was valid when it was last checked.
struct configuration_lease {
  std::string instance;
  lease_limits limits;
  bool was_valid = false;
};

// The same as MayServe(). Logs when the lease of the copy of version
// `configuration` has expired.
bool CheckLease(configuration_lease& lease, const confirmation& confirmed_at,
                uint64_t configuration, core::boot_time_point now);

// Whether a key that the copy contains may be accepted.
bool MayAcceptKeys(const confirmation& confirmed_at, const lease_limits& limits,
                   core::boot_time_point now);

// Whether a request may be refused because the copy does not contain its route
// or its key.
bool MayDeny(const confirmation& confirmed_at, const lease_limits& limits,
             core::boot_time_point now);

}  // namespace hickorywood::access

#endif  // HICKORYWOOD_ACCESS_CONFIGURATION_LEASE_H_
