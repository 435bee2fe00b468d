#ifndef HICKORYWOOD_STORE_REWARD_CALLER_H_
#define HICKORYWOOD_STORE_REWARD_CALLER_H_

// Sends the reward requests of tasks with complete texts. Requests that
// complete a group are sent first. The number of concurrent requests is
// limited, so that other callers of the same service need not wait. The state
// is not replicated: a new leader sends the requests again.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "net/event.h"
#include "net/spawn.h"
#include "routing/adaptive_limit.h"
#include "routing/request_sender.h"
#include "steps/step.h"
#include "store/task_key.h"

namespace hickorywood::store {

// The reward request of a complete text.
struct reward_job {
  task_key key;
  steps::reward_request request;
  std::string customer;          // of the step; empty: none
  core::time_point opened_at{};  // when the step was submitted
  int64_t failures = 0;          // answers that count as a failed attempt
};

enum class reward_outcome {
  kScored,
  kAbandoned,  // the maximum number of failed answers was reached
};

class reward_caller {
 public:
  reward_caller(boost::asio::io_context& loop, const core::runtime_clock& clock,
                routing::request_sender& sender, const fleet::protocol& wire,
                const fleet::view& view);

  // Called once with the outcome of a job. `score` is empty unless the outcome
  // is kScored.
  std::function<void(const task_key&, reward_outcome, const std::string& score)>
      on_finished;
  // Called when a job has more failed attempts, but is not abandoned.
  std::function<void(const task_key&, int64_t failures)> on_failed;
  // Returns the number of tasks without a result in the group of a task.
  std::function<size_t(const task_key&)> open_in_group;

  void Add(reward_job job);
  // Sends the waiting requests that the limits allow now.
  void SendWaiting();
  // Remove the jobs of a task, of a step, or all jobs, and cancel their
  // requests.
  void CancelTask(const task_key& key);
  void CancelStep(const std::string& step);
  void CancelAll();
  // Cancels the requests that are being sent. The next SendWaiting() sends them
  // again.
  void Suspend();

  bool IsIdle() const { return jobs_.empty(); }

 private:
  struct job_state {
    reward_job job;
    core::time_point not_before{};
    bool is_sent = false;       // the request is being sent
    net::cancel_signal cancel;  // of that request
  };
  struct route_state {
    int64_t running = 0;
    routing::adaptive_limit limit;
  };

  const fleet::route* RouteOf(const reward_job& job) const;
  int64_t SlotsOf(const fleet::route& route) const;
  // Returns the number of requests that may be sent to the route now.
  int64_t FreeSlotsAt(const fleet::route& route);
  void Start(const std::shared_ptr<job_state>& job, fleet::route route);
  void FinishSend(const std::shared_ptr<job_state>& job,
                  const fleet::route& route, core::time_point started,
                  const routing::send_outcome& outcome);
  static void CancelSend(job_state& job);

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  routing::request_sender& sender_;
  const fleet::protocol& wire_;
  const fleet::view& view_;
  std::map<task_key, std::shared_ptr<job_state>> jobs_;
  std::map<std::string, route_state> routes_;  // by name
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_REWARD_CALLER_H_
