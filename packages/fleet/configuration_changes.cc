#include "fleet/configuration_changes.h"

#include <map>
#include <type_traits>
#include <utility>

namespace hickorywood::fleet {
namespace {

// Keys own their text: the items that they belong to are moved while lists are
// changed.
auto KeyOf(const route& item) { return std::pair(item.host, item.path_prefix); }
auto KeyOf(const route_place& item) {
  return std::pair(item.host, item.path_prefix);
}
const std::string& KeyOf(const service& item) { return item.name; }
const std::string& KeyOf(const customer& item) { return item.name; }
const std::string& KeyOf(const std::string& name) { return name; }

template <typename Item>
using key_type = std::decay_t<decltype(KeyOf(std::declval<const Item&>()))>;

// Adds the items of `after` that `before` lacks or has otherwise.
template <typename Item>
void AddChanged(const std::vector<Item>& before, const std::vector<Item>& after,
                std::vector<Item>& changed) {
  std::map<key_type<Item>, const Item*> held;
  for (const Item& item : before) held[KeyOf(item)] = &item;
  for (const Item& item : after) {
    const auto found = held.find(KeyOf(item));
    const bool is_same = found != held.end() && *found->second == item;
    if (!is_same) changed.push_back(item);
  }
}

// Returns the items of `before` whose keys `after` lacks.
template <typename Item>
std::vector<const Item*> FindRemoved(const std::vector<Item>& before,
                                     const std::vector<Item>& after) {
  std::map<key_type<Item>, const Item*> kept;
  for (const Item& item : after) kept[KeyOf(item)] = &item;
  std::vector<const Item*> removed;
  for (const Item& item : before) {
    if (kept.count(KeyOf(item)) == 0) removed.push_back(&item);
  }
  return removed;
}

template <typename Item, typename Removed>
void ApplyToList(std::vector<Item>& list, const std::vector<Item>& changed,
                 const std::vector<Removed>& removed) {
  std::map<key_type<Item>, Item> by_key;
  for (Item& item : list) {
    auto key = KeyOf(item);
    by_key.insert_or_assign(std::move(key), std::move(item));
  }
  for (const Removed& item : removed) by_key.erase(KeyOf(item));
  for (const Item& item : changed) by_key.insert_or_assign(KeyOf(item), item);
  list.clear();
  for (auto& [key, item] : by_key) list.push_back(std::move(item));
}

}  // namespace

configuration_changes ChangesBetween(const configuration& before,
                                     const configuration& after) {
  configuration_changes changes;
  changes.base = before.version;
  changes.version = after.version;
  changes.limits = after.limits;
  changes.needs_keys = after.needs_keys;
  AddChanged(before.routes, after.routes, changes.routes);
  AddChanged(before.services, after.services, changes.services);
  AddChanged(before.customers, after.customers, changes.customers);
  for (const route* item : FindRemoved(before.routes, after.routes)) {
    changes.removed_routes.push_back({item->host, item->path_prefix});
  }
  for (const service* item : FindRemoved(before.services, after.services)) {
    changes.removed_services.push_back(item->name);
  }
  for (const customer* item : FindRemoved(before.customers, after.customers)) {
    changes.removed_customers.push_back(item->name);
  }
  return changes;
}

bool ApplyChanges(configuration& held, const configuration_changes& changes) {
  if (held.version != changes.base) return false;
  ApplyToList(held.routes, changes.routes, changes.removed_routes);
  ApplyToList(held.services, changes.services, changes.removed_services);
  ApplyToList(held.customers, changes.customers, changes.removed_customers);
  held.limits = changes.limits;
  held.needs_keys = changes.needs_keys;
  held.version = changes.version;
  return true;
}

}  // namespace hickorywood::fleet
