#include "entry/held_memory.h"

#include <algorithm>

namespace hickorywood::entry {
namespace {

constexpr int64_t kBoundDivisor = 4;
constexpr int64_t kMaximumDivisor = 3;

}  // namespace

bool IsAboveBound(const held_memory& held) {
  return held.limit > 0 && held.total > held.limit / kBoundDivisor;
}

bool IsAboveMaximum(const held_memory& held) {
  return held.limit > 0 && held.total > held.limit / kMaximumDivisor;
}

bool MayAccept(const held_memory& held, const std::string& customer,
               int64_t bytes) {
  if (held.limit == 0) return true;
  held_memory next = held;
  RecordHeld(next, customer, bytes);
  if (IsAboveMaximum(next)) return false;
  if (!IsAboveBound(next)) return true;
  const int64_t own = next.by_customer[customer];
  return std::any_of(next.by_customer.begin(), next.by_customer.end(),
                     [own](const auto& item) { return item.second > own; });
}

void RecordHeld(held_memory& held, const std::string& customer, int64_t bytes) {
  held.total += bytes;
  int64_t& own = held.by_customer[customer];
  own += bytes;
  if (own == 0) held.by_customer.erase(customer);
}

}  // namespace hickorywood::entry
