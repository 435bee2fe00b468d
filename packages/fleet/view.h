#ifndef HICKORYWOOD_FLEET_VIEW_H_
#define HICKORYWOOD_FLEET_VIEW_H_

// The view that the control leader sends to every other process, and its
// messages.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "consensus/types.h"
#include "core/json.h"
#include "fleet/configuration.h"
#include "fleet/configuration_changes.h"
#include "fleet/endpoint_registry.h"
#include "fleet/request_warning.h"
#include "fleet/usage.h"

namespace hickorywood::fleet {

// Views are ordered by the leader's term, then by a count within the term.
struct view_version {
  uint64_t term = 0;
  uint64_t count = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_version, term, count)

inline bool operator<(const view_version& left, const view_version& right) {
  return left.term != right.term ? left.term < right.term
                                 : left.count < right.count;
}
inline bool operator==(const view_version& left, const view_version& right) {
  return left.term == right.term && left.count == right.count;
}

// Returns "TERM.COUNT", for logs.
std::string VersionText(const view_version& version);

// The weights of one model at one engine.
struct engine_weights_entry {
  std::string incarnation;
  std::string model;
  uint64_t version = 0;
  bool is_loading = false;  // accepts no new runs of the model for now
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_weights_entry,
                                                incarnation, model, version,
                                                is_loading)

// An instance that stores data.
struct store_entry {
  std::string instance;
  std::string address;  // peer address
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(store_entry, instance, address)

inline bool operator==(const store_entry& left, const store_entry& right) {
  return left.instance == right.instance && left.address == right.address;
}

// The instances of this service that other processes connect to.
struct view_members {
  std::vector<std::string> controllers;  // peer addresses of the control group
  std::vector<store_entry> stores;
  // The first voters of the data group; empty: not chosen yet.
  std::vector<consensus::member> data_voters;
  std::string digest_key;  // key of the request digests; empty: none yet
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_members, controllers,
                                                stores, data_voters, digest_key)

struct view {
  view_version version;
  uint64_t scope_digest = 0;  // of the services whose endpoints are listed
  configuration config;
  std::vector<endpoint> endpoints;  // by incarnation
  view_members members;
  std::vector<request_warning> warnings;  // by digest
  uint64_t weights_count = 0;
  std::vector<engine_weights_entry> weights;  // by incarnation and model
};

// The demand of the tasks of one model.
struct model_demand {
  std::string model;
  double streams = 0;  // average of the concurrent ones in the last seconds
  // Highest number of its tasks that were running or waiting at once lately.
  int64_t peak_tasks = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(model_demand, model, streams,
                                                peak_tasks)

// The tasks of one service, as reported by the instance that runs them.
struct service_demand {
  std::string service;
  int64_t running = 0;       // tasks at engines now
  int64_t waiting = 0;       // tasks that wait for an engine now
  int64_t peak_running = 0;  // highest number in the last seconds
  // Longest time that a task of an open step has waited for its first start,
  // and the shortest due time, from the submission, of the steps with waiting
  // tasks; 0: none waits.
  int64_t longest_wait_ms = 0;
  int64_t nearest_due_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_demand, service,
                                                running, waiting, peak_running,
                                                longest_wait_ms, nearest_due_ms)

// Which endpoints a process follows.
enum class view_scope {
  kAll,
  kPlain,  // those of services that requests of callers are sent to
};
NLOHMANN_JSON_SERIALIZE_ENUM(view_scope,
                             {{view_scope::kAll, 0}, {view_scope::kPlain, 1}})

// The services that requests of callers are sent to: all of them, except those
// that only run the tasks of steps.
std::set<std::string> PlainServices(const configuration& config);

// Identifies a set of services; 0: all services.
uint64_t ScopeDigest(const std::set<std::string>& services);

// Requests the changes since the version that a process has. The response is
// delayed until there is a change or `wait_ms` has passed.
struct view_request {
  std::string instance;
  std::string address;  // peer address of a store; empty: not a store
  // Address of a control instance for heartbeats; empty: not one.
  std::string heartbeat_address;
  // Storage id of a store that is in no data group; empty: it is in one, or
  // this is not a store.
  std::string vacant_storage;
  bool wants_weights = false;
  uint64_t held_weights = 0;  // its version of the weights
  view_version held;
  view_scope scope = view_scope::kAll;
  uint64_t held_scope = 0;   // see view::scope_digest
  uint64_t held_config = 0;  // its version of the configuration
  // Whether it can apply changes of the configuration.
  bool takes_config_changes = false;
  // Whether it decides by the configuration: entries and stores.
  bool acts_on_config = false;
  int64_t wait_ms = 0;
  // Reported by the instance that runs the tasks; empty for all others.
  std::vector<model_demand> demands;
  std::vector<service_demand> service_demands;
  // Time of day by the clock of the requester, Unix ms; 0: not sent.
  int64_t clock_ms = 0;
  // Identifies the process that counted `usage`. Its counts begin at 0.
  std::string usage_source;
  // Totals of the windows that changed; entries only.
  std::vector<usage_window> usage;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    view_request, instance, address, heartbeat_address, vacant_storage,
    wants_weights, held_weights, held, scope, held_scope, held_config,
    takes_config_changes, acts_on_config, wait_ms, demands, service_demands,
    clock_ms, usage_source, usage)

// Which part of a list an update contains.
enum class list_part {
  kNone,     // none: the requester has the list
  kAll,      // the complete list
  kChanges,  // the changes since the version of the requester
};
NLOHMANN_JSON_SERIALIZE_ENUM(list_part, {{list_part::kNone, 0},
                                         {list_part::kAll, 1},
                                         {list_part::kChanges, 2}})

struct view_update {
  view_version version;
  view_version base;        // of the requester; changes are relative to it
  bool has_config = false;  // the complete configuration
  configuration config;
  bool has_config_changes = false;  // its changes since that of the requester
  configuration_changes config_changes;
  list_part lists = list_part::kNone;  // endpoints and warnings
  uint64_t scope_digest = 0;  // of the services whose endpoints are listed
  std::vector<endpoint> endpoints;
  std::vector<std::string> gone;  // removed incarnations; only with kChanges
  std::vector<request_warning> warnings;
  // Digests of removed warnings; only with kChanges.
  std::vector<std::string> lifted;
  bool has_members = false;
  view_members members;
  list_part weights_part = list_part::kNone;
  uint64_t weights_count = 0;
  std::vector<engine_weights_entry> weights;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    view_update, version, base, has_config, config, has_config_changes,
    config_changes, lists, scope_digest, endpoints, gone, warnings, lifted,
    has_members, members, weights_part, weights_count, weights)

// Applies an update to a view. Returns false when it changes nothing, and when
// it is rejected: it is older than the view, or its changes are relative to
// another version. So neither the lists nor the configuration of a process ever
// return to an older version.
bool ApplyUpdate(view& held, const view_update& update);

// The version of the configuration in an update; 0: it contains none.
uint64_t ConfigVersionOf(const view_update& update);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_VIEW_H_
