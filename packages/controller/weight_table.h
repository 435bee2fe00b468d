#ifndef HICKORYWOOD_CONTROLLER_WEIGHT_TABLE_H_
#define HICKORYWOOD_CONTROLLER_WEIGHT_TABLE_H_

// The weights of each engine, and the choice of the loads to order. Plain data
// and decisions; weight_load_scheduler executes the loads.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/endpoint_registry.h"
#include "fleet/view.h"

namespace hickorywood::controller {

// The latest reported weights of one engine.
struct engine_weights {
  std::map<std::string, uint64_t> versions;  // by model
  std::string loading;  // model of the load in progress; empty: none
};

struct weight_table {
  std::map<std::string, engine_weights> engines;  // by incarnation
  // Engines that are kept up to date for a model. Other engines may serve it as
  // long as their version is recent enough.
  std::map<std::string, std::set<std::string>> assigned;  // by model
  // Average number of concurrent streams, as reported by the dispatcher; by
  // model.
  std::map<std::string, double> demands;
  // Highest number of tasks at once, as reported by the dispatcher; by model.
  std::map<std::string, int64_t> peak_tasks;
  // Engines and models whose version or load changed since they were published.
  std::set<std::pair<std::string, std::string>> unpublished;
};

// Marks a load as begun, or as ended if `model` is empty.
void SetLoading(weight_table& table, const std::string& incarnation,
                const std::string& model);

// Returns the changed items since the last call.
std::vector<fleet::engine_weights_entry> TakeChanges(weight_table& table);

// Makes TakeChanges() return all items.
void MarkAllChanged(weight_table& table);

// Records a version that an engine reported. A version never decreases within
// one incarnation, so a lower one comes from an older report. Returns true when
// the version is higher than the recorded one.
bool RecordVersion(weight_table& table, const std::string& incarnation,
                   const std::string& model, uint64_t version);

// Returns the version of a model at an engine, or nothing if none was reported.
std::optional<uint64_t> VersionAt(const weight_table& table,
                                  const std::string& incarnation,
                                  const std::string& model);

bool IsLoading(const weight_table& table, const std::string& incarnation,
               const std::string& model);

// One load that should be ordered now.
struct planned_load {
  std::string incarnation;
  fleet::model_version target;
};

// An engine as the planner sees it.
struct plannable_engine {
  std::string incarnation;
  int64_t running = 0;    // streams on it
  int64_t slots = 0;      // streams that it can run at once; 0: unknown
  bool is_usable = true;  // ready, reachable, no load in progress
};

// A model as the planner sees it.
struct plannable_model {
  uint64_t newest = 0;  // published version
  // Usual time between two published versions.
  std::chrono::milliseconds period{4000};
  // Its demand, relative to the mean of all models of the service.
  double weight = 1;
  // Highest number of its tasks at once; 0: unknown.
  int64_t peak_tasks = 0;
};

// The weight of each model, from the observed demands. A model with much less
// work than others keeps some engines: a crash or a slow engine must not stop
// it, and a rise of its demand is detected late.
std::map<std::string, double> WeightsOf(
    const std::vector<std::string>& models,
    const std::map<std::string, double>& demands);

struct load_plan_input {
  std::vector<plannable_engine> engines;          // of one service
  std::map<std::string, plannable_model> models;  // served by the engines
  size_t loads_in_progress = 0;                   // not reported as done
  std::chrono::milliseconds load_time{1000};      // average of one load
};

// Number of engines on which a model is kept up to date. Half of them load each
// new version, and the loads of all models share the loader: when versions are
// published faster than it can load them, fewer engines are kept up to date.
// The limit is twice the share of the model by weight: then the versions of all
// models cost as many loads as there are engines. And it is no higher than the
// work of the model needs.
size_t EnginesPerModel(const load_plan_input& input,
                       const plannable_model& terms);

// Chooses the loads to order. Each trainer publishes a version every few
// seconds, and its next step accepts the newest version and the previous one.
// So an engine needs only every second version: half of the engines of a model
// load this version, the other half the next one, and the half that is not
// loading serves. When loads have to wait, the model goes first that has the
// fewest engines that its next step can use, relative to its weight.
std::vector<planned_load> PlanLoads(weight_table& table,
                                    const load_plan_input& input);

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_WEIGHT_TABLE_H_
