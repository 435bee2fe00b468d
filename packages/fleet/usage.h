#ifndef HICKORYWOOD_FLEET_USAGE_H_
#define HICKORYWOOD_FLEET_USAGE_H_

// How many requests of each customer began to run. Usage is reported for
// windows of the time of day.

#include <cstdint>
#include <map>
#include <string>

#include "core/json.h"

namespace hickorywood::fleet {

using customer_counts = std::map<std::string, uint64_t>;  // by customer

struct usage_window {
  // Window k begins at k times the length of a window after the Unix epoch.
  int64_t number = 0;
  customer_counts counts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(usage_window, number, counts)

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_USAGE_H_
