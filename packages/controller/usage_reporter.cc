#include "controller/usage_reporter.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "duties/fencing.h"
#include "duties/usage_counter.h"
#include "net/call.h"
#include "net/event.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;

constexpr milliseconds kPeriod{250};
// A slow provider may still accept a report after this time. The repetition is
// the same report, so it does no harm.
constexpr milliseconds kCallTimeout{2000};
constexpr milliseconds kRetryPause{500};
// Time after an election in which every entry in contact has sent its counts to
// the new leader: it finds the leader with one request and sends them with the
// next one.
constexpr milliseconds kResendTime{2500};
// Processes whose clocks are compared. One wrong clock among three is outvoted.
constexpr size_t kMinClocks = 3;
// A process that sends no request for this long may be gone.
constexpr milliseconds kClockLifetime{20000};

uint64_t TotalOf(const fleet::customer_counts& counts) {
  uint64_t total = 0;
  for (const auto& [customer, count] : counts) total += count;
  return total;
}

}  // namespace

usage_reporter::usage_reporter(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               group::group_host& group,
                               const control_state& state,
                               net::connection_pool& pool,
                               const fleet::protocol& wire,
                               usage_reporter_options options)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      pool_(pool),
      wire_(wire),
      options_(std::move(options)) {}

void usage_reporter::Start() {
  if (!options_.is_enabled) return;
  asio::co_spawn(loop_, RunLoop(), asio::detached);
}

void usage_reporter::BeginTerm() {
  clocks_ = {};
  ledger_ = {};
  calls_ = 0;
  first_window_ = 0;
}

void usage_reporter::Record(const fleet::view_request& input) {
  if (!options_.is_enabled) return;
  if (input.clock_ms > 0) {
    duties::RecordReading(clocks_, input.instance,
                          core::unix_time(milliseconds(input.clock_ms)),
                          clock_.BootNow());
  }
  duties::RecordUsage(ledger_, input.usage_source, input.usage);
}

std::string usage_reporter::Report() const {
  nlohmann::json windows = nlohmann::json::array();
  for (const auto& [number, totals] : ledger_.windows) {
    windows.push_back({{"window", number},
                       {"state", "open"},
                       {"counts", duties::SumOf(ledger_, number)}});
  }
  for (const auto& [number, counts] : state_.UnreportedUsage()) {
    windows.push_back(
        {{"window", number}, {"state", "closed"}, {"counts", counts}});
  }
  const nlohmann::json report = {{"is_enabled", options_.is_enabled},
                                 {"window_ms", options_.window.count()},
                                 {"latest_closed", state_.LatestClosedUsage()},
                                 {"windows", windows}};
  return report.dump();
}

std::optional<core::unix_time> usage_reporter::Now() const {
  return duties::MedianTime(clocks_, clock_.BootNow(), kMinClocks);
}

bool usage_reporter::MayAct() const {
  duties::holder_terms terms;
  terms.is_leader = group_.IsServing();
  // Entries send their counts again after each election, also of a leader that
  // has led before.
  terms.leads_since = group_.ElectedAt();
  terms.holder_lease = std::max(options_.holder_lease, kResendTime);
  terms.is_fenced = options_.is_fenced;
  return duties::MayAct(terms, clock_.BootNow());
}

awaitable<void> usage_reporter::RunLoop() {
  for (;;) {
    co_await net::Sleep(kPeriod);
    if (!group_.IsServing()) continue;
    duties::RemoveOldSamples(clocks_, kClockLifetime, clock_.BootNow());
    const auto now = Now();
    if (!now) continue;
    if (first_window_ == 0) {
      first_window_ = duties::WindowAt(*now, options_.window);
    }
    co_await CloseWindows();
    LogOverdue();
    co_await SendReports();
  }
}

// Makes the counts of ended windows final.
awaitable<void> usage_reporter::CloseWindows() {
  while (MayAct()) {
    const auto now = Now();
    if (!now) co_return;
    duties::closing_terms terms;
    terms.window = options_.window;
    // Half of the time is left for the report.
    terms.delay = options_.due / 2;
    terms.latest_closed = state_.LatestClosedUsage();
    // An earlier leader may have ended before it could close any window.
    terms.first = duties::FirstWindow(ledger_, first_window_);
    const auto number = duties::NextToClose(terms, *now);
    if (!number) co_return;
    fleet::usage_window closed;
    closed.number = *number;
    closed.counts = duties::SumOf(ledger_, *number);
    const auto result =
        co_await group_.Commit(kCloseUsageCommand, core::EncodeBinary(closed));
    if (!result.is_committed) co_return;
    duties::RemoveUsage(ledger_, *number);
    LogEvent(event_id::kUsageClosed,
             {{"window", std::to_string(closed.number)},
              {"customers", std::to_string(closed.counts.size())},
              {"requests", std::to_string(TotalOf(closed.counts))}});
  }
}

awaitable<void> usage_reporter::SendReports() {
  while (MayAct() && !state_.UnreportedUsage().empty()) {
    const auto& [number, counts] = *state_.UnreportedUsage().begin();
    fleet::usage_window usage;
    usage.number = number;
    usage.counts = counts;
    const bool is_accepted = co_await Send(usage);
    if (!is_accepted) {
      co_await net::Sleep(kRetryPause);
      co_return;
    }
    const usage_reported_command command{usage.number};
    const auto result = co_await group_.Commit(kUsageReportedCommand,
                                               core::EncodeBinary(command));
    if (!result.is_committed) co_return;
  }
}

// Returns whether the provider acknowledged the report.
awaitable<bool> usage_reporter::Send(const fleet::usage_window& usage) {
  fleet::usage_report report;
  report.usage = usage;
  report.holder = options_.holder;
  report.fencing_token = duties::FencingToken(group_.Term(), ++calls_);
  net::call_options options;
  options.connect_deadline = clock_.Now() + kCallTimeout;
  options.deadline = options.connect_deadline;
  const net::request input = wire_.EncodeUsageReport(report);
  const net::call_result result =
      co_await net::Call(pool_, options_.address, input, options);
  const bool is_answered = result.how == net::progress::kAnswered;
  const bool is_accepted =
      is_answered && wire_.DecodeUsageAnswer(result.answer.status) ==
                         fleet::report_outcome::kAccepted;
  const auto now = Now();
  const core::unix_time end((usage.number + 1) * options_.window);
  LogEvent(
      is_accepted ? event_id::kUsageReported : event_id::kUsageReportFailed,
      {{"window", std::to_string(usage.number)},
       {"token", std::to_string(report.fencing_token)},
       {"status", is_answered ? std::to_string(result.answer.status)
                              : "none: " + result.error},
       {"ms", std::to_string(now ? (*now - end).count() : 0)}});
  co_return is_accepted;
}

void usage_reporter::LogOverdue() {
  const auto now = Now();
  if (!now) return;
  for (const auto& [number, counts] : state_.UnreportedUsage()) {
    const core::unix_time end((number + 1) * options_.window);
    const bool is_overdue = *now - end > options_.due;
    if (!is_overdue || number <= latest_overdue_) continue;
    latest_overdue_ = number;
    LogEvent(event_id::kUsageOverdue,
             {{"window", std::to_string(number)},
              {"requests", std::to_string(TotalOf(counts))}});
  }
}

}  // namespace hickorywood::controller
