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
constexpr milliseconds kPauseWithoutLeader{100};
// Maximum number of attempts to send a set of reports. After that the leader
// has been unreachable for longer than kLeaderContactTimeout, and the runs are
// cancelled.
constexpr int kMostTries = 3;

std::string NewSession() {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random());
}

}  // namespace

remote_runner::remote_runner(asio::io_context& loop,
                             const core::runtime_clock& clock,
                             net::connection_pool& pool,
                             const fleet::protocol& wire,
                             peering::leader_caller& leader,
                             remote_runner_options options,
                             std::function<bool()> is_leader)
    : loop_(loop),
      clock_(clock),
      leader_(leader),
      options_(std::move(options)),
      is_leader_(std::move(is_leader)),
      runs_(loop, clock, pool, wire),
      session_(NewSession()) {
  runs_.on_report = [this](run_report report) {
    TakeReport(std::move(report));
  };
}

void remote_runner::Start() {
  asio::co_spawn(loop_, KeepAsking(), asio::detached);
  asio::co_spawn(loop_, KeepReporting(), asio::detached);
  asio::co_spawn(loop_, KeepWatching(), asio::detached);
}

void remote_runner::Stop() {
  is_stopped_ = true;
  StartAnew();
}

void remote_runner::StartAnew() {
  runs_.CancelAll();
  waiting_.clear();
  news_.clear();
  has_ends_ = false;
  session_ = NewSession();
  received_ = 0;
  reported_ = 0;
}

awaitable<void> remote_runner::KeepAsking() {
  while (!is_stopped_) {
    if (is_leader_()) {
      co_await net::Sleep(kIdlePollWait);
      continue;
    }
    const milliseconds wait = HasRuns() ? kBusyPollWait : kIdlePollWait;
    const milliseconds patience = wait + kPollTimeoutSlack;
    orders_request input;
    input.runner = options_.address;
    input.zone = options_.zone;
    input.session = session_;
    input.received = received_;
    input.wait_ms = wait.count();
    const envelope told = co_await leader_.Ask(
        peering::kTakeOrdersMethod, core::EncodeBinary(input),
        clock_.Now() + patience, patience);
    auto answer = told.outcome == call_outcome::kDone
                      ? core::DecodeBinary<orders_answer>(told.payload)
                      : std::optional<orders_answer>();
    const bool is_of_session = answer && input.session == session_;
    if (is_of_session && !is_stopped_) {
      TakeAnswer(std::move(*answer));
    } else {
      co_await net::Sleep(kPauseWithoutLeader);
    }
  }
}

void remote_runner::TakeAnswer(orders_answer answer) {
  heard_at_ = clock_.Now();
  if (answer.term != term_) {
    // The current runs were ordered by an earlier leader.
    runs_.CancelAll();
    waiting_.clear();
    news_.clear();
    has_ends_ = false;
    reported_ = 0;
    term_ = answer.term;
  }
  received_ = answer.number;
  for (const uint64_t run : answer.cancelled) {
    runs_.Cancel(run);
    news_.erase(run);
    std::erase_if(waiting_,
                  [run](const run_order& order) { return order.run == run; });
  }
  for (run_order& order : answer.orders) waiting_.push_back(std::move(order));
  StartWaiting();
}

void remote_runner::StartWaiting() {
  // The tasks of waiting runs may have been given to other runners while this
  // process was suspended.
  if (clock_.Now() - heard_at_ > kLeaderContactTimeout) return;
  while (!waiting_.empty() && runs_.Starting() < kMaxStartingRuns) {
    run_order next = std::move(waiting_.front());
    waiting_.pop_front();
    runs_.Start(std::move(next));
  }
}

void remote_runner::TakeReport(run_report report) {
  const bool is_wanted_soon = report.is_over;
  const bool has_started = report.is_over || report.has_head;
  const auto found = news_.find(report.run);
  if (found == news_.end()) {
    const uint64_t run = report.run;
    news_[run] = std::move(report);
  } else {
    Merge(found->second, std::move(report));
  }
  if (has_started) StartWaiting();
  if (is_wanted_soon && !has_ends_) {
    has_ends_ = true;
    has_news_.Notify();
  }
}

awaitable<void> remote_runner::KeepReporting() {
  while (!is_stopped_) {
    // Without runs there is nothing to report, and the next outcome ends the
    // wait.
    const bool is_idle = !HasRuns() && news_.empty();
    if (!has_ends_) {
      co_await has_news_.WaitUntil(
          is_idle ? time_point::max() : clock_.Now() + kProgressReportPeriod);
    }
    if (has_ends_) {
      co_await net::Sleep(kOutcomeBatchDelay);
    }
    std::vector<run_report> news = TakeNews();
    if (news.empty()) continue;
    reports_request input;
    input.runner = options_.address;
    input.session = session_;
    input.term = term_;
    input.number = ++reported_;
    input.reports = std::move(news);
    const std::string payload = core::EncodeBinary(input);
    for (int i = 0; i < kMostTries && input.session == session_; ++i) {
      const envelope told = co_await leader_.Ask(
          peering::kReportRunsMethod, payload, clock_.Now() + kPollTimeoutSlack,
          kPollTimeoutSlack);
      if (told.outcome == call_outcome::kDone) break;
      // The leader has removed this session and given its tasks to others, or
      // it is assumed to have done so.
      const bool is_over =
          told.outcome == call_outcome::kNotFound || i + 1 == kMostTries;
      if (is_over && input.session == session_) StartAnew();
    }
  }
}

// Returns the reports with outcomes at once, and those of unfinished runs once
// per period. If each outcome also sent the reports of unfinished runs, their
// text would be sent in pieces of single events.
std::vector<run_report> remote_runner::TakeNews() {
  const bool is_all_due = clock_.Now() >= news_due_;
  if (is_all_due) news_due_ = clock_.Now() + kProgressReportPeriod;
  std::vector<run_report> taken;
  std::erase_if(news_, [&taken, is_all_due](auto& item) {
    const bool is_due = is_all_due || item.second.is_over;
    if (is_due) taken.push_back(std::move(item.second));
    return is_due;
  });
  has_ends_ = false;
  return taken;
}

// Cancels all runs when the leader is unreachable, because it may have given
// their tasks to other runners.
awaitable<void> remote_runner::KeepWatching() {
  while (!is_stopped_) {
    co_await net::Sleep(kTaskCheckPeriod);
    if (!HasRuns()) continue;
    runs_.EndStalled();
    const auto silence = clock_.Now() - heard_at_;
    if (silence <= kLeaderContactTimeout) continue;
    core::LogEvent(
        core::event_id::kRunsWithoutLeader,
        {{"runs", std::to_string(runs_.Running() + waiting_.size())},
         {"silence_ms",
          std::to_string(
              std::chrono::duration_cast<milliseconds>(silence).count())}});
    StartAnew();
  }
}

}  // namespace hickorywood::store
