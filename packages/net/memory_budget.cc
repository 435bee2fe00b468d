#include "net/memory_budget.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace hickorywood::net {
namespace {

constexpr int64_t kLimitShare = 5;  // two fifths
constexpr int64_t kConnectionsDivisor = 5;
// A connection without a request: its buffer, its coroutines and its socket.
constexpr int64_t kConnectionBytes = 8L * 1024;
constexpr int64_t kBoundDivisor = 4;
constexpr int64_t kMaximumDivisor = 3;
// Share of the limit that is added for small requests.
constexpr int64_t kReserveDivisor = 16;
// Share of the limit that may be granted again before those that have to yield
// it have released it. In one turn of the loop, many requests take the memory
// of others that release theirs in the next turn.
constexpr int64_t kOverlapDivisor = 8;
constexpr int64_t kSmallOverlapDivisor = 4;
// Memory that others may hold while a request counts as the only one.
constexpr int64_t kCalmDivisor = 16;

void AddToCustomer(memory_budget& budget, const std::string& customer,
                   int64_t bytes) {
  if (bytes == 0) return;
  int64_t& own = budget.by_customer[customer];
  own += bytes;
  if (own == 0) budget.by_customer.erase(customer);
}

int64_t HeldBy(const memory_budget& budget, const std::string& customer) {
  const auto found = budget.by_customer.find(customer);
  return found == budget.by_customer.end() ? 0 : found->second;
}

// The order in which holders yield; the greatest yields first. Nothing for a
// holder that doesn't yield.
using yield_rank = std::tuple<core::milliseconds, bool, int64_t, int64_t>;
std::optional<yield_rank> RankOf(const memory_budget& budget,
                                 const memory_holder& holder, int64_t bytes,
                                 core::time_point now) {
  const auto stalled = StalledFor(holder, now);
  if (stalled) return yield_rank{*stalled, true, 0, bytes};
  if (holder.state != holder_state::kReading) return std::nullopt;
  return yield_rank{core::milliseconds(0), !holder.is_internal,
                    HeldBy(budget, holder.customer), bytes};
}

}  // namespace

std::optional<core::milliseconds> StalledFor(const memory_holder& holder,
                                             core::time_point now) {
  const bool is_waiting = holder.state == holder_state::kReading ||
                          holder.state == holder_state::kWriting;
  const auto time = std::chrono::duration_cast<core::milliseconds>(
      now - holder.progressed_at);
  if (!is_waiting || time < kStallTime) return std::nullopt;
  return time;
}

int64_t LimitOf(const memory_budget& budget) {
  return budget.memory * 2 / kLimitShare;
}

size_t MaxConnections(const memory_budget& budget) {
  if (budget.memory == 0) return std::numeric_limits<size_t>::max();
  return static_cast<size_t>(budget.memory / kConnectionsDivisor /
                             kConnectionBytes);
}

uint64_t AddHolder(memory_budget& budget, memory_holder holder) {
  const uint64_t number = ++budget.latest;
  budget.total += holder.bytes;
  AddToCustomer(budget, holder.customer, holder.bytes);
  budget.holders[number] = std::move(holder);
  return number;
}

void RemoveHolder(memory_budget& budget, uint64_t number) {
  SetBytes(budget, number, 0);
  budget.holders.erase(number);
}

void SetBytes(memory_budget& budget, uint64_t number, int64_t bytes) {
  memory_holder& holder = budget.holders.at(number);
  const int64_t change = bytes - holder.bytes;
  holder.bytes = bytes;
  budget.total += change;
  if (holder.state == holder_state::kEnding) budget.ending += change;
  AddToCustomer(budget, holder.customer, change);
}

void SetState(memory_budget& budget, uint64_t number, holder_state state,
              core::time_point now) {
  memory_holder& holder = budget.holders.at(number);
  if (holder.state == holder_state::kEnding) budget.ending -= holder.bytes;
  holder.state = state;
  if (state == holder_state::kEnding) budget.ending += holder.bytes;
  holder.progressed_at = now;
  holder.bytes_since = 0;
}

void SetCustomer(memory_budget& budget, uint64_t number, std::string customer) {
  memory_holder& holder = budget.holders.at(number);
  AddToCustomer(budget, holder.customer, -holder.bytes);
  holder.customer = std::move(customer);
  AddToCustomer(budget, holder.customer, holder.bytes);
}

void RecordProgress(memory_budget& budget, uint64_t number, int64_t bytes,
                    core::time_point now) {
  memory_holder& holder = budget.holders.at(number);
  holder.bytes_since += bytes;
  if (holder.bytes_since < kProgressBytes) return;
  holder.bytes_since = 0;
  holder.progressed_at = now;
}

// Whether a holder may grow although others have not released the memory that
// they had to yield.
bool MayOverlap(const memory_budget& budget, int64_t growth, bool is_small) {
  const int64_t limit = LimitOf(budget);
  const int64_t overlap =
      limit / (is_small ? kSmallOverlapDivisor : kOverlapDivisor);
  return budget.ending == 0 || budget.total + growth <= limit + overlap;
}

// Regards the memory that is released soon as available.
reserve_decision Decide(const memory_budget& budget, uint64_t number,
                        int64_t bytes, core::time_point now) {
  const memory_holder& self = budget.holders.at(number);
  reserve_decision decision;
  if (self.state == holder_state::kEnding) return decision;
  int64_t limit = LimitOf(budget);
  if (bytes <= kSmallRequestBytes) limit += limit / kReserveDivisor;
  int64_t excess = budget.total - budget.ending + bytes - self.bytes - limit;
  decision.is_granted =
      budget.memory == 0 || bytes <= self.bytes || excess <= 0;
  if (decision.is_granted) return decision;
  const auto own_rank = RankOf(budget, self, bytes, now);
  std::vector<std::pair<yield_rank, uint64_t>> candidates;
  for (const auto& [other, holder] : budget.holders) {
    const auto rank = RankOf(budget, holder, holder.bytes, now);
    const bool is_before = rank && (!own_rank || *rank > *own_rank);
    if (other != number && is_before) candidates.emplace_back(*rank, other);
  }
  std::sort(candidates.rbegin(), candidates.rend());
  for (const auto& [rank, other] : candidates) {
    if (excess <= 0) break;
    excess -= budget.holders.at(other).bytes;
    decision.yielding.push_back(other);
  }
  decision.is_granted = excess <= 0;
  // Nobody yields for a request that can't be read.
  if (!decision.is_granted) decision.yielding.clear();
  return decision;
}

reserve_decision DecideReserve(const memory_budget& budget, uint64_t number,
                               int64_t bytes, core::time_point now) {
  const int64_t growth = bytes - budget.holders.at(number).bytes;
  const bool is_bounded = budget.memory > 0 && growth > 0;
  if (is_bounded && !MayOverlap(budget, growth, bytes <= kSmallRequestBytes)) {
    return {};
  }
  return Decide(budget, number, bytes, now);
}

bool MayFit(const memory_budget& budget, uint64_t number, int64_t bytes,
            core::time_point now) {
  return Decide(budget, number, bytes, now).is_granted;
}

reserve_decision Reserve(memory_budget& budget, uint64_t number, int64_t bytes,
                         core::time_point now) {
  reserve_decision decision = DecideReserve(budget, number, bytes, now);
  for (const uint64_t other : decision.yielding) {
    SetState(budget, other, holder_state::kEnding, now);
  }
  if (decision.is_granted) SetBytes(budget, number, bytes);
  return decision;
}

bool IsAboveBound(const memory_budget& budget) {
  return budget.memory > 0 && budget.total > budget.memory / kBoundDivisor;
}

bool MayBegin(const memory_budget& budget, const std::string& customer,
              int64_t bytes) {
  const int64_t memory = budget.memory;
  if (memory == 0 || budget.total <= memory / kBoundDivisor) return true;
  if (budget.total - bytes <= memory / kCalmDivisor) return true;
  if (budget.total > memory / kMaximumDivisor) return false;
  const int64_t own = HeldBy(budget, customer);
  return std::any_of(budget.by_customer.begin(), budget.by_customer.end(),
                     [own](const auto& item) { return item.second > own; });
}

}  // namespace hickorywood::net
