#include "controller/contact_table.h"

#include <algorithm>

#include "access/configuration_lease.h"

namespace hickorywood::controller {

void StartContacts(contact_table& contacts, core::time_point now) {
  control::StartLeaseTable(contacts.leases, access::kContactLease, now);
}

void RecordContact(contact_table& contacts, const std::string& instance,
                   uint64_t version, core::time_point now) {
  const std::string no_site;
  const uint64_t no_revision = 0;
  control::RenewLease(contacts.leases, instance, no_site, version, no_revision,
                      now);
}

bool IsKnownEverywhere(const contact_table& contacts, uint64_t version,
                       core::time_point since, core::time_point now) {
  const control::lease_table& leases = contacts.leases;
  const core::time_point expired_at =
      std::max(leases.complete_at, control::LeaseEnd(leases, since));
  return now >= expired_at ||
         control::IsInForceEverywhere(leases, version, now);
}

std::vector<std::string> InstancesWithout(const contact_table& contacts,
                                          uint64_t version,
                                          core::time_point now) {
  return control::InstancesWithout(contacts.leases, version, now);
}

size_t CountContacts(const contact_table& contacts) {
  return contacts.leases.holders.size();
}

void RemoveExpired(contact_table& contacts, core::time_point now) {
  control::RemoveExpired(contacts.leases, now);
}

}  // namespace hickorywood::controller
