#ifndef HICKORYWOOD_FLEET_VIEW_H_
#define HICKORYWOOD_FLEET_VIEW_H_

// What the control leader tells every other process, and the messages that
// carry it.

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"
#include "fleet/configuration.h"
#include "fleet/endpoint_registry.h"

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

// The weights of one model at one engine.
struct engine_weights_entry {
  std::string incarnation;
  std::string model;
  uint64_t version = 0;
  bool is_loading = false;  // takes no new runs of the model for now
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_weights_entry,
                                                incarnation, model, version,
                                                is_loading)

// An instance that keeps data.
struct store_entry {
  std::string instance;
  std::string address;  // peer address
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(store_entry, instance, address)

inline bool operator==(const store_entry& left, const store_entry& right) {
  return left.instance == right.instance && left.address == right.address;
}

struct view {
  view_version version;
  configuration config;
  std::vector<endpoint> endpoints;
  std::vector<std::string> controllers;  // peer addresses of the control group
  std::vector<store_entry> stores;
  std::string data_founder;  // peer address of the store that founds the group
  uint64_t weights_count = 0;
  std::vector<engine_weights_entry> weights;
};

// How much of the engines the tasks of a model take.
struct model_demand {
  std::string model;
  double streams = 0;  // that run at once, on average over the last seconds
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(model_demand, model, streams)

// A process asks for what changed since the version that it holds. The answer
// is held back until there is a change or `wait_ms` has passed.
struct view_request {
  std::string instance;
  std::string address;     // peer address of a store; empty: not a store
  bool may_found = false;  // a store that starts for the first time
  bool wants_weights = false;
  uint64_t held_weights = 0;  // count of the weights that it holds
  view_version held;
  uint64_t held_config = 0;  // version of the configuration that it holds
  int64_t wait_ms = 0;
  // Of the instance that runs the tasks; empty: it is not that one.
  std::vector<model_demand> demands;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_request, instance, address,
                                                may_found, wants_weights,
                                                held_weights, held, held_config,
                                                wait_ms, demands)

struct view_update {
  view_version version;
  bool has_config = false;  // left out when the asker holds it
  configuration config;
  bool has_lists = false;
  std::vector<endpoint> endpoints;
  std::vector<std::string> controllers;
  std::vector<store_entry> stores;
  std::string data_founder;
  bool has_weights = false;
  uint64_t weights_count = 0;
  std::vector<engine_weights_entry> weights;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_update, version,
                                                has_config, config, has_lists,
                                                endpoints, controllers, stores,
                                                data_founder, has_weights,
                                                weights_count, weights)

// Takes an update into a view. False when it is older than the view: neither
// the list nor the configuration ever steps back within one process.
bool ApplyUpdate(view& held, const view_update& update);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_VIEW_H_
