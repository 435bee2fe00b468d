#ifndef HICKORYWOOD_STORE_REWARD_CALLER_H_
#define HICKORYWOOD_STORE_REWARD_CALLER_H_

// Has whole texts scored: sends the reward requests of tasks, those first that
// complete a group, and never so many at once that other callers of the same
// service wait. Knows nothing that must survive: a successor of the leader asks
// again.

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

// A whole text that wants its score.
struct reward_job {
  task_key key;
  steps::reward_request request;
  core::time_point opened_at{};  // when the step was submitted
};

enum class reward_end {
  kScored,
  kGivenUp,  // endpoints answered as often as allowed that they failed
};

class reward_caller {
 public:
  reward_caller(boost::asio::io_context& loop, const core::runtime_clock& clock,
                routing::request_sender& sender, const fleet::protocol& wire,
                const fleet::view& view);

  // What came of a job, once. The score is empty unless it was scored.
  std::function<void(const task_key&, reward_end, const std::string& score)>
      on_end;
  // Tasks without a result in the group of a task.
  std::function<size_t(const task_key&)> open_in_group;

  void Add(reward_job job);
  // Sends what may be sent now.
  void Pump();
  // The task, or the step, is over: nothing more of it reaches an endpoint.
  void Drop(const task_key& key);
  void DropStep(const std::string& step);
  void DropAll();
  // Takes back what is under way, to be sent again at the next Pump().
  void Suspend();

  bool IsIdle() const { return jobs_.empty(); }

 private:
  struct job_state {
    reward_job job;
    int64_t failures = 0;  // answers that count as a failed attempt
    core::time_point not_before{};
    bool is_sent = false;       // a send is under way
    net::cancel_signal cancel;  // of that send
  };
  struct route_state {
    int64_t running = 0;
    routing::adaptive_limit limit;
  };

  const fleet::route* RouteOf(const reward_job& job) const;
  int64_t SlotsOf(const fleet::route& where) const;
  // Requests that may be sent now.
  int64_t RoomAt(const fleet::route& where);
  void Start(const std::shared_ptr<job_state>& job, fleet::route where);
  void End(const std::shared_ptr<job_state>& job, const fleet::route& where,
           core::time_point started, const routing::send_outcome& outcome);
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
