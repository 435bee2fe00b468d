#ifndef HICKORYWOOD_FLEET_REQUEST_WARNING_H_
#define HICKORYWOOD_FLEET_REQUEST_WARNING_H_

// Messages about requests that were running when endpoints crashed.

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/json.h"

namespace hickorywood::fleet {

// A request was running on an incarnation of an endpoint when that crashed.
struct crash_report {
  std::string digest;    // of the request, see quarantine/request_digest.h
  std::string customer;  // that sent the request
  std::string incarnation;
  bool is_batch = false;  // see quarantine/request_digest.h
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(crash_report, digest, customer,
                                                incarnation, is_batch)

// Crashes that are not attributed to a request, because it was served
// afterwards or an operator released it.
struct cleared_crashes {
  std::string digest;
  std::string customer;
  std::vector<std::string> ends;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(cleared_crashes, digest,
                                                customer, ends)

// The crashes and served requests that a process observed since its last report
// to the control leader.
struct crash_update {
  std::vector<crash_report> reports;
  // Digests of requests that an endpoint served without a crash.
  std::vector<std::string> served;
  // Cleared crashes that the list of the leader lacks.
  std::vector<cleared_crashes> forgiven;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(crash_update, reports, served,
                                                forgiven)

// The record of one request that the control leader sends to all processes.
struct request_warning {
  std::string digest;
  std::string customer;
  std::vector<std::string> ends;  // incarnations that crashed while running it
  bool is_quarantined = false;    // not sent to any endpoint
  int64_t length_s = 0;           // of the quarantine, from its start
  int64_t quarantines = 0;        // so far
  std::vector<std::string> forgiven;  // crashes that are not attributed to it
  bool is_batch = false;              // see quarantine/request_digest.h
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(request_warning, digest,
                                                customer, ends, is_quarantined,
                                                length_s, quarantines, forgiven,
                                                is_batch)

inline bool operator==(const request_warning& left,
                       const request_warning& right) {
  const auto fields = [](const request_warning& item) {
    return std::tie(item.digest, item.customer, item.ends, item.forgiven,
                    item.is_quarantined, item.length_s, item.quarantines,
                    item.is_batch);
  };
  return fields(left) == fields(right);
}

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_REQUEST_WARNING_H_
