#ifndef HICKORYWOOD_HICKORYD_ORDER_SERVICE_H_
#define HICKORYWOOD_HICKORYD_ORDER_SERVICE_H_

// Sends the planned orders to engines while this instance is the leader. Runs
// on the control thread.

#include <map>
#include <string>
#include <vector>

#include "control/orders.h"
#include "hickoryd/context.h"
#include "hickoryd/membership_service.h"
#include "hickoryd/replica_host.h"

namespace hickorywood::hickoryd {

class order_service {
 public:
  order_service(instance_context& context, replica_host& host,
                membership_service& membership);

  void Start();

 private:
  struct plan_input {
    std::vector<control::engine_report> engines;
    std::map<std::string, control::swap_target> targets;
    control::order_limits limits;
  };

  void Plan();
  void RefreshConfigs();
  void AddSite(const std::string& site, core::time_point now,
               plan_input& input) const;
  void Send(const control::planned_order& order);

  instance_context& context_;
  replica_host& host_;
  membership_service& membership_;
  control::order_tracker tracker_;
  // Parsed once per `configs_revision_` instead of at each plan.
  std::map<std::string, settings::site_config> configs_;
  uint64_t configs_revision_ = 0;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_ORDER_SERVICE_H_
