// Delivers the samples of a step in batches. Each batch has a cursor and is
// committed before it is sent.

#include <algorithm>
#include <optional>
#include <utility>

#include "core/events.h"
#include "core/ids.h"
#include "hickoryd/step_service.h"
#include "hickoryd/step_service_state.h"

namespace hickorywood::hickoryd {
namespace {

using control::command_outcome;
using control::proposal_answer;
using control::proposal_status;
using core::event_id;
using core::LogEvent;
using core::milliseconds;

constexpr milliseconds kCommitRetryPause{20};

}  // namespace

void step_service::ServePulls(const step_ptr& step) {
  if (step->is_committing || step->is_stopped) return;
  std::vector<waiting_pull> pulls = std::move(step->pulls);
  step->pulls.clear();
  for (const waiting_pull& pull : pulls) {
    if (step->is_committing) {
      step->pulls.push_back(pull);
      continue;
    }
    Serve(step, pull);
  }
}

void step_service::Serve(const step_ptr& step, const waiting_pull& pull) {
  step->trainer_version =
      std::max(step->trainer_version, pull.request.trainer_version);
  const uint64_t cursor = pull.request.cursor;
  const uint64_t committed = step->batches.size();
  if (cursor <= committed) {
    ServeRepeat(step, pull);
    return;
  }
  if (cursor != committed + 1) {
    const std::string reason =
        "the next cursor is " + std::to_string(committed + 1);
    AnswerPull(step, pull,
               FailureReply(409, "not_run", reason, milliseconds(0)));
    return;
  }
  Acknowledge(step, committed);
  const bool is_late = rollout::IsPastDeadline(step->run, context_.clock.Now());
  if (rollout::IsAllDelivered(step->run)) {
    EndStep(step, pull, kEndComplete);
    return;
  }
  if (is_late && !step->run.spec.allow_partial) {
    EndStep(step, pull, kEndDeadlineMissed);
    return;
  }
  const std::vector<int64_t> slots = FormBatch(step, pull);
  if (!slots.empty()) {
    CommitBatch(step, pull, slots);
    return;
  }
  if (is_late) {
    EndStep(step, pull, kEndPartial);
    return;
  }
  if (context_.clock.Now() >= pull.answer_at) {
    AnswerPull(step, pull,
               {200, EmptyBatch(cursor, false, false), milliseconds(0)});
    return;
  }
  step->pulls.push_back(pull);
}

// Returns the slots to deliver now and discards stale samples.
std::vector<int64_t> step_service::FormBatch(const step_ptr& step,
                                             const waiting_pull& pull) {
  const auto view = context_.view_holder.Get();
  const settings::pool_config* pool = FindPool(*view, step->run.spec.pool);
  if (pool == nullptr) return {};
  const int64_t version =
      CurrentVersion(step->run.spec.pool, step->trainer_version);
  const auto limit = static_cast<size_t>(
      std::clamp<int64_t>(pull.request.max_samples, 1, kMaxBatchSamples));
  rollout::formed_batch batch =
      rollout::FormBatch(step->run, version, pool->staleness_bound, limit);
  for (const int64_t slot : batch.discarded) {
    LogEvent(event_id::kSampleDiscarded, {{"step", step->key},
                                          {"slot", std::to_string(slot)},
                                          {"reason", "stale"}});
  }
  return std::move(batch.slots);
}

// Commits the end of the step before it is reported. Otherwise a trainer that
// repeats its pull right after the response would find an open step without
// bodies.
void step_service::EndStep(const step_ptr& step, const waiting_pull& pull,
                           int end_status) {
  step->is_committing = true;
  control::command input;
  input.kind = control::command_kind::kCloseStep;
  input.pool = step->run.spec.pool;
  input.step = step->run.spec.step;
  input.status = end_status;
  const bool is_queued = leader_.Propose(
      input, kCommitLimit,
      [this, step, pull, end_status](const proposal_answer& answer) {
        context_.traffic.Post([this, step, pull, end_status, answer] {
          step->is_committing = false;
          if (answer.status != proposal_status::kDone) {
            pull.done(FailureReply(503, "unknown",
                                   "the control group can't be reached",
                                   kPullRetryAfter));
            return;
          }
          AnswerPull(step, pull, EndReply(pull.request.cursor, end_status));
          Close(step, end_status);
        });
      });
  if (is_queued) return;
  step->is_committing = false;
  pull.done(FailureReply(503, "not_run", "the control queue is full",
                         kPullRetryAfter));
}

// The same cursor returns the same bytes. The batch is withheld only if one of
// its samples has become stale for the current version of the trainer, because
// the staleness bound applies to each delivery.
void step_service::ServeRepeat(const step_ptr& step, const waiting_pull& pull) {
  const uint64_t cursor = pull.request.cursor;
  if (cursor == 0 || cursor < step->batches.size()) {
    AnswerPull(step, pull,
               FailureReply(410, "ran", "this batch was acknowledged",
                            milliseconds(0)));
    return;
  }
  const control::batch_record& batch = step->batches.back();
  if (step->last) bodies_.Apply(step->last->bodies);
  const std::optional<std::string> body = BatchBody(step, batch);
  if (body && HasStaleSample(step, batch, pull.request.trainer_version)) {
    AnswerPull(
        step, pull,
        FailureReply(409, "ran",
                     "the batch is stale for this trainer version by now",
                     milliseconds(0)));
    return;
  }
  AnswerBatch(step, pull, body);
}

void step_service::AnswerBatch(const step_ptr& step, const waiting_pull& pull,
                               const std::optional<std::string>& body) {
  AnswerPull(step, pull,
             body
                 ? step_reply{200, *body, milliseconds(0)}
                 : FailureReply(410, "ran", "both copies of the batch are lost",
                                milliseconds(0)));
}

// All bodies of the batch must be stored on this instance.
bool step_service::HasStaleSample(const step_ptr& step,
                                  const control::batch_record& batch,
                                  int64_t trainer_version) const {
  const auto view = context_.view_holder.Get();
  const settings::pool_config* pool = FindPool(*view, step->run.spec.pool);
  const int64_t bound = pool == nullptr ? 0 : pool->staleness_bound;
  const int64_t version = CurrentVersion(step->run.spec.pool, trainer_version);
  return std::any_of(batch.slots.begin(), batch.slots.end(), [&](int64_t slot) {
    const auto sample =
        core::Decode<rollout::sample>(*bodies_.FindSample(step->key, slot));
    const std::optional<int64_t> oldest =
        sample ? rollout::OldestVersion(sample->generated) : std::nullopt;
    return oldest && version - *oldest > bound;
  });
}

void step_service::CommitBatch(const step_ptr& step, const waiting_pull& pull,
                               const std::vector<int64_t>& slots) {
  const auto batch = std::make_shared<proposed_batch>();
  batch->record.cursor = pull.request.cursor;
  batch->record.trainer_version = step->trainer_version;
  batch->record.slots = slots;
  batch->bodies.step_key = step->key;
  for (const int64_t slot : slots) {
    const std::string* body = bodies_.FindSample(step->key, slot);
    batch->record.digests.push_back(body == nullptr ? ""
                                                    : core::DigestHex(*body));
    if (body != nullptr) batch->bodies.samples.push_back({slot, *body});
  }
  rollout::MarkDelivered(step->run, slots);
  step->is_committing = true;
  ProposeBatch(step, pull, batch);
}

void step_service::ProposeBatch(
    const step_ptr& step, const waiting_pull& pull,
    const std::shared_ptr<const proposed_batch>& batch) {
  control::command input;
  input.kind = control::command_kind::kCommitBatch;
  input.instance = context_.settings.id;
  input.boot = context_.boot;
  input.pool = step->run.spec.pool;
  input.step = step->run.spec.step;
  input.epoch = step->run.epoch;
  input.batch = batch->record;
  const bool is_queued = leader_.Propose(
      input, kCommitLimit,
      [this, step, pull, batch](const proposal_answer& answer) {
        context_.traffic.Post([this, step, pull, batch, answer] {
          HandleCommitAnswer(step, pull, batch, answer);
        });
      });
  if (!is_queued) {
    context_.traffic.After(kCommitRetryPause, [this, step, pull, batch] {
      ProposeBatch(step, pull, batch);
    });
  }
}

void step_service::HandleCommitAnswer(
    const step_ptr& step, const waiting_pull& pull,
    const std::shared_ptr<const proposed_batch>& batch,
    const proposal_answer& answer) {
  if (step->is_stopped) {
    pull.done(FailureReply(503, "unknown",
                           "the instance stops coordinating the step",
                           kPullRetryAfter));
    return;
  }
  if (answer.status != proposal_status::kDone) {
    // It is unknown whether the batch was committed. It is proposed again until
    // the outcome is known; the caller may repeat the pull with the same cursor
    // meanwhile.
    pull.done(FailureReply(503, "unknown", "the control group can't be reached",
                           kPullRetryAfter));
    waiting_pull detached_pull = pull;
    detached_pull.done = [](const step_reply& /*reply*/) {};
    ProposeBatch(step, detached_pull, batch);
    return;
  }
  step->is_committing = false;
  const command_outcome outcome = answer.result.outcome;
  if (outcome != command_outcome::kAccepted &&
      outcome != command_outcome::kExists) {
    pull.done(FailureReply(503, "not_run",
                           "another instance coordinates the step",
                           kPullRetryAfter));
    StopStep(step, answer.result.reason);
    return;
  }
  step->batches.push_back(answer.result.batch);
  RecordDelivery(step, answer.result.batch);
  step->last = batch;
  bodies_.Apply(batch->bodies);
  AnswerBatch(step, pull, BatchBody(step, answer.result.batch));
  ServePulls(step);
}

// The trainer has received the batch, so its bodies are no longer needed.
void step_service::Acknowledge(const step_ptr& step, uint64_t cursor) {
  if (cursor == 0 || cursor <= step->acknowledged) return;
  step->acknowledged = cursor;
  step->last.reset();
  held_bodies removal;
  removal.step_key = step->key;
  removal.dropped = step->batches[cursor - 1].slots;
  bodies_.Apply(removal);
  if (!step->backup.empty()) {
    bodies_.CopyTo(step->backup, removal, [](bool /*is_stored*/) {});
  }
}

std::optional<std::string> step_service::BatchBody(
    const step_ptr& step, const control::batch_record& batch) const {
  std::string samples;
  for (size_t i = 0; i < batch.slots.size(); ++i) {
    const std::string* body = bodies_.FindSample(step->key, batch.slots[i]);
    if (body == nullptr || core::DigestHex(*body) != batch.digests[i]) {
      return std::nullopt;
    }
    samples += (samples.empty() ? "" : ",") + *body;
  }
  return R"({"cursor":)" + std::to_string(batch.cursor) + R"(,"samples":[)" +
         samples + R"(],"done":false})";
}

void step_service::RecordDelivery(const step_ptr& step,
                                  const control::batch_record& batch) {
  const auto view = context_.view_holder.Get();
  const double fresh_versions =
      view->config ? view->config->objectives.staleness_versions : 0;
  const int64_t version =
      CurrentVersion(step->run.spec.pool, batch.trainer_version);
  for (const int64_t slot : batch.slots) {
    const rollout::sample& sample =
        step->run.slots[static_cast<size_t>(slot)].result;
    const int64_t age =
        version - rollout::OldestVersion(sample.generated).value_or(version);
    const bool is_fresh = static_cast<double>(age) <= fresh_versions;
    rollout::AddBurn(burn_, rollout::objective::kFreshSamples,
                     step->run.spec.pool, is_fresh ? 1 : 0, is_fresh ? 0 : 1,
                     "old_weights", context_.clock.WallNow());
  }
}

void step_service::AnswerPull(const step_ptr& step, const waiting_pull& pull,
                              const step_reply& reply) {
  const core::time_point now = context_.clock.Now();
  const auto waited =
      std::chrono::duration_cast<milliseconds>(now - pull.arrived_at);
  const auto busy = std::chrono::duration_cast<milliseconds>(
      pull.arrived_at - step->last_answer_at);
  const std::string cause =
      step->run.discarded > 0 ? "stale_samples" : "generation";
  rollout::AddBurn(burn_, rollout::objective::kTrainerIdle, step->run.spec.pool,
                   static_cast<double>(std::max<int64_t>(0, busy.count())),
                   static_cast<double>(waited.count()), cause,
                   context_.clock.WallNow());
  step->last_answer_at = now;
  pull.done(reply);
}

void step_service::Close(const step_ptr& step, int end_status) {
  const bool is_complete_end = end_status == kEndComplete;
  rollout::AddBurn(burn_, rollout::objective::kStepsOnTime, step->run.spec.pool,
                   is_complete_end ? 1 : 0, is_complete_end ? 0 : 1, "deadline",
                   context_.clock.WallNow());
  const double total =
      static_cast<double>(std::max<int64_t>(1, step->run.tokens_generated));
  LogEvent(
      event_id::kStepClosed,
      {{"step", step->key},
       {"tokens", std::to_string(step->run.tokens_generated)},
       {"hedge_share",
        std::to_string(static_cast<double>(step->run.hedge_tokens) / total)}});
  held_bodies removal;
  removal.step_key = step->key;
  removal.is_step_dropped = true;
  bodies_.Apply(removal);
  if (!step->backup.empty()) {
    bodies_.CopyTo(step->backup, removal, [](bool /*is_stored*/) {});
  }
  StopStep(step, "closed");
}

}  // namespace hickorywood::hickoryd
