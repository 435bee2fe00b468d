#include "control/configuration_lease.h"

#include <algorithm>

namespace hickorywood::control {
namespace {

// Covers clocks of different speed and the rounding of durations to
// milliseconds.
constexpr int kMarginDivisor = 10;

}  // namespace

void StartLeaseBook(lease_book& book, core::milliseconds duration,
                    core::time_point now) {
  book.duration = duration;
  book.holders.clear();
  book.complete_at = now + duration + duration / kMarginDivisor;
}

void RenewLease(lease_book& book, const std::string& instance,
                const std::string& site, uint64_t applied, uint64_t revision,
                core::time_point now) {
  lease_holder& holder = book.holders[instance];
  holder.site = site;
  holder.applied = applied;
  holder.revision = revision;
  holder.expires_at = now + book.duration + book.duration / kMarginDivisor;
  holder.may_serve_dark = false;
}

void NoteDarkSites(lease_book& book,
                   const std::map<std::string, size_t>& site_sizes,
                   core::time_point now) {
  const std::vector<std::string> dark = DarkSites(book, site_sizes, 0, now);
  for (auto& item : book.holders) {
    lease_holder& holder = item.second;
    const bool is_dark =
        std::find(dark.begin(), dark.end(), holder.site) != dark.end();
    if (is_dark && holder.expires_at <= now) holder.may_serve_dark = true;
    if (site_sizes.count(holder.site) == 0) holder.may_serve_dark = false;
  }
}

void ReleaseLease(lease_book& book, const std::string& instance) {
  book.holders.erase(instance);
}

bool IsInForceEverywhere(const lease_book& book, uint64_t index,
                         core::time_point now) {
  if (now < book.complete_at) return false;
  return std::all_of(book.holders.begin(), book.holders.end(),
                     [index, now](const auto& item) {
                       const lease_holder& holder = item.second;
                       const bool is_silent =
                           holder.expires_at <= now && !holder.may_serve_dark;
                       return holder.applied >= index || is_silent;
                     });
}

std::vector<std::string> DarkSites(
    const lease_book& book, const std::map<std::string, size_t>& site_sizes,
    uint64_t index, core::time_point now) {
  std::map<std::string, size_t> in_force;
  for (const auto& item : book.holders) {
    const lease_holder& holder = item.second;
    if (holder.expires_at > now && holder.applied >= index) {
      ++in_force[holder.site];
    }
  }
  std::vector<std::string> dark;
  for (const auto& [site, instances] : site_sizes) {
    if (in_force[site] * 2 <= instances) dark.push_back(site);
  }
  return dark;
}

}  // namespace hickorywood::control
