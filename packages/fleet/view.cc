#include "fleet/view.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

#include "core/ids.h"

namespace hickorywood::fleet {
namespace {

auto KeyOf(const endpoint& item) { return std::tie(item.incarnation); }
auto KeyOf(const request_warning& item) { return std::tie(item.digest); }
auto KeyOf(const engine_weights_entry& item) {
  return std::tie(item.incarnation, item.model);
}

// Inserts `changes` into a list, in place of the items with the same key. Both
// are sorted by key. Most changes replace an item, which moves no others.
template <typename Item>
void Merge(std::vector<Item>& list, const std::vector<Item>& changes) {
  const auto is_before = [](const Item& left, const Item& right) {
    return KeyOf(left) < KeyOf(right);
  };
  std::vector<Item> added;
  for (const Item& item : changes) {
    const auto found =
        std::lower_bound(list.begin(), list.end(), item, is_before);
    if (found != list.end() && KeyOf(*found) == KeyOf(item)) {
      *found = item;
    } else {
      added.push_back(item);
    }
  }
  if (added.empty()) return;
  const auto middle = static_cast<ptrdiff_t>(list.size());
  list.insert(list.end(), std::make_move_iterator(added.begin()),
              std::make_move_iterator(added.end()));
  std::inplace_merge(list.begin(), list.begin() + middle, list.end(),
                     is_before);
}

// Removes the items with one of these keys from a list. An item that was
// removed and added again since is in both parts of the update; Merge() inserts
// it again.
template <typename Item>
void Remove(std::vector<Item>& list, const std::vector<std::string>& keys) {
  if (keys.empty()) return;
  const std::set<std::string> removed(keys.begin(), keys.end());
  std::erase_if(list, [&removed](const Item& item) {
    return removed.count(std::get<0>(KeyOf(item))) != 0;
  });
}

void ApplyLists(view& held, const view_update& update) {
  if (update.lists == list_part::kAll) {
    held.endpoints = update.endpoints;
    held.warnings = update.warnings;
  }
  if (update.lists == list_part::kChanges) {
    Remove(held.endpoints, update.gone);
    Merge(held.endpoints, update.endpoints);
    Remove(held.warnings, update.lifted);
    Merge(held.warnings, update.warnings);
  }
  if (update.lists != list_part::kNone) {
    held.scope_digest = update.scope_digest;
  }
  if (update.has_members) held.members = update.members;
}

void ApplyWeights(view& held, const view_update& update) {
  if (update.weights_part == list_part::kNone) return;
  if (update.weights_part == list_part::kAll) held.weights = update.weights;
  if (update.weights_part == list_part::kChanges) {
    Merge(held.weights, update.weights);
  }
  held.weights_count = update.weights_count;
}

bool HasChanges(const view_update& update) {
  return update.lists == list_part::kChanges ||
         update.weights_part == list_part::kChanges;
}

}  // namespace

std::string VersionText(const view_version& version) {
  return std::to_string(version.term) + "." + std::to_string(version.count);
}

std::set<std::string> PlainServices(const configuration& config) {
  std::set<std::string> services;
  for (const route& item : config.routes) {
    if (item.kind == route_kind::kRollout) continue;
    for (const weighted_service& target : item.services) {
      services.insert(target.service);
    }
  }
  return services;
}

uint64_t ScopeDigest(const std::set<std::string>& services) {
  std::string text;
  for (const std::string& name : services) text += name + "\n";
  return core::Hash64(text) | 1;
}

uint64_t ConfigVersionOf(const view_update& update) {
  if (update.has_config) return update.config.version;
  return update.has_config_changes ? update.config_changes.version : 0;
}

bool ApplyUpdate(view& held, const view_update& update) {
  if (update.version < held.version) return false;
  const bool has_other_scope = update.lists == list_part::kChanges &&
                               update.scope_digest != held.scope_digest;
  const bool has_other_base =
      has_other_scope || (HasChanges(update) && !(update.base == held.version));
  if (has_other_base) return false;
  const bool is_newer_config = ConfigVersionOf(update) > held.config.version;
  if (is_newer_config && update.has_config) held.config = update.config;
  const bool has_other_config =
      is_newer_config && !update.has_config &&
      !ApplyChanges(held.config, update.config_changes);
  if (has_other_config) return false;
  ApplyLists(held, update);
  ApplyWeights(held, update);
  held.version = update.version;
  return is_newer_config || update.lists != list_part::kNone ||
         update.weights_part != list_part::kNone;
}

}  // namespace hickorywood::fleet
