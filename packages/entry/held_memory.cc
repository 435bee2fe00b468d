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

bool MayAccept(const held_memory& held, const std::string& customer,
               int64_t bytes) {
  const int64_t total = held.total + bytes;
  if (held.limit == 0 || total <= held.limit / kBoundDivisor) return true;
  if (total > held.limit / kMaximumDivisor) return false;
  const auto found = held.by_customer.find(customer);
  const int64_t own =
      bytes + (found == held.by_customer.end() ? 0 : found->second);
  return std::any_of(held.by_customer.begin(), held.by_customer.end(),
                     [own](const auto& item) { return item.second > own; });
}

void RecordHeld(held_memory& held, const std::string& customer, int64_t bytes) {
  held.total += bytes;
  int64_t& own = held.by_customer[customer];
  own += bytes;
  if (own == 0) held.by_customer.erase(customer);
}

}  // namespace hickorywood::entry
