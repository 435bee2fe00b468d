#ifndef HICKORYWOOD_HICKORYD_ROUTING_VIEW_H_
#define HICKORYWOOD_HICKORYD_ROUTING_VIEW_H_

// The part of the control state that the traffic threads need: an immutable
// copy that the control thread publishes after each change.

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "membership/endpoint_table.h"
#include "membership/exchange.h"
#include "settings/fleet_config.h"

namespace hickorywood::hickoryd {

struct endpoint_view {
  membership::announcement latest;
  core::time_point received_at{};
  core::time_point expires_at{};
};

struct instance_view {
  membership::instance_info info;
  core::time_point last_contact_at{};
};

struct routing_view {
  uint64_t revision = 0;
  std::optional<settings::site_config> config;  // empty before the first lease
  core::boot_time_point lease_until{};
  // True if this instance has no lease, no live instance of its site reports
  // one, and the instances that certainly have none are a majority of the site.
  bool is_site_dark = false;
  std::map<std::string, std::vector<endpoint_view>> engines;   // by model
  std::map<std::string, std::vector<endpoint_view>> services;  // by name
  std::map<std::string, int64_t> weights;          // latest version by pool
  std::map<std::string, instance_view> instances;  // the others, by id
};

// Whether new work may be admitted under the configuration of `view`.
bool MayServe(const routing_view& view, core::boot_time_point now);

// The configuration of the pool; null when the site has no pool of that name.
const settings::pool_config* FindPool(const routing_view& view,
                                      const std::string& pool);

// Whether another instance counts as alive: its last contact is recent.
bool IsAlive(const instance_view& instance, core::time_point now);

// Stores the latest view. Safe from any thread.
class routing_view_holder {
 public:
  void Publish(std::shared_ptr<const routing_view> view);
  std::shared_ptr<const routing_view> Get() const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const routing_view> view_ = std::make_shared<routing_view>();
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_ROUTING_VIEW_H_
