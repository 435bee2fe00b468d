#ifndef HICKORYWOOD_NET_REQUEST_MEMORY_H_
#define HICKORYWOOD_NET_REQUEST_MEMORY_H_

// The memory budget of a process, shared by its listeners, and the holders that
// can be asked to yield. Used on one I/O loop.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "net/memory_budget.h"

namespace hickorywood::net {

struct request_memory {
  memory_budget budget;
  // Called once when a holder has to release its memory.
  std::map<uint64_t, std::function<void()>> yield;
  size_t connections = 0;  // open ones of all listeners
};

// `bytes` is the memory of the process; 0: nothing is bounded.
inline std::shared_ptr<request_memory> MakeRequestMemory(int64_t bytes) {
  auto memory = std::make_shared<request_memory>();
  memory->budget.memory = bytes;
  return memory;
}

// The memory of one request, which is released with this object.
class memory_charge {
 public:
  memory_charge(std::shared_ptr<request_memory> memory, bool is_internal,
                std::function<void()> yield)
      : memory_(std::move(memory)) {
    memory_holder holder;
    holder.is_internal = is_internal;
    holder.progressed_at = Now();
    number_ = AddHolder(memory_->budget, std::move(holder));
    memory_->yield[number_] = std::move(yield);
  }
  ~memory_charge() {
    memory_->yield.erase(number_);
    RemoveHolder(memory_->budget, number_);
  }
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;

  // Grows to `bytes` in total if the memory is available. Otherwise returns
  // false.
  bool Grow(int64_t bytes) {
    const reserve_decision decision =
        Reserve(memory_->budget, number_, bytes, Now());
    for (const uint64_t other : decision.yielding) {
      // It may end its holder.
      const std::function<void()> yield = memory_->yield.at(other);
      yield();
    }
    return decision.is_granted;
  }
  // The same without asking others to yield.
  bool GrowIfFree(int64_t bytes) {
    const memory_budget& budget = memory_->budget;
    const bool is_free =
        budget.memory == 0 || budget.total + bytes - Bytes() <= LimitOf(budget);
    if (is_free) Set(bytes);
    return is_free;
  }
  // Whether it may grow to `bytes` in several steps.
  bool MayFit(int64_t bytes) const {
    return net::MayFit(memory_->budget, number_, bytes, Now());
  }
  // How long it has been stalled; nothing: it isn't.
  std::optional<core::milliseconds> StalledFor() const {
    return net::StalledFor(memory_->budget.holders.at(number_), Now());
  }
  void Set(int64_t bytes) { SetBytes(memory_->budget, number_, bytes); }
  int64_t Bytes() const { return memory_->budget.holders.at(number_).bytes; }
  bool IsEnding() const {
    return memory_->budget.holders.at(number_).state == holder_state::kEnding;
  }
  void Enter(holder_state state) {
    SetState(memory_->budget, number_, state, Now());
  }
  void Advance(int64_t bytes) {
    RecordProgress(memory_->budget, number_, bytes, Now());
  }
  void Assign(std::string customer) {
    SetCustomer(memory_->budget, number_, std::move(customer));
  }

 private:
  static core::time_point Now() { return std::chrono::steady_clock::now(); }

  const std::shared_ptr<request_memory> memory_;
  uint64_t number_ = 0;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_REQUEST_MEMORY_H_
