#ifndef HICKORYWOOD_ADMISSION_PLACE_LEDGER_H_
#define HICKORYWOOD_ADMISSION_PLACE_LEDGER_H_

// Leases the places of plain services to the entries. Intended for a service
// with few places and many entries, each with a request every few seconds:
// entries that choose by themselves exceed the places together, and their
// requests have no common order. One holder keeps the ledger. Plain data and
// decisions.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hickorywood::admission {

// How long an entry may use a place without renewing its lease.
constexpr std::chrono::milliseconds kLeaseTime{1000};

struct place_endpoint {
  std::string incarnation;
  std::string zone;
  int64_t slots = 0;
};

struct place_request {
  std::string instance;  // entry that asks
  std::string zone;      // of the entry
  std::string service;
  std::string customer;
  int64_t priority = 0;  // of the customer, else of the route; 0: most urgent
  std::chrono::milliseconds time_left{0};  // until the caller gives up
  // Longest time for which the request may occupy its place.
  std::chrono::milliseconds run_limit{0};
};

enum class place_outcome {
  kGranted,
  kQueued,   // ask again with the ticket
  kRefused,  // not in time
  kUnknown,  // the service has no places, or the ticket is not known
};

struct place_answer {
  place_outcome outcome = place_outcome::kUnknown;
  uint64_t id = 0;          // of the lease, or the ticket of a queued request
  std::string incarnation;  // of the endpoint
  std::chrono::milliseconds wait{0};  // predicted, until a place is free
};

struct place_lease {
  place_request request;
  std::string incarnation;
  core::time_point granted_at{};
  core::time_point deadline{};  // of the request
  core::time_point expires_at{};
  // An expired lease counts until its request must be over.
  core::time_point over_at{};
};

struct waiting_request {
  place_request request;
  core::time_point deadline{};
  core::time_point asked_at{};  // last sign that its entry still waits
};

struct decided_request {
  place_answer answer;
  core::time_point decided_at{};
};

struct customer_use {
  int64_t places = 0;  // in use
  double recent = 0;   // grants, decayed
  core::time_point at{};
};

struct service_places {
  std::vector<place_endpoint> endpoints;
  std::map<uint64_t, place_lease> leases;
  std::map<uint64_t, waiting_request> queue;    // by ticket
  std::map<uint64_t, decided_request> decided;  // not fetched yet; by ticket
  std::map<std::string, customer_use> customers;
  // Usual time from a grant to the return of the place, smoothed, of requests
  // that were over before their deadline.
  std::chrono::duration<double> usual_use{0.03};
};

struct place_ledger {
  std::map<std::string, service_places> services;
  uint64_t latest_id = 0;
};

// Returns the empty ledger of a new holder. Its ids differ from those of other
// terms, so that a ticket of an earlier holder never names another request.
place_ledger MakeLedger(uint64_t term);

// Replaces the endpoints of a service that accept new requests. Leases at other
// endpoints end by themselves.
void SetEndpoints(place_ledger& ledger, const std::string& service,
                  std::vector<place_endpoint> endpoints, core::time_point now);

// Grants a place, queues the request, or refuses it at once when its predicted
// wait exceeds the time that it has.
place_answer Borrow(place_ledger& ledger, const place_request& input,
                    core::time_point now);
// Returns the state of a queued request.
place_answer Ask(place_ledger& ledger, const std::string& service,
                 uint64_t ticket, core::time_point now);
// A queued request is not wanted any more.
void Withdraw(place_ledger& ledger, const std::string& service, uint64_t ticket,
              core::time_point now);
// The request of a lease has ended.
void Return(place_ledger& ledger, const std::string& service, uint64_t lease,
            core::time_point now);
// Returns false if the lease has ended.
bool Renew(place_ledger& ledger, const std::string& service, uint64_t lease,
           core::time_point now);
// Removes leases whose requests must be over, and queued requests whose entry
// has stopped asking. Returns the number of leases that expired since the last
// call.
int64_t Expire(place_ledger& ledger, core::time_point now);

}  // namespace hickorywood::admission

#endif  // HICKORYWOOD_ADMISSION_PLACE_LEDGER_H_
