#ifndef HICKORYWOOD_CONTROLLER_WEIGHT_BOOK_H_
#define HICKORYWOOD_CONTROLLER_WEIGHT_BOOK_H_

// Which weights each engine has, and which loads are worth ordering. Plain data
// and decisions; weight_keeper carries them out.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/endpoint_registry.h"

namespace hickorywood::controller {

// What is known of one engine's weights.
struct engine_weights {
  std::map<std::string, uint64_t> versions;  // by model
  std::string loading;  // model of the order under way; empty: none
};

struct weight_book {
  std::map<std::string, engine_weights> engines;  // by incarnation
  // Engines kept up to date for a model. Others may serve it while their
  // version does.
  std::map<std::string, std::set<std::string>> assigned;  // by model
  // Streams that run at once, on average, as the dispatcher says; by model.
  std::map<std::string, double> demands;
};

// Takes what an engine said of itself. A version never steps back within one
// incarnation: what says so is older news. True when it is newer than what was
// known.
bool NoteVersion(weight_book& book, const std::string& incarnation,
                 const std::string& model, uint64_t version);

// The version of a model at an engine; empty: not known.
std::optional<uint64_t> VersionAt(const weight_book& book,
                                  const std::string& incarnation,
                                  const std::string& model);

bool IsLoading(const weight_book& book, const std::string& incarnation,
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
  bool is_usable = true;  // ready, reachable, no load under way
};

// A model as the planner sees it.
struct plannable_model {
  uint64_t newest = 0;  // published version
  // Usual time between two published versions.
  std::chrono::milliseconds period{4000};
  // Its demand against the mean of all models of the service.
  double weight = 1;
};

// The weight of each model under the demands that were observed. A model with
// much less work than others keeps some engines all the same: a crash or a slow
// engine must not stop it, and its demand is seen late.
std::map<std::string, double> WeightsOf(
    const std::vector<std::string>& models,
    const std::map<std::string, double>& demands);

struct load_plan_input {
  std::vector<plannable_engine> engines;          // of one service
  std::map<std::string, plannable_model> models;  // that they serve
  size_t loads_under_way = 0;                     // not seen done
  std::chrono::milliseconds load_time{1000};      // usual, of one load
};

// Engines that a model is kept up to date on. A new version costs half as many
// loads, and the loads of all models share the loader: when versions come
// faster than it carries, fewer engines are kept up. At most twice its share by
// weight: then the versions of all models cost as many loads as there are
// engines.
size_t EnginesPerModel(const load_plan_input& input,
                       std::chrono::milliseconds period, double weight = 1);

// Chooses the loads to order. The pattern: each trainer names a version every
// few seconds, and its next step takes the newest version and the one before.
// So an engine needs only every second version: half of a model's engines take
// this one, the other half the next, and the half that is not loading serves.
// Which model goes first when loads have to wait: the one with the fewest
// engines that its next step can use, for its weight.
std::vector<planned_load> PlanLoads(weight_book& book,
                                    const load_plan_input& input);

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_WEIGHT_BOOK_H_
