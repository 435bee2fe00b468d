#include "access/configuration_lease.h"

namespace hickorywood::access {

bool MayServe(const confirmation& confirmed_at, const lease_limits& limits,
              core::boot_time_point now) {
  if (limits.apply.count() == 0) return true;
  return confirmed_at && now - *confirmed_at < kContactLease + limits.apply;
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
