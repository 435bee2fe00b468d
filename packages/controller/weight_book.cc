#include "controller/weight_book.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hickorywood::controller {
namespace {

// Engines per load that may run at the same time. Loads share the link to the
// weight store: with more than a fifth of the engines loading each load takes
// longer by as much, and more engines are out at once.
constexpr size_t kEnginesPerLoad = 5;
constexpr size_t kLeastLoadsAtOnce = 2;

size_t MostLoadsAtOnce(size_t engines) {
  const size_t share = (engines + kEnginesPerLoad / 2) / kEnginesPerLoad;
  return std::max(share, kLeastLoadsAtOnce);
}

// Loads of a period against what the loader carries in one. Above 1: a model on
// few engines is worse off when one of them crashes or turns slow than with
// some engines that are brought up to date late (score of three trainers on
// nine engines 0.59 with 1.3, 0.51 with 0.7).
constexpr double kLoaderShare = 1.3;
// Engines below which a model is not kept up: one loads while the other serves.
constexpr size_t kLeastEngines = 2;
// Least weight of a model, against 1 for the mean.
constexpr double kLeastWeight = 0.4;

size_t AssignmentsOf(const weight_book& book, const std::string& incarnation) {
  size_t count = 0;
  for (const auto& item : book.assigned) {
    count += item.second.count(incarnation);
  }
  return count;
}

bool IsListed(const load_plan_input& input, const std::string& incarnation) {
  return std::any_of(input.engines.begin(), input.engines.end(),
                     [&](const plannable_engine& engine) {
                       return engine.incarnation == incarnation;
                     });
}

// Leaves out the engine that is furthest behind.
void DropOne(const weight_book& book, std::set<std::string>& chosen,
             const std::string& model) {
  const auto worst =
      std::min_element(chosen.begin(), chosen.end(),
                       [&](const std::string& left, const std::string& right) {
                         return VersionAt(book, left, model).value_or(0) <
                                VersionAt(book, right, model).value_or(0);
                       });
  chosen.erase(worst);
}

// Fills a model's engines up with those that serve the fewest models so far,
// and among these with the ones whose version is newest.
void Assign(weight_book& book, const load_plan_input& input,
            const std::string& model) {
  std::set<std::string>& chosen = book.assigned[model];
  std::erase_if(chosen, [&](const std::string& incarnation) {
    return !IsListed(input, incarnation);
  });
  const plannable_model& terms = input.models.at(model);
  const size_t wanted = EnginesPerModel(input, terms.period, terms.weight);
  while (chosen.size() > wanted) DropOne(book, chosen, model);
  while (chosen.size() < wanted) {
    const plannable_engine* best = nullptr;
    const auto rank = [&](const plannable_engine& engine) {
      const uint64_t version =
          VersionAt(book, engine.incarnation, model).value_or(0);
      return std::make_tuple(AssignmentsOf(book, engine.incarnation), ~version);
    };
    for (const plannable_engine& engine : input.engines) {
      if (chosen.count(engine.incarnation) != 0) continue;
      if (best == nullptr || rank(engine) < rank(*best)) best = &engine;
    }
    if (best == nullptr) return;
    chosen.insert(best->incarnation);
  }
}

// The loads that one model still needs, the most urgent first.
struct model_need {
  double weight = 1;
  size_t serviceable = 0;  // engines that its next step can use, or soon
  std::vector<planned_load> useless;  // engines that its next step can't use
  std::vector<planned_load> ahead;    // for the step after the next
};

// All engines that the next step can't use, and of the others as many as half
// of the engines lack of the newest version.
model_need NeedOf(const weight_book& book, const load_plan_input& input,
                  const fleet::model_version& newest) {
  const std::set<std::string>& chosen = book.assigned.at(newest.model);
  model_need need;
  size_t current = 0;
  std::vector<planned_load> optional;
  for (const plannable_engine& engine : input.engines) {
    const uint64_t version =
        VersionAt(book, engine.incarnation, newest.model).value_or(0);
    const bool is_loading = IsLoading(book, engine.incarnation, newest.model);
    const bool is_current = version >= newest.version || is_loading;
    if (is_current || version + 1 >= newest.version) ++need.serviceable;
    if (chosen.count(engine.incarnation) == 0) continue;
    if (is_current) ++current;
    if (is_current || !engine.is_usable) continue;
    const bool is_useless = version + 1 < newest.version;
    (is_useless ? need.useless : optional)
        .push_back({engine.incarnation, newest});
  }
  const size_t half = (chosen.size() + 1) / 2;
  const size_t coming = current + need.useless.size();
  for (const planned_load& load : optional) {
    if (coming + need.ahead.size() >= half) break;
    need.ahead.push_back(load);
  }
  return need;
}

// How well a model is off.
double Supply(const model_need& need) {
  return static_cast<double>(need.serviceable) / need.weight;
}

// Takes the first load of an engine that is not taken yet. False: none is left.
bool TakeFirst(std::vector<planned_load>& from, std::set<std::string>& taken,
               std::vector<planned_load>& plan) {
  while (!from.empty()) {
    const planned_load load = from.front();
    from.erase(from.begin());
    if (!taken.insert(load.incarnation).second) continue;
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
    weights[model] = std::max(weight, kLeastWeight);
  }
  return weights;
}

size_t EnginesPerModel(const load_plan_input& input,
                       std::chrono::milliseconds period, double weight) {
  const size_t engines = input.engines.size();
  const size_t models = std::max<size_t>(1, input.models.size());
  const double loads = kLoaderShare *
                       static_cast<double>(MostLoadsAtOnce(engines)) *
                       (std::chrono::duration<double>(period) /
                        std::chrono::duration<double>(input.load_time)) /
                       static_cast<double>(models);
  const auto affordable = static_cast<size_t>(2 * weight * loads);
  const auto doubled = static_cast<size_t>(std::ceil(
      2 * weight * static_cast<double>(engines) / static_cast<double>(models)));
  return std::min(engines,
                  std::max(kLeastEngines, std::min(affordable, doubled)));
}

bool NoteVersion(weight_book& book, const std::string& incarnation,
                 const std::string& model, uint64_t version) {
  uint64_t& known = book.engines[incarnation].versions[model];
  const bool is_newer = version > known;
  known = std::max(known, version);
  return is_newer;
}

std::optional<uint64_t> VersionAt(const weight_book& book,
                                  const std::string& incarnation,
                                  const std::string& model) {
  const auto engine = book.engines.find(incarnation);
  if (engine == book.engines.end()) return std::nullopt;
  const auto found = engine->second.versions.find(model);
  if (found == engine->second.versions.end()) return std::nullopt;
  return found->second;
}

bool IsLoading(const weight_book& book, const std::string& incarnation,
               const std::string& model) {
  const auto engine = book.engines.find(incarnation);
  return engine != book.engines.end() && engine->second.loading == model;
}

std::vector<planned_load> PlanLoads(weight_book& book,
                                    const load_plan_input& input) {
  std::vector<model_need> needs;
  for (const auto& [model, terms] : input.models) {
    Assign(book, input, model);
    needs.push_back(NeedOf(book, input, {model, terms.newest}));
    needs.back().weight = terms.weight;
  }
  std::vector<planned_load> plan;
  std::set<std::string> taken;
  const size_t most = MostLoadsAtOnce(input.engines.size());
  const auto has_room = [&] {
    return input.loads_under_way + plan.size() < most;
  };
  // One load at a time to the model that is worst off, so that models take
  // turns when the loader can't keep up.
  const auto worst_off = [&needs]() -> model_need* {
    model_need* worst = nullptr;
    for (model_need& need : needs) {
      if (need.useless.empty()) continue;
      if (worst == nullptr || Supply(need) < Supply(*worst)) worst = &need;
    }
    return worst;
  };
  while (has_room()) {
    model_need* const need = worst_off();
    if (need == nullptr) break;
    if (TakeFirst(need->useless, taken, plan)) ++need->serviceable;
  }
  for (model_need& need : needs) {
    while (has_room() && TakeFirst(need.ahead, taken, plan)) {
    }
  }
  return plan;
}

}  // namespace hickorywood::controller
