#ifndef HICKORYWOOD_FLEET_ENDPOINT_REGISTRY_H_
#define HICKORYWOOD_FLEET_ENDPOINT_REGISTRY_H_

// The endpoints that are known from their heartbeats. Soft state: a new leader
// starts from the copy that it followed, and heartbeats bring it up to date.

#include <chrono>
#include <cstdint>
#include <map>
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

// Names one start of an endpoint, for all that is kept of it. An endpoint may
// start again under its name, and then holds and knows nothing of before.
// `started_ms` is the Unix time of the start by the endpoint's own clock; 0: it
// does not say, and each start has a name of its own.
std::string IncarnationOf(const std::string& name, int64_t started_ms);

// What an endpoint says of itself.
struct heartbeat {
  std::string name;
  int64_t started_ms = 0;
  std::string service;
  std::string address;  // "IP:PORT"
  std::string zone;
  int64_t slots = 0;
  bool is_draining = false;
  int64_t warming_ms = 0;  // how much longer it is slow after its start
  uint64_t sequence = 0;   // rises with each heartbeat
  std::vector<model_version> models;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat, name, started_ms,
                                                service, address, zone, slots,
                                                is_draining, warming_ms,
                                                sequence, models)

bool operator==(const heartbeat& left, const heartbeat& right);

// An endpoint goes on as it last said: a heartbeat that has nothing new but its
// sequence.
struct heartbeat_refresh {
  std::string incarnation;
  uint64_t sequence = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat_refresh, incarnation,
                                                sequence)

// An endpoint says that it is going.
struct departure {
  std::string name;
  int64_t started_ms = 0;  // 0: it does not say
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(departure, name, started_ms)

enum class endpoint_state {
  kReady,
  kDraining,  // takes no new work
  kSilent,    // no heartbeat for a while: it may serve all the same
};
NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_state,
                             {{endpoint_state::kReady, "ready"},
                              {endpoint_state::kDraining, "draining"},
                              {endpoint_state::kSilent, "silent"}})

struct endpoint {
  std::string incarnation;  // of one start, see IncarnationOf()
  std::string name;         // what it answers to
  int64_t started_ms = 0;
  std::string service;
  std::string address;
  std::string zone;
  int64_t slots = 0;
  endpoint_state state = endpoint_state::kReady;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(endpoint, incarnation, name,
                                                started_ms, service, address,
                                                zone, slots, state)

bool operator==(const endpoint& left, const endpoint& right);

struct registry_options {
  // Three heartbeats and a second of delay.
  std::chrono::milliseconds silent_after{4600};
  // A silent endpoint is kept this long: a cut between it and the control group
  // can last, and its callers may reach it all the while.
  std::chrono::milliseconds forget_after{60000};
  // How long an incarnation that left is remembered, so that a heartbeat that
  // was under way can't bring it back.
  std::chrono::milliseconds remember_departed{120000};
};

struct registered_endpoint {
  endpoint item;
  uint64_t sequence = 0;
  core::time_point heard_at{};
};

// The newest start of a name, and one with an older time that goes on talking.
struct known_start {
  int64_t started_ms = 0;
  core::time_point heard_at{};
  int64_t doubted_ms = 0;  // 0: none
  core::time_point doubted_since{};
  uint64_t doubted_sequence = 0;
};

struct endpoint_registry {
  registry_options options;
  std::map<std::string, registered_endpoint> endpoints;  // by incarnation
  std::map<std::string, core::time_point> departed;      // by incarnation
  // Incarnations whose address another one took, with their latest sequence.
  std::map<std::string, uint64_t> superseded;
  std::map<std::string, known_start> starts;  // by name
};

// Takes a heartbeat. True when the list of endpoints changed by it. Heartbeats
// that are older than one taken before, or of an incarnation that is gone,
// change nothing. So do those of an older start than the newest known of their
// name: they were under way when it started again. Only when the newest has
// been silent, and the older one has gone on with rising sequence for as long,
// it is taken: then its clock was set back before it started.
bool TakeHeartbeat(endpoint_registry& registry, const heartbeat& input,
                   core::time_point now);

// Takes a refresh as the heartbeat that it stands for. False when no such
// endpoint is known: its heartbeat is wanted whole.
bool Refresh(endpoint_registry& registry, const heartbeat_refresh& input,
             core::time_point now);

// Takes the word of an endpoint that it is going; that of an older start takes
// out no newer one. True when the list changed.
bool TakeLeave(endpoint_registry& registry, const departure& input,
               core::time_point now);

// Marks and forgets endpoints that fell silent. True when the list changed.
bool ExpireEndpoints(endpoint_registry& registry, core::time_point now);

// Fills an empty registry from a list that was followed: the endpoints count as
// heard at `now`.
void AdoptEndpoints(endpoint_registry& registry,
                    const std::vector<endpoint>& endpoints,
                    core::time_point now);

std::vector<endpoint> ListEndpoints(const endpoint_registry& registry);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_ENDPOINT_REGISTRY_H_
