#ifndef HICKORYWOOD_FLEET_CONFIGURATION_CHANGES_H_
#define HICKORYWOOD_FLEET_CONFIGURATION_CHANGES_H_

// The difference between two configurations. A configuration can have thousands
// of routes and keys, of which a new version changes a few; sending all of them
// to every process kept the control leader busy for longer than its followers
// wait for a heartbeat.

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"
#include "fleet/configuration.h"

namespace hickorywood::fleet {

// Identifies a route within a configuration.
struct route_place {
  std::string host;
  std::string path_prefix;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(route_place, host, path_prefix)

struct configuration_changes {
  uint64_t base = 0;          // version that the changes apply to
  uint64_t version = 0;       // version that they lead to
  std::vector<route> routes;  // new or changed
  std::vector<route_place> removed_routes;
  std::vector<service> services;  // new or changed
  std::vector<std::string> removed_services;
  std::vector<customer> customers;  // new or changed
  std::vector<std::string> removed_customers;
  request_limits limits;
  bool needs_keys = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(configuration_changes, base,
                                                version, routes, removed_routes,
                                                services, removed_services,
                                                customers, removed_customers,
                                                limits, needs_keys)

// Returns what leads from `before` to `after`, both valid.
configuration_changes ChangesBetween(const configuration& before,
                                     const configuration& after);

// Applies changes. Returns false, and changes nothing, if they apply to another
// version. The order of routes, services and customers may differ from that of
// the operator; it has no meaning.
bool ApplyChanges(configuration& held, const configuration_changes& changes);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_CONFIGURATION_CHANGES_H_
