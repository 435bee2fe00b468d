#ifndef HICKORYWOOD_STORE_REMOTE_RUNNER_H_
#define HICKORYWOOD_STORE_REMOTE_RUNNER_H_

// Runs tasks on this store for the leader of the data group, which is another
// store. Polls the leader for orders and reports the progress of the runs.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/event.h"
#include "peering/leader_caller.h"
#include "store/runner_registry.h"
#include "store/task_runner.h"

namespace hickorywood::store {

struct remote_runner_options {
  std::string address;  // peer address of this store
  std::string zone;
};

class remote_runner {
 public:
  // `is_leader` returns whether this store is the leader. While it is, it does
  // not poll for orders.
  remote_runner(boost::asio::io_context& loop, const core::runtime_clock& clock,
                net::connection_pool& pool, const fleet::protocol& wire,
                peering::leader_caller& leader, remote_runner_options options,
                std::function<bool()> is_leader, const fleet::view& view);

  // Set before Start(): whether requests may be sent by what the view contains.
  std::function<bool()> may_use_view;

  void Start();
  // Called when the process stops. Cancels all runs.
  void Stop();

 private:
  boost::asio::awaitable<void> RunPollLoop();
  boost::asio::awaitable<void> RunReportLoop();
  boost::asio::awaitable<void> RunCheckLoop();
  void HandleAnswer(orders_answer answer);
  void StartWaitingRuns();
  // Reports that the leader has to choose another engine.
  void ReturnOrder(const run_order& order);
  bool HasRuns() const { return runs_.CountRunning() > 0 || !waiting_.empty(); }
  void QueueReport(run_report report);
  std::vector<run_report> ExtractDueReports();
  // Cancels all runs and starts a new session.
  void StartNewSession();

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  peering::leader_caller& leader_;
  const remote_runner_options options_;
  const std::function<bool()> is_leader_;
  const fleet::view& view_;
  task_runner runs_;
  std::deque<run_order> waiting_;  // started when engines respond to others
  std::string session_;
  uint64_t term_ = 0;                  // of the leader that ordered the runs
  uint64_t last_answer_number_ = 0;    // number of the leader's last answer
  uint64_t last_report_number_ = 0;    // number of the last reports
  core::time_point last_answer_at_{};  // time of the leader's last answer
  std::map<uint64_t, run_report> reports_;  // unsent reports by run
  bool has_outcomes_ = false;               // `reports_` contains outcomes
  core::time_point progress_due_at_{};  // next time to report unfinished runs
  net::event outcome_queued_;
  bool is_stopped_ = false;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_REMOTE_RUNNER_H_
