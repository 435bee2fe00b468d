#include "fleet/endpoint_registry.h"

#include <algorithm>
#include <tuple>

namespace hickorywood::fleet {
namespace {

std::string IncarnationOf(const heartbeat& input) {
  return fleet::IncarnationOf(input.name, input.started_ms);
}

endpoint ToEndpoint(const heartbeat& input) {
  endpoint item;
  item.incarnation = IncarnationOf(input);
  item.name = input.name;
  item.started_ms = input.started_ms;
  item.service = input.service;
  item.address = input.address;
  item.zone = input.zone;
  item.slots = input.slots;
  item.is_spot = input.is_spot;
  item.state =
      input.is_draining ? endpoint_state::kDraining : endpoint_state::kReady;
  return item;
}

// Whether to apply a heartbeat of an incarnation whose address another one
// announced. Delayed heartbeats of a terminated process arrive once. A live
// process that was replaced by mistake sends further heartbeats with increasing
// sequence.
bool HasResumed(endpoint_registry& registry, const heartbeat& input) {
  const auto found = registry.superseded.find(IncarnationOf(input));
  if (found == registry.superseded.end()) return true;
  const bool has_continued = input.sequence > found->second + 1;
  if (!has_continued) return false;
  registry.superseded.erase(found);
  return true;
}

// Whether a heartbeat is of the newest incarnation of its name. Updates the
// history of the name.
bool IsNewestIncarnation(endpoint_registry& registry, const heartbeat& input,
                         core::time_point now) {
  incarnation_history& last = registry.incarnations[input.name];
  if (input.started_ms >= last.started_ms) {
    last = {input.started_ms, now};
    return true;
  }
  if (now - last.seen_at < registry.options.unresponsive_after) return false;
  const bool is_next_of_older =
      last.older_ms == input.started_ms && input.sequence > last.older_sequence;
  if (!is_next_of_older) {
    last.older_ms = input.started_ms;
    last.older_from = now;
  }
  last.older_sequence = input.sequence;
  // Delayed heartbeats arrive within a short time; a live process sends
  // heartbeats for longer.
  if (now - last.older_from < registry.options.unresponsive_after) return false;
  last = {input.started_ms, now};
  return true;
}

// An unknown state is that of an endpoint that must get no new work.
endpoint_state ToState(int number) {
  switch (number) {
    case static_cast<int>(endpoint_state::kReady):
      return endpoint_state::kReady;
    case static_cast<int>(endpoint_state::kUnresponsive):
      return endpoint_state::kUnresponsive;
    default:
      return endpoint_state::kDraining;
  }
}

using incarnation_index = std::map<std::string, std::set<std::string>>;

void RemoveFromIndex(incarnation_index& index, const std::string& key,
                     const std::string& incarnation) {
  const auto found = index.find(key);
  if (found == index.end()) return;
  found->second.erase(incarnation);
  if (found->second.empty()) index.erase(found);
}

// Adds an endpoint, or replaces the one with the same incarnation.
void Insert(endpoint_registry& registry, registered_endpoint fresh) {
  const endpoint& item = fresh.item;
  const std::string incarnation = item.incarnation;
  const auto listed = registry.endpoints.find(incarnation);
  if (listed != registry.endpoints.end() &&
      listed->second.item.address != item.address) {
    RemoveFromIndex(registry.by_address, listed->second.item.address,
                    incarnation);
  }
  registry.unpublished.insert(incarnation);
  registry.by_address[item.address].insert(incarnation);
  registry.by_name[item.name].insert(incarnation);
  registry.endpoints[incarnation] = std::move(fresh);
}

using endpoint_iterator = std::map<std::string, registered_endpoint>::iterator;

// Removes an endpoint and returns the next one.
endpoint_iterator Erase(endpoint_registry& registry, endpoint_iterator item) {
  const endpoint& removed = item->second.item;
  registry.unpublished.insert(item->first);
  RemoveFromIndex(registry.by_address, removed.address, item->first);
  RemoveFromIndex(registry.by_name, removed.name, item->first);
  return registry.endpoints.erase(item);
}

void AddOthers(const incarnation_index& index, const std::string& key,
               const std::string& incarnation, std::set<std::string>& others) {
  const auto found = index.find(key);
  if (found == index.end()) return;
  others.insert(found->second.begin(), found->second.end());
  others.erase(incarnation);
}

// Removes other endpoints with the same address or name: an address belongs to
// the incarnation that announced it last, and a name to its newest incarnation.
void ReplaceOthers(endpoint_registry& registry, const heartbeat& input) {
  const std::string incarnation = IncarnationOf(input);
  std::set<std::string> others;
  AddOthers(registry.by_address, input.address, incarnation, others);
  AddOthers(registry.by_name, input.name, incarnation, others);
  for (const std::string& other : others) {
    const auto listed = registry.endpoints.find(other);
    registry.superseded[other] = listed->second.sequence;
    Erase(registry, listed);
  }
}

}  // namespace

std::string IncarnationOf(const std::string& name, int64_t started_ms) {
  return started_ms == 0 ? name : name + "@" + std::to_string(started_ms);
}

void to_json(nlohmann::json& output, const endpoint& item) {
  // Most incarnations are named like their endpoint.
  const bool is_named_alike = item.incarnation == item.name;
  output = nlohmann::json::array(
      {is_named_alike ? nlohmann::json() : nlohmann::json(item.incarnation),
       item.name, item.started_ms, item.service, item.address, item.zone,
       item.slots, static_cast<int>(item.state), item.is_spot});
}

void from_json(const nlohmann::json& input, endpoint& item) {
  size_t field = 0;
  const nlohmann::json& incarnation = input.at(field++);
  item.name = input.at(field++).get<std::string>();
  item.incarnation =
      incarnation.is_null() ? item.name : incarnation.get<std::string>();
  item.started_ms = input.at(field++).get<int64_t>();
  item.service = input.at(field++).get<std::string>();
  item.address = input.at(field++).get<std::string>();
  item.zone = input.at(field++).get<std::string>();
  item.slots = input.at(field++).get<int64_t>();
  item.state = ToState(input.at(field++).get<int>());
  item.is_spot = input.at(field++).get<bool>();
}

// The incarnation determines the name and the start time.
bool operator==(const endpoint& left, const endpoint& right) {
  const auto fields = [](const endpoint& item) {
    return std::tie(item.incarnation, item.service, item.address, item.zone,
                    item.slots, item.state, item.is_spot);
  };
  return fields(left) == fields(right);
}

bool operator==(const model_version& left, const model_version& right) {
  return left.model == right.model && left.version == right.version;
}

bool operator==(const heartbeat& left, const heartbeat& right) {
  const auto fields = [](const heartbeat& item) {
    return std::tie(item.name, item.started_ms, item.service, item.address,
                    item.zone, item.slots, item.is_draining, item.warming_ms,
                    item.sequence, item.models, item.is_spot, item.leaves_ms);
  };
  return fields(left) == fields(right);
}

bool ApplyHeartbeat(endpoint_registry& registry, const heartbeat& input,
                    core::time_point now) {
  const std::string incarnation = IncarnationOf(input);
  if (registry.departed.count(incarnation) != 0) return false;
  if (!IsNewestIncarnation(registry, input, now)) return false;
  const auto listed = registry.endpoints.find(incarnation);
  if (listed != registry.endpoints.end()) {
    if (input.sequence <= listed->second.sequence) return false;
  } else if (!HasResumed(registry, input)) {
    return false;
  }
  // An endpoint that is listed with this address has replaced the others
  // before.
  const bool is_listed = listed != registry.endpoints.end();
  const bool has_replaced_others =
      is_listed && listed->second.item.address == input.address;
  if (!has_replaced_others) ReplaceOthers(registry, input);
  endpoint fresh = ToEndpoint(input);
  // A draining endpoint does not become ready again in the same incarnation.
  const bool is_draining =
      (is_listed && listed->second.item.state == endpoint_state::kDraining) ||
      registry.draining.count(incarnation) != 0;
  if (is_draining) fresh.state = endpoint_state::kDraining;
  const bool is_changed = !is_listed || !(listed->second.item == fresh);
  if (is_changed) {
    Insert(registry, {std::move(fresh), input.sequence, now});
  } else {
    listed->second.sequence = input.sequence;
    listed->second.last_heartbeat_at = now;
  }
  return is_changed;
}

bool ApplyRefresh(endpoint_registry& registry, const heartbeat_refresh& input,
                  core::time_point now) {
  const auto listed = registry.endpoints.find(input.incarnation);
  if (listed == registry.endpoints.end()) return false;
  registered_endpoint& entry = listed->second;
  // The return of an unresponsive endpoint changes the list, which needs its
  // heartbeat.
  if (entry.item.state == endpoint_state::kUnresponsive) return false;
  if (input.sequence <= entry.sequence) return true;
  entry.sequence = input.sequence;
  entry.last_heartbeat_at = now;
  incarnation_history& last = registry.incarnations[entry.item.name];
  if (last.started_ms == entry.item.started_ms) last.seen_at = now;
  return true;
}

std::string DepartingIncarnation(const endpoint_registry& registry,
                                 const departure& input) {
  const auto last = registry.incarnations.find(input.name);
  const bool is_of_newest =
      input.started_ms == 0 && last != registry.incarnations.end();
  return IncarnationOf(
      input.name, is_of_newest ? last->second.started_ms : input.started_ms);
}

bool ApplyLeaving(endpoint_registry& registry, const leaving_endpoint& input,
                  core::time_point now) {
  if (input.has_left) {
    registry.departed[input.incarnation] = now;
    registry.draining.erase(input.incarnation);
    registry.superseded.erase(input.incarnation);
    const auto removed = registry.endpoints.find(input.incarnation);
    if (removed == registry.endpoints.end()) return false;
    Erase(registry, removed);
    return true;
  }
  registry.draining[input.incarnation] = now;
  const auto listed = registry.endpoints.find(input.incarnation);
  const bool is_changed =
      listed != registry.endpoints.end() &&
      listed->second.item.state != endpoint_state::kDraining;
  if (is_changed) {
    listed->second.item.state = endpoint_state::kDraining;
    registry.unpublished.insert(input.incarnation);
  }
  return is_changed;
}

bool ExpireEndpoints(endpoint_registry& registry, core::time_point now) {
  const registry_options& options = registry.options;
  bool is_changed = false;
  auto& endpoints = registry.endpoints;
  for (auto item = endpoints.begin(); item != endpoints.end();) {
    registered_endpoint& entry = item->second;
    const auto time_since_heartbeat = now - entry.last_heartbeat_at;
    if (time_since_heartbeat >= options.remove_after) {
      item = Erase(registry, item);
      is_changed = true;
      continue;
    }
    if (time_since_heartbeat >= options.unresponsive_after &&
        entry.item.state == endpoint_state::kReady) {
      entry.item.state = endpoint_state::kUnresponsive;
      registry.unpublished.insert(item->first);
      is_changed = true;
    }
    ++item;
  }
  const auto is_expired = [&](const auto& item) {
    return now - item.second >= options.departed_retention;
  };
  std::erase_if(registry.departed, is_expired);
  std::erase_if(registry.draining, is_expired);
  std::erase_if(registry.incarnations, [&](const auto& item) {
    return now - item.second.seen_at >= options.departed_retention;
  });
  return is_changed;
}

void AdoptEndpoints(endpoint_registry& registry,
                    const std::vector<endpoint>& endpoints,
                    core::time_point now) {
  registry.endpoints.clear();
  registry.by_address.clear();
  registry.by_name.clear();
  registry.unpublished.clear();
  for (const endpoint& item : endpoints) {
    Insert(registry, {item, 0, now});
    registry.incarnations[item.name] = {item.started_ms, now};
  }
}

std::vector<endpoint> ListEndpoints(const endpoint_registry& registry) {
  std::vector<endpoint> list;
  list.reserve(registry.endpoints.size());
  for (const auto& item : registry.endpoints) list.push_back(item.second.item);
  return list;
}

}  // namespace hickorywood::fleet
