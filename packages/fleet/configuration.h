#ifndef HICKORYWOOD_FLEET_CONFIGURATION_H_
#define HICKORYWOOD_FLEET_CONFIGURATION_H_

// The configuration of a deployment: which requests are routed to which
// service, and under which conditions.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/json.h"

namespace hickorywood::fleet {

// Whether a request of a route may run more than once.
enum class route_kind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs at most once for each request
  kStream,         // the response is a stream of events
  kRollout,        // a step: many tasks, submitted in one request and run later
};
NLOHMANN_JSON_SERIALIZE_ENUM(route_kind,
                             {{route_kind::kNonIdempotent, "non_idempotent"},
                              {route_kind::kIdempotent, "idempotent"},
                              {route_kind::kStream, "stream"},
                              {route_kind::kRollout, "rollout"}})

// One of the services that share a route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;

  bool operator==(const weighted_service& other) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(weighted_service, service,
                                                weight)

struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  route_kind kind = route_kind::kNonIdempotent;
  std::vector<weighted_service> services;
  int64_t timeout_ms = 0;    // time limit of a request
  int64_t objective_ms = 0;  // latency that the callers expect
  int64_t priority = 0;      // 0 is the most urgent
  int64_t max_attempts = 1;  // endpoints that a request may be sent to
  int64_t due_ms = 0;        // steps: time from submission to the last result
  int64_t task_lifetime_ms = 0;  // steps: age at which a task may be abandoned
  bool is_single_version = false;  // steps: one weight version per result
  bool is_resumable = false;
  bool is_public = false;  // needs no key, also if other routes do

  bool operator==(const route& other) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    route, name, host, path_prefix, kind, services, timeout_ms, objective_ms,
    priority, max_attempts, due_ms, task_lifetime_ms, is_single_version,
    is_resumable, is_public)

// The capacity of the endpoints of a service that are model engines.
struct engine_shape {
  int64_t slots = 0;  // requests in one batch
  int64_t kv_tokens = 0;
  int64_t tokens_per_event = 0;  // 0: unknown
  std::vector<std::string> models;

  bool operator==(const engine_shape& other) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_shape, slots, kv_tokens,
                                                tokens_per_event, models)

// Terms on which the provider runs servers of a service. All of them are billed
// by the second.
struct service_scaling {
  int64_t min = 0;  // servers in each zone, both kinds together
  int64_t max = 0;
  double startup_s = 0;  // from the order until a new server serves
  // Price of a spot server, relative to a regular one; 0: there are none.
  double spot_price = 0;
  std::map<std::string, double> zone_prices;  // of a regular server

  bool operator==(const service_scaling& other) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_scaling, min, max,
                                                startup_s, spot_price,
                                                zone_prices)

struct service {
  std::string name;
  std::string health_path;
  int64_t max_connections = 0;
  bool has_engines = false;
  engine_shape engine;
  bool has_scaling = false;  // servers may be ordered
  service_scaling scaling;

  bool operator==(const service& other) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service, name, health_path,
                                                max_connections, has_engines,
                                                engine, has_scaling, scaling)

// Limits of a caller's requests; 0: the default of the listener.
struct request_limits {
  int64_t header_bytes = 0;
  int64_t body_bytes = 0;
  int64_t header_timeout_ms = 0;
  int64_t idle_timeout_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(request_limits, header_bytes,
                                                body_bytes, header_timeout_ms,
                                                idle_timeout_ms)

// A customer whose callers identify themselves by one of its keys.
struct customer {
  std::string name;
  std::vector<std::string> keys;
  // Replaces the priority of the routes; -1: none.
  int64_t priority = -1;

  bool operator==(const customer& other) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(customer, name, keys, priority)

struct configuration {
  uint64_t version = 0;  // 0: none yet
  std::vector<route> routes;
  std::vector<service> services;
  request_limits limits;
  // Whether requests of routes that are not public need the key of a customer.
  bool needs_keys = false;
  std::vector<customer> customers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(configuration, version, routes,
                                                services, limits, needs_keys,
                                                customers)

// Returns the faults of a configuration: routes to unknown services, two routes
// with the same host and prefix, weights with the sum 0, a timeout of 0, a key
// of two customers. Empty: the configuration is valid.
std::vector<std::string> CheckConfiguration(const configuration& config);

// Returns the route of a request: among those of its host the one with the
// longest prefix of its path. nullptr: none.
const route* FindRoute(const configuration& config, std::string_view host,
                       std::string_view path);

// Returns the route of a step that was accepted earlier, by the route with the
// prefix `accepted_prefix`: that route as long as the configuration has it, or
// else the route for steps that now has the path of the submission. A route
// that is added inside of the accepted one changes nothing for the step.
// nullptr: its route has ended. `accepted_prefix` may be empty: unknown.
const route* FindRouteOfStep(const configuration& config, std::string_view host,
                             std::string_view accepted_prefix,
                             std::string_view path);

// Whether callers of steps at this host need no key: it has a public route for
// steps. The calls about a submitted step contain the host, but not the path of
// the route.
bool HasPublicSteps(const configuration& config, std::string_view host);

const service* FindService(const configuration& config, std::string_view name);

// Selects the service for a request of the route `where` by weight, with `draw`
// in [0, 1). Returns an empty name when all weights are 0.
std::string_view DrawService(const route& where, double draw);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_CONFIGURATION_H_
