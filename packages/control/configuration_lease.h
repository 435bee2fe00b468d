#ifndef HICKORYWOOD_CONTROL_CONFIGURATION_LEASE_H_
#define HICKORYWOOD_CONTROL_CONFIGURATION_LEASE_H_

// Configuration leases. Every instance holds one from the leader while it
// serves; a change counts as accepted once each live holder has it in force. A
// holder that goes silent can't serve an old revision for longer than its
// lease: it stops admitting work by its own clock, which it starts when it
// *sends* the renewal, before the leader starts its own.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hickorywood::control {

struct lease_holder {
  std::string site;
  uint64_t applied = 0;  // log index in force there
  uint64_t revision = 0;
  core::time_point expires_at{};
  // Its lease ran out while its site was dark: it may go on serving what it
  // has until it hears that the site is back.
  bool may_serve_dark = false;
};

// The leader's book of leases. It is not replicated: a new leader starts an
// empty one and waits out the longest lease that the one before can have
// granted (`complete_at`).
struct lease_book {
  core::milliseconds duration{0};
  core::time_point complete_at{};
  std::map<std::string, lease_holder> holders;  // by instance
};

void StartLeaseBook(lease_book& book, core::milliseconds duration,
                    core::time_point now);

// Grants or renews the lease of `instance`.
void RenewLease(lease_book& book, const std::string& instance,
                const std::string& site, uint64_t applied, uint64_t revision,
                core::time_point now);

// Marks the holders without a lease that may be serving since their whole site
// is dark. To be called often; a renewal takes the mark off.
void NoteDarkSites(lease_book& book,
                   const std::map<std::string, size_t>& site_sizes,
                   core::time_point now);

// A holder that stops on purpose gives its lease back.
void ReleaseLease(lease_book& book, const std::string& instance);

// Whether log entry `index` is in force at every instance that can be serving
// at `now`.
bool IsInForceEverywhere(const lease_book& book, uint64_t index,
                         core::time_point now);

// The sites where no majority of the instances holds a live lease and has log
// entry `index` in force; with index 0 the lease alone counts. `site_sizes`
// counts the instances of each site. A majority, because a site that is cut off
// goes on serving its last revision once a majority of it is seen to be without
// a lease (membership_service): two majorities share an instance, so a change
// can't be accepted while such a site serves what is older.
std::vector<std::string> DarkSites(
    const lease_book& book, const std::map<std::string, size_t>& site_sizes,
    uint64_t index, core::time_point now);

}  // namespace hickorywood::control

#endif  // HICKORYWOOD_CONTROL_CONFIGURATION_LEASE_H_
