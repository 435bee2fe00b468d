#include "controller/heartbeat_forwarder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
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

// Pause between two calls to the leader. It limits them to a hundred a second
// for any number of heartbeats, and is short compared with the second that an
// endpoint waits for its response.
constexpr milliseconds kBatchPeriod{10};
// The longest time that a refresh waits here. Several such periods fit into the
// period of the heartbeats, so that no endpoint becomes unresponsive because of
// a delayed refresh.
constexpr milliseconds kRefreshPeriod{300};
// Capacity of the queue. A heartbeat beyond it would wait for more than a
// second. It is rejected, and its endpoint switches to another instance.
constexpr size_t kMaxQueuedHeartbeats = 2000;

}  // namespace

heartbeat_forwarder::heartbeat_forwarder(asio::io_context& loop,
                                         const core::runtime_clock& clock,
                                         peering::leader_caller& caller)
    : loop_(loop), clock_(clock), caller_(caller) {}

void heartbeat_forwarder::Start() {
  asio::co_spawn(loop_, RunForwardLoop(), asio::detached);
}

awaitable<envelope> heartbeat_forwarder::Forward(fleet::heartbeat input) {
  envelope answer;
  if (AcceptIfUnchanged(cache_, input, clock_.Now())) {
    if (cache_.refreshes.size() == 1) filled_.Notify();
    answer.outcome = call_outcome::kDone;
    co_return answer;
  }
  if (queue_.size() >= kMaxQueuedHeartbeats) {
    answer.reason = "the heartbeat queue of this instance is full";
    co_return answer;
  }
  const net::one_shot<envelope> reply;
  queue_.push_back({std::move(input), reply});
  filled_.Notify();
  const auto result = co_await reply.WaitUntil(clock_.Now() + kForwardTimeout);
  if (result) co_return *result;
  answer.outcome = call_outcome::kUnknown;
  answer.reason = "the leader did not reply in time";
  co_return answer;
}

bool heartbeat_forwarder::IsRefreshDue() const {
  return !cache_.refreshes.empty() &&
         clock_.Now() >= refreshed_at_ + kRefreshPeriod;
}

awaitable<void> heartbeat_forwarder::RunForwardLoop() {
  for (;;) {
    if (queue_.empty() && !IsRefreshDue()) {
      co_await filled_.WaitUntil(cache_.refreshes.empty()
                                     ? time_point::max()
                                     : refreshed_at_ + kRefreshPeriod);
      continue;
    }
    // The acknowledgement that an endpoint may leave waits for other instances,
    // and must not delay those of other endpoints.
    const auto leaving = std::stable_partition(
        queue_.begin(), queue_.end(),
        [](const waiting_heartbeat& item) { return !item.input.is_draining; });
    std::vector<waiting_heartbeat> draining(
        std::make_move_iterator(leaving),
        std::make_move_iterator(queue_.end()));
    queue_.erase(leaving, queue_.end());
    if (!draining.empty()) {
      asio::co_spawn(loop_, Send(std::move(draining)), asio::detached);
    }
    if (!queue_.empty() || IsRefreshDue()) {
      asio::co_spawn(loop_, Send(std::move(queue_)), asio::detached);
    }
    queue_.clear();
    co_await net::Sleep(kBatchPeriod);
  }
}

// A batch that the leader did not accept is not retried: its endpoints switch
// to another instance or send their next heartbeat soon.
awaitable<void> heartbeat_forwarder::Send(
    std::vector<waiting_heartbeat> waiting) {
  heartbeat_batch batch;
  for (const waiting_heartbeat& item : waiting) {
    batch.heartbeats.push_back(item.input);
  }
  batch.refreshes = ExtractRefreshes(cache_);
  refreshed_at_ = clock_.Now();
  envelope answer = co_await caller_.Call(
      peering::kHeartbeatsMethod, core::EncodeBinary(batch),
      clock_.Now() + kForwardTimeout, kAttemptTimeout);
  auto batch_answer =
      answer.outcome == call_outcome::kDone
          ? core::DecodeBinary<heartbeat_batch_answer>(answer.payload)
          : std::optional<heartbeat_batch_answer>();
  if (batch_answer) {
    ApplyBatchAnswer(cache_, batch, *batch_answer, clock_.Now());
    EvictExpired(cache_, clock_.Now());
    batch_answer->refusals.resize(waiting.size());
  }
  for (size_t i = 0; i < waiting.size(); ++i) {
    envelope each;
    each.outcome = answer.outcome;
    each.reason = answer.reason;
    if (batch_answer && !batch_answer->refusals[i].empty()) {
      each.outcome = call_outcome::kRefused;
      each.reason = batch_answer->refusals[i];
    }
    waiting[i].reply.Set(std::move(each));
  }
}

}  // namespace hickorywood::controller
