#ifndef HICKORYWOOD_ENTRY_PLACE_CLIENT_H_
#define HICKORYWOOD_ENTRY_PLACE_CLIENT_H_

// Leases places at the endpoints of plain services from their holder, the
// control leader. Without an answer of the holder, requests are sent as without
// shared places: a lost holder must not turn into refusals.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "admission/place_ledger.h"
#include "admission/place_messages.h"
#include "core/clock.h"
#include "peering/leader_caller.h"

namespace hickorywood::entry {

struct place_terms {
  std::string service;
  std::string customer;
  int64_t priority = 0;
  core::time_point deadline{};  // of the request
  std::chrono::milliseconds run_limit{0};
};

// A place for one request.
struct place {
  enum class state {
    kLeased,
    kNone,     // no answer of the holder; the request is sent without a place
    kRefused,  // no place will be free in time
  };
  state how = state::kNone;
  std::string service;
  std::string incarnation;  // of the endpoint
  uint64_t lease = 0;
  uint64_t term = 0;  // of the holder
  core::time_point granted_at{};
  std::chrono::milliseconds retry_after{0};
};

class place_client {
 public:
  place_client(boost::asio::io_context& loop, const core::runtime_clock& clock,
               peering::leader_caller& caller, std::string instance,
               std::string zone);

  void Start();
  // Waits for a place until it is granted or refused.
  boost::asio::awaitable<place> Acquire(place_terms terms);
  // The request of a leased place has ended. The place is kept for a moment,
  // because at a high rate the next request uses it.
  void Release(place used);

 private:
  struct idle_place {
    place item;
    core::time_point since{};
  };

  boost::asio::awaitable<bool> Call(const admission::borrow_call& input,
                                    core::milliseconds timeout,
                                    admission::borrow_reply& reply);
  boost::asio::awaitable<void> RunReturnLoop();
  admission::return_call CollectReturns();
  bool TakeIdle(const std::string& service, place& taken);

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  peering::leader_caller& caller_;
  const std::string instance_;
  const std::string zone_;
  std::deque<idle_place> idle_;
  std::map<std::pair<uint64_t, uint64_t>, place> in_use_;  // by term and lease
  std::vector<admission::lease_name> returned_;            // not sent yet
  std::vector<admission::lease_name> withdrawn_;
  uint64_t term_ = 0;  // of the latest answer
  core::time_point unavailable_until_{};
  core::time_point renewed_at_{};
};

// Gives a place back when the coroutine that uses it ends, also when it is
// cancelled.
class held_place {
 public:
  held_place(place_client* client, place item)
      : client_(client), item_(std::move(item)) {}
  ~held_place() {
    if (item_.how == place::state::kLeased) client_->Release(std::move(item_));
  }
  held_place(const held_place&) = delete;
  held_place& operator=(const held_place&) = delete;

  const place& Item() const { return item_; }

 private:
  place_client* const client_;
  place item_;
};

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_PLACE_CLIENT_H_
