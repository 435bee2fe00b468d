// One run of a task at an engine, from its request to its end.

#include <algorithm>
#include <utility>

#include "core/events.h"
#include "net/spawn.h"
#include "store/dispatch_limits.h"
#include "store/dispatcher.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::time_point;

std::string Text(uint64_t number) { return std::to_string(number); }

}  // namespace

awaitable<dispatcher::run_end> dispatcher::Run(std::shared_ptr<run> self,
                                               net::request input,
                                               steps::text_rules rules) {
  std::unique_ptr<net::connection> open = co_await pool_.Acquire(
      self->engine.address, clock_.Now() + kConnectTimeout);
  if (!open) co_return run_end::kNotRun;
  const time_point deadline = clock_.Now() + kFirstEventTimeout;
  const bool is_written = co_await open->Write(input, deadline);
  if (!is_written) co_return run_end::kBroken;
  net::response head;
  const bool has_head = co_await open->ReadHead(head, deadline);
  if (!has_head) co_return run_end::kBroken;
  self->has_head = true;
  SchedulePump();
  const fleet::answer_marks marks = wire_.DecodeMarks(head);
  if (marks.is_not_run) co_return run_end::kNotRun;
  if (head.status == 422) co_return run_end::kImpossible;
  if (head.status != 200 || !marks.IsSigned()) co_return run_end::kFailed;
  if (marks.weights_version) {
    // Newer than what the view says, where the leader has not heard yet.
    engine_record& record = engines_[self->engine.incarnation];
    uint64_t& known = record.weights[self->model].version;
    if (*marks.weights_version > known) ForgetPrompts(record, self->model);
    known = std::max(known, *marks.weights_version);
  }
  const task_run* task = FindTask(self->key);
  if (task == nullptr) co_return run_end::kMoved;
  if (!steps::MayContinue(task->text, rules, marks.weights_version)) {
    co_return run_end::kUnusable;
  }
  const run_end how =
      co_await ReadText(self, *open, rules, marks.weights_version);
  if (how == run_end::kComplete) pool_.Release(std::move(open));
  co_return how;
}

awaitable<dispatcher::run_end> dispatcher::ReadText(
    std::shared_ptr<run> self, net::connection& from,
    const steps::text_rules& rules, std::optional<uint64_t> version) {
  const steps::version_reader read = [this](const std::string& field,
                                            const std::string& value) {
    return wire_.EventVersion(field, value);
  };
  std::string buffer;
  for (;;) {
    const net::body_state state =
        co_await from.ReadSome(buffer, time_point::max());
    if (state == net::body_state::kBroken) co_return run_end::kBroken;
    task_run* const task = FindTask(self->key);
    if (task == nullptr) co_return run_end::kMoved;
    while (const auto fields = steps::TakeEvent(buffer)) {
      const steps::event_verdict verdict =
          steps::AddEvent(task->text, *fields, rules, read, version);
      if (verdict == steps::event_verdict::kSpoiled) co_return run_end::kBroken;
      if (verdict != steps::event_verdict::kTaken) {
        co_return run_end::kUnusable;
      }
      const time_point now = clock_.Now();
      const bool is_first = task->text.events == self->events_at_start + 1;
      if (!is_first) {
        NoteGap(self->engine.incarnation,
                std::chrono::duration_cast<milliseconds>(now - self->heard_at));
      }
      self->heard_at = now;
      self->patience = kEventTimeout;
    }
    if (state != net::body_state::kEnd) continue;
    co_return buffer.empty() ? run_end::kComplete : run_end::kBroken;
  }
}

void dispatcher::EndRun(const std::shared_ptr<run>& ended, run_end how) {
  static constexpr const char* kWords[] = {"complete", "failed", "impossible",
                                           "not_run",  "broken", "unusable",
                                           "moved"};
  engine_record& engine = engines_[ended->engine.incarnation];
  --engine.running;
  const auto found = runs_.find(ended->key);
  const bool is_current = found != runs_.end() && found->second == ended;
  if (!is_current) return;
  runs_.erase(found);
  // A run that was taken off its engine ends as if the engine had cut it, and
  // one whose engine is silent as if it had been taken off.
  if (ended->is_moving && how == run_end::kBroken) how = run_end::kMoved;
  if (ended->is_stalled && how == run_end::kMoved) how = run_end::kBroken;
  NoteEngine(ended->engine.incarnation, how);
  task_run* const task = FindTask(ended->key);
  if (task == nullptr) return;
  task->stage = task_stage::kWaiting;
  const auto took = std::chrono::duration_cast<milliseconds>(clock_.Now() -
                                                             ended->started_at);
  LogEvent(event_id::kTaskRunEnded, {{"step", ended->key.step},
                                     {"task", Text(ended->key.task)},
                                     {"endpoint", ended->engine.incarnation},
                                     {"how", kWords[static_cast<size_t>(how)]},
                                     {"events", Text(task->text.events)},
                                     {"ms", std::to_string(took.count())}});
  switch (how) {
    case run_end::kComplete:
      if (ended->events_at_start == 0) {
        steps::NoteRun(paces_[ended->model], took,
                       steps_.at(ended->key.step).expected[ended->key.task]);
      }
      TakeWholeText(ended->key);
      break;
    case run_end::kImpossible:
      Finish(ended->key, false);
      break;
    case run_end::kFailed: {
      ++task->failures;
      const fleet::route* terms = RouteOf(ended->key);
      const int64_t most = terms == nullptr ? 1 : terms->max_attempts;
      if (task->failures >= most) Finish(ended->key, false);
      break;
    }
    case run_end::kNotRun:
      task->not_before = clock_.Now() + kRetryPause;
      break;
    case run_end::kUnusable:
      // Text of weights that the step does not allow can't be gone on with.
      task->text = steps::generated_text{};
      task->committed_events = 0;
      task->not_before = clock_.Now() + kRetryPause;
      break;
    case run_end::kBroken:
    case run_end::kMoved:
      break;
  }
  SchedulePump();
}

void dispatcher::NoteEngine(const std::string& incarnation, run_end how) {
  engine_record& engine = engines_[incarnation];
  const bool is_fault = how == run_end::kBroken || how == run_end::kNotRun;
  if (!is_fault) {
    if (how == run_end::kComplete) engine.failures = 0;
    return;
  }
  const int doublings = std::min(engine.failures, kMostDoublings);
  ++engine.failures;
  engine.avoid_until = clock_.Now() + kAvoidAfterFailure * (1 << doublings);
}

void dispatcher::NoteGap(const std::string& incarnation, milliseconds gap) {
  engine_record& engine = engines_[incarnation];
  const auto sample = static_cast<double>(gap.count());
  const bool is_fresh = clock_.Now() - engine.gap_at < kGapLifetime;
  engine.gap_ms = is_fresh && engine.gap_ms > 0
                      ? engine.gap_ms + kGapWeight * (sample - engine.gap_ms)
                      : sample;
  engine.gap_at = clock_.Now();
}

}  // namespace hickorywood::store
