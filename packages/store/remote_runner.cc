#include "store/remote_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::time_point;
using peering::call_outcome;
using peering::envelope;

// Pause after a poll without a valid answer.
constexpr milliseconds kPollRetryPause{100};
// Maximum number of attempts to send a set of reports. After that the leader
// has been unreachable for longer than kLeaderContactTimeout, and the runs are
// cancelled.
constexpr int kMaxReportAttempts = 3;

std::string NewSession() {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random());
}

}  // namespace

remote_runner::remote_runner(
    asio::io_context& loop, const core::runtime_clock& clock,
    net::connection_pool& pool, const fleet::protocol& wire,
    peering::leader_caller& leader, remote_runner_options options,
    std::function<bool()> is_leader, const fleet::view& view)
    : loop_(loop),
      clock_(clock),
      leader_(leader),
      options_(std::move(options)),
      is_leader_(std::move(is_leader)),
      view_(view),
      runs_(loop, clock, pool, wire),
      session_(NewSession()) {
  runs_.on_report = [this](run_report report) {
    QueueReport(std::move(report));
  };
}

void remote_runner::Start() {
  asio::co_spawn(loop_, RunPollLoop(), asio::detached);
  asio::co_spawn(loop_, RunReportLoop(), asio::detached);
  asio::co_spawn(loop_, RunCheckLoop(), asio::detached);
}

void remote_runner::Stop() {
  is_stopped_ = true;
  StartNewSession();
}

void remote_runner::StartNewSession() {
  runs_.CancelAll();
  waiting_.clear();
  reports_.clear();
  has_outcomes_ = false;
  session_ = NewSession();
  last_answer_number_ = 0;
  last_report_number_ = 0;
}

awaitable<void> remote_runner::RunPollLoop() {
  while (!is_stopped_) {
    if (is_leader_()) {
      co_await net::Sleep(kIdlePollWait);
      continue;
    }
    const milliseconds wait = HasRuns() ? kBusyPollWait : kIdlePollWait;
    const milliseconds attempt_timeout = wait + kReplyTimeout;
    orders_request input;
    input.runner = options_.address;
    input.zone = options_.zone;
    input.session = session_;
    input.received = last_answer_number_;
    input.wait_ms = wait.count();
    const envelope reply = co_await leader_.Call(
        peering::kPollOrdersMethod, core::EncodeBinary(input),
        clock_.Now() + attempt_timeout, attempt_timeout);
    auto answer = reply.outcome == call_outcome::kDone
                      ? core::DecodeBinary<orders_answer>(reply.payload)
                      : std::optional<orders_answer>();
    const bool is_of_current_session = input.session == session_;
    const bool is_session_removed =
        reply.outcome == call_outcome::kNotFound && is_of_current_session;
    if (answer && is_of_current_session && !is_stopped_) {
      HandleAnswer(std::move(*answer));
    } else if (is_session_removed) {
      StartNewSession();
    } else {
      co_await net::Sleep(kPollRetryPause);
    }
  }
}

void remote_runner::HandleAnswer(orders_answer answer) {
  last_answer_at_ = clock_.Now();
  if (answer.term != term_) {
    // The current runs were ordered by an earlier leader.
    runs_.CancelAll();
    waiting_.clear();
    reports_.clear();
    has_outcomes_ = false;
    last_report_number_ = 0;
    term_ = answer.term;
  }
  last_answer_number_ = answer.number;
  for (const uint64_t run : answer.cancelled) {
    runs_.Cancel(run);
    reports_.erase(run);
    std::erase_if(waiting_,
                  [run](const run_order& order) { return order.run == run; });
  }
  for (run_order& order : answer.orders) waiting_.push_back(std::move(order));
  StartWaitingRuns();
}

void remote_runner::StartWaitingRuns() {
  // The tasks of waiting runs may have been given to other runners while this
  // process was suspended.
  if (clock_.Now() - last_answer_at_ > kLeaderContactTimeout) return;
  if (!may_use_view()) return;
  while (!waiting_.empty() && runs_.CountStarting() < kMaxStartingRuns) {
    run_order next = std::move(waiting_.front());
    waiting_.pop_front();
    if (IsOutdated(next, view_)) {
      ReturnOrder(next);
    } else {
      runs_.Start(std::move(next));
    }
  }
}

void remote_runner::ReturnOrder(const run_order& order) {
  run_report report;
  report.run = order.run;
  report.is_over = true;
  report.how = run_outcome::kMoved;
  report.newer_config = view_.config.version;
  report.newer_lists = view_.version;
  reports_[order.run] = std::move(report);
  if (std::exchange(has_outcomes_, true)) return;
  outcome_queued_.Notify();
}

void remote_runner::QueueReport(run_report report) {
  const bool is_outcome = report.is_over;
  const bool has_started = report.is_over || report.has_head;
  const auto found = reports_.find(report.run);
  if (found == reports_.end()) {
    const uint64_t run = report.run;
    reports_[run] = std::move(report);
  } else {
    Merge(found->second, std::move(report));
  }
  if (has_started) StartWaitingRuns();
  if (is_outcome && !has_outcomes_) {
    has_outcomes_ = true;
    outcome_queued_.Notify();
  }
}

awaitable<void> remote_runner::RunReportLoop() {
  while (!is_stopped_) {
    // Without runs there is nothing to report, and the next outcome ends the
    // wait.
    const bool is_idle = !HasRuns() && reports_.empty();
    if (!has_outcomes_) {
      co_await outcome_queued_.WaitUntil(
          is_idle ? time_point::max() : clock_.Now() + kProgressReportPeriod);
    }
    if (has_outcomes_) {
      co_await net::Sleep(kOutcomeBatchDelay);
    }
    std::vector<run_report> due_reports = ExtractDueReports();
    if (due_reports.empty()) continue;
    reports_request input;
    input.runner = options_.address;
    input.session = session_;
    input.term = term_;
    input.number = ++last_report_number_;
    input.reports = std::move(due_reports);
    const std::string payload = core::EncodeBinary(input);
    for (int i = 0; i < kMaxReportAttempts && input.session == session_; ++i) {
      const envelope reply =
          co_await leader_.Call(peering::kReportRunsMethod, payload,
                                clock_.Now() + kReplyTimeout, kReplyTimeout);
      if (reply.outcome == call_outcome::kDone) break;
      // The leader has removed this session and given its tasks to others, or
      // it is assumed to have done so.
      const bool is_session_ended = reply.outcome == call_outcome::kNotFound ||
                                    i + 1 == kMaxReportAttempts;
      if (is_session_ended && input.session == session_) StartNewSession();
    }
  }
}

// Returns the reports with outcomes at once, and those of unfinished runs once
// per period. If each outcome also sent the reports of unfinished runs, their
// text would be sent in pieces of single events.
std::vector<run_report> remote_runner::ExtractDueReports() {
  const bool is_all_due = clock_.Now() >= progress_due_at_;
  if (is_all_due) progress_due_at_ = clock_.Now() + kProgressReportPeriod;
  std::vector<run_report> due;
  std::erase_if(reports_, [&due, is_all_due](auto& item) {
    const bool is_due = is_all_due || item.second.is_over;
    if (is_due) due.push_back(std::move(item.second));
    return is_due;
  });
  has_outcomes_ = false;
  return due;
}

// Cancels all runs when the leader is unreachable, because it may have given
// their tasks to other runners.
awaitable<void> remote_runner::RunCheckLoop() {
  while (!is_stopped_) {
    co_await net::Sleep(kTaskCheckPeriod);
    if (!HasRuns()) continue;
    runs_.EndStalled();
    StartWaitingRuns();
    const auto since_answer = clock_.Now() - last_answer_at_;
    if (since_answer <= kLeaderContactTimeout) continue;
    core::LogEvent(
        core::event_id::kRunsCancelledWithoutLeader,
        {{"runs", std::to_string(runs_.CountRunning() + waiting_.size())},
         {"silence_ms",
          std::to_string(std::chrono::duration_cast<milliseconds>(since_answer)
                             .count())}});
    StartNewSession();
  }
}

}  // namespace hickorywood::store
