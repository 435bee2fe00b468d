#ifndef HICKORYWOOD_CONTROLLER_CONTACT_TABLE_H_
#define HICKORYWOOD_CONTROLLER_CONTACT_TABLE_H_

// Which version each instance that requests views has. The leader acknowledges
// a change when no instance can act on what was before it. Plain data and
// functions.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "control/configuration_lease.h"
#include "core/clock.h"

namespace hickorywood::controller {

struct contact_table {
  // A request for a view renews the lease of its instance; see
  // access::kContactLease.
  control::lease_table leases;
};

// A version that all instances of a table should have.
struct contact_goal {
  const contact_table* contacts = nullptr;
  uint64_t version = 0;
};

// Clears the table. Until the leases of earlier leaders have expired, there may
// be instances in contact that the table does not contain.
void StartContacts(contact_table& contacts, core::time_point now);

// Records a request of an instance that has `version`.
void RecordContact(contact_table& contacts, const std::string& instance,
                   uint64_t version, core::time_point now);

// Whether no instance acts on a version before `version`, which is in all
// responses since `since`: all instances in contact have it, or the requests
// that got an older one have expired.
bool IsKnownEverywhere(const contact_table& contacts, uint64_t version,
                       core::time_point since, core::time_point now);

// Returns the instances in contact that are not known to have `version`.
std::vector<std::string> InstancesWithout(const contact_table& contacts,
                                          uint64_t version,
                                          core::time_point now);

// Returns the number of instances in contact, including those that lost it
// since the last call of RemoveExpired().
size_t CountContacts(const contact_table& contacts);

// Removes the instances that have lost contact.
void RemoveExpired(contact_table& contacts, core::time_point now);

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_CONTACT_TABLE_H_
