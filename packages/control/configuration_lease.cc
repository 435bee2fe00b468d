#include "control/configuration_lease.h"

#include <algorithm>

namespace hickorywood::control {
namespace {

// The leader extends each lease by 1/kMarginDivisor of its duration. This
// covers clocks of different speeds and the rounding of durations to
// milliseconds.
constexpr int kMarginDivisor = 10;

bool MayBeServing(const lease_holder& holder, core::time_point now) {
  return holder.expires_at > now || holder.may_still_serve;
}

bool IsWithout(const lease_holder& holder, uint64_t index,
               core::time_point now) {
  return holder.applied < index && MayBeServing(holder, now);
}

}  // namespace

void StartLeaseTable(lease_table& leases, core::milliseconds duration,
                     core::time_point now) {
  leases.duration = duration;
  leases.holders.clear();
  leases.complete_at = LeaseEnd(leases, now);
}

core::time_point LeaseEnd(const lease_table& leases,
                          core::time_point granted_at) {
  return granted_at + leases.duration + leases.duration / kMarginDivisor;
}

void RenewLease(lease_table& leases, const std::string& instance,
                const std::string& site, uint64_t applied, uint64_t revision,
                core::time_point now) {
  lease_holder& holder = leases.holders[instance];
  holder.site = site;
  holder.applied = applied;
  holder.revision = revision;
  holder.expires_at = LeaseEnd(leases, now);
  holder.may_still_serve = false;
}

void MarkUnreachableSites(lease_table& leases,
                          const std::map<std::string, size_t>& site_sizes,
                          core::time_point now) {
  const std::vector<std::string> unreachable =
      UnreachableSites(leases, site_sizes, 0, now);
  for (auto& item : leases.holders) {
    lease_holder& holder = item.second;
    const bool is_cut_off = std::find(unreachable.begin(), unreachable.end(),
                                      holder.site) != unreachable.end();
    if (is_cut_off && holder.expires_at <= now) holder.may_still_serve = true;
    if (site_sizes.count(holder.site) == 0) holder.may_still_serve = false;
  }
}

void ReleaseLease(lease_table& leases, const std::string& instance) {
  leases.holders.erase(instance);
}

bool IsInForceEverywhere(const lease_table& leases, uint64_t index,
                         core::time_point now) {
  return now >= leases.complete_at &&
         std::none_of(leases.holders.begin(), leases.holders.end(),
                      [index, now](const auto& item) {
                        return IsWithout(item.second, index, now);
                      });
}

std::vector<std::string> InstancesWithout(const lease_table& leases,
                                          uint64_t index,
                                          core::time_point now) {
  std::vector<std::string> missing;
  for (const auto& [instance, holder] : leases.holders) {
    if (IsWithout(holder, index, now)) missing.push_back(instance);
  }
  return missing;
}

void RemoveExpired(lease_table& leases, core::time_point now) {
  std::erase_if(leases.holders, [now](const auto& item) {
    return !MayBeServing(item.second, now);
  });
}

std::vector<std::string> UnreachableSites(
    const lease_table& leases, const std::map<std::string, size_t>& site_sizes,
    uint64_t index, core::time_point now) {
  std::map<std::string, size_t> instances_in_force;
  for (const auto& item : leases.holders) {
    const lease_holder& holder = item.second;
    if (holder.expires_at > now && holder.applied >= index) {
      ++instances_in_force[holder.site];
    }
  }
  std::vector<std::string> unreachable;
  for (const auto& [site, instances] : site_sizes) {
    if (instances_in_force[site] * 2 <= instances) unreachable.push_back(site);
  }
  return unreachable;
}

}  // namespace hickorywood::control
