#ifndef HICKORYWOOD_FLEET_REQUEST_WARNING_H_
#define HICKORYWOOD_FLEET_REQUEST_WARNING_H_

// What processes tell each other of requests under which endpoints ended.

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/json.h"

namespace hickorywood::fleet {

// A request was running at one start of an endpoint when that ended.
struct crash_report {
  std::string digest;    // of the request, see quarantine/request_digest.h
  std::string customer;  // whose request it is
  std::string incarnation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(crash_report, digest, customer,
                                                incarnation)

// Ends that don't count against a request: it was served after them, or an
// operator freed it.
struct forgiven_ends {
  std::string digest;
  std::string customer;
  std::vector<std::string> ends;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(forgiven_ends, digest, customer,
                                                ends)

// What a process has seen since it last told the control leader.
struct crash_news {
  std::vector<crash_report> reports;
  // Digests of requests that an endpoint served and outlived.
  std::vector<std::string> served;
  // What the leader's list lacks.
  std::vector<forgiven_ends> forgiven;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(crash_news, reports, served,
                                                forgiven)

// What the control leader tells all of one request.
struct request_warning {
  std::string digest;
  std::string customer;
  std::vector<std::string> ends;      // starts of endpoints that ended under it
  bool is_quarantined = false;        // it is sent to no endpoint
  int64_t length_s = 0;               // of the quarantine, from its begin
  int64_t quarantines = 0;            // so far
  std::vector<std::string> forgiven;  // ends that don't count
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(request_warning, digest,
                                                customer, ends, is_quarantined,
                                                length_s, quarantines, forgiven)

inline bool operator==(const request_warning& left,
                       const request_warning& right) {
  const auto fields = [](const request_warning& item) {
    return std::tie(item.digest, item.customer, item.ends, item.forgiven,
                    item.is_quarantined, item.length_s, item.quarantines);
  };
  return fields(left) == fields(right);
}

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_REQUEST_WARNING_H_
