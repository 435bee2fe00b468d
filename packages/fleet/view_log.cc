#include "fleet/view_log.h"

#include <algorithm>
#include <set>

namespace hickorywood::fleet {
namespace {

// Endpoints, and warnings, that are remembered as gone: more than a deployment
// exchanges while a process that goes on asking misses answers, and a few
// hundred KB.
constexpr size_t kMostGone = 4096;

bool SameWeights(const engine_weights_entry& left,
                 const engine_weights_entry& right) {
  return left.version == right.version && left.is_loading == right.is_loading;
}

bool SameMembers(const view_members& left, const view_members& right) {
  return left.controllers == right.controllers && left.stores == right.stores &&
         left.data_founder == right.data_founder &&
         left.digest_key == right.digest_key;
}

// `gone`: items of `log` that went, in the order in which they did.
void ForgetOldest(view_log& log, std::vector<told_item<std::string>>& gone) {
  if (gone.size() <= kMostGone) return;
  const size_t extra = gone.size() - kMostGone;
  log.complete_from = std::max(log.complete_from, gone[extra - 1].changed_at);
  gone.erase(gone.begin(), gone.begin() + static_cast<ptrdiff_t>(extra));
}

// Brings what was told to `items`, under the count `next`. True when something
// changed; what is no longer there is added to `gone`.
template <typename Item>
bool TellItems(std::map<std::string, told_item<Item>>& told_items,
               std::vector<told_item<std::string>>& gone,
               const std::vector<Item>& items, std::string Item::*key,
               uint64_t next) {
  bool is_changed = false;
  std::set<std::string> listed;
  for (const Item& item : items) {
    listed.insert(item.*key);
    auto& told = told_items[item.*key];
    const bool is_told = told.changed_at != 0 && told.item == item;
    if (is_told) continue;
    told = {item, next};
    is_changed = true;
  }
  for (auto told = told_items.begin(); told != told_items.end();) {
    if (listed.count(told->first) != 0) {
      ++told;
      continue;
    }
    gone.push_back({told->first, next});
    told = told_items.erase(told);
    is_changed = true;
  }
  return is_changed;
}

// The items that changed after the count `since`.
template <typename Told, typename Item>
void AddSince(const Told& told_items, uint64_t since,
              std::vector<Item>& changes) {
  for (const auto& [key, told] : told_items) {
    if (told.changed_at > since) changes.push_back(told.item);
  }
}

void AddGoneSince(const std::vector<told_item<std::string>>& gone,
                  uint64_t since, std::vector<std::string>& changes) {
  for (const auto& told : gone) {
    if (told.changed_at > since) changes.push_back(told.item);
  }
}

// Whether the asker can be told by changes alone.
bool HoldsBase(const view_log& log, const view_request& input) {
  return input.held.term == log.term && input.held.count >= log.complete_from &&
         input.held.count > 0 && input.held.count <= log.count;
}

void AddLists(const view_log& log, const view_request& input,
              view_update& update) {
  update.lists = HoldsBase(log, input) ? list_part::kChanges : list_part::kAll;
  const uint64_t since =
      update.lists == list_part::kChanges ? input.held.count : 0;
  AddSince(log.endpoints, since, update.endpoints);
  AddSince(log.warnings, since, update.warnings);
  if (update.lists == list_part::kChanges) {
    AddGoneSince(log.gone, since, update.gone);
    AddGoneSince(log.lifted, since, update.lifted);
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

bool TellEndpoints(view_log& log, const std::vector<endpoint>& endpoints) {
  const uint64_t next = log.count + 1;
  const bool is_changed = TellItems(log.endpoints, log.gone, endpoints,
                                    &endpoint::incarnation, next);
  if (!is_changed) return false;
  ForgetOldest(log, log.gone);
  log.count = next;
  return true;
}

bool TellWarnings(view_log& log, const std::vector<request_warning>& warnings) {
  const uint64_t next = log.count + 1;
  const bool is_changed = TellItems(log.warnings, log.lifted, warnings,
                                    &request_warning::digest, next);
  if (!is_changed) return false;
  ForgetOldest(log, log.lifted);
  log.count = next;
  return true;
}

bool TellMembers(view_log& log, const view_members& members) {
  if (SameMembers(log.members, members)) return false;
  log.members = members;
  log.members_changed_at = ++log.count;
  return true;
}

bool TellWeights(view_log& log,
                 const std::vector<engine_weights_entry>& weights) {
  const uint64_t next = log.weights_count + 1;
  bool is_changed = false;
  for (const engine_weights_entry& item : weights) {
    auto& told = log.weights[{item.incarnation, item.model}];
    const bool is_told = told.changed_at != 0 && SameWeights(told.item, item);
    if (is_told) continue;
    told = {item, next};
    is_changed = true;
  }
  if (is_changed) log.weights_count = next;
  return is_changed;
}

bool HasNews(const view_log& log, const view_request& input) {
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
