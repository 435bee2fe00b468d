#ifndef HICKORYWOOD_ENTRY_HELD_MEMORY_H_
#define HICKORYWOOD_ENTRY_HELD_MEMORY_H_

// Bounds the memory that an entry holds for its callers: bodies of requests in
// progress, and answers that are being written. Intended for many callers that
// read very slowly at once while others use the entry as usual. Plain data and
// decisions.

#include <cstdint>
#include <map>
#include <string>

namespace hickorywood::entry {

struct held_memory {
  int64_t limit = 0;  // memory of the process, bytes; 0: nothing is bounded
  int64_t total = 0;
  std::map<std::string, int64_t> by_customer;
};

// Whether more than a quarter of the memory is held: slow readers are then
// disconnected early. The rest is for the process itself and for the buffers of
// its connections.
bool IsAboveBound(const held_memory& held);

// Whether new work of this customer with a body of `bytes` may be accepted.
// Above a quarter of the memory, the customer that holds most is refused; above
// a third, all are.
bool MayAccept(const held_memory& held, const std::string& customer,
               int64_t bytes);

// Adds `bytes` to the memory held for a customer; negative: released. A
// customer for whom nothing is held any more is removed.
void RecordHeld(held_memory& held, const std::string& customer, int64_t bytes);

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_HELD_MEMORY_H_
