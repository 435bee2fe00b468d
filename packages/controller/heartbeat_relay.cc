#include "controller/heartbeat_relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "controller/call_limits.h"
#include "core/binary.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::milliseconds;
using core::time_point;
using peering::call_outcome;
using peering::envelope;

// Between two calls: a hundred a second at most, however many heartbeats come
// in, and nothing against the second that an endpoint waits for its answer.
constexpr milliseconds kGatherTime{10};
// How long a refresh may wait: some of it fit into a heartbeat's period, so
// that an endpoint is never thought silent for want of one.
constexpr milliseconds kRefreshPeriod{300};
// Heartbeats that wait here at once. Beyond it, whoever comes is sent on to
// another instance: it would wait for more than a second.
constexpr size_t kMostWaiting = 2000;

}  // namespace

heartbeat_relay::heartbeat_relay(asio::io_context& loop,
                                 const core::runtime_clock& clock,
                                 peering::leader_caller& caller)
    : loop_(loop), clock_(clock), caller_(caller) {}

void heartbeat_relay::Start() {
  asio::co_spawn(loop_, KeepTelling(), asio::detached);
}

awaitable<envelope> heartbeat_relay::Tell(fleet::heartbeat input) {
  envelope answer;
  if (TakeIfKnown(memory_, input, clock_.Now())) {
    if (memory_.refreshes.size() == 1) filled_.Notify();
    answer.outcome = call_outcome::kDone;
    co_return answer;
  }
  if (queue_.size() >= kMostWaiting) {
    answer.reason = "too many heartbeats wait here";
    co_return answer;
  }
  const net::one_shot<envelope> end;
  queue_.push_back({std::move(input), end});
  filled_.Notify();
  const auto told = co_await end.WaitUntil(clock_.Now() + kPatience);
  if (told) co_return *told;
  answer.outcome = call_outcome::kUnknown;
  answer.reason = "the leader gave no answer";
  co_return answer;
}

bool heartbeat_relay::IsRefreshDue() const {
  return !memory_.refreshes.empty() &&
         clock_.Now() >= refreshed_at_ + kRefreshPeriod;
}

awaitable<void> heartbeat_relay::KeepTelling() {
  for (;;) {
    if (queue_.empty() && !IsRefreshDue()) {
      co_await filled_.WaitUntil(memory_.refreshes.empty()
                                     ? time_point::max()
                                     : refreshed_at_ + kRefreshPeriod);
      continue;
    }
    asio::co_spawn(loop_, Send(std::move(queue_)), asio::detached);
    queue_.clear();
    co_await net::Sleep(kGatherTime);
  }
}

// What can't be told is not kept: the endpoints go on to another instance, or
// report again soon.
awaitable<void> heartbeat_relay::Send(std::vector<waiting_heartbeat> waiting) {
  heartbeat_batch batch;
  for (const waiting_heartbeat& item : waiting) {
    batch.heartbeats.push_back(item.input);
  }
  batch.refreshes = TakeRefreshes(memory_);
  refreshed_at_ = clock_.Now();
  envelope answer = co_await caller_.Ask(peering::kHeartbeatsMethod,
                                         core::EncodeBinary(batch),
                                         clock_.Now() + kPatience, kOneTry);
  auto taken = answer.outcome == call_outcome::kDone
                   ? core::DecodeBinary<heartbeat_batch_answer>(answer.payload)
                   : std::optional<heartbeat_batch_answer>();
  if (taken) {
    NoteAnswer(memory_, batch, *taken, clock_.Now());
    ForgetOld(memory_, clock_.Now());
    taken->refusals.resize(waiting.size());
  }
  for (size_t i = 0; i < waiting.size(); ++i) {
    envelope each;
    each.outcome = answer.outcome;
    each.reason = answer.reason;
    if (taken && !taken->refusals[i].empty()) {
      each.outcome = call_outcome::kRefused;
      each.reason = taken->refusals[i];
    }
    waiting[i].end.Set(std::move(each));
  }
}

}  // namespace hickorywood::controller
