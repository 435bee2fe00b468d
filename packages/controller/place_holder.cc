#include "controller/place_holder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <utility>
#include <vector>

#include "admission/place_messages.h"
#include "core/binary.h"
#include "core/events.h"
#include "group/leader_calls.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using admission::place_answer;
using admission::place_outcome;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;
using peering::call_outcome;
using peering::envelope;

constexpr milliseconds kExpiryPeriod{100};
// Longest delay of an answer to a queued request.
constexpr milliseconds kMaxWait{300};
// Time after an election in which the leases of the previous holder end.
constexpr milliseconds kTakeoverTime = 2 * admission::kLeaseTime;

}  // namespace

place_holder::place_holder(asio::io_context& loop,
                           const core::runtime_clock& clock,
                           group::group_host& group, const control_state& state,
                           const fleet::endpoint_registry& registry,
                           bool is_enabled)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      registry_(registry),
      is_enabled_(is_enabled) {}

void place_holder::Start() {
  if (is_enabled_) asio::co_spawn(loop_, RunExpiryLoop(), asio::detached);
}

void place_holder::BeginTerm() {
  ledger_ = admission::MakeLedger(group_.Term());
  leads_since_ = clock_.Now();
  has_taken_over_ = false;
  changed_.Notify();
}

bool place_holder::IsLeasing() const {
  return is_enabled_ && state_.Config().needs_keys && has_taken_over_;
}

void place_holder::OnEndpoints() {
  if (!is_enabled_ || !group_.IsServing()) return;
  std::map<std::string, std::vector<admission::place_endpoint>> endpoints;
  for (const fleet::service& service : state_.Config().services) {
    if (!service.has_engines) endpoints[service.name];
  }
  for (const auto& [incarnation, entry] : registry_.endpoints) {
    const fleet::endpoint& item = entry.item;
    const auto service = endpoints.find(item.service);
    const bool is_usable = item.state == fleet::endpoint_state::kReady;
    if (service == endpoints.end() || !is_usable) continue;
    service->second.push_back({incarnation, item.zone, item.slots});
  }
  for (auto& [service, list] : endpoints) {
    admission::SetEndpoints(ledger_, service, std::move(list), clock_.Now());
  }
  changed_.Notify();
}

awaitable<void> place_holder::RunExpiryLoop() {
  for (;;) {
    co_await net::Sleep(kExpiryPeriod);
    if (!group_.IsServing()) continue;
    const time_point now = clock_.Now();
    if (!has_taken_over_ && now - leads_since_ >= kTakeoverTime) {
      has_taken_over_ = true;
      OnEndpoints();
      LogEvent(event_id::kPlacesTakenOver,
               {{"term", std::to_string(group_.Term())},
                {"services", std::to_string(ledger_.services.size())}});
    }
    const int64_t expired = admission::Expire(ledger_, now);
    changed_.Notify();
    if (expired == 0) continue;
    LogEvent(event_id::kPlacesExpired, {{"places", std::to_string(expired)}});
  }
}

awaitable<envelope> place_holder::Borrow(std::string payload) {
  const auto input = core::DecodeBinary<admission::borrow_call>(payload);
  if (!input) co_return group::Malformed();
  const uint64_t term = group_.Term();
  admission::borrow_reply reply;
  reply.outcome = static_cast<int>(place_outcome::kUnknown);
  reply.term = term;
  // The entry chooses an endpoint by itself.
  if (!IsLeasing()) co_return group::Done(core::EncodeBinary(reply));
  admission::place_request request;
  request.instance = input->instance;
  request.zone = input->zone;
  request.service = input->service;
  request.customer = input->customer;
  request.priority = input->priority;
  request.time_left = milliseconds(input->time_left_ms);
  request.run_limit = milliseconds(input->run_limit_ms);
  place_answer answer = input->ticket == 0
                            ? admission::Borrow(ledger_, request, clock_.Now())
                            : admission::Ask(ledger_, input->service,
                                             input->ticket, clock_.Now());
  const time_point until =
      clock_.Now() + std::min(milliseconds(input->wait_ms), kMaxWait);
  while (answer.outcome == place_outcome::kQueued && clock_.Now() < until) {
    co_await changed_.WaitUntil(until);
    if (!group_.IsServing() || group_.Term() != term) {
      co_return group::NotLeader(group_);
    }
    answer = admission::Ask(ledger_, input->service, answer.id, clock_.Now());
  }
  reply.outcome = static_cast<int>(answer.outcome);
  reply.id = answer.id;
  reply.incarnation = std::move(answer.incarnation);
  reply.wait_ms = answer.wait.count();
  co_return group::Done(core::EncodeBinary(reply));
}

awaitable<envelope> place_holder::Return(std::string payload) {
  const auto input = core::DecodeBinary<admission::return_call>(payload);
  if (!input) co_return group::Malformed();
  // The ids of another term may name other leases.
  if (input->term != group_.Term()) co_return group::Done();
  const time_point now = clock_.Now();
  for (const admission::lease_name& item : input->renewed) {
    admission::Renew(ledger_, item.service, item.lease, now);
  }
  for (const admission::lease_name& item : input->withdrawn) {
    admission::Withdraw(ledger_, item.service, item.lease, now);
  }
  for (const admission::lease_name& item : input->returned) {
    admission::Return(ledger_, item.service, item.lease, now);
  }
  changed_.Notify();
  co_return group::Done();
}

}  // namespace hickorywood::controller
