#include "entry/place_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "net/event.h"

namespace hickorywood::entry {
namespace {

namespace asio = boost::asio;
using admission::place_outcome;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;
using peering::call_outcome;

// Time limit of asking for a place. A call to another zone takes some
// milliseconds; a request must not wait for a holder that is gone.
constexpr milliseconds kCallTimeout{40};
// Time limit of the call of a queued request, in addition to its wait.
constexpr milliseconds kWait{250};
// How long requests are sent without places after the holder did not answer.
constexpr milliseconds kUnavailablePause{500};
// How long an unused place is kept.
constexpr milliseconds kIdleTime{50};
// How long a place may be used by one request after the other. Then it goes
// back to the holder, so that requests of other entries get their turn.
constexpr milliseconds kReuseTime{250};
constexpr milliseconds kReturnPeriod{25};
constexpr milliseconds kReturnTimeout{300};
// Period of renewing leases in use: a third of their length.
constexpr milliseconds kRenewPeriod = admission::kLeaseTime / 3;

}  // namespace

place_client::place_client(asio::io_context& loop,
                           const core::runtime_clock& clock,
                           peering::leader_caller& caller, std::string instance,
                           std::string zone)
    : loop_(loop),
      clock_(clock),
      caller_(caller),
      instance_(std::move(instance)),
      zone_(std::move(zone)) {}

void place_client::Start() {
  asio::co_spawn(loop_, RunReturnLoop(), asio::detached);
}

bool place_client::TakeIdle(const std::string& service, place& taken) {
  const time_point now = clock_.Now();
  for (auto item = idle_.begin(); item != idle_.end(); ++item) {
    // A suspended process may find leases that have expired.
    const bool is_usable = item->item.service == service &&
                           item->item.term == term_ &&
                           now - item->since < kIdleTime &&
                           now - item->item.granted_at < kReuseTime;
    if (!is_usable) continue;
    taken = std::move(item->item);
    idle_.erase(item);
    return true;
  }
  return false;
}

// Returns false when the holder did not answer.
awaitable<bool> place_client::Call(const admission::borrow_call& input,
                                   milliseconds timeout,
                                   admission::borrow_reply& reply) {
  const peering::envelope answer = co_await caller_.Call(
      peering::kBorrowPlacesMethod, core::EncodeBinary(input),
      clock_.Now() + timeout, timeout);
  const auto decoded =
      answer.outcome == call_outcome::kDone
          ? core::DecodeBinary<admission::borrow_reply>(answer.payload)
          : std::optional<admission::borrow_reply>();
  if (decoded) {
    reply = *decoded;
    // A late answer of an earlier holder must not set the term back.
    term_ = std::max(term_, decoded->term);
    co_return true;
  }
  // Many requests may wait for the same holder; the first one reports its loss.
  const bool is_known = clock_.Now() < unavailable_until_;
  unavailable_until_ = clock_.Now() + kUnavailablePause;
  if (is_known) co_return false;
  LogEvent(event_id::kPlacesUnavailable,
           {{"service", input.service},
            {"reason", answer.reason},
            {"retry_ms", std::to_string(kUnavailablePause.count())}});
  co_return false;
}

awaitable<place> place_client::Acquire(place_terms terms) {
  place result;
  result.service = terms.service;
  if (TakeIdle(terms.service, result)) {
    in_use_[{result.term, result.lease}] = result;
    co_return result;
  }
  if (clock_.Now() < unavailable_until_) co_return result;
  admission::borrow_call input;
  input.instance = instance_;
  input.zone = zone_;
  input.service = terms.service;
  input.customer = terms.customer;
  input.priority = terms.priority;
  input.run_limit_ms = terms.run_limit.count();
  admission::borrow_reply reply;
  // Withdraws the request when the caller disconnects while it is queued.
  struct open_ticket {
    place_client& client;
    const std::string service;
    uint64_t ticket = 0;
    ~open_ticket() {
      if (ticket != 0) client.withdrawn_.push_back({service, ticket});
    }
  };
  open_ticket open{*this, terms.service};
  for (;;) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(terms.deadline - clock_.Now());
    if (left.count() <= 0) {
      result.how = place::state::kRefused;
      co_return result;
    }
    input.time_left_ms = left.count();
    input.wait_ms = input.ticket == 0 ? 0 : std::min(left, kWait).count();
    const bool is_answered =
        co_await Call(input, kCallTimeout + milliseconds(input.wait_ms), reply);
    if (!is_answered) co_return result;
    const auto outcome = static_cast<place_outcome>(reply.outcome);
    open.ticket = 0;
    if (outcome == place_outcome::kQueued) {
      open.ticket = reply.id;
      input.ticket = reply.id;
      continue;
    }
    if (outcome == place_outcome::kRefused) {
      result.how = place::state::kRefused;
      result.retry_after = milliseconds(reply.wait_ms);
    } else if (outcome == place_outcome::kGranted) {
      result.how = place::state::kLeased;
      result.incarnation = reply.incarnation;
      result.lease = reply.id;
      result.term = reply.term;
      result.granted_at = clock_.Now();
      in_use_[{result.term, result.lease}] = result;
    } else {
      // The holder leases nothing at the moment, or not for this service.
      unavailable_until_ = clock_.Now() + kUnavailablePause;
    }
    co_return result;
  }
}

void place_client::Release(place used) {
  in_use_.erase({used.term, used.lease});
  if (used.term == term_) idle_.push_back({std::move(used), clock_.Now()});
}

admission::return_call place_client::CollectReturns() {
  const time_point now = clock_.Now();
  while (!idle_.empty() && now - idle_.front().since >= kIdleTime) {
    const place& item = idle_.front().item;
    if (item.term == term_) returned_.push_back({item.service, item.lease});
    idle_.pop_front();
  }
  admission::return_call input;
  input.term = term_;
  input.returned = std::exchange(returned_, {});
  input.withdrawn = std::exchange(withdrawn_, {});
  const bool is_renewal_due = now - renewed_at_ >= kRenewPeriod;
  if (!is_renewal_due) return input;
  renewed_at_ = now;
  for (const auto& [key, item] : in_use_) {
    if (item.term == term_) {
      input.renewed.push_back({item.service, item.lease});
    }
  }
  return input;
}

// Unsent returns are lost with the holder; their leases end by themselves.
awaitable<void> place_client::RunReturnLoop() {
  for (;;) {
    co_await net::Sleep(kReturnPeriod);
    const admission::return_call input = CollectReturns();
    const bool is_empty = input.returned.empty() && input.renewed.empty() &&
                          input.withdrawn.empty();
    if (is_empty) continue;
    co_await caller_.Call(peering::kReturnPlacesMethod,
                          core::EncodeBinary(input),
                          clock_.Now() + kReturnTimeout, kReturnTimeout);
  }
}

}  // namespace hickorywood::entry
