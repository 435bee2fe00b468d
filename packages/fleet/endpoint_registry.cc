#include "fleet/endpoint_registry.h"

#include <algorithm>
#include <tuple>

namespace hickorywood::fleet {
namespace {

endpoint ToEndpoint(const heartbeat& input) {
  endpoint item;
  item.incarnation = input.incarnation;
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
  const auto found = registry.superseded.find(input.incarnation);
  if (found == registry.superseded.end()) return true;
  const bool has_gone_on = input.sequence > found->second + 1;
  if (!has_gone_on) return false;
  registry.superseded.erase(found);
  return true;
}

// An address belongs to the incarnation that announced it last.
void TakeAddress(endpoint_registry& registry, const heartbeat& input) {
  auto& endpoints = registry.endpoints;
  for (auto item = endpoints.begin(); item != endpoints.end();) {
    const bool is_other = item->first != input.incarnation &&
                          item->second.item.address == input.address;
    if (!is_other) {
      ++item;
      continue;
    }
    registry.superseded[item->first] = item->second.sequence;
    item = endpoints.erase(item);
  }
}

}  // namespace

bool operator==(const endpoint& left, const endpoint& right) {
  const auto fields = [](const endpoint& item) {
    return std::tie(item.incarnation, item.service, item.address, item.zone,
                    item.slots, item.state);
  };
  return fields(left) == fields(right);
}

bool TakeHeartbeat(endpoint_registry& registry, const heartbeat& input,
                   core::time_point now) {
  if (registry.departed.count(input.incarnation) != 0) return false;
  const auto known = registry.endpoints.find(input.incarnation);
  if (known != registry.endpoints.end()) {
    if (input.sequence <= known->second.sequence) return false;
  } else if (!IsBack(registry, input)) {
    return false;
  }
  TakeAddress(registry, input);
  registered_endpoint& entry = registry.endpoints[input.incarnation];
  endpoint fresh = ToEndpoint(input);
  // An endpoint that said it is leaving does not come back under the same id.
  if (entry.item.state == endpoint_state::kDraining) {
    fresh.state = endpoint_state::kDraining;
  }
  const bool is_changed = !(entry.item == fresh);
  entry = {std::move(fresh), input.sequence, now, input.models};
  return is_changed;
}

bool TakeLeave(endpoint_registry& registry, const std::string& incarnation,
               core::time_point now) {
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
  return is_changed;
}

void AdoptEndpoints(endpoint_registry& registry,
                    const std::vector<endpoint>& endpoints,
                    core::time_point now) {
  for (const endpoint& item : endpoints) {
    registered_endpoint& entry = registry.endpoints[item.incarnation];
    entry.item = item;
    entry.heard_at = now;
  }
}

std::vector<endpoint> ListEndpoints(const endpoint_registry& registry) {
  std::vector<endpoint> list;
  list.reserve(registry.endpoints.size());
  for (const auto& item : registry.endpoints) list.push_back(item.second.item);
  return list;
}

}  // namespace hickorywood::fleet
