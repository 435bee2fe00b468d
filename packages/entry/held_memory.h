#ifndef HICKORYWOOD_ENTRY_HELD_MEMORY_H_
#define HICKORYWOOD_ENTRY_HELD_MEMORY_H_

// Bounds the memory that an entry holds for its callers: bodies of requests in
// progress, and answers that are being written. Answers callers that read very
// slowly, many at once, beside normal traffic. Plain data and decisions.

#include <cstdint>
#include <map>
#include <string>

namespace hickorywood::entry {

struct held_memory {
  int64_t limit = 0;  // memory of the process, bytes; 0: nothing is bounded
  int64_t total = 0;
  std::map<std::string, int64_t> by_customer;
};

// Part of the memory of the process above which new work of the customer that
// holds most is refused, and slow readers are disconnected early; and above
// which all new work is refused. The rest is for the process itself and for the
// buffers of its connections.
bool IsAboveBound(const held_memory& held);
bool IsAboveMaximum(const held_memory& held);

// Whether a request of this customer with a body of `bytes` may be accepted.
bool MayAccept(const held_memory& held, const std::string& customer,
               int64_t bytes);

// Negative `bytes`: released. A customer without memory is removed.
void RecordHeld(held_memory& held, const std::string& customer, int64_t bytes);

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_HELD_MEMORY_H_
