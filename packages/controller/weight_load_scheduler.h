#ifndef HICKORYWOOD_CONTROLLER_WEIGHT_LOAD_SCHEDULER_H_
#define HICKORYWOOD_CONTROLLER_WEIGHT_LOAD_SCHEDULER_H_

// Orders the loads that bring the engines to the published versions, while this
// instance leads. Each order contains the term of the leader as its fencing
// token, and the number of orders that the engine has accepted as its
// precondition: an order without a response may be executed seconds later, and
// must not undo a newer one then. A load counts as done only when the engine
// reports the version.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "controller/control_state.h"
#include "controller/weight_table.h"
#include "core/clock.h"
#include "duties/fencing.h"
#include "fleet/endpoint_registry.h"
#include "fleet/protocol.h"
#include "group/group_host.h"
#include "net/connection_pool.h"
#include "net/event.h"

namespace hickorywood::controller {

struct weight_load_scheduler_options {
  std::string holder;  // name of this instance in orders
  // Time between the election of another leader and its first order. Orders of
  // two leaders that both reach an engine must not alternate within it.
  std::chrono::milliseconds holder_lease{3000};
};

class weight_load_scheduler {
 public:
  weight_load_scheduler(boost::asio::io_context& loop,
                        const core::runtime_clock& clock,
                        group::group_host& group, const control_state& state,
                        net::connection_pool& pool, const fleet::protocol& wire,
                        const fleet::endpoint_registry& registry,
                        weight_table& table,
                        weight_load_scheduler_options options);

  void Start();
  // Triggers a planning round. Called when a version was published, an endpoint
  // joined or left, or this instance became the leader.
  void Wake() { wake_.Notify(); }

  // Called when the version of an engine changed, and when a load begins or
  // ends.
  std::function<void()> on_change;

 private:
  enum class load_outcome { kDone, kRetryLater, kFenced, kUnreachable };

  boost::asio::awaitable<void> RunPlanLoop();
  void PlanService(const fleet::service& service);
  void StartLoad(const planned_load& load);
  boost::asio::awaitable<load_outcome> Load(planned_load load,
                                            fleet::endpoint target);
  boost::asio::awaitable<std::optional<fleet::endpoint_report>> Report(
      const fleet::endpoint& target);
  boost::asio::awaitable<std::optional<fleet::order_outcome>> Order(
      const planned_load& load, const fleet::endpoint& target,
      uint64_t expected_sequence);
  bool MayOrder() const;
  bool IsLoaded(const planned_load& load) const;
  void RecordPublications();
  void RecordReport(const planned_load& load,
                    const fleet::endpoint_report& report);

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const control_state& state_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  const fleet::endpoint_registry& registry_;
  weight_table& table_;
  const weight_load_scheduler_options options_;
  duties::act_history orders_;
  net::event wake_;
  core::time_point planned_at_{};
  std::chrono::nanoseconds plan_time_{};     // of the latest planning round
  std::set<std::string> loads_in_progress_;  // by incarnation
  // Number of orders that each engine has accepted, by incarnation. Unknown
  // after an order whose execution no report has shown. Another order that was
  // accepted meanwhile makes the next one fail, since this number is its
  // precondition.
  std::map<std::string, uint64_t> order_sequences_;
  struct publication {
    uint64_t version = 0;
    core::time_point published_at{};
    core::milliseconds period{4000};  // smoothed
  };
  std::map<std::string, publication> publications_;  // by model
  core::milliseconds load_time_{1000};  // smoothed, of completed loads
  std::map<std::string, core::time_point> avoid_until_;        // by incarnation
  std::map<std::string, core::time_point> unreachable_until_;  // by incarnation
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_WEIGHT_LOAD_SCHEDULER_H_
