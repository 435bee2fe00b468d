#include "fleet/view.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hickorywood::fleet {
namespace {

auto KeyOf(const endpoint& item) { return std::tie(item.incarnation); }
auto KeyOf(const request_warning& item) { return std::tie(item.digest); }
auto KeyOf(const engine_weights_entry& item) {
  return std::tie(item.incarnation, item.model);
}

// Inserts `changes` into a list, in place of the items with the same key. Both
// are sorted by key.
template <typename Item>
void Merge(std::vector<Item>& list, const std::vector<Item>& changes) {
  const auto is_before = [](const Item& left, const Item& right) {
    return KeyOf(left) < KeyOf(right);
  };
  std::vector<Item> merged;
  merged.reserve(list.size() + changes.size());
  // Of two items with the same key, that of the first range is used.
  std::set_union(changes.begin(), changes.end(), list.begin(), list.end(),
                 std::back_inserter(merged), is_before);
  list = std::move(merged);
}

// Removes the items with one of these keys from a list. An item that was
// removed and added again since is in both parts of the update; Merge() inserts
// it again.
template <typename Item>
void Remove(std::vector<Item>& list, const std::vector<std::string>& keys) {
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

uint64_t ConfigVersionOf(const view_update& update) {
  if (update.has_config) return update.config.version;
  return update.has_config_changes ? update.config_changes.version : 0;
}

bool ApplyUpdate(view& held, const view_update& update) {
  if (update.version < held.version) return false;
  const bool has_other_base =
      HasChanges(update) && !(update.base == held.version);
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
