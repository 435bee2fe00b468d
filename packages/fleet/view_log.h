#ifndef HICKORYWOOD_FLEET_VIEW_LOG_H_
#define HICKORYWOOD_FLEET_VIEW_LOG_H_

// The published view of the control leader, and the count at which each item
// changed. A process with an earlier version of the same term gets only the
// changes since: with 1,000 endpoints the complete list has 200 KB, and each of
// 100 processes would get it for every endpoint that joins or leaves. Plain
// data and functions.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/view.h"

namespace hickorywood::fleet {

template <typename Item>
struct versioned_item {
  Item item;
  uint64_t changed_at = 0;  // count of the list at the last change
};

// Items by key, and their keys in the order of the last change.
template <typename Key, typename Item>
struct versioned_table {
  std::map<Key, versioned_item<Item>> items;
  std::set<std::pair<uint64_t, Key>> by_change;
};

struct removed_endpoint {
  std::string incarnation;
  std::string service;
};

struct view_log {
  uint64_t term = 0;
  // The version of an earlier term with whose lists this term began; term 0:
  // none.
  view_version inherited;
  // Version of the lists that every process gets: endpoints, warnings and
  // members.
  uint64_t count = 1;
  versioned_table<std::string, endpoint> endpoints;  // by incarnation
  // Removed endpoints, in the order of their removal.
  std::vector<versioned_item<removed_endpoint>> gone;
  versioned_table<std::string, request_warning> warnings;  // by digest
  // Digests of removed warnings, in the order of their removal.
  std::vector<versioned_item<std::string>> lifted;
  // Removals are recorded from this count on. A process with an earlier version
  // gets the complete lists.
  uint64_t complete_from = 0;
  view_members members;
  uint64_t members_changed_at = 0;
  // Entries follow only the endpoints of these services: 10,000 endpoints may
  // be engines that only stores call.
  std::set<std::string> plain_services;
  uint64_t plain_digest = ScopeDigest({});
  // Count at the last change that processes with this scope get.
  uint64_t plain_changed_at = 1;
  // Version of the weights, which only stores get.
  uint64_t weights_count = 1;
  versioned_table<std::pair<std::string, std::string>, engine_weights_entry>
      weights;  // by incarnation and model
};

// Clears the log and begins a term of the leader. Processes with a version of
// another term get the complete lists.
void BeginTerm(view_log& log, uint64_t term);

// Begins with the lists that this leader had as a follower, right after
// BeginTerm(). Processes with the same version get the changes since, in place
// of complete lists to all of them at once.
void InheritLists(view_log& log, const view& followed);

// Whether the log contains all changes of the lists since this version.
bool IsKnownVersion(const view_log& log, const view_version& held);

// Records which services have the scope kPlain. Processes with another set get
// complete lists.
void UpdateScope(view_log& log, const configuration& config);

// Records the changes of a registry since the last call. Returns true when
// there are any.
bool UpdateEndpoints(view_log& log, endpoint_registry& registry);

// Record the current items. Return true when they differ from the published
// ones.
bool UpdateEndpoints(view_log& log, const std::vector<endpoint>& endpoints);
bool UpdateWarnings(view_log& log,
                    const std::vector<request_warning>& warnings);
bool UpdateMembers(view_log& log, const view_members& members);
// Records changed items; the others stay.
bool UpdateWeights(view_log& log,
                   const std::vector<engine_weights_entry>& weights);

// Whether the requester has lists to which the changes since can be applied.
bool HasBase(const view_log& log, const view_request& input);

// The count of this term's lists up to which a process has all changes in its
// scope; 0: its lists are of another term or scope.
uint64_t KnownCount(const view_log& log, const view_request& input);

// Whether there are changes, besides the configuration, that the requester does
// not have.
bool HasChangesFor(const view_log& log, const view_request& input);

// Returns the response to `input`, without the configuration.
view_update MakeUpdate(const view_log& log, const view_request& input);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_VIEW_LOG_H_
