#include "admission/place_ledger.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

namespace hickorywood::admission {
namespace {

using core::time_point;
using std::chrono::milliseconds;
using seconds_t = std::chrono::duration<double>;

// Requests that may wait for each place. With more, the wait exceeds what the
// callers of short requests accept.
constexpr int64_t kQueuePerPlace = 4;
// Cost of an endpoint in another availability zone, as a share of its places.
constexpr double kOtherZoneCost = 0.15;
// Time after which earlier grants to a customer count half in the order.
constexpr seconds_t kUseHalfLife{1};
// Decayed use below which a customer is not listed any more.
constexpr double kForgottenUse = 0.01;
// Share of a new sample in the usual time of use.
constexpr double kSmoothing = 0.1;
// A queued request whose entry has not asked for this long is dropped. An entry
// asks again at least every 300 ms.
constexpr milliseconds kAskTimeout{1000};
// Bits of an id that count within a term; the others contain the term.
constexpr int kIdBits = 32;

int64_t UsedAt(const service_places& service, const std::string& incarnation) {
  return std::count_if(service.leases.begin(), service.leases.end(),
                       [&incarnation](const auto& item) {
                         return item.second.incarnation == incarnation;
                       });
}

int64_t CountPlaces(const service_places& service) {
  int64_t places = 0;
  for (const place_endpoint& item : service.endpoints) places += item.slots;
  return places;
}

// Returns the endpoint with a free place that is used least, preferably in the
// zone of the entry; nullptr: none is free.
const place_endpoint* FreeEndpoint(const service_places& service,
                                   const std::string& zone) {
  const place_endpoint* best = nullptr;
  double best_cost = 0;
  for (const place_endpoint& item : service.endpoints) {
    const int64_t used = UsedAt(service, item.incarnation);
    if (used >= item.slots) continue;
    double cost = static_cast<double>(used) / static_cast<double>(item.slots);
    if (item.zone != zone) cost += kOtherZoneCost;
    if (best != nullptr && cost >= best_cost) continue;
    best = &item;
    best_cost = cost;
  }
  return best;
}

double RecentUse(const customer_use& use, time_point now) {
  return use.recent * std::exp2(-((now - use.at) / kUseHalfLife));
}

place_answer Grant(place_ledger& ledger, service_places& service,
                   const place_request& input, const place_endpoint& target,
                   time_point deadline, time_point now) {
  place_lease lease;
  lease.request = input;
  lease.incarnation = target.incarnation;
  lease.granted_at = now;
  lease.deadline = deadline;
  lease.expires_at = now + kLeaseTime;
  lease.over_at = now + std::max(kLeaseTime, input.run_limit);
  customer_use& use = service.customers[input.customer];
  use.recent = RecentUse(use, now) + 1;
  use.at = now;
  ++use.places;
  place_answer answer;
  answer.outcome = place_outcome::kGranted;
  answer.id = ++ledger.latest_id;
  answer.incarnation = target.incarnation;
  service.leases[answer.id] = std::move(lease);
  return answer;
}

void RemoveLease(service_places& service, uint64_t id) {
  const auto found = service.leases.find(id);
  if (found == service.leases.end()) return;
  --service.customers[found->second.request.customer].places;
  service.leases.erase(found);
}

// The order of waiting requests: by priority, then customers with fewer places
// in use, then those with fewer recent grants, then by deadline.
using order_key = std::tuple<int64_t, int64_t, double, time_point, uint64_t>;
order_key OrderOf(const service_places& service, uint64_t ticket,
                  const waiting_request& item, time_point now) {
  const auto found = service.customers.find(item.request.customer);
  const customer_use use =
      found == service.customers.end() ? customer_use{} : found->second;
  return {item.request.priority, use.places, RecentUse(use, now), item.deadline,
          ticket};
}

milliseconds PredictWait(const service_places& service, int64_t ahead) {
  const int64_t places = std::max<int64_t>(1, CountPlaces(service));
  const seconds_t wait = service.usual_use * static_cast<double>(ahead + 1) /
                         static_cast<double>(places);
  return std::chrono::ceil<milliseconds>(wait);
}

// Refuses the waiting requests that can't be in time any more.
void RefuseLate(service_places& service, time_point now) {
  std::vector<uint64_t> late;
  for (const auto& [ticket, item] : service.queue) {
    if (now + service.usual_use > item.deadline) late.push_back(ticket);
  }
  for (const uint64_t ticket : late) {
    service.decided[ticket] = {
        {place_outcome::kRefused, 0, "", PredictWait(service, 0)}, now};
    service.queue.erase(ticket);
  }
}

// Grants the free places to the waiting requests in order.
void GrantWaiting(place_ledger& ledger, service_places& service,
                  time_point now) {
  RefuseLate(service, now);
  while (!service.queue.empty()) {
    std::optional<order_key> first;
    for (const auto& [ticket, item] : service.queue) {
      const order_key key = OrderOf(service, ticket, item, now);
      if (!first || key < *first) first = key;
    }
    const uint64_t ticket = std::get<uint64_t>(*first);
    const waiting_request& item = service.queue.at(ticket);
    const place_endpoint* target = FreeEndpoint(service, item.request.zone);
    if (target == nullptr) return;
    service.decided[ticket] = {
        Grant(ledger, service, item.request, *target, item.deadline, now), now};
    service.queue.erase(ticket);
  }
}

}  // namespace

place_ledger MakeLedger(uint64_t term) {
  place_ledger ledger;
  ledger.latest_id = term << kIdBits;
  return ledger;
}

void SetEndpoints(place_ledger& ledger, const std::string& service,
                  std::vector<place_endpoint> endpoints, time_point now) {
  service_places& places = ledger.services[service];
  places.endpoints = std::move(endpoints);
  GrantWaiting(ledger, places, now);
}

place_answer Borrow(place_ledger& ledger, const place_request& input,
                    time_point now) {
  const auto found = ledger.services.find(input.service);
  if (found == ledger.services.end()) return {};
  service_places& service = found->second;
  const int64_t places = CountPlaces(service);
  if (places == 0) return {};
  if (service.queue.empty()) {
    const place_endpoint* target = FreeEndpoint(service, input.zone);
    if (target != nullptr) {
      return Grant(ledger, service, input, *target, now + input.time_left, now);
    }
  }
  waiting_request item;
  item.request = input;
  item.deadline = now + input.time_left;
  item.asked_at = now;
  const uint64_t ticket = ++ledger.latest_id;
  const order_key own = OrderOf(service, ticket, item, now);
  const int64_t ahead = std::count_if(
      service.queue.begin(), service.queue.end(), [&](const auto& other) {
        return OrderOf(service, other.first, other.second, now) < own;
      });
  place_answer answer;
  answer.wait = PredictWait(service, ahead);
  const bool is_full =
      static_cast<int64_t>(service.queue.size()) >= kQueuePerPlace * places;
  const bool is_late = now + answer.wait + service.usual_use > item.deadline;
  if (is_full || is_late) {
    answer.outcome = place_outcome::kRefused;
    return answer;
  }
  answer.outcome = place_outcome::kQueued;
  answer.id = ticket;
  service.queue[ticket] = std::move(item);
  GrantWaiting(ledger, service, now);
  return answer;
}

place_answer Ask(place_ledger& ledger, const std::string& service,
                 uint64_t ticket, time_point now) {
  const auto found = ledger.services.find(service);
  if (found == ledger.services.end()) return {};
  service_places& places = found->second;
  const auto decided = places.decided.find(ticket);
  if (decided != places.decided.end()) {
    place_answer answer = std::move(decided->second.answer);
    places.decided.erase(decided);
    return answer;
  }
  const auto waiting = places.queue.find(ticket);
  if (waiting == places.queue.end()) return {};
  waiting->second.asked_at = now;
  return {place_outcome::kQueued, ticket, "", PredictWait(places, 0)};
}

void Withdraw(place_ledger& ledger, const std::string& service, uint64_t ticket,
              time_point now) {
  const auto found = ledger.services.find(service);
  if (found == ledger.services.end()) return;
  found->second.queue.erase(ticket);
  const auto decided = found->second.decided.find(ticket);
  if (decided == found->second.decided.end()) return;
  const uint64_t lease = decided->second.answer.id;
  found->second.decided.erase(decided);
  RemoveLease(found->second, lease);
  GrantWaiting(ledger, found->second, now);
}

void Return(place_ledger& ledger, const std::string& service, uint64_t lease,
            time_point now) {
  const auto found = ledger.services.find(service);
  if (found == ledger.services.end()) return;
  service_places& places = found->second;
  const auto item = places.leases.find(lease);
  if (item == places.leases.end()) return;
  // How long an endpoint keeps a request that it never answers depends on the
  // caller.
  const bool is_served = now < item->second.deadline;
  const seconds_t used = now - item->second.granted_at;
  if (is_served) places.usual_use += kSmoothing * (used - places.usual_use);
  RemoveLease(places, lease);
  GrantWaiting(ledger, places, now);
}

bool Renew(place_ledger& ledger, const std::string& service, uint64_t lease,
           time_point now) {
  const auto found = ledger.services.find(service);
  if (found == ledger.services.end()) return false;
  const auto item = found->second.leases.find(lease);
  if (item == found->second.leases.end()) return false;
  place_lease& held = item->second;
  held.expires_at = now + kLeaseTime;
  held.over_at = now + std::max(kLeaseTime, held.request.run_limit);
  return true;
}

int64_t Expire(place_ledger& ledger, time_point now) {
  int64_t expired = 0;
  for (auto& item : ledger.services) {
    service_places& service = item.second;
    std::vector<uint64_t> over;
    for (auto& [id, lease] : service.leases) {
      if (lease.expires_at <= now && lease.expires_at != time_point::min()) {
        lease.expires_at = time_point::min();  // counted
        ++expired;
      }
      if (lease.over_at <= now) over.push_back(id);
    }
    for (const uint64_t id : over) RemoveLease(service, id);
    std::erase_if(service.queue, [now](const auto& waiting) {
      return now - waiting.second.asked_at > kAskTimeout;
    });
    // Nobody fetched these answers, so the places are not in use.
    std::erase_if(service.decided, [&service, now](const auto& decided) {
      if (now - decided.second.decided_at <= kAskTimeout) return false;
      RemoveLease(service, decided.second.answer.id);
      return true;
    });
    std::erase_if(service.customers, [now](const auto& customer) {
      return customer.second.places == 0 &&
             RecentUse(customer.second, now) < kForgottenUse;
    });
    GrantWaiting(ledger, service, now);
  }
  return expired;
}

}  // namespace hickorywood::admission
