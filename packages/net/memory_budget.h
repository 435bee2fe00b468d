#ifndef HICKORYWOOD_NET_MEMORY_BUDGET_H_
#define HICKORYWOOD_NET_MEMORY_BUDGET_H_

// Bounds the memory that all listeners of a process hold for their callers:
// requests from their first byte until they are answered, and answers that are
// being written. Plain data and decisions.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hickorywood::net {

// Time within which a holder must transfer kProgressBytes. One that doesn't is
// stalled, and is the first to yield when memory is short.
constexpr std::chrono::milliseconds kStallTime{1000};
constexpr int64_t kProgressBytes = 64L * 1024;
// Requests up to this size may use a reserve that larger ones may not.
constexpr int64_t kSmallRequestBytes = 32L * 1024;

enum class holder_state {
  kReading,  // a request that is not complete
  kServing,  // a complete request without an answer
  kWriting,  // an answer
  kEnding,   // has to yield, and releases its memory soon
};

// The memory of one request.
struct memory_holder {
  std::string customer;  // empty: unknown
  // Whether the caller is another instance of this service.
  bool is_internal = false;
  holder_state state = holder_state::kReading;
  int64_t bytes = 0;
  core::time_point progressed_at{};
  int64_t bytes_since = 0;  // transferred since then
};

struct memory_budget {
  int64_t memory = 0;  // of the process, bytes; 0: nothing is bounded
  int64_t total = 0;
  int64_t ending = 0;  // part of it that is released soon
  std::map<uint64_t, memory_holder> holders;
  std::map<std::string, int64_t> by_customer;
  uint64_t latest = 0;  // number of a holder
};

// Share of the memory that requests and answers may use. The rest is for the
// state of the process and for the buffers of idle connections. On a machine
// with 88 MB it holds one request of 32 MiB.
int64_t LimitOf(const memory_budget& budget);

// Number of connections whose buffers fit in a fifth of the memory.
size_t MaxConnections(const memory_budget& budget);

struct reserve_decision {
  bool is_granted = false;
  std::vector<uint64_t> yielding;  // holders that must release their memory
};

uint64_t AddHolder(memory_budget& budget, memory_holder holder);
void RemoveHolder(memory_budget& budget, uint64_t number);
// Sets the memory of a holder without asking whether it is available.
void SetBytes(memory_budget& budget, uint64_t number, int64_t bytes);
void SetState(memory_budget& budget, uint64_t number, holder_state state,
              core::time_point now);
void SetCustomer(memory_budget& budget, uint64_t number, std::string customer);
void RecordProgress(memory_budget& budget, uint64_t number, int64_t bytes,
                    core::time_point now);

// How long a holder has been stalled; nothing: it isn't.
std::optional<core::milliseconds> StalledFor(const memory_holder& holder,
                                             core::time_point now);

// Decides whether a holder may grow to `bytes`. When
// memory is short, those yield first that are stalled, then the largest
// requests that are still being read, of the customer that holds most; links
// of the own instances come last. A holder that would itself be the next to
// yield is refused.
reserve_decision DecideReserve(const memory_budget& budget, uint64_t number,
                               int64_t bytes, core::time_point now);
// Whether a request of this size can be read, if those that must yield for it
// have released their memory by then.
bool MayFit(const memory_budget& budget, uint64_t number, int64_t bytes,
            core::time_point now);
// Decides the same as DecideReserve() and records the result.
reserve_decision Reserve(memory_budget& budget, uint64_t number, int64_t bytes,
                         core::time_point now);

// Whether more than a quarter of the memory is held: slow readers are then
// disconnected early.
bool IsAboveBound(const memory_budget& budget);

// Whether new work of this customer may begin; `bytes` of its request are held
// already. Above a quarter of the memory, the customer that holds most is
// refused; above a third, all are. A request that has the memory nearly to
// itself is always accepted.
bool MayBegin(const memory_budget& budget, const std::string& customer,
              int64_t bytes);

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_MEMORY_BUDGET_H_
