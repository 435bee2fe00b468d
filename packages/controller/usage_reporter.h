#ifndef HICKORYWOOD_CONTROLLER_USAGE_REPORTER_H_
#define HICKORYWOOD_CONTROLLER_USAGE_REPORTER_H_

// Reports to the provider how many requests of each customer began to run, for
// windows of the time of day, while this instance leads. The counts of a window
// are committed once and then never change, so that every report of the window
// is the same, whoever sends it and however often.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "controller/control_state.h"
#include "core/clock.h"
#include "duties/clock_median.h"
#include "duties/usage_ledger.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "group/group_host.h"
#include "net/connection_pool.h"

namespace hickorywood::controller {

struct usage_reporter_options {
  bool is_enabled = false;
  std::string holder;   // name of this instance in reports
  std::string address;  // of the provider's API
  std::chrono::milliseconds window{5000};
  std::chrono::milliseconds due{10000};  // after the end of a window
  // See duties::holder_terms.
  std::chrono::milliseconds holder_lease{3000};
  bool is_fenced = true;
};

class usage_reporter {
 public:
  usage_reporter(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, group::group_host& group,
                 const control_state& state, net::connection_pool& pool,
                 const fleet::protocol& wire, usage_reporter_options options);

  void Start();
  // Called when this instance begins to lead: the counts and clocks that it has
  // are of an earlier term.
  void BeginTerm();
  // Records the clock and the counts in a process's request for a view.
  void Record(const fleet::view_request& input);
  // Windows that are not reported yet and the latest closed one, as JSON for
  // operators.
  std::string Report() const;
  // The time of day by the clocks of all processes. Nothing: too few of them
  // have sent theirs yet.
  std::optional<core::unix_time> Now() const;

 private:
  boost::asio::awaitable<void> RunLoop();
  bool MayAct() const;
  boost::asio::awaitable<void> CloseWindows();
  boost::asio::awaitable<void> SendReports();
  boost::asio::awaitable<bool> Send(const fleet::usage_window& usage);
  void LogOverdue();

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const control_state& state_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  const usage_reporter_options options_;
  duties::clock_samples clocks_;
  duties::usage_ledger ledger_;
  uint64_t calls_ = 0;          // in this term
  int64_t first_window_ = 0;    // the first one of this term; 0: not known yet
  int64_t latest_overdue_ = 0;  // the latest one that was logged
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_USAGE_REPORTER_H_
