#ifndef HICKORYWOOD_HICKORYD_REPORT_H_
#define HICKORYWOOD_HICKORYD_REPORT_H_

// The status and burn reports of an instance for `hickoryctl status` and
// `hickoryctl report burn`, and the collection of the reports of all instances.
// Instances that do not respond are listed.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/replica.h"
#include "hickoryd/context.h"
#include "rollout/burn.h"

namespace hickorywood::hickoryd {

struct endpoint_status {
  std::string id;
  std::string name;
  std::string address;
  std::string zone;
  int64_t version = 0;
  int64_t running = 0;
  int64_t queued = 0;
  bool is_swapping = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(endpoint_status, id, name,
                                                address, zone, version, running,
                                                queued, is_swapping)

struct instance_status {
  std::string id;
  std::string site;
  std::string zone;
  bool is_ready = false;
  bool is_draining = false;
  bool is_site_dark = false;
  uint64_t revision = 0;
  int64_t lease_left_ms = 0;
  int64_t steps = 0;
  int64_t generations = 0;
  bool has_replica = false;
  control::replica_status replica;
  std::vector<endpoint_status> endpoints;
  std::map<std::string, int64_t> weights;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(instance_status, id, site, zone,
                                                is_ready, is_draining,
                                                is_site_dark, revision,
                                                lease_left_ms, steps,
                                                generations, has_replica,
                                                replica, endpoints, weights)

// Burn of one instance with the objectives of its site, as allowed bad shares.
struct instance_burn {
  std::string id;
  std::string site;
  std::map<std::string, double> allowed_bad;  // by objective name
  std::vector<rollout::burn_sum> sums;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(instance_burn, id, site,
                                                allowed_bad, sums)

// The fields of a status that come from the routing view.
instance_status StatusFromView(const instance_context& context);

instance_burn MakeBurn(const instance_context& context,
                       const rollout::burn_recorder& recorder);

// Responses by instance; empty if the instance did not respond.
using peer_answers = std::map<std::string, std::optional<std::string>>;

// Sends `body` to `path` of all other instances and collects the responses that
// arrive within `timeout`. `done` runs on the client thread.
void CallAllPeers(instance_context& context, const std::string& path,
                  const std::string& body, core::milliseconds timeout,
                  std::function<void(peer_answers)> done);

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_REPORT_H_
