#include "controller/weight_book.h"

#include <algorithm>
#include <tuple>

namespace hickorywood::controller {
namespace {

// Engines per load that may run at the same time. Loads share the link to the
// weight store: with more than a fifth of the engines loading each load takes
// longer and more engines are out at once.
constexpr size_t kEnginesPerLoad = 5;
constexpr size_t kLeastLoadsAtOnce = 2;

size_t MostLoadsAtOnce(size_t engines) {
  const size_t share = (engines + kEnginesPerLoad - 1) / kEnginesPerLoad;
  return std::max(share, kLeastLoadsAtOnce);
}

// Engines that a model is kept up to date on.
size_t EnginesPerModel(size_t engines, size_t models) {
  if (models == 0) return 0;
  const size_t doubled = (2 * engines + models - 1) / models;
  return std::min(engines, doubled);
}

size_t AssignmentsOf(const weight_book& book, const std::string& incarnation) {
  size_t count = 0;
  for (const auto& item : book.assigned)
    count += item.second.count(incarnation);
  return count;
}

bool IsListed(const load_plan_input& input, const std::string& incarnation) {
  return std::any_of(input.engines.begin(), input.engines.end(),
                     [&](const plannable_engine& engine) {
                       return engine.incarnation == incarnation;
                     });
}

// Fills a model's engines up with those that serve the fewest models so far,
// and among these with the ones whose version is newest.
void Assign(weight_book& book, const load_plan_input& input,
            const std::string& model) {
  std::set<std::string>& chosen = book.assigned[model];
  std::erase_if(chosen, [&](const std::string& incarnation) {
    return !IsListed(input, incarnation);
  });
  const size_t wanted =
      EnginesPerModel(input.engines.size(), input.newest.size());
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

struct load_candidate {
  uint64_t behind = 0;  // versions
  int64_t running = 0;
  planned_load load;
};

// The loads that a model still needs: all engines that the next step can't use,
// and of the others as many as half of the engines lack of the newest version.
void AddCandidates(const weight_book& book, const load_plan_input& input,
                   const fleet::model_version& newest,
                   std::vector<load_candidate>& candidates) {
  const std::set<std::string>& chosen = book.assigned.at(newest.model);
  size_t current = 0;
  std::vector<load_candidate> useful;
  for (const plannable_engine& engine : input.engines) {
    if (chosen.count(engine.incarnation) == 0) continue;
    const uint64_t version =
        VersionAt(book, engine.incarnation, newest.model).value_or(0);
    const bool is_current = version >= newest.version ||
                            IsLoading(book, engine.incarnation, newest.model);
    if (is_current) {
      ++current;
      continue;
    }
    if (!engine.is_usable) continue;
    const uint64_t behind = newest.version - version;
    useful.push_back({behind, engine.running, {engine.incarnation, newest}});
  }
  std::sort(useful.begin(), useful.end(),
            [](const load_candidate& left, const load_candidate& right) {
              return std::make_tuple(~left.behind, left.running) <
                     std::make_tuple(~right.behind, right.running);
            });
  const size_t half = (chosen.size() + 1) / 2;
  for (const load_candidate& item : useful) {
    if (item.behind < 2 && current >= half) break;
    candidates.push_back(item);
    ++current;
  }
}

}  // namespace

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
  std::vector<load_candidate> candidates;
  for (const auto& [model, version] : input.newest) {
    Assign(book, input, model);
    AddCandidates(book, input, {model, version}, candidates);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const load_candidate& left, const load_candidate& right) {
                     return left.behind > right.behind;
                   });
  std::vector<planned_load> plan;
  std::set<std::string> taken;
  const size_t most = MostLoadsAtOnce(input.engines.size());
  for (const load_candidate& item : candidates) {
    if (input.loads_under_way + plan.size() >= most) break;
    if (!taken.insert(item.load.incarnation).second) continue;
    plan.push_back(item.load);
  }
  return plan;
}

}  // namespace hickorywood::controller
