// Opens steps, finds their coordinator, and takes them over when the
// coordinator is unreachable or has terminated.

#include <algorithm>
#include <utility>

#include "core/events.h"
#include "core/ids.h"
#include "hickoryd/api_reply.h"
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

constexpr char kPullPath[] = "/peer/v1/pull";
constexpr milliseconds kReadLimit{3000};
constexpr milliseconds kRetryPause{50};
// Forwarded pulls wait in short intervals, so that an unresponsive coordinator
// is detected.
constexpr int64_t kForwardWaitMs = 500;
constexpr milliseconds kForwardMargin{700};

}  // namespace

std::string EmptyBatch(uint64_t cursor, bool is_done, bool is_partial) {
  const nlohmann::json tree = {{"cursor", cursor},
                               {"samples", nlohmann::json::array()},
                               {"done", is_done},
                               {"partial", is_partial}};
  return tree.dump();
}

step_reply FailureReply(int status, const std::string& outcome,
                        const std::string& reason, milliseconds retry_after) {
  const nlohmann::json tree = {{"outcome", outcome},
                               {"reason", reason},
                               {"retry_after_ms", retry_after.count()}};
  return {status, tree.dump(), retry_after, outcome};
}

step_reply EndReply(uint64_t cursor, int end_status) {
  if (end_status == kEndDeadlineMissed) {
    return FailureReply(kEndDeadlineMissed, "ran", "the step's deadline passed",
                        milliseconds(0));
  }
  return {200, EmptyBatch(cursor, true, end_status == kEndPartial),
          milliseconds(0)};
}

void step_service::Open(const rollout::step_spec& spec,
                        const completion& done) {
  const core::boot_time_point now = context_.clock.BootNow();
  const auto view = context_.view_holder.Get();
  if (is_released_ || !MayServe(*view, now)) {
    done(FailureReply(503, "not_run", "this instance is not serving",
                      milliseconds(1000)));
    return;
  }
  if (FindPool(*view, spec.pool) == nullptr) {
    done(FailureReply(404, "not_run",
                      "no pool '" + spec.pool + "' at this site",
                      milliseconds(0)));
    return;
  }
  if (!rollout::CheckSpec(spec)) {
    done(
        FailureReply(400, "not_run", core::LastReason().text, milliseconds(0)));
    return;
  }
  const std::string key = control::StepKey(spec.pool, spec.step);
  held_bodies spec_copy;
  spec_copy.step_key = key;
  spec_copy.spec = core::Encode(spec);
  if (!bodies_.Apply(spec_copy)) {
    done(FailureReply(503, "not_run", "no room for another step",
                      milliseconds(1000)));
    return;
  }
  if (bodies_.IsAlone()) {
    ProposeOpen(key, spec, "", done);
    return;
  }
  const std::string backup = bodies_.ChooseBackup(key);
  if (backup.empty()) {
    done(FailureReply(503, "not_run",
                      "no other instance can store the second copy",
                      milliseconds(1000)));
    return;
  }
  bodies_.CopyTo(
      backup, spec_copy, [this, key, spec, backup, done](bool is_stored) {
        if (!is_stored) {
          done(FailureReply(503, "not_run", "the second copy could not be made",
                            milliseconds(500)));
          return;
        }
        ProposeOpen(key, spec, backup, done);
      });
}

void step_service::ProposeOpen(const std::string& key,
                               const rollout::step_spec& spec,
                               const std::string& backup,
                               const completion& done) {
  control::command input;
  input.kind = control::command_kind::kOpenStep;
  input.instance = context_.settings.id;
  input.boot = context_.boot;
  input.pool = spec.pool;
  input.step = spec.step;
  input.spec_digest = core::DigestHex(core::Encode(spec));
  input.holders = {context_.settings.id};
  if (!backup.empty()) input.holders.push_back(backup);
  const bool is_queued = leader_.Propose(
      input, kCommitLimit,
      [this, key, spec, backup, done](const proposal_answer& answer) {
        context_.traffic.Post([this, key, spec, backup, done, answer] {
          if (answer.status != proposal_status::kDone) {
            done(FailureReply(503, "unknown",
                              "the control group can't be reached; open again "
                              "with the same id",
                              milliseconds(500)));
            return;
          }
          const control::command_result& result = answer.result;
          if (result.outcome == command_outcome::kConflict) {
            done(FailureReply(409, "not_run",
                              "this step id was used for another step",
                              milliseconds(0)));
            return;
          }
          if (result.outcome == command_outcome::kFull) {
            done(FailureReply(503, "not_run", result.reason,
                              milliseconds(1000)));
            return;
          }
          const bool is_ours = result.coordinator == context_.settings.id &&
                               result.epoch == 1 && steps_.count(key) == 0;
          if (is_ours && !is_released_) {
            auto step = std::make_shared<coordinated_step>();
            step->key = key;
            step->run =
                rollout::StartStep(spec, result.epoch, context_.clock.Now());
            step->backup = backup;
            step->last_answer_at = context_.clock.Now();
            steps_[key] = step;
            LogEvent(event_id::kStepOpened,
                     {{"step", key},
                      {"samples", std::to_string(step->run.slots.size())}});
            LaunchSamples(step);
          }
          const nlohmann::json tree = {{"step", spec.step},
                                       {"coordinator", result.coordinator},
                                       {"epoch", result.epoch}};
          done({200, tree.dump(), milliseconds(0)});
        });
      });
  if (!is_queued) {
    done(FailureReply(503, "not_run", "the control queue is full",
                      milliseconds(500)));
  }
}

void step_service::RetryFindCoordinator(const pull_request& request,
                                        const completion& done,
                                        core::time_point retry_until) {
  if (context_.clock.Now() >= retry_until || is_released_) {
    done(FailureReply(503, "not_run", "the step's coordinator can't be reached",
                      milliseconds(500)));
    return;
  }
  context_.traffic.After(kRetryPause, [this, request, done, retry_until] {
    FindCoordinator(request, done, retry_until);
  });
}

void step_service::FindCoordinator(const pull_request& request,
                                   const completion& done,
                                   core::time_point retry_until) {
  const std::string key = control::StepKey(request.pool, request.step);
  if (steps_.count(key) != 0) {
    Pull(request, done);
    return;
  }
  const bool is_queued = leader_.ReadStep(
      request.pool, request.step, kReadLimit,
      [this, request, done,
       retry_until](const std::optional<step_answer>& answer) {
        context_.traffic.Post([this, request, done, retry_until, answer] {
          if (!answer) {
            done(FailureReply(503, "not_run",
                              "the control group can't be reached",
                              milliseconds(500)));
            return;
          }
          if (!answer->is_found) {
            done(FailureReply(404, "not_run", "no such step", milliseconds(0)));
            return;
          }
          if (answer->record.is_closed) {
            done(EndReply(request.cursor, answer->record.end_status));
            return;
          }
          ForwardOrTakeOver(request, done, answer->record, retry_until);
        });
      });
  if (!is_queued) {
    done(FailureReply(503, "not_run", "the control queue is full",
                      milliseconds(500)));
  }
}

// The epoch makes a take-over safe even if the old coordinator is still alive.
// This function only decides when to attempt it.
void step_service::ForwardOrTakeOver(const pull_request& request,
                                     const completion& done,
                                     const control::step_record& record,
                                     core::time_point retry_until) {
  const auto view = context_.view_holder.Get();
  const core::time_point now = context_.clock.Now();
  const auto found = view->instances.find(record.coordinator);
  const bool is_self = record.coordinator == context_.settings.id;
  const bool is_same_process =
      found != view->instances.end() && found->second.info.boot == record.boot;
  const bool is_coordinator_alive = !is_self && is_same_process &&
                                    IsAlive(found->second, now) &&
                                    !found->second.info.is_draining;
  if (is_coordinator_alive) {
    Forward(request, done, record.coordinator, record, retry_until);
    return;
  }
  if (is_released_) {
    RetryFindCoordinator(request, done, retry_until);
    return;
  }
  TakeOver(request, done, record, retry_until);
}

void step_service::Forward(const pull_request& request, const completion& done,
                           const std::string& coordinator,
                           const control::step_record& record,
                           core::time_point retry_until) {
  pull_request forwarded = request;
  forwarded.is_forwarded = true;
  forwarded.wait_ms = std::clamp<int64_t>(request.wait_ms, 0, kForwardWaitMs);
  const milliseconds timeout =
      milliseconds(forwarded.wait_ms) + kForwardMargin + kCommitLimit / 5;
  context_.links.Call(
      coordinator, kPullPath, core::Encode(forwarded), timeout,
      [this, request, done, record,
       retry_until](const transport::http_response& response) {
        context_.traffic.Post([this, request, done, record, retry_until,
                               response] {
          const bool is_answer = response.how == transport::delivery::kAnswered;
          if (is_answer && response.status != 404 && response.status != 503) {
            const std::string retry = response.Header("Retry-After");
            done({response.status, response.body,
                  milliseconds(retry.empty() ? 0 : 1000),
                  response.Header(kOutcomeHeader)});
            return;
          }
          const bool is_not_coordinating =
              response.how == transport::delivery::kNotSent ||
              (is_answer && response.status == 404);
          if (is_not_coordinating && !is_released_) {
            TakeOver(request, done, record, retry_until);
            return;
          }
          RetryFindCoordinator(request, done, retry_until);
        });
      });
}

void step_service::TakeOver(const pull_request& request, const completion& done,
                            const control::step_record& record,
                            core::time_point retry_until) {
  const std::string key = control::StepKey(request.pool, request.step);
  auto& waiting = taking_over_[key];
  waiting.emplace_back(request, done);
  if (waiting.size() > 1) return;  // already in progress
  auto work = std::make_shared<take_over>();
  work->key = key;
  work->request = request;
  work->record = record;
  work->retry_until = retry_until;
  work->found = bodies_.Get(key);
  CollectBodies(work);
}

void step_service::CollectBodies(const std::shared_ptr<take_over>& work) {
  std::vector<std::string> others;
  for (const std::string& holder : work->record.holders) {
    if (holder != context_.settings.id) others.push_back(holder);
  }
  // The coordinator may have chosen another second holder since the record was
  // written, so the bodies are requested from all live instances.
  const auto view = context_.view_holder.Get();
  for (const auto& [id, instance] : view->instances) {
    const bool is_listed =
        std::find(others.begin(), others.end(), id) != others.end();
    if (!is_listed && IsAlive(instance, context_.clock.Now())) {
      others.push_back(id);
    }
  }
  work->answers_missing = others.size();
  if (others.empty()) {
    ProposeTakeOver(work);
    return;
  }
  for (const std::string& other : others) {
    bodies_.Fetch(other, work->key,
                  [this, work](const std::optional<held_bodies>& held) {
                    if (held && !held->spec.empty()) {
                      work->found.step_key = work->key;
                      work->found.spec = held->spec;
                      for (const held_sample& sample : held->samples) {
                        work->found.samples.push_back(sample);
                      }
                    }
                    if (--work->answers_missing == 0) ProposeTakeOver(work);
                  });
  }
}

void step_service::ProposeTakeOver(const std::shared_ptr<take_over>& work) {
  const auto fail = [this, work](const step_reply& reply) {
    const auto waiting = std::move(taking_over_[work->key]);
    taking_over_.erase(work->key);
    for (const auto& [request, done] : waiting) done(reply);
  };
  const std::optional<rollout::step_spec> spec =
      core::Decode<rollout::step_spec>(work->found.spec);
  if (work->found.spec.empty() || !spec) {
    fail(FailureReply(
        410, "unknown",
        "both copies of the step's prompts are lost; open the step again",
        milliseconds(0)));
    return;
  }
  bodies_.Apply(work->found);
  work->backup = bodies_.ChooseBackup(work->key);
  control::command input;
  input.kind = control::command_kind::kTakeOverStep;
  input.instance = context_.settings.id;
  input.boot = context_.boot;
  input.pool = work->request.pool;
  input.step = work->request.step;
  input.epoch = work->record.epoch;
  input.holders = {context_.settings.id};
  if (!work->backup.empty()) input.holders.push_back(work->backup);
  const auto propose = [this, work, input, fail] {
    const bool is_queued = leader_.Propose(
        input, kCommitLimit, [this, work, fail](const proposal_answer& answer) {
          context_.traffic.Post([this, work, fail, answer] {
            const bool is_done = answer.status == proposal_status::kDone;
            const bool is_ours =
                is_done && answer.result.coordinator == context_.settings.id &&
                answer.result.epoch == work->record.epoch + 1;
            if (!is_ours) {
              fail(FailureReply(503, "not_run",
                                "another instance took the step over",
                                kPullRetryAfter));
              return;
            }
            ReadAfterTakeOver(work, answer.result.epoch);
          });
        });
    if (!is_queued) {
      fail(FailureReply(503, "not_run", "the control queue is full",
                        milliseconds(500)));
    }
  };
  if (work->backup.empty()) {
    propose();
    return;
  }
  bodies_.CopyTo(work->backup, work->found, [work, propose](bool is_stored) {
    if (!is_stored) work->backup.clear();
    propose();
  });
}

// The record is read again: the old coordinator may have committed a batch
// between the first read and the new epoch. It can't commit any more once the
// new epoch is in force.
void step_service::ReadAfterTakeOver(const std::shared_ptr<take_over>& work,
                                     uint64_t epoch) {
  const bool is_queued = leader_.ReadStep(
      work->request.pool, work->request.step, kReadLimit,
      [this, work, epoch](const std::optional<step_answer>& answer) {
        context_.traffic.Post([this, work, epoch, answer] {
          if (!answer || !answer->is_found || answer->record.epoch != epoch) {
            ReadAfterTakeOver(work, epoch);
            return;
          }
          Adopt(work, epoch, answer->record);
        });
      });
  if (!is_queued) {
    context_.traffic.After(
        kRetryPause, [this, work, epoch] { ReadAfterTakeOver(work, epoch); });
  }
}

// Holders may store different bodies for one slot, because a deposed
// coordinator that has not noticed it continues to generate for a while. Of the
// batch that the trainer may request again, only the committed bodies are
// valid.
void step_service::StoreLastBatch(const take_over& work,
                                  coordinated_step& step) {
  if (step.batches.empty()) return;
  const control::batch_record& last = step.batches.back();
  held_bodies committed;
  committed.step_key = work.key;
  for (size_t i = 0; i < last.slots.size(); ++i) {
    for (const held_sample& held : work.found.samples) {
      const bool is_committed = held.slot == last.slots[i] &&
                                core::DigestHex(held.body) == last.digests[i];
      if (!is_committed) continue;
      committed.samples.push_back(held);
      break;
    }
  }
  bodies_.Apply(committed);
  step.last = std::make_shared<proposed_batch>(proposed_batch{last, committed});
  if (!work.backup.empty()) {
    bodies_.CopyTo(work.backup, committed, [](bool /*is_stored*/) {});
  }
}

void step_service::Adopt(const std::shared_ptr<take_over>& work, uint64_t epoch,
                         const control::step_record& record) {
  const std::optional<rollout::step_spec> spec =
      core::Decode<rollout::step_spec>(work->found.spec);
  auto step = std::make_shared<coordinated_step>();
  step->key = work->key;
  step->run = rollout::StartStep(*spec, epoch, context_.clock.Now());
  step->backup = work->backup;
  step->batches = record.batches;
  step->acknowledged = step->batches.empty() ? 0 : step->batches.size() - 1;
  step->last_answer_at = context_.clock.Now();
  for (const control::batch_record& batch : step->batches) {
    step->trainer_version =
        std::max(step->trainer_version, batch.trainer_version);
    rollout::MarkDelivered(step->run, batch.slots);
  }
  StoreLastBatch(*work, *step);
  for (const held_sample& held : work->found.samples) {
    const std::optional<rollout::sample> sample =
        core::Decode<rollout::sample>(held.body);
    if (!sample || sample->slot != held.slot) continue;
    rollout::RestoreSample(step->run, *sample);
    const bool needs_second_copy =
        step->run.slots[static_cast<size_t>(held.slot)].state ==
        rollout::slot_state::kComplete;
    if (needs_second_copy && !work->backup.empty()) {
      rollout::RecordReplicated(step->run, held.slot);
    }
    if (needs_second_copy && work->backup.empty()) {
      step->to_replicate.push_back(held.slot);
    }
  }
  steps_[work->key] = step;
  LogEvent(event_id::kStepTakenOver,
           {{"step", work->key},
            {"epoch", std::to_string(epoch)},
            {"samples_kept", std::to_string(work->found.samples.size())}});
  const auto waiting = std::move(taking_over_[work->key]);
  taking_over_.erase(work->key);
  LaunchSamples(step);
  for (const auto& [request, done] : waiting) Pull(request, done);
}

}  // namespace hickorywood::hickoryd
