// The engines: their weights, the choice of those for a model, and the prompts
// that they have cached.

#include <algorithm>
#include <utility>

#include "store/dispatch_limits.h"
#include "store/dispatcher.h"

namespace hickorywood::store {

using core::time_point;

void dispatcher::OnView(const fleet::view_update& update) {
  if (!is_leading_) return;
  RemoveKnown(newer_, view_);
  const bool has_all_weights = update.weights_part == fleet::list_part::kAll;
  ApplyWeights(has_all_weights ? view_.weights : update.weights);
  if (update.lists != fleet::list_part::kNone) ApplyEndpoints(update);
  ScheduleDispatch();
}

void dispatcher::ApplyEndpoints(const fleet::view_update& update) {
  service_engines_.clear();
  pools_.clear();
  const bool is_complete = update.lists == fleet::list_part::kAll;
  std::set<std::string> listed;
  if (is_complete || !update.gone.empty()) {
    for (const fleet::endpoint& item : view_.endpoints) {
      listed.insert(item.incarnation);
    }
    std::erase_if(engines_, [&listed](const auto& item) {
      return listed.count(item.first) == 0 && item.second.running == 0;
    });
  }
  EndRunsOfOldIncarnations();
}

void dispatcher::ApplyWeights(
    const std::vector<fleet::engine_weights_entry>& weights) {
  std::set<std::string> models;
  for (const fleet::engine_weights_entry& item : weights) {
    engine_record& record = engines_[item.incarnation];
    engine_weights& held = record.weights[item.model];
    // Loading weights discards the prompts that the engine has processed.
    if (item.version > held.version) ClearPrompts(record, item.model);
    held.version = std::max(held.version, item.version);
    held.is_loading = item.is_loading;
    models.insert(item.model);
  }
  std::erase_if(pools_, [&models](const auto& item) {
    return models.count(std::get<1>(item.first)) != 0;
  });
}

// An engine that was restarted under the same name has lost its earlier runs.
// Their connections may hang until they time out, so these runs are ended at
// once and their tasks continue on other engines. An engine that is no longer
// in the list, but has no newer incarnation, may still be finishing its runs.
void dispatcher::EndRunsOfOldIncarnations() {
  if (runs_.empty()) return;
  std::map<std::string, std::string> latest_incarnations;  // by name
  for (const fleet::endpoint& item : view_.endpoints) {
    latest_incarnations[item.name] = item.incarnation;
  }
  std::vector<std::shared_ptr<run>> ending;
  for (const auto& item : runs_) {
    const fleet::endpoint& engine = item.second->engine;
    const auto found = latest_incarnations.find(engine.name);
    const bool is_old_incarnation = found != latest_incarnations.end() &&
                                    found->second != engine.incarnation;
    if (is_old_incarnation) ending.push_back(item.second);
  }
  for (const auto& item : ending) {
    StopRun(*item);
    EndRun(item, run_outcome::kBroken);
  }
}

const dispatcher::service_engines& dispatcher::EnginesOf(
    const std::string& service) {
  const auto [known, is_new] = service_engines_.try_emplace(service);
  service_engines& engines = known->second;
  if (!is_new) return engines;
  std::vector<std::string_view> names;
  for (const fleet::endpoint& item : view_.endpoints) {
    if (item.service != service ||
        item.state == fleet::endpoint_state::kDraining) {
      continue;
    }
    engines.endpoints.push_back(&item);
    engines.records.push_back(&engines_[item.incarnation]);
    names.push_back(item.incarnation);
  }
  engines.ring = MakeRing(names, kMaxPoolEngines);
  return engines;
}

dispatcher::engine_pool dispatcher::FindEngines(const pool_key& key,
                                                size_t limit) {
  const std::string& model = std::get<1>(key);
  const uint64_t minimum_version = std::get<2>(key);
  const service_engines& engines = EnginesOf(std::get<0>(key));
  const auto is_fit = [&](size_t index) {
    const engine_record& record = *engines.records[index];
    const auto weights = record.weights.find(model);
    return weights == record.weights.end() ||
           (!weights->second.is_loading &&
            weights->second.version >= minimum_version);
  };
  // Among few engines, the speed of those that don't fit counts too.
  const bool is_large = engines.ring.size() > kMaxPoolEngines;
  engine_pool pool;
  pool.limit = limit;
  for (const size_t index : ChooseFromRing(
           engines.ring, model, limit,
           [&](size_t candidate) { return !is_large || is_fit(candidate); })) {
    const fleet::endpoint& item = *engines.endpoints[index];
    steps::engine_load load;
    load.incarnation = item.incarnation;
    load.is_trusted = item.state == fleet::endpoint_state::kReady;
    pool.loads.push_back(std::move(load));
    pool.slots.push_back(is_fit(index) ? item.slots : 0);
    pool.records.push_back(engines.records[index]);
    pool.endpoints.push_back(&item);
  }
  return pool;
}

size_t dispatcher::PoolLimit(const std::string& model) const {
  size_t tasks = 0;
  for (const auto& [id, tracked] : steps_) {
    const steps::step* const step = state_.Find(id);
    if (step != nullptr && step->input.model == model) {
      tasks += tracked.tasks.size();
    }
  }
  return std::max(kMaxPoolEngines, tasks);
}

dispatcher::engine_pool& dispatcher::CollectEngines(const pool_key& key) {
  const auto [found, is_new] = pools_.try_emplace(key);
  engine_pool& pool = found->second;
  const size_t limit = PoolLimit(std::get<1>(key));
  if (is_new || pool.limit < limit) pool = FindEngines(key, limit);
  const time_point now = clock_.Now();
  std::vector<double> gaps;
  gaps.reserve(pool.records.size());
  for (const engine_record* record : pool.records) {
    gaps.push_back(steps::GapMillis(record->gap, now));
  }
  const std::vector<double> slowness = steps::RelativeSlowness(gaps);
  for (size_t i = 0; i < pool.loads.size(); ++i) {
    const engine_record& record = *pool.records[i];
    steps::engine_load& load = pool.loads[i];
    load.running = record.running;
    load.slowness = slowness[i];
    load.has_prompt = false;
    load.is_excluded = false;
    const bool is_avoided =
        record.avoid_until > now || HasLeft(newer_, load.incarnation);
    load.slots = is_avoided ? 0 : pool.slots[i];
  }
  return pool;
}

void dispatcher::ClearPrompts(engine_record& record, const std::string& model) {
  std::erase_if(record.groups, [&model](const auto& item) {
    return item.first.starts_with(model + "/");
  });
}

// Removes groups without a recent task. The engine has probably evicted their
// prompts, and the list would grow with every step.
void dispatcher::RemoveExpiredPrompts() {
  const time_point now = clock_.Now();
  if (now - prompts_expired_at_ < kPromptCheckPeriod) return;
  prompts_expired_at_ = now;
  for (auto& [incarnation, record] : engines_) {
    std::erase_if(record.groups, [now](const auto& item) {
      return now - item.second > kPromptCacheLifetime;
    });
  }
}

}  // namespace hickorywood::store
