#ifndef HICKORYWOOD_STORE_TASK_RUNNER_H_
#define HICKORYWOOD_STORE_TASK_RUNNER_H_

// Runs tasks at engines, from the request to the end of the stream, and checks
// each event. The leader decides which task runs on which engine, and how its
// text is used, from the reports.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "net/connection_pool.h"
#include "net/spawn.h"
#include "steps/event_text.h"
#include "store/task_run.h"

namespace hickorywood::store {

class task_runner {
 public:
  task_runner(boost::asio::io_context& loop, const core::runtime_clock& clock,
              net::connection_pool& pool, const fleet::protocol& wire);

  // Called for each report on a run. The last one has `is_over` set.
  std::function<void(run_report)> on_report;

  void Start(run_order order);
  // Ends a run without a report.
  void Cancel(uint64_t run);
  void CancelAll();
  // Ends runs whose engine has sent no event within the timeout. One pass over
  // all runs replaces a timer for each read, as a stream has a read every 30
  // ms.
  void EndStalled();

  size_t CountRunning() const { return runs_.size(); }
  // Number of runs whose engine has not sent a response head yet.
  size_t CountStarting() const;

 private:
  struct active_run {
    run_order order;
    steps::text_rules rules;
    steps::generated_text text;  // `data` has only events not yet reported
    bool has_head = false;
    bool is_stalled = false;
    bool has_invalid_response = false;  // see run_report
    core::time_point last_event_at{};  // time of the last event or of the start
    core::milliseconds event_timeout{0};
    net::cancel_signal cancel = net::MakeCancelSignal();
  };

  boost::asio::awaitable<run_outcome> Run(std::shared_ptr<active_run> self);
  // Logs and records if the engine sent bytes that are no valid response.
  static void RecordIfInvalid(active_run& self, const std::string& request,
                              const net::connection& from);
  boost::asio::awaitable<run_outcome> ReadText(std::shared_ptr<active_run> self,
                                               net::connection& from,
                                               std::optional<uint64_t> version);
  // Removes the complete events from `buffer` and reports them. Returns an
  // outcome if an event is malformed or not allowed, else no value.
  std::optional<run_outcome> ConsumeEvents(active_run& self,
                                           std::string& buffer,
                                           std::optional<uint64_t>& version);
  void EndRun(const std::shared_ptr<active_run>& ended, run_outcome how);
  bool IsCurrent(const std::shared_ptr<active_run>& active) const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  std::map<uint64_t, std::shared_ptr<active_run>> runs_;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_TASK_RUNNER_H_
