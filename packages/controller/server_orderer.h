#ifndef HICKORYWOOD_CONTROLLER_SERVER_ORDERER_H_
#define HICKORYWOOD_CONTROLLER_SERVER_ORDERER_H_

// Orders servers from the provider while this instance leads: replaces those
// that are missing, and follows the load (see scaling/server_plan.h). A number
// is committed before it is ordered, so that a new leader continues from it.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "controller/control_state.h"
#include "core/clock.h"
#include "fleet/endpoint_registry.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "group/group_host.h"
#include "net/connection_pool.h"
#include "scaling/server_plan.h"

namespace hickorywood::controller {

struct server_orderer_options {
  bool is_enabled = false;
  std::string holder;   // name of this instance in orders
  std::string address;  // of the provider's API
  // See duties::holder_terms.
  std::chrono::milliseconds holder_lease{3000};
  bool is_fenced = true;
};

class server_orderer {
 public:
  server_orderer(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, group::group_host& group,
                 const control_state& state,
                 const fleet::endpoint_registry& registry,
                 net::connection_pool& pool, const fleet::protocol& wire,
                 server_orderer_options options);

  void Start();
  // Called when this instance begins to lead.
  void BeginTerm();
  // Records the load that the leader of the data group reports.
  void RecordDemands(const std::vector<fleet::service_demand>& demands);
  // Records that a spot server is being reclaimed.
  void RecordHeartbeat(const fleet::heartbeat& input);
  // Present and ordered numbers of all services, as JSON for operators.
  std::string Report() const;

 private:
  // Service, zone, whether spot.
  using group_key = std::tuple<std::string, std::string, bool>;
  // What this leader remembers of the orders of one group.
  struct order_record {
    core::time_point ordered_at{};
    core::time_point unavailable_until{};
    core::time_point reclaimed_at{};
    core::time_point blocked_until{};
    std::string last_outcome;
  };
  struct load_record {
    scaling::service_load load;
    core::time_point received_at{};
  };

  boost::asio::awaitable<void> RunLoop();
  boost::asio::awaitable<void> Plan(const fleet::service& service);
  bool MayAct() const;
  scaling::plan_input Describe(const fleet::service& service) const;
  // Returns whether all groups had a target already.
  boost::asio::awaitable<bool> RecordFirstTargets(
      const std::string& service, const scaling::plan_input& input);
  boost::asio::awaitable<bool> CommitTargets(
      std::vector<server_target> targets);
  boost::asio::awaitable<void> Order(const std::string& service,
                                     const scaling::planned_order& order);

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const control_state& state_;
  const fleet::endpoint_registry& registry_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  const server_orderer_options options_;
  std::map<group_key, order_record> records_;
  std::map<std::string, load_record> loads_;  // by service
  // Last change of a target, by service.
  std::map<std::string, core::time_point> changed_at_;
  core::time_point leads_since_{};
  uint64_t calls_ = 0;  // in this term
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_SERVER_ORDERER_H_
