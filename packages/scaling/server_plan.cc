#include "scaling/server_plan.h"

#include <algorithm>

namespace hickorywood::scaling {
namespace {

using core::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Additional time after the startup until a new server has registered: a
// heartbeat and its delay.
constexpr milliseconds kRegistrationTime{3000};
// Share of the due time for which tasks may wait for a place.
constexpr double kMaxWaitShare = 0.2;
// Share of the places that are in use when there are too few.
constexpr double kFullShare = 0.9;
// Largest increase at a time, as a share of the present servers. It limits what
// a wrong figure of the load can cost.
constexpr double kMaxIncrease = 0.25;
// Time for which the load must have been low, and the numbers unchanged, before
// a server is returned. A trainer submits a step every few seconds, so this
// covers several steps.
constexpr seconds kCalmTime{60};
// Part of the servers that may be lost at once without a shortage: a sixth.
constexpr int64_t kLossDivisor = 6;
// Spot servers of a service are at most this part of all: the provider may
// reclaim all of them at once.
constexpr int64_t kSpotDivisor = 3;
// Time without new spot servers in a zone that reclaimed some.
constexpr seconds kReclaimPause{30};

// An order for less than there is would make the provider stop live servers.
int64_t TargetOf(const server_group& group) {
  return std::max(group.target.value_or(0), group.present);
}

int64_t MissingOf(const server_group& group) {
  return TargetOf(group) - group.present;
}

bool IsChangedWithin(const plan_input& input, milliseconds time,
                     time_point now) {
  return input.changed_at && now - *input.changed_at < time;
}

milliseconds StartupTime(const plan_input& input) {
  const std::chrono::duration<double> startup(input.terms.startup_s);
  return std::chrono::duration_cast<milliseconds>(startup) + kRegistrationTime;
}

double PriceOf(const plan_input& input, const server_group& group) {
  const auto found = input.terms.zone_prices.find(group.zone);
  const double price =
      found == input.terms.zone_prices.end() ? 1 : found->second;
  return group.kind == server_kind::kSpot ? price * input.terms.spot_price
                                          : price;
}

bool MayOrder(const server_group& group, time_point now) {
  return group.blocked_until <= now && group.unavailable_until <= now;
}

// Servers of both kinds in a zone, as ordered.
int64_t TargetInZone(const plan_input& input, const std::string& zone) {
  int64_t total = 0;
  for (const server_group& group : input.groups) {
    if (group.zone == zone) total += TargetOf(group);
  }
  return total;
}

int64_t TotalTarget(const plan_input& input, std::optional<server_kind> kind) {
  int64_t total = 0;
  for (const server_group& group : input.groups) {
    if (!kind || group.kind == *kind) total += TargetOf(group);
  }
  return total;
}

// Returns how many servers may still be added to a group.
int64_t RoomIn(const plan_input& input, const server_group& group,
               time_point now) {
  if (!MayOrder(group, now)) return 0;
  int64_t room = input.terms.max - TargetInZone(input, group.zone);
  if (group.kind == server_kind::kSpot) {
    const bool is_offered = input.terms.spot_price > 0;
    if (!is_offered || now - group.reclaimed_at < kReclaimPause) return 0;
    const int64_t regular = TotalTarget(input, server_kind::kRegular);
    const int64_t spot = TotalTarget(input, server_kind::kSpot);
    // `spot` of `regular + spot` servers.
    room = std::min(room, regular / (kSpotDivisor - 1) - spot);
  }
  return std::max<int64_t>(0, room);
}

// Returns the cheapest group with room, other than `excluded`.
const server_group* CheapestWithRoom(const plan_input& input, time_point now,
                                     bool allows_spot,
                                     const server_group* excluded) {
  const server_group* best = nullptr;
  for (const server_group& group : input.groups) {
    const bool is_allowed = allows_spot || group.kind == server_kind::kRegular;
    if (&group == excluded || !is_allowed) continue;
    if (RoomIn(input, group, now) == 0) continue;
    if (best == nullptr || PriceOf(input, group) < PriceOf(input, *best)) {
      best = &group;
    }
  }
  return best;
}

planned_order MakeOrder(const server_group& group, int64_t count,
                        const char* reason) {
  planned_order order;
  order.zone = group.zone;
  order.kind = group.kind;
  order.count = count;
  order.reason = reason;
  return order;
}

// Replaces servers that were lost, drained or reclaimed: in their zone, or,
// while their zone has none, in the cheapest other one. Then that zone takes
// over a part of the number, so that the total stays the same.
std::optional<planned_order> ReplaceMissing(const plan_input& input,
                                            time_point now) {
  for (const server_group& group : input.groups) {
    const int64_t missing = MissingOf(group);
    if (missing <= 0) continue;
    const bool is_awaited = now - group.ordered_at < StartupTime(input);
    if (is_awaited || group.blocked_until > now) continue;
    const bool is_reclaimed = group.kind == server_kind::kSpot &&
                              now - group.reclaimed_at < kReclaimPause;
    if (MayOrder(group, now) && !is_reclaimed) {
      return MakeOrder(group, TargetOf(group), "servers are missing");
    }
    const server_group* const other =
        CheapestWithRoom(input, now, false, &group);
    if (other == nullptr) continue;
    const int64_t moved = std::min(missing, RoomIn(input, *other, now));
    planned_order order =
        MakeOrder(*other, TargetOf(*other) + moved,
                  "no servers available in the zone of missing ones");
    order.moved_from = {group.zone, group.kind, TargetOf(group) - moved};
    return order;
  }
  return std::nullopt;
}

std::optional<planned_order> OrderMore(const plan_input& input,
                                       time_point now) {
  const service_load& load = input.load;
  if (load.slots <= 0 || load.waiting <= 0) return std::nullopt;
  if (IsChangedWithin(input, StartupTime(input), now)) return std::nullopt;
  const auto longest = kMaxWaitShare * load.nearest_due;
  const bool is_late =
      load.nearest_due.count() > 0 && load.longest_wait > longest;
  int64_t present = 0;
  int64_t missing = 0;
  for (const server_group& group : input.groups) {
    present += group.present;
    missing += MissingOf(group);
  }
  // Tasks may also wait for weights, which more servers would not change.
  const bool is_full = static_cast<double>(load.running) >=
                       kFullShare * static_cast<double>(present * load.slots);
  if (!is_late || !is_full) return std::nullopt;
  const int64_t wanted = (load.waiting + load.slots - 1) / load.slots;
  const int64_t limit = std::max<int64_t>(
      1, static_cast<int64_t>(kMaxIncrease * static_cast<double>(present)));
  const int64_t more = std::min(wanted, limit) - missing;
  if (more <= 0) return std::nullopt;
  const server_group* const group = CheapestWithRoom(input, now, true, nullptr);
  if (group == nullptr) return std::nullopt;
  const int64_t count =
      TargetOf(*group) + std::min(more, RoomIn(input, *group, now));
  return MakeOrder(*group, count, "tasks wait too long for a place");
}

// Returns one server, from the most expensive group that may give one.
std::optional<planned_order> OrderFewer(const plan_input& input,
                                        time_point now) {
  const service_load& load = input.load;
  const bool is_idle = load.slots > 0 && load.idle_since <= now - kCalmTime;
  if (!is_idle || IsChangedWithin(input, kCalmTime, now)) return std::nullopt;
  const int64_t total = TotalTarget(input, std::nullopt);
  const int64_t used = (load.peak_running + load.slots - 1) / load.slots;
  const int64_t needed = used + (total + kLossDivisor - 1) / kLossDivisor;
  if (total <= needed) return std::nullopt;
  const server_group* best = nullptr;
  for (const server_group& group : input.groups) {
    const bool may_give = TargetOf(group) > 0 &&
                          TargetInZone(input, group.zone) > input.terms.min &&
                          MissingOf(group) == 0 && MayOrder(group, now);
    if (!may_give) continue;
    if (best == nullptr || PriceOf(input, group) > PriceOf(input, *best)) {
      best = &group;
    }
  }
  if (best == nullptr) return std::nullopt;
  return MakeOrder(*best, TargetOf(*best) - 1, "less than half is used");
}

}  // namespace

const char* KindName(server_kind kind) {
  return kind == server_kind::kSpot ? "spot" : "regular";
}

int64_t FirstTarget(const server_group& group) {
  return group.present + group.silent + group.leaving;
}

std::optional<planned_order> PlanServers(const plan_input& input,
                                         time_point now) {
  const bool is_recorded =
      std::all_of(input.groups.begin(), input.groups.end(),
                  [](const server_group& group) { return group.target; });
  if (!is_recorded) return std::nullopt;
  if (auto order = ReplaceMissing(input, now)) return order;
  if (auto order = OrderMore(input, now)) return order;
  return OrderFewer(input, now);
}

}  // namespace hickorywood::scaling
