#ifndef HICKORYWOOD_FLEET_ENDPOINT_REGISTRY_H_
#define HICKORYWOOD_FLEET_ENDPOINT_REGISTRY_H_

// The endpoints that send heartbeats. Soft state: a new leader starts from its
// copy of the view, and heartbeats update it.

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace hickorywood::fleet {

struct model_version {
  std::string model;
  uint64_t version = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(model_version, model, version)

// Returns the identifier of one incarnation of an endpoint. An endpoint may
// restart under its name, and then has none of its former state. `started_ms`
// is the Unix time of the start by the clock of the endpoint; 0: the endpoint
// does not report it, and has another name in each incarnation.
std::string IncarnationOf(const std::string& name, int64_t started_ms);

// The state that an endpoint reports periodically.
struct heartbeat {
  std::string name;
  int64_t started_ms = 0;
  std::string service;
  std::string address;  // "IP:PORT"
  std::string zone;
  int64_t slots = 0;
  bool is_draining = false;
  int64_t warming_ms = 0;  // remaining time of its slow phase after the start
  uint64_t sequence = 0;   // increases with each heartbeat
  std::vector<model_version> models;
  bool is_spot = false;  // the provider may reclaim it
  // Remaining time of an endpoint that is being reclaimed; 0: it is not.
  int64_t leaves_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat, name, started_ms,
                                                service, address, zone, slots,
                                                is_draining, warming_ms,
                                                sequence, models, is_spot,
                                                leaves_ms)

bool operator==(const heartbeat& left, const heartbeat& right);

// A heartbeat that equals the previous one of its incarnation but for the
// sequence.
struct heartbeat_refresh {
  std::string incarnation;
  uint64_t sequence = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat_refresh, incarnation,
                                                sequence)

// An endpoint reports that it is leaving.
struct departure {
  std::string name;
  int64_t started_ms = 0;  // 0: not reported
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(departure, name, started_ms)

// An endpoint whose departure or draining was reported. It gets no new work in
// this incarnation.
struct leaving_endpoint {
  std::string incarnation;
  bool has_left = false;  // false: it is draining and stays in the list
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(leaving_endpoint, incarnation,
                                                has_left)

enum class endpoint_state {
  kReady,
  kDraining,      // accepts no new work
  kUnresponsive,  // no heartbeat within the timeout; it may still serve
};
NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_state,
                             {{endpoint_state::kReady, "ready"},
                              {endpoint_state::kDraining, "draining"},
                              {endpoint_state::kUnresponsive, "silent"}})

struct endpoint {
  std::string incarnation;  // see IncarnationOf()
  std::string name;         // under which it accepts requests
  int64_t started_ms = 0;
  std::string service;
  std::string address;
  std::string zone;
  int64_t slots = 0;
  endpoint_state state = endpoint_state::kReady;
  bool is_spot = false;  // the provider may reclaim it
};
// Encoded as an array without field names: a complete list of 10,000 endpoints
// has 0.6 MB instead of 1.5 MB.
// NOLINTBEGIN(readability-identifier-naming): the library looks for these names
void to_json(nlohmann::json& output, const endpoint& item);
void from_json(const nlohmann::json& input, endpoint& item);
// NOLINTEND(readability-identifier-naming)

bool operator==(const endpoint& left, const endpoint& right);

struct registry_options {
  // Three heartbeats and a second for delays.
  std::chrono::milliseconds unresponsive_after{4600};
  // How long an unresponsive endpoint stays in the list: a network partition
  // between it and the control group can last, while its callers may still
  // reach it.
  std::chrono::milliseconds remove_after{60000};
  // How long an incarnation that left is recorded, so that a delayed heartbeat
  // does not add it again.
  std::chrono::milliseconds departed_retention{120000};
};

struct registered_endpoint {
  endpoint item;
  uint64_t sequence = 0;
  core::time_point last_heartbeat_at{};
};

// The newest incarnation of a name, and an older one that still sends
// heartbeats and may turn out to be the live one.
struct incarnation_history {
  int64_t started_ms = 0;
  core::time_point seen_at{};     // last heartbeat of the newest one
  int64_t older_ms = 0;           // start of the older one; 0: none
  core::time_point older_from{};  // when its heartbeats began to count
  uint64_t older_sequence = 0;
};

struct endpoint_registry {
  registry_options options;
  std::map<std::string, registered_endpoint> endpoints;  // by incarnation
  // Incarnations of `endpoints`, by the address and by the name under which
  // they are listed.
  std::map<std::string, std::set<std::string>> by_address;
  std::map<std::string, std::set<std::string>> by_name;
  // Incarnations that were added, changed or removed and are not published yet.
  std::set<std::string> unpublished;
  // When it was recorded that endpoints have left or are draining, by
  // incarnation.
  std::map<std::string, core::time_point> departed;
  std::map<std::string, core::time_point> draining;
  // Incarnations whose address another incarnation announced, with their latest
  // sequence.
  std::map<std::string, uint64_t> superseded;
  std::map<std::string, incarnation_history> incarnations;  // by name
};

// Applies a heartbeat. Returns true when the list of endpoints changed.
// Heartbeats that are older than an applied one, or of an incarnation that
// left, are ignored. So are those of an older incarnation than the newest one
// of their name, since they were in transit when the endpoint restarted. There
// is one exception: when the newest incarnation has been unresponsive, and the
// older one has sent heartbeats with increasing sequence for as long, the older
// one is accepted, because its clock was set back before it started.
bool ApplyHeartbeat(endpoint_registry& registry, const heartbeat& input,
                    core::time_point now);

// Applies a refresh like the heartbeat that it replaces. Returns false when
// the complete heartbeat is needed: there is no such endpoint, or it was
// unresponsive.
bool ApplyRefresh(endpoint_registry& registry, const heartbeat_refresh& input,
                  core::time_point now);

// Returns the incarnation that a departure refers to: without a start time, the
// newest one of its name.
std::string DepartingIncarnation(const endpoint_registry& registry,
                                 const departure& input);

// Applies that an endpoint is leaving: it is removed, or it is draining from
// now on. Other incarnations stay. Returns true when the list changed.
bool ApplyLeaving(endpoint_registry& registry, const leaving_endpoint& input,
                  core::time_point now);

// Marks unresponsive endpoints, and removes them after a while. Returns true
// when the list changed.
bool ExpireEndpoints(endpoint_registry& registry, core::time_point now);

// Replaces the endpoints of a registry by those of a view. The time of the last
// heartbeat of each endpoint is set to `now`.
void AdoptEndpoints(endpoint_registry& registry,
                    const std::vector<endpoint>& endpoints,
                    core::time_point now);

std::vector<endpoint> ListEndpoints(const endpoint_registry& registry);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_ENDPOINT_REGISTRY_H_
