#include "store/task_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/events.h"
#include "net/call.h"
#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

using boost::asio::awaitable;
using core::time_point;

net::request RequestOf(run_order& order) {
  net::request input;
  input.target = std::move(order.target);
  input.headers = std::move(order.headers);
  input.body = std::move(order.body);
  return input;
}

}  // namespace

task_runner::task_runner(boost::asio::io_context& loop,
                         const core::runtime_clock& clock,
                         net::connection_pool& pool,
                         const fleet::protocol& wire)
    : loop_(loop), clock_(clock), pool_(pool), wire_(wire) {}

void task_runner::Start(run_order order) {
  auto self = std::make_shared<active_run>();
  self->rules.minimum_version = order.minimum_version;
  self->rules.is_single_version = order.is_single_version;
  self->text.events = order.events;
  self->text.versions = order.versions;
  self->last_event_at = clock_.Now();
  self->event_timeout = kFirstEventTimeout;
  self->order = std::move(order);
  runs_[self->order.run] = self;
  net::SpawnCancellable(
      loop_, Run(self), self->cancel,
      [this, self](const std::exception_ptr& failure, run_outcome how) {
        EndRun(self, failure ? run_outcome::kMoved : how);
      });
}

bool task_runner::IsCurrent(const std::shared_ptr<active_run>& active) const {
  const auto found = runs_.find(active->order.run);
  return found != runs_.end() && found->second == active;
}

awaitable<run_outcome> task_runner::Run(std::shared_ptr<active_run> self) {
  const net::request input = RequestOf(self->order);
  net::acquire_terms terms;
  terms.request_id = wire_.RequestId(input);
  std::unique_ptr<net::connection> open = co_await pool_.Acquire(
      self->order.address, clock_.Now() + kConnectTimeout, std::move(terms));
  if (!open) co_return run_outcome::kNotRun;
  const time_point deadline = clock_.Now() + kFirstEventTimeout;
  const bool is_written = co_await open->Write(input, deadline);
  if (!is_written) co_return run_outcome::kBroken;
  net::response head;
  const net::header id = wire_.RequestIdHeader(wire_.RequestId(input));
  const bool has_head = co_await net::ReadOwnHead(*open, id, deadline, head);
  if (!has_head) {
    RecordIfInvalid(*self, id.value, *open);
    co_return run_outcome::kBroken;
  }
  const fleet::answer_marks marks = wire_.DecodeMarks(head);
  if (marks.is_not_run) co_return run_outcome::kNotRun;
  if (head.status == 422) co_return run_outcome::kImpossible;
  if (head.status == 500) co_return run_outcome::kFailed;
  const bool is_text = head.status == 200 && marks.IsSigned();
  if (!is_text) co_return run_outcome::kUnexpected;
  self->has_head = true;
  run_report head_report;
  head_report.run = self->order.run;
  head_report.has_head = true;
  head_report.weights_version = marks.weights_version.value_or(0);
  head_report.pace = marks.load ? marks.load->pace : 0;
  if (IsCurrent(self)) on_report(std::move(head_report));
  const bool may_continue =
      steps::MayContinue(self->text, self->rules, marks.weights_version);
  if (!may_continue) co_return run_outcome::kUnusable;
  const run_outcome how = co_await ReadText(self, *open, marks.weights_version);
  RecordIfInvalid(*self, id.value, *open);
  if (how == run_outcome::kComplete) pool_.Release(std::move(open));
  co_return how;
}

void task_runner::RecordIfInvalid(active_run& self, const std::string& request,
                                  const net::connection& from) {
  if (!from.HasInvalidResponse()) return;
  self.has_invalid_response = true;
  core::LogEvent(core::event_id::kAttemptFailed,
                 {{"request", request},
                  {"endpoint", self.order.incarnation},
                  {"may_have_run", "true"},
                  {"reason", from.Error()}});
}

awaitable<run_outcome> task_runner::ReadText(std::shared_ptr<active_run> self,
                                             net::connection& from,
                                             std::optional<uint64_t> version) {
  std::string buffer;
  size_t unread = 0;    // bytes of an incomplete event in the buffer
  size_t received = 0;  // bytes of this run
  for (;;) {
    const net::body_state state =
        co_await from.ReadSome(buffer, time_point::max());
    if (state == net::body_state::kBroken) co_return run_outcome::kBroken;
    if (!IsCurrent(self)) co_return run_outcome::kMoved;
    received += buffer.size() - unread;
    const auto event_failure = ConsumeEvents(*self, buffer, version);
    if (event_failure) co_return *event_failure;
    unread = buffer.size();
    const bool is_endless =
        unread > steps::kMaxEventBytes || received > kMaxRunBytes;
    if (is_endless) co_return run_outcome::kBroken;
    if (state != net::body_state::kEnd) continue;
    co_return buffer.empty() ? run_outcome::kComplete : run_outcome::kBroken;
  }
}

std::optional<run_outcome> task_runner::ConsumeEvents(
    active_run& self, std::string& buffer, std::optional<uint64_t>& version) {
  const steps::version_reader read = [this](const std::string& field,
                                            const std::string& value) {
    return wire_.EventVersion(field, value);
  };
  run_report report;
  report.run = self.order.run;
  const uint64_t events_before = self.text.events;
  std::optional<run_outcome> event_failure;
  while (const auto fields = steps::ExtractEvent(buffer)) {
    const steps::event_check check =
        steps::AddEvent(self.text, *fields, self.rules, read, version);
    if (check == steps::event_check::kMalformed) {
      event_failure = run_outcome::kBroken;
      break;
    }
    if (check != steps::event_check::kAccepted) {
      event_failure = run_outcome::kUnusable;
      break;
    }
  }
  if (self.text.data.empty()) return event_failure;
  const time_point now = clock_.Now();
  // The time before the first event is excluded, because it includes the
  // processing of the prompt.
  if (events_before > self.order.events) {
    const auto span =
        std::chrono::duration_cast<milliseconds>(now - self.last_event_at);
    report.span_ms = span.count();
    report.spanned = self.text.events - events_before;
  }
  self.last_event_at = now;
  self.event_timeout = kEventTimeout;
  report.data = std::move(self.text.data);
  self.text.data.clear();
  report.versions = self.text.versions;
  on_report(std::move(report));
  return event_failure;
}

void task_runner::EndRun(const std::shared_ptr<active_run>& ended,
                         run_outcome how) {
  if (!IsCurrent(ended)) return;
  runs_.erase(ended->order.run);
  run_report report;
  report.run = ended->order.run;
  report.is_over = true;
  const bool is_timeout = ended->is_stalled && how == run_outcome::kMoved;
  report.how = is_timeout ? run_outcome::kBroken : how;
  report.has_invalid_response = ended->has_invalid_response;
  on_report(std::move(report));
}

void task_runner::Cancel(uint64_t run) {
  const auto found = runs_.find(run);
  if (found == runs_.end()) return;
  const std::shared_ptr<active_run> ending = found->second;
  runs_.erase(found);
  net::Cancel(ending->cancel);
}

void task_runner::CancelAll() {
  const std::map<uint64_t, std::shared_ptr<active_run>> ending =
      std::move(runs_);
  runs_.clear();
  for (const auto& item : ending) net::Cancel(item.second->cancel);
}

size_t task_runner::CountStarting() const {
  return static_cast<size_t>(
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& item) { return !item.second->has_head; }));
}

void task_runner::EndStalled() {
  const time_point now = clock_.Now();
  std::vector<std::shared_ptr<active_run>> ending;
  for (const auto& item : runs_) {
    const active_run& active = *item.second;
    const bool is_timed_out = now - active.last_event_at > active.event_timeout;
    if (is_timed_out && !active.is_stalled) ending.push_back(item.second);
  }
  for (const auto& active : ending) {
    active->is_stalled = true;
    net::Cancel(active->cancel);
  }
}

}  // namespace hickorywood::store
