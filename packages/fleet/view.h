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
#include "fleet/request_warning.h"

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

// The system's own instances that others must find.
struct view_members {
  std::vector<std::string> controllers;  // peer addresses of the control group
  std::vector<store_entry> stores;
  std::string data_founder;  // peer address of the store that founds the group
  std::string digest_key;    // under which instances name requests; empty: none
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_members, controllers,
                                                stores, data_founder,
                                                digest_key)

struct view {
  view_version version;
  configuration config;
  std::vector<endpoint> endpoints;  // by incarnation
  view_members members;
  std::vector<request_warning> warnings;  // by digest
  uint64_t weights_count = 0;
  std::vector<engine_weights_entry> weights;  // by incarnation and model
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

// How a list stands in an update.
enum class list_part {
  kNone,     // the asker holds it
  kAll,      // whole
  kChanges,  // what changed since the version that the asker held
};
NLOHMANN_JSON_SERIALIZE_ENUM(list_part, {{list_part::kNone, 0},
                                         {list_part::kAll, 1},
                                         {list_part::kChanges, 2}})

struct view_update {
  view_version version;
  view_version base;        // that the asker held; changes count from it
  bool has_config = false;  // left out when the asker holds it
  configuration config;
  list_part lists = list_part::kNone;  // endpoints and warnings
  std::vector<endpoint> endpoints;
  std::vector<std::string> gone;  // incarnations; only among changes
  std::vector<request_warning> warnings;
  std::vector<std::string> lifted;  // digests; only among changes
  bool has_members = false;
  view_members members;
  list_part weights_part = list_part::kNone;
  uint64_t weights_count = 0;
  std::vector<engine_weights_entry> weights;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_update, version, base,
                                                has_config, config, lists,
                                                endpoints, gone, warnings,
                                                lifted, has_members, members,
                                                weights_part, weights_count,
                                                weights)

// Takes an update into a view. False when nothing changed by it, and when it is
// older than the view or counts from a version that the view does not hold:
// neither the lists nor the configuration ever step back within one process.
bool ApplyUpdate(view& held, const view_update& update);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_VIEW_H_
