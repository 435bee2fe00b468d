// The attempts of a generation on engines: their streams, failures and
// completion.

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "core/events.h"
#include "hickoryd/generation_service.h"
#include "hickoryd/generation_state.h"
#include "quarantine/suspect_separation.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;
using transport::delivery;

constexpr int kMaxAttempts = 6;
// Retry interval after an engine reported that it is full. The number of these
// retries is not limited.
constexpr core::milliseconds kBusyPause{20};
constexpr core::milliseconds kFailurePause{5};
// Delay of the retry of a suspected request. A crash of the engine is detected
// within this time, and one more crash quarantines the request.
constexpr core::milliseconds kSuspectedPause{500};
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

bool IsBusyAnswer(const transport::http_response& response) {
  return response.status == kStatusTooMany ||
         response.status == kStatusUnavailable;
}

}  // namespace

// Bytes of a cancelled attempt can arrive late; the attempt number filters them
// out.
void generation_service::HandleBytes(uint64_t id, uint64_t attempt,
                                     const std::string& bytes) {
  const auto found = active_.find(id);
  if (found == active_.end() || found->second->attempt != attempt ||
      found->second->transfer == 0) {
    return;
  }
  const std::shared_ptr<generation> item = found->second;
  if (item->status != 200) return;
  const auto events = item->stream.Feed(bytes);
  if (!events) {
    HandleFailure(*item, core::LastReason().text, true);
    return;
  }
  // Other bytes, such as comments, are no progress.
  if (!events->empty()) item->progress_at = context_.clock.Now();
  for (const transport::completion_stream::event& event : *events) {
    if (event.is_end) {
      item->has_end_mark = true;
      continue;
    }
    if (!AppendToGeneration(*item, event.chunk)) {
      HandleFailure(*item, core::LastReason().text, true);
      return;
    }
    if (active_.count(id) == 0) return;  // cancelled by its own callback
  }
}

bool generation_service::AppendToGeneration(
    generation& item, const rollout::generation_chunk& chunk) {
  if (item.has_end_mark || !item.finish_reason.empty()) {
    core::SetLastReason(core::reason_code::kInvalid,
                        "text after the end of the stream");
    return false;
  }
  if (!rollout::AppendChunk(item.generated, item.attempt_id, chunk)) {
    return false;
  }
  item.finish_reason = chunk.finish_reason;
  context_.counters.CountTokens(item.request.pool,
                                static_cast<double>(chunk.token_count));
  if (item.callbacks.on_progress && chunk.token_count > 0) {
    item.callbacks.on_progress(item.generated, chunk.text);
  }
  return true;
}

void generation_service::HandleStreamEnd(
    uint64_t id, uint64_t attempt, const transport::http_response& response) {
  const auto found = active_.find(id);
  if (found == active_.end() || found->second->attempt != attempt ||
      found->second->transfer == 0) {
    return;
  }
  const std::shared_ptr<generation> item = found->second;
  // A busy engine did not run this attempt. Earlier attempts may have run, so
  // the outcome of the request must not become "not run" because of it.
  if (response.how == delivery::kAnswered && IsBusyAnswer(response)) {
    const auto view = context_.view_holder.Get();
    const settings::pool_config* pool = FindPool(*view, item->request.pool);
    const int64_t limit = pool == nullptr ? 1 : pool->engine_concurrency;
    routing::RecordOverload(stats_[item->engine], limit);
    explain_.Add(item->request.id, item->engine + " is busy");
    // A busy engine can report a low load and would be chosen again each time:
    // prompts whose preferred engine was busy waited there while other engines
    // were free.
    item->request.avoid_engine = item->engine;
    FinishAttempt(*item);
    Requeue(*item, kBusyPause);
    return;
  }
  if (response.how != delivery::kNotSent) item->was_maybe_sent = true;
  // An engine that sent an invalid response is running.
  if (response.how == delivery::kMaybeSent && !response.is_invalid) {
    quarantine_.RecordBrokenConnection(IdentityOf(*item), item->announced);
  }
  const bool is_whole = response.how == delivery::kAnswered &&
                        response.status == 200 && item->has_end_mark &&
                        !item->finish_reason.empty();
  if (is_whole) {
    quarantine_.RecordServed(IdentityOf(*item));
    Complete(*item);
    return;
  }
  const std::string reason =
      response.how == delivery::kAnswered && response.status != 200
          ? "status " + std::to_string(response.status)
          : (response.error.empty() ? "the stream was cut off"
                                    : response.error);
  HandleFailure(*item, reason, true);
}

void generation_service::FinishAttempt(generation& item) {
  --stats_[item.engine].outstanding;
  item.transfer = 0;
}

void generation_service::Complete(generation& item) {
  const core::time_point now = context_.clock.Now();
  const int64_t tokens = item.generated.token_count - item.attempt_first_token;
  const auto took = std::chrono::duration_cast<core::milliseconds>(
      now - item.attempt_started_at);
  routing::RecordSuccess(stats_[item.engine], tokens, took);
  FinishAttempt(item);
  pool_state& state = pools_[item.request.pool];
  routing::RecordSuccess(state.budget);
  routing::RecordCompletion(state.rate, now);
  generation_result result;
  result.is_complete = true;
  result.generated = item.generated;
  result.finish_reason = item.finish_reason;
  result.engine = item.engine;
  End(item, result);
}

void generation_service::HandleFailure(generation& item,
                                       const std::string& reason,
                                       bool is_engine_fault) {
  const std::string engine = item.engine;
  explain_.Add(item.request.id, engine + " failed after " +
                                    std::to_string(item.generated.token_count) +
                                    " tokens: " + reason);
  if (item.transfer != 0) {
    context_.client.Cancel(item.transfer);
    item.was_maybe_sent = true;
    FinishAttempt(item);
  }
  const auto view = context_.view_holder.Get();
  if (is_engine_fault && view->config) {
    const settings::routing_config& routing = view->config->routing;
    const routing::ejection_policy ejection{routing.ejection_failures,
                                            routing.ejection_time,
                                            routing.ejection_floor};
    if (routing::RecordFailure(stats_, engine, EngineIds(item.request.pool),
                               ejection, context_.clock.Now())) {
      LogEvent(event_id::kEndpointEjected,
               {{"endpoint", engine}, {"reason", reason}});
    }
  }
  ++item.failures;
  pool_state& state = pools_[item.request.pool];
  const bool may_retry =
      item.failures < kMaxAttempts && routing::ConsumeRetry(state.budget);
  if (!may_retry) {
    Fail(item,
         "stopped after " + std::to_string(item.failures) +
             " failed attempts; last failure: " + reason,
         kNoEngineRetryAfter);
    return;
  }
  context_.counters.CountRetry(item.request.pool);
  item.request.avoid_engine = engine;
  const quarantine::quarantine_decision decision =
      quarantine_.Check(IdentityOf(item));
  const bool is_suspected =
      decision.state != quarantine::quarantine_state::kClear;
  Requeue(item, std::max(is_suspected ? kSuspectedPause : kFailurePause,
                         quarantine::PauseAfterCrash(decision.crashes)));
}

void generation_service::Requeue(generation& item, core::milliseconds pause) {
  const core::time_point now = context_.clock.Now();
  item.not_before = now + pause;
  item.is_queued = true;
  const routing::waiting_request waiting{
      item.id, item.request.trainer, item.request.kind, item.request.max_tokens,
      item.arrived_at};
  routing::PutBack(pools_[item.request.pool].queue, waiting);
  Pump(item.request.pool);
}

bool generation_service::FailIfQuarantined(generation& item) {
  const quarantine::quarantine_decision decision =
      quarantine_.Check(IdentityOf(item));
  if (decision.state != quarantine::quarantine_state::kQuarantined) {
    return false;
  }
  Fail(item, "engines crashed while running this request; it is held back",
       decision.remaining);
  return true;
}

void generation_service::Fail(generation& item, const std::string& reason,
                              core::milliseconds retry_after) {
  generation_result result;
  result.crash_pause =
      quarantine::PauseAfterCrash(quarantine_.Check(IdentityOf(item)).crashes);
  result.generated = item.generated;
  result.reason = reason;
  result.retry_after = retry_after;
  result.outcome = item.generated.token_count > item.request.resume.token_count
                       ? request_outcome::kRan
                   : item.was_maybe_sent ? request_outcome::kUnknown
                                         : request_outcome::kNotRun;
  explain_.Add(
      item.request.id,
      std::string("ended, ") + OutcomeName(result.outcome) + ": " + reason);
  LogEvent(result.outcome == request_outcome::kNotRun
               ? event_id::kRequestRefused
               : event_id::kRequestFailed,
           {{"request", item.request.id},
            {"pool", item.request.pool},
            {"reason", reason}});
  End(item, result);
}

void generation_service::End(generation& item,
                             const generation_result& result) {
  const std::string pool = item.request.pool;
  const auto done = std::move(item.callbacks.on_done);
  if (item.is_queued) routing::Remove(pools_[pool].queue, item.id);
  active_.erase(item.id);
  if (done) done(result);
  // Posted because this function may be called from within Pump().
  context_.traffic.Post([this, pool] { Pump(pool); });
}

}  // namespace hickorywood::hickoryd
