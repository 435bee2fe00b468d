#include "fleet/view_log.h"

#include <algorithm>
#include <set>

namespace hickorywood::fleet {
namespace {

// Number of weights in one response, and with the same count. All of them, of
// 10,000 engines with six models, take the leader longer to encode than its
// followers wait for its next message.
constexpr size_t kWeightsPerPart = 2048;

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
template <typename Item>
void EvictOldest(view_log& log, std::vector<versioned_item<Item>>& removals) {
  if (removals.size() <= kMaxRemovals) return;
  const size_t extra = removals.size() - kMaxRemovals;
  log.complete_from =
      std::max(log.complete_from, removals[extra - 1].changed_at);
  removals.erase(removals.begin(),
                 removals.begin() + static_cast<ptrdiff_t>(extra));
}

template <typename Key, typename Item>
void Set(versioned_table<Key, Item>& table, const Key& key, const Item& item,
         uint64_t count) {
  versioned_item<Item>& recorded = table.items[key];
  table.by_change.erase({recorded.changed_at, key});
  recorded = {item, count};
  table.by_change.insert({count, key});
}

template <typename Key, typename Item>
void Erase(versioned_table<Key, Item>& table, const Key& key) {
  const auto found = table.items.find(key);
  if (found == table.items.end()) return;
  table.by_change.erase({found->second.changed_at, key});
  table.items.erase(found);
}

template <typename Key, typename Item>
const Item* Find(const versioned_table<Key, Item>& table, const Key& key) {
  const auto found = table.items.find(key);
  return found == table.items.end() ? nullptr : &found->second.item;
}

// Returns the items that changed after the count `since`, by key.
template <typename Key, typename Item>
std::vector<const Item*> ChangedSince(const versioned_table<Key, Item>& table,
                                      uint64_t since) {
  std::vector<std::pair<Key, const Item*>> changed;
  for (auto item = table.by_change.lower_bound({since + 1, Key()});
       item != table.by_change.end(); ++item) {
    changed.emplace_back(item->second, &table.items.at(item->second).item);
  }
  std::sort(changed.begin(), changed.end());
  std::vector<const Item*> items;
  items.reserve(changed.size());
  for (const auto& item : changed) items.push_back(item.second);
  return items;
}

template <typename Item>
void AddRemovalsSince(const std::vector<versioned_item<Item>>& removals,
                      uint64_t since, std::vector<const Item*>& changes) {
  const auto first =
      std::upper_bound(removals.begin(), removals.end(), since,
                       [](uint64_t count, const versioned_item<Item>& removal) {
                         return count < removal.changed_at;
                       });
  for (auto removal = first; removal != removals.end(); ++removal) {
    changes.push_back(&removal->item);
  }
}

bool IsPlain(const view_log& log, const std::string& service) {
  return log.plain_services.count(service) != 0;
}

void RemoveEndpoint(view_log& log, const std::string& incarnation,
                    uint64_t count) {
  const endpoint* const previous = Find(log.endpoints, incarnation);
  if (previous == nullptr) return;
  if (IsPlain(log, previous->service)) log.plain_changed_at = count;
  log.gone.push_back({{incarnation, previous->service}, count});
  Erase(log.endpoints, incarnation);
}

void SetEndpoint(view_log& log, const endpoint& item, uint64_t count) {
  const endpoint* const previous = Find(log.endpoints, item.incarnation);
  const bool has_moved =
      previous != nullptr && previous->service != item.service;
  // A process whose scope it left must remove it.
  if (has_moved) RemoveEndpoint(log, item.incarnation, count);
  Set(log.endpoints, item.incarnation, item, count);
  if (IsPlain(log, item.service)) log.plain_changed_at = count;
}

// Count of the lists with which a term begins.
constexpr uint64_t kFirstCount = 1;

// Returns the count of this term's lists that a version stands for; 0: none.
uint64_t CountOf(const view_log& log, const view_version& held) {
  if (held.term == log.term) return held.count;
  const bool is_inherited = log.inherited.term != 0 && held == log.inherited;
  return is_inherited ? kFirstCount : 0;
}

bool HasScope(const view_log& log, const view_request& input) {
  return input.held_scope ==
         (input.scope == view_scope::kPlain ? log.plain_digest : 0);
}

bool IsInScope(const view_log& log, const view_request& input,
               const std::string& service) {
  return input.scope == view_scope::kAll || IsPlain(log, service);
}

void AddLists(const view_log& log, const view_request& input,
              view_update& update) {
  const bool is_known = HasBase(log, input);
  update.lists = is_known ? list_part::kChanges : list_part::kAll;
  update.scope_digest =
      input.scope == view_scope::kPlain ? log.plain_digest : 0;
  const uint64_t since = is_known ? CountOf(log, input.held) : 0;
  for (const endpoint* item : ChangedSince(log.endpoints, since)) {
    if (IsInScope(log, input, item->service)) update.endpoints.push_back(*item);
  }
  for (const request_warning* item : ChangedSince(log.warnings, since)) {
    update.warnings.push_back(*item);
  }
  if (update.lists == list_part::kChanges) {
    std::vector<const removed_endpoint*> gone;
    AddRemovalsSince(log.gone, since, gone);
    for (const removed_endpoint* item : gone) {
      if (!IsInScope(log, input, item->service)) continue;
      update.gone.push_back(item->incarnation);
    }
    std::vector<const std::string*> lifted;
    AddRemovalsSince(log.lifted, since, lifted);
    for (const std::string* digest : lifted) update.lifted.push_back(*digest);
  }
  update.has_members =
      update.lists == list_part::kAll || log.members_changed_at > since;
  if (update.has_members) update.members = log.members;
}

// Adds a part of the weights; the requester gets the next one with its next
// request.
void AddWeights(const view_log& log, const view_request& input,
                view_update& update) {
  const bool has_base = input.held.term == log.term && input.held_weights > 0 &&
                        input.held_weights <= log.weights_count;
  update.weights_part = has_base ? list_part::kChanges : list_part::kAll;
  update.weights_count = log.weights_count;
  const uint64_t since = has_base ? input.held_weights : 0;
  uint64_t last = since;
  for (auto item = log.weights.by_change.lower_bound({since + 1, {}});
       item != log.weights.by_change.end(); ++item) {
    const bool is_full = update.weights.size() >= kWeightsPerPart;
    if (is_full && item->first != last) {
      update.weights_count = last;
      break;
    }
    last = item->first;
    update.weights.push_back(log.weights.items.at(item->second).item);
  }
  std::sort(
      update.weights.begin(), update.weights.end(),
      [](const engine_weights_entry& left, const engine_weights_entry& right) {
        return std::tie(left.incarnation, left.model) <
               std::tie(right.incarnation, right.model);
      });
}

bool LacksWeights(const view_log& log, const view_request& input) {
  return input.wants_weights && (input.held.term != log.term ||
                                 input.held_weights != log.weights_count);
}

// A process with the lists of an earlier term gets the version of this one at
// once, so that its next request shows what it has.
bool LacksLists(const view_log& log, const view_request& input) {
  if (input.held.term != log.term || !HasScope(log, input)) return true;
  return input.scope == view_scope::kPlain
             ? input.held.count < log.plain_changed_at
             : input.held.count != log.count;
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
    SetEndpoint(log, item, kFirstCount);
  }
  for (const request_warning& item : followed.warnings) {
    Set(log.warnings, item.digest, item, kFirstCount);
  }
  log.members = followed.members;
  log.members_changed_at = kFirstCount;
}

bool IsKnownVersion(const view_log& log, const view_version& held) {
  const uint64_t count = CountOf(log, held);
  return count > 0 && count >= log.complete_from && count <= log.count;
}

void UpdateScope(view_log& log, const configuration& config) {
  std::set<std::string> services = PlainServices(config);
  if (services == log.plain_services) return;
  log.plain_services = std::move(services);
  log.plain_digest = ScopeDigest(log.plain_services);
  // A process may have had this scope before and lack what changed meanwhile.
  log.plain_changed_at = log.count;
}

bool UpdateEndpoints(view_log& log, endpoint_registry& registry) {
  const uint64_t next = log.count + 1;
  bool is_changed = false;
  for (const std::string& incarnation : registry.unpublished) {
    const auto listed = registry.endpoints.find(incarnation);
    const endpoint* const published = Find(log.endpoints, incarnation);
    if (listed == registry.endpoints.end()) {
      is_changed |= published != nullptr;
      RemoveEndpoint(log, incarnation, next);
    } else if (published == nullptr || !(*published == listed->second.item)) {
      is_changed = true;
      SetEndpoint(log, listed->second.item, next);
    }
  }
  registry.unpublished.clear();
  if (!is_changed) return false;
  EvictOldest(log, log.gone);
  log.count = next;
  return true;
}

bool UpdateEndpoints(view_log& log, const std::vector<endpoint>& endpoints) {
  endpoint_registry registry;
  AdoptEndpoints(registry, endpoints, core::time_point{});
  for (const auto& item : log.endpoints.items) {
    registry.unpublished.insert(item.first);
  }
  return UpdateEndpoints(log, registry);
}

bool UpdateWarnings(view_log& log,
                    const std::vector<request_warning>& warnings) {
  const uint64_t next = log.count + 1;
  bool is_changed = false;
  std::set<std::string> removed;
  for (const auto& item : log.warnings.items) removed.insert(item.first);
  for (const request_warning& item : warnings) {
    removed.erase(item.digest);
    const request_warning* const published = Find(log.warnings, item.digest);
    if (published != nullptr && *published == item) continue;
    Set(log.warnings, item.digest, item, next);
    is_changed = true;
  }
  for (const std::string& digest : removed) {
    Erase(log.warnings, digest);
    log.lifted.push_back({digest, next});
    is_changed = true;
  }
  if (!is_changed) return false;
  EvictOldest(log, log.lifted);
  log.count = next;
  log.plain_changed_at = next;
  return true;
}

bool UpdateMembers(view_log& log, const view_members& members) {
  if (SameMembers(log.members, members)) return false;
  log.members = members;
  log.members_changed_at = ++log.count;
  log.plain_changed_at = log.count;
  return true;
}

bool UpdateWeights(view_log& log,
                   const std::vector<engine_weights_entry>& weights) {
  uint64_t next = log.weights_count + 1;
  size_t with_next = 0;
  bool is_changed = false;
  for (const engine_weights_entry& item : weights) {
    const std::pair key(item.incarnation, item.model);
    const engine_weights_entry* const published = Find(log.weights, key);
    if (published != nullptr && SameWeights(*published, item)) continue;
    if (with_next == kWeightsPerPart) {
      ++next;
      with_next = 0;
    }
    Set(log.weights, key, item, next);
    ++with_next;
    is_changed = true;
  }
  if (is_changed) log.weights_count = next;
  return is_changed;
}

bool HasBase(const view_log& log, const view_request& input) {
  return HasScope(log, input) && IsKnownVersion(log, input.held);
}

uint64_t KnownCount(const view_log& log, const view_request& input) {
  const bool is_of_term = input.held.term == log.term;
  return is_of_term && HasScope(log, input) ? input.held.count : 0;
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
