#include "fleet/view_log.h"

#include <algorithm>
#include <set>

namespace hickorywood::fleet {
namespace {

// Number of removals that are recorded, for endpoints and for warnings each. A
// deployment has fewer removals while a polling process misses responses, and
// the records take a few hundred KB.
constexpr size_t kMaxRemovals = 4096;

bool SameWeights(const engine_weights_entry& left,
                 const engine_weights_entry& right) {
  return left.version == right.version && left.is_loading == right.is_loading;
}

bool SameMembers(const view_members& left, const view_members& right) {
  return left.controllers == right.controllers && left.stores == right.stores &&
         left.data_voters == right.data_voters &&
         left.digest_key == right.digest_key;
}

// Evicts the oldest records of `removals`, which belong to `log`.
void EvictOldest(view_log& log,
                 std::vector<versioned_item<std::string>>& removals) {
  if (removals.size() <= kMaxRemovals) return;
  const size_t extra = removals.size() - kMaxRemovals;
  log.complete_from =
      std::max(log.complete_from, removals[extra - 1].changed_at);
  removals.erase(removals.begin(),
                 removals.begin() + static_cast<ptrdiff_t>(extra));
}

// Updates `recorded_items` to `items`, with `next` as their count. Returns true
// when something changed; adds the removed items to `removals`.
template <typename Item>
bool UpdateItems(std::map<std::string, versioned_item<Item>>& recorded_items,
                 std::vector<versioned_item<std::string>>& removals,
                 const std::vector<Item>& items, std::string Item::*key,
                 uint64_t next) {
  bool is_changed = false;
  std::set<std::string> current;
  for (const Item& item : items) {
    current.insert(item.*key);
    auto& recorded = recorded_items[item.*key];
    const bool is_unchanged = recorded.changed_at != 0 && recorded.item == item;
    if (is_unchanged) continue;
    recorded = {item, next};
    is_changed = true;
  }
  for (auto recorded = recorded_items.begin();
       recorded != recorded_items.end();) {
    if (current.count(recorded->first) != 0) {
      ++recorded;
      continue;
    }
    removals.push_back({recorded->first, next});
    recorded = recorded_items.erase(recorded);
    is_changed = true;
  }
  return is_changed;
}

// Adds the items that changed after the count `since`.
template <typename Recorded, typename Item>
void AddSince(const Recorded& recorded_items, uint64_t since,
              std::vector<Item>& changes) {
  for (const auto& [key, recorded] : recorded_items) {
    if (recorded.changed_at > since) changes.push_back(recorded.item);
  }
}

void AddRemovalsSince(const std::vector<versioned_item<std::string>>& removals,
                      uint64_t since, std::vector<std::string>& changes) {
  for (const auto& recorded : removals) {
    if (recorded.changed_at > since) changes.push_back(recorded.item);
  }
}

// Count of the lists with which a term begins.
constexpr uint64_t kFirstCount = 1;

// Returns the count of this term's lists that a version stands for; 0: none.
uint64_t CountOf(const view_log& log, const view_version& held) {
  if (held.term == log.term) return held.count;
  const bool is_inherited = log.inherited.term != 0 && held == log.inherited;
  return is_inherited ? kFirstCount : 0;
}

void AddLists(const view_log& log, const view_request& input,
              view_update& update) {
  const bool is_known = IsKnownVersion(log, input.held);
  update.lists = is_known ? list_part::kChanges : list_part::kAll;
  const uint64_t since = is_known ? CountOf(log, input.held) : 0;
  AddSince(log.endpoints, since, update.endpoints);
  AddSince(log.warnings, since, update.warnings);
  if (update.lists == list_part::kChanges) {
    AddRemovalsSince(log.gone, since, update.gone);
    AddRemovalsSince(log.lifted, since, update.lifted);
  }
  update.has_members =
      update.lists == list_part::kAll || log.members_changed_at > since;
  if (update.has_members) update.members = log.members;
}

void AddWeights(const view_log& log, const view_request& input,
                view_update& update) {
  const bool has_base = input.held.term == log.term && input.held_weights > 0 &&
                        input.held_weights <= log.weights_count;
  update.weights_part = has_base ? list_part::kChanges : list_part::kAll;
  update.weights_count = log.weights_count;
  const uint64_t since = has_base ? input.held_weights : 0;
  AddSince(log.weights, since, update.weights);
}

bool LacksWeights(const view_log& log, const view_request& input) {
  return input.wants_weights && (input.held.term != log.term ||
                                 input.held_weights != log.weights_count);
}

bool LacksLists(const view_log& log, const view_request& input) {
  return !(input.held == view_version{log.term, log.count});
}

}  // namespace

void BeginTerm(view_log& log, uint64_t term) {
  log = view_log{};
  log.term = term;
}

void InheritLists(view_log& log, const view& followed) {
  if (followed.version.term == 0) return;
  log.inherited = followed.version;
  for (const endpoint& item : followed.endpoints) {
    log.endpoints[item.incarnation] = {item, kFirstCount};
  }
  for (const request_warning& item : followed.warnings) {
    log.warnings[item.digest] = {item, kFirstCount};
  }
  log.members = followed.members;
  log.members_changed_at = kFirstCount;
}

bool IsKnownVersion(const view_log& log, const view_version& held) {
  const uint64_t count = CountOf(log, held);
  return count > 0 && count >= log.complete_from && count <= log.count;
}

bool UpdateEndpoints(view_log& log, const std::vector<endpoint>& endpoints) {
  const uint64_t next = log.count + 1;
  const bool is_changed = UpdateItems(log.endpoints, log.gone, endpoints,
                                      &endpoint::incarnation, next);
  if (!is_changed) return false;
  EvictOldest(log, log.gone);
  log.count = next;
  return true;
}

bool UpdateWarnings(view_log& log,
                    const std::vector<request_warning>& warnings) {
  const uint64_t next = log.count + 1;
  const bool is_changed = UpdateItems(log.warnings, log.lifted, warnings,
                                      &request_warning::digest, next);
  if (!is_changed) return false;
  EvictOldest(log, log.lifted);
  log.count = next;
  return true;
}

bool UpdateMembers(view_log& log, const view_members& members) {
  if (SameMembers(log.members, members)) return false;
  log.members = members;
  log.members_changed_at = ++log.count;
  return true;
}

bool UpdateWeights(view_log& log,
                   const std::vector<engine_weights_entry>& weights) {
  const uint64_t next = log.weights_count + 1;
  bool is_changed = false;
  for (const engine_weights_entry& item : weights) {
    auto& recorded = log.weights[{item.incarnation, item.model}];
    const bool is_unchanged =
        recorded.changed_at != 0 && SameWeights(recorded.item, item);
    if (is_unchanged) continue;
    recorded = {item, next};
    is_changed = true;
  }
  if (is_changed) log.weights_count = next;
  return is_changed;
}

bool HasChangesFor(const view_log& log, const view_request& input) {
  return LacksLists(log, input) || LacksWeights(log, input);
}

view_update MakeUpdate(const view_log& log, const view_request& input) {
  view_update update;
  update.base = input.held;
  update.version = {log.term, log.count};
  if (LacksLists(log, input)) AddLists(log, input, update);
  if (LacksWeights(log, input)) AddWeights(log, input, update);
  return update;
}

}  // namespace hickorywood::fleet
