#ifndef HICKORYWOOD_CONTROL_CONFIGURATION_LEASE_H_
#define HICKORYWOOD_CONTROL_CONFIGURATION_LEASE_H_

// Configuration leases. Every serving instance has a lease from the leader. A
// change is accepted once it is in force at every instance with a valid lease.
// An instance that loses contact can't serve an old revision for longer than
// its lease: it stops accepting work when the lease expires by its own clock,
// and it measures the lease from when it *sent* the renewal, which is earlier
// than the start that the leader uses.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hickorywood::control {

struct lease_holder {
  std::string site;
  uint64_t applied = 0;  // log index in force at this instance
  uint64_t revision = 0;
  core::time_point expires_at{};
  // The lease expired while the site was unreachable: the instance may continue
  // to serve its revision until it has contact again.
  bool may_still_serve = false;
};

// The leader's table of leases. It is not replicated: a new leader starts with
// an empty table and waits until all leases granted by earlier leaders must
// have expired (`complete_at`).
struct lease_table {
  core::milliseconds duration{0};
  core::time_point complete_at{};
  std::map<std::string, lease_holder> holders;  // by instance id
};

void StartLeaseTable(lease_table& leases, core::milliseconds duration,
                     core::time_point now);

// When a lease that is granted at `granted_at` has certainly expired.
core::time_point LeaseEnd(const lease_table& leases,
                          core::time_point granted_at);

// Grants or renews the lease of `instance`.
void RenewLease(lease_table& leases, const std::string& instance,
                const std::string& site, uint64_t applied, uint64_t revision,
                core::time_point now);

// Marks instances whose lease has expired while their site is unreachable,
// since they may still be serving. A renewal, or the exclusion of the site from
// `site_sizes`, clears the mark. Call this function at short intervals.
void MarkUnreachableSites(lease_table& leases,
                          const std::map<std::string, size_t>& site_sizes,
                          core::time_point now);

// Releases the lease of an instance that shuts down.
void ReleaseLease(lease_table& leases, const std::string& instance);

// Whether log entry `index` is in force at every instance that may be serving
// at `now`.
bool IsInForceEverywhere(const lease_table& leases, uint64_t index,
                         core::time_point now);

// Returns the instances for which log entry `index` is not known to be in force
// although they may be serving at `now`.
std::vector<std::string> InstancesWithout(const lease_table& leases,
                                          uint64_t index, core::time_point now);

// Removes the instances that can't be serving at `now`.
void RemoveExpired(lease_table& leases, core::time_point now);

// Returns the sites where no majority of the instances has a valid lease and
// has log entry `index` in force. With index 0 only the lease counts.
// `site_sizes` is the number of instances of each site. The majority matters
// because a disconnected site continues to serve its last revision once a
// majority of its instances has no lease (see membership_service): two
// majorities share an instance, so no change is accepted while such a site
// serves an older revision.
std::vector<std::string> UnreachableSites(
    const lease_table& leases, const std::map<std::string, size_t>& site_sizes,
    uint64_t index, core::time_point now);

}  // namespace hickorywood::control

#endif  // HICKORYWOOD_CONTROL_CONFIGURATION_LEASE_H_
