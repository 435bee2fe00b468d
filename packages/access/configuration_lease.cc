#include "access/configuration_lease.h"

#include <utility>

#include "core/events.h"

namespace hickorywood::access {

bool MayServe(const confirmation& confirmed_at, const lease_limits& limits,
              core::boot_time_point now) {
  if (limits.apply.count() == 0) return true;
  return confirmed_at && now - *confirmed_at < kContactLease + limits.apply;
}

bool CheckLease(configuration_lease& lease, const confirmation& confirmed_at,
                uint64_t configuration, core::boot_time_point now) {
  const bool is_valid = MayServe(confirmed_at, lease.limits, now);
  const bool was_valid = std::exchange(lease.was_valid, is_valid);
  if (was_valid && !is_valid) {
    core::LogEvent(core::event_id::kConfigurationLeaseExpired,
                   {{"instance", lease.instance},
                    {"configuration", std::to_string(configuration)}});
  }
  return is_valid;
}

bool MayAcceptKeys(const confirmation& confirmed_at, const lease_limits& limits,
                   core::boot_time_point now) {
  if (limits.revocation.count() == 0) return true;
  return confirmed_at && now - *confirmed_at < limits.revocation;
}

bool MayDeny(const confirmation& confirmed_at, const lease_limits& limits,
             core::boot_time_point now) {
  return confirmed_at && now - *confirmed_at < limits.denial;
}

}  // namespace hickorywood::access
