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
  item.state =
      input.is_draining ? endpoint_state::kDraining : endpoint_state::kReady;
  return item;
}

// Whether a heartbeat of an incarnation whose address another one took counts.
// Delayed heartbeats of a process that is gone come in once; a process that
// lives and was replaced by mistake goes on with rising sequence.
bool IsBack(endpoint_registry& registry, const heartbeat& input) {
  const auto found = registry.superseded.find(IncarnationOf(input));
  if (found == registry.superseded.end()) return true;
  const bool has_gone_on = input.sequence > found->second + 1;
  if (!has_gone_on) return false;
  registry.superseded.erase(found);
  return true;
}

// Whether a heartbeat is of the newest start of its name, and keeps count of
// the starts.
bool IsNewestStart(endpoint_registry& registry, const heartbeat& input,
                   core::time_point now) {
  known_start& known = registry.starts[input.name];
  if (input.started_ms >= known.started_ms) {
    known = {input.started_ms, now};
    return true;
  }
  if (now - known.heard_at < registry.options.silent_after) return false;
  const bool goes_on = known.doubted_ms == input.started_ms &&
                       input.sequence > known.doubted_sequence;
  if (!goes_on) {
    known.doubted_ms = input.started_ms;
    known.doubted_since = now;
  }
  known.doubted_sequence = input.sequence;
  // What was held up on the way comes in within moments; a process that lives
  // goes on.
  if (now - known.doubted_since < registry.options.silent_after) return false;
  known = {input.started_ms, now};
  return true;
}

// An address belongs to the incarnation that announced it last, and a name to
// its newest start.
void TakePlace(endpoint_registry& registry, const heartbeat& input) {
  const std::string incarnation = IncarnationOf(input);
  auto& endpoints = registry.endpoints;
  for (auto item = endpoints.begin(); item != endpoints.end();) {
    const endpoint& held = item->second.item;
    const bool is_other =
        item->first != incarnation &&
        (held.address == input.address || held.name == input.name);
    if (!is_other) {
      ++item;
      continue;
    }
    registry.superseded[item->first] = item->second.sequence;
    item = endpoints.erase(item);
  }
}

}  // namespace

std::string IncarnationOf(const std::string& name, int64_t started_ms) {
  return started_ms == 0 ? name : name + "@" + std::to_string(started_ms);
}

// The name and the start follow from the incarnation.
bool operator==(const endpoint& left, const endpoint& right) {
  const auto fields = [](const endpoint& item) {
    return std::tie(item.incarnation, item.service, item.address, item.zone,
                    item.slots, item.state);
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
                    item.sequence, item.models);
  };
  return fields(left) == fields(right);
}

bool TakeHeartbeat(endpoint_registry& registry, const heartbeat& input,
                   core::time_point now) {
  const std::string incarnation = IncarnationOf(input);
  if (registry.departed.count(incarnation) != 0) return false;
  if (!IsNewestStart(registry, input, now)) return false;
  const auto known = registry.endpoints.find(incarnation);
  if (known != registry.endpoints.end()) {
    if (input.sequence <= known->second.sequence) return false;
  } else if (!IsBack(registry, input)) {
    return false;
  }
  // One that is known under this address has taken its place before. Looking at
  // all endpoints for each heartbeat is quadratic in them.
  const bool has_place = known != registry.endpoints.end() &&
                         known->second.item.address == input.address;
  if (!has_place) TakePlace(registry, input);
  registered_endpoint& entry = registry.endpoints[incarnation];
  endpoint fresh = ToEndpoint(input);
  // An endpoint that said it is leaving does not come back under the same id.
  if (entry.item.state == endpoint_state::kDraining) {
    fresh.state = endpoint_state::kDraining;
  }
  const bool is_changed = !(entry.item == fresh);
  entry = {std::move(fresh), input.sequence, now};
  return is_changed;
}

bool Refresh(endpoint_registry& registry, const heartbeat_refresh& input,
             core::time_point now) {
  const auto known = registry.endpoints.find(input.incarnation);
  if (known == registry.endpoints.end()) return false;
  registered_endpoint& entry = known->second;
  // A silent one that is back changes the list, as its heartbeat would.
  if (entry.item.state == endpoint_state::kSilent) return false;
  if (input.sequence <= entry.sequence) return true;
  entry.sequence = input.sequence;
  entry.heard_at = now;
  known_start& start = registry.starts[entry.item.name];
  if (start.started_ms == entry.item.started_ms) start.heard_at = now;
  return true;
}

bool TakeLeave(endpoint_registry& registry, const departure& input,
               core::time_point now) {
  // One that does not say when it started speaks for the newest start.
  const auto known = registry.starts.find(input.name);
  const bool speaks_for_newest =
      input.started_ms == 0 && known != registry.starts.end();
  const std::string incarnation =
      IncarnationOf(input.name, speaks_for_newest ? known->second.started_ms
                                                  : input.started_ms);
  registry.departed[incarnation] = now;
  registry.superseded.erase(incarnation);
  return registry.endpoints.erase(incarnation) != 0;
}

bool ExpireEndpoints(endpoint_registry& registry, core::time_point now) {
  const registry_options& options = registry.options;
  bool is_changed = false;
  auto& endpoints = registry.endpoints;
  for (auto item = endpoints.begin(); item != endpoints.end();) {
    registered_endpoint& entry = item->second;
    const auto silence = now - entry.heard_at;
    if (silence >= options.forget_after) {
      item = endpoints.erase(item);
      is_changed = true;
      continue;
    }
    if (silence >= options.silent_after &&
        entry.item.state == endpoint_state::kReady) {
      entry.item.state = endpoint_state::kSilent;
      is_changed = true;
    }
    ++item;
  }
  std::erase_if(registry.departed, [&](const auto& item) {
    return now - item.second >= options.remember_departed;
  });
  std::erase_if(registry.starts, [&](const auto& item) {
    return now - item.second.heard_at >= options.remember_departed;
  });
  return is_changed;
}

void AdoptEndpoints(endpoint_registry& registry,
                    const std::vector<endpoint>& endpoints,
                    core::time_point now) {
  for (const endpoint& item : endpoints) {
    registered_endpoint& entry = registry.endpoints[item.incarnation];
    entry.item = item;
    entry.heard_at = now;
    registry.starts[item.name] = {item.started_ms, now};
  }
}

std::vector<endpoint> ListEndpoints(const endpoint_registry& registry) {
  std::vector<endpoint> list;
  list.reserve(registry.endpoints.size());
  for (const auto& item : registry.endpoints) list.push_back(item.second.item);
  return list;
}

}  // namespace hickorywood::fleet
