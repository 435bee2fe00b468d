#ifndef HICKORYWOOD_ADMISSION_PLACE_MESSAGES_H_
#define HICKORYWOOD_ADMISSION_PLACE_MESSAGES_H_

// Messages between an entry and the holder of the shared places.

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"

namespace hickorywood::admission {

// Asks for a place, or, with a ticket, for the state of a queued request.
struct borrow_call {
  std::string instance;
  std::string zone;
  std::string service;
  std::string customer;
  int64_t priority = 0;
  int64_t time_left_ms = 0;
  int64_t run_limit_ms = 0;
  uint64_t ticket = 0;
  int64_t wait_ms = 0;  // how long the answer may be delayed
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(borrow_call, instance, zone,
                                                service, customer, priority,
                                                time_left_ms, run_limit_ms,
                                                ticket, wait_ms)

// See place_answer; `outcome` is the value of a place_outcome.
struct borrow_reply {
  int outcome = 0;
  uint64_t id = 0;
  std::string incarnation;
  int64_t wait_ms = 0;
  uint64_t term = 0;  // of the holder; leases of another term have ended
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(borrow_reply, outcome, id,
                                                incarnation, wait_ms, term)

struct lease_name {
  std::string service;
  uint64_t lease = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(lease_name, service, lease)

// Returns and renews leases, and withdraws queued requests.
struct return_call {
  uint64_t term = 0;
  std::vector<lease_name> returned;
  std::vector<lease_name> renewed;
  std::vector<lease_name> withdrawn;  // tickets
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(return_call, term, returned,
                                                renewed, withdrawn)

}  // namespace hickorywood::admission

#endif  // HICKORYWOOD_ADMISSION_PLACE_MESSAGES_H_
