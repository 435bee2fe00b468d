#include "controller/weight_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace hickorywood::controller {
namespace {

// Number of engines for each load that may run at the same time. Loads share
// the link to the weight store: with more than a fifth of the engines loading,
// each load takes longer in proportion, and more engines are unavailable at
// once.
constexpr size_t kEnginesPerLoad = 5;
constexpr size_t kMinConcurrentLoads = 2;
// Number of loads that begin in one round. Each needs a connection and several
// calls; a thousand at once keep the leader from renewing its lease.
constexpr size_t kMaxLoadsPerRound = 32;

size_t MaxConcurrentLoads(size_t engines) {
  const size_t share = (engines + kEnginesPerLoad / 2) / kEnginesPerLoad;
  return std::max(share, kMinConcurrentLoads);
}

// Number of planned loads in a period, relative to the capacity of the loader.
// The value is above 1 because a model on few engines suffers more when one of
// them crashes or becomes slow than a model with some engines that are updated
// late (score of three trainers on nine engines 0.59 with 1.3, 0.51 with 0.7).
constexpr double kLoaderOvercommit = 1.3;
// Fewest engines on which a model is kept up to date: one loads while the other
// one serves.
constexpr size_t kMinEnginesPerModel = 2;
// Places on engines for each task of a model. Half of the engines load a
// version while the other half run every task in batches that are two thirds
// full. Full batches then make up for a lost availability zone.
constexpr double kPlacesPerTask = 3;
// Number of engines up to which the work does not limit a model: shorter
// batches are worth more than fewer loads. A model has so many while its work
// is not known, as after a restart of all instances.
constexpr size_t kMinEnginesForWork = 64;
// Lowest weight of a model, relative to a mean of 1.
constexpr double kMinWeight = 0.4;

// Number of engines that have places for the tasks of a model.
size_t EnginesForWork(const load_plan_input& input,
                      const plannable_model& terms) {
  int64_t slots = 0;
  for (const plannable_engine& engine : input.engines) slots += engine.slots;
  if (slots == 0) return input.engines.size();
  const double slots_per_engine =
      static_cast<double>(slots) / static_cast<double>(input.engines.size());
  const auto needed = static_cast<size_t>(
      std::ceil(kPlacesPerTask * static_cast<double>(terms.peak_tasks) /
                slots_per_engine));
  return std::max(kMinEnginesForWork, needed);
}

// Index in `load_plan_input::engines`, by incarnation.
using engine_indexes = std::unordered_map<std::string_view, size_t>;

// The loads that one model needs, the most urgent first.
struct model_need {
  double weight = 1;
  // Engines that its next step can use, now or after a load in progress.
  size_t serviceable = 0;
  // Loads to engines that its next step can't use.
  std::vector<planned_load> outdated;
  // Loads to other engines, for the step after the next.
  std::vector<planned_load> early;
};

// The recorded weights of each engine, in the order of `input.engines`;
// nullptr: none.
std::vector<const engine_weights*> WeightsOfEngines(
    const weight_table& table, const load_plan_input& input) {
  std::vector<const engine_weights*> weights;
  weights.reserve(input.engines.size());
  // The engines usually come in the order of the table.
  auto next = table.engines.begin();
  for (const plannable_engine& engine : input.engines) {
    const bool is_next =
        next != table.engines.end() && next->first == engine.incarnation;
    const auto found = is_next ? next : table.engines.find(engine.incarnation);
    const bool is_known = found != table.engines.end();
    weights.push_back(is_known ? &found->second : nullptr);
    if (is_known) next = std::next(found);
  }
  return weights;
}

uint64_t VersionOf(const engine_weights* weights, const std::string& model) {
  if (weights == nullptr) return 0;
  const auto found = weights->versions.find(model);
  return found == weights->versions.end() ? 0 : found->second;
}

// Number of models that are assigned to each engine, in the order of
// `load_plan_input::engines`.
using assignment_counts = std::vector<size_t>;

assignment_counts CountAssignments(const weight_table& table,
                                   const engine_indexes& indexes) {
  assignment_counts counts(indexes.size());
  for (const auto& [model, chosen] : table.assigned) {
    for (const std::string& incarnation : chosen) {
      const auto found = indexes.find(incarnation);
      if (found != indexes.end()) ++counts[found->second];
    }
  }
  return counts;
}

// What the choice of engines for a model depends on.
struct assignment_input {
  const load_plan_input& plan;
  const engine_indexes& indexes;
  const std::vector<const engine_weights*>& weights;
  assignment_counts& assignments;
};

// Removes the engines with the oldest versions from a chosen set.
void RemoveMostOutdated(std::set<std::string>& chosen, size_t count,
                        const std::string& model,
                        const assignment_input& input) {
  using ranked_engine = std::pair<uint64_t, std::string>;
  std::vector<ranked_engine> ranked;
  for (const std::string& incarnation : chosen) {
    const size_t index = input.indexes.at(incarnation);
    ranked.emplace_back(VersionOf(input.weights[index], model), incarnation);
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end());
  for (auto item = ranked.begin(); item != end; ++item) {
    --input.assignments[input.indexes.at(item->second)];
    chosen.erase(item->second);
  }
}

// Updates the set of engines that are assigned to a model. It adds engines that
// have the fewest models assigned, and among these the ones with the newest
// version. An engine that is lost is replaced in the next plan, so each plan
// may rank all engines for each model: a rank must take no search by name.
void Assign(weight_table& table, const assignment_input& input,
            const std::string& model) {
  std::set<std::string>& chosen = table.assigned[model];
  std::erase_if(chosen, [&](const std::string& incarnation) {
    return input.indexes.count(incarnation) == 0;
  });
  const size_t wanted =
      EnginesPerModel(input.plan, input.plan.models.at(model));
  if (chosen.size() > wanted) {
    RemoveMostOutdated(chosen, chosen.size() - wanted, model, input);
  }
  if (chosen.size() == wanted) return;
  std::vector<bool> is_chosen(input.plan.engines.size());
  for (const std::string& incarnation : chosen) {
    is_chosen[input.indexes.at(incarnation)] = true;
  }
  // Engines that are equal keep their order.
  using ranked_engine = std::tuple<size_t, uint64_t, size_t>;
  std::vector<ranked_engine> candidates;
  candidates.reserve(input.plan.engines.size());
  for (size_t i = 0; i < input.plan.engines.size(); ++i) {
    if (is_chosen[i]) continue;
    candidates.emplace_back(input.assignments[i],
                            ~VersionOf(input.weights[i], model), i);
  }
  const size_t added = std::min(wanted - chosen.size(), candidates.size());
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(added);
  std::partial_sort(candidates.begin(), end, candidates.end());
  for (auto item = candidates.begin(); item != end; ++item) {
    const size_t index = std::get<2>(*item);
    ++input.assignments[index];
    chosen.insert(input.plan.engines[index].incarnation);
  }
}

// Returns the loads to all assigned engines that the next step can't use, and
// to as many of the others as half of the assigned engines need to have the
// newest version.
model_need NeedOf(const weight_table& table, const load_plan_input& input,
                  const std::vector<const engine_weights*>& weights,
                  const engine_indexes& indexes,
                  const fleet::model_version& newest) {
  const std::set<std::string>& chosen = table.assigned.at(newest.model);
  std::vector<bool> is_chosen(input.engines.size(), false);
  for (const std::string& incarnation : chosen) {
    is_chosen[indexes.at(incarnation)] = true;
  }
  model_need need;
  size_t current = 0;
  std::vector<planned_load> optional;
  for (size_t i = 0; i < input.engines.size(); ++i) {
    const plannable_engine& engine = input.engines[i];
    const uint64_t version = VersionOf(weights[i], newest.model);
    const bool is_loading =
        weights[i] != nullptr && weights[i]->loading == newest.model;
    const bool is_current = version >= newest.version || is_loading;
    if (is_current || version + 1 >= newest.version) ++need.serviceable;
    if (!is_chosen[i]) continue;
    if (is_current) ++current;
    if (is_current || !engine.is_usable) continue;
    const bool is_outdated = version + 1 < newest.version;
    (is_outdated ? need.outdated : optional)
        .push_back({engine.incarnation, newest});
  }
  const size_t half = (chosen.size() + 1) / 2;
  const size_t coming = current + need.outdated.size();
  for (const planned_load& load : optional) {
    if (coming + need.early.size() >= half) break;
    need.early.push_back(load);
  }
  return need;
}

// The number of usable engines of a model, relative to its weight.
double Supply(const model_need& need) {
  return static_cast<double>(need.serviceable) / need.weight;
}

// Plans the first load whose engine has no planned load yet. Returns false when
// there is none.
bool PlanFirst(std::vector<planned_load>& from,
               std::set<std::string>& planned_engines,
               std::vector<planned_load>& plan) {
  while (!from.empty()) {
    const planned_load load = from.front();
    from.erase(from.begin());
    if (!planned_engines.insert(load.incarnation).second) continue;
    plan.push_back(load);
    return true;
  }
  return false;
}

}  // namespace

std::map<std::string, double> WeightsOf(
    const std::vector<std::string>& models,
    const std::map<std::string, double>& demands) {
  double total = 0;
  for (const std::string& model : models) {
    const auto found = demands.find(model);
    if (found != demands.end()) total += found->second;
  }
  std::map<std::string, double> weights;
  for (const std::string& model : models) {
    const auto found = demands.find(model);
    const bool is_known = total > 0 && found != demands.end();
    const double weight =
        is_known ? found->second * static_cast<double>(models.size()) / total
                 : 1;
    weights[model] = std::max(weight, kMinWeight);
  }
  return weights;
}

size_t EnginesPerModel(const load_plan_input& input,
                       const plannable_model& terms) {
  const size_t engines = input.engines.size();
  const size_t models = std::max<size_t>(1, input.models.size());
  const double loads = kLoaderOvercommit *
                       static_cast<double>(MaxConcurrentLoads(engines)) *
                       (std::chrono::duration<double>(terms.period) /
                        std::chrono::duration<double>(input.load_time)) /
                       static_cast<double>(models);
  const auto affordable = static_cast<size_t>(2 * terms.weight * loads);
  const auto doubled = static_cast<size_t>(
      std::ceil(2 * terms.weight * static_cast<double>(engines) /
                static_cast<double>(models)));
  const size_t limit =
      std::min({affordable, doubled, EnginesForWork(input, terms)});
  return std::min(engines, std::max(kMinEnginesPerModel, limit));
}

bool RecordVersion(weight_table& table, const std::string& incarnation,
                   const std::string& model, uint64_t version) {
  const auto [recorded, is_first] =
      table.engines[incarnation].versions.try_emplace(model, version);
  const bool is_newer = version > (is_first ? 0 : recorded->second);
  recorded->second = std::max(recorded->second, version);
  if (is_first || is_newer) table.unpublished.insert({incarnation, model});
  return is_newer;
}

void SetLoading(weight_table& table, const std::string& incarnation,
                const std::string& model) {
  engine_weights& engine = table.engines[incarnation];
  if (!engine.loading.empty()) {
    table.unpublished.insert({incarnation, engine.loading});
  }
  engine.loading = model;
  if (!model.empty()) table.unpublished.insert({incarnation, model});
}

std::vector<fleet::engine_weights_entry> TakeChanges(weight_table& table) {
  std::vector<fleet::engine_weights_entry> changes;
  for (const auto& [incarnation, model] : table.unpublished) {
    const auto version = VersionAt(table, incarnation, model);
    if (!version) continue;
    changes.push_back(
        {incarnation, model, *version, IsLoading(table, incarnation, model)});
  }
  table.unpublished.clear();
  return changes;
}

void MarkAllChanged(weight_table& table) {
  for (const auto& [incarnation, engine] : table.engines) {
    for (const auto& item : engine.versions) {
      table.unpublished.insert({incarnation, item.first});
    }
  }
}

std::optional<uint64_t> VersionAt(const weight_table& table,
                                  const std::string& incarnation,
                                  const std::string& model) {
  const auto engine = table.engines.find(incarnation);
  if (engine == table.engines.end()) return std::nullopt;
  const auto found = engine->second.versions.find(model);
  if (found == engine->second.versions.end()) return std::nullopt;
  return found->second;
}

bool IsLoading(const weight_table& table, const std::string& incarnation,
               const std::string& model) {
  const auto engine = table.engines.find(incarnation);
  return engine != table.engines.end() && engine->second.loading == model;
}

std::vector<planned_load> PlanLoads(weight_table& table,
                                    const load_plan_input& input) {
  engine_indexes indexes;
  indexes.reserve(input.engines.size());
  for (size_t i = 0; i < input.engines.size(); ++i) {
    indexes.emplace(input.engines[i].incarnation, i);
  }
  const std::vector<const engine_weights*> weights =
      WeightsOfEngines(table, input);
  assignment_counts assignments = CountAssignments(table, indexes);
  const assignment_input chosen_by{input, indexes, weights, assignments};
  std::vector<model_need> needs;
  for (const auto& [model, terms] : input.models) {
    Assign(table, chosen_by, model);
    needs.push_back(
        NeedOf(table, input, weights, indexes, {model, terms.newest}));
    needs.back().weight = terms.weight;
  }
  std::vector<planned_load> plan;
  std::set<std::string> planned_engines;
  const size_t limit = MaxConcurrentLoads(input.engines.size());
  const auto has_room = [&] {
    return plan.size() < kMaxLoadsPerRound &&
           input.loads_in_progress + plan.size() < limit;
  };
  // Plans one load at a time for the model with the lowest supply, so that the
  // models take turns when the loader is overloaded.
  const auto lowest_supply = [&needs]() -> model_need* {
    model_need* worst = nullptr;
    for (model_need& need : needs) {
      if (need.outdated.empty()) continue;
      if (worst == nullptr || Supply(need) < Supply(*worst)) worst = &need;
    }
    return worst;
  };
  while (has_room()) {
    model_need* const need = lowest_supply();
    if (need == nullptr) break;
    if (PlanFirst(need->outdated, planned_engines, plan)) ++need->serviceable;
  }
  for (model_need& need : needs) {
    while (has_room() && PlanFirst(need.early, planned_engines, plan)) {
    }
  }
  return plan;
}

}  // namespace hickorywood::controller
