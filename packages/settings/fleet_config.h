#ifndef HICKORYWOOD_SETTINGS_FLEET_CONFIG_H_
#define HICKORYWOOD_SETTINGS_FLEET_CONFIG_H_

// The configuration of the fleet: one base file and one overlay per site, which
// are merged for each site.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/finding.h"

namespace hickorywood::settings {

using std::chrono::milliseconds;

// Scope of the base file in submissions, in place of the name of a site.
constexpr char kBaseScope[] = "base";

struct pool_config {
  std::string model;
  int64_t staleness_bound = 0;  // versions
  milliseconds weights_deadline{0};
  int64_t engine_concurrency = 0;
  milliseconds queue_wait{0};
  // Minimum share of engines that keep serving during a weight swap.
  double swap_floor = 0;
  milliseconds progress_timeout{0};
  double hedge_after = 0;  // multiple of the median duration
  // Share of the step's tokens that hedges may generate in addition.
  double hedge_token_budget = 0;
};

// A route whose requests must not be repeated.
struct route_rule {
  std::string method;
  std::string path_prefix;
};

struct service_config {
  milliseconds timeout{0};
  std::vector<route_rule> non_idempotent;
  int64_t endpoint_concurrency = 0;
};

struct trainer_config {
  int64_t weight = 1;
  std::string pool;
};

struct routing_config {
  double retry_budget = 0;  // retries as a share of successful requests
  int64_t ejection_failures = 0;
  milliseconds ejection_time{0};
  double ejection_floor = 0;  // minimum share of endpoints that are not ejected
  milliseconds connect_timeout{0};
};

struct claims_config {
  milliseconds retention{0};
  int64_t maximum = 0;
  int64_t answer_bytes = 0;
};

struct weights_config {
  double orders_per_second = 0;
  milliseconds order_timeout{0};
};

struct objectives_config {
  double trainer_idle_share = 0;
  double staleness_versions = 0;
  double fresh_share = 0;
  double steps_on_time_share = 0;
  milliseconds acknowledgement_time{0};
  double acknowledgement_share = 0;
};

// The merged configuration of one site.
struct site_config {
  std::map<std::string, pool_config> pools;
  std::map<std::string, service_config> services;
  std::map<std::string, trainer_config> trainers;
  routing_config routing;
  claims_config claims;
  weights_config weights;
  objectives_config objectives;
};

// A configuration file as submitted.
struct config_text {
  std::string file;  // name used in findings
  std::string text;
};

// Validates `base` merged with each overlay (by site) and returns the merged
// configuration of every site. If there are errors, returns nothing and adds
// all of them to `findings`.
std::optional<std::map<std::string, site_config>> CheckFleet(
    const config_text& base, const std::map<std::string, config_text>& overlays,
    std::vector<core::finding>& findings);

// Returns the merged configuration of `site`, which may have no overlay. The
// texts must have passed CheckFleet(); otherwise returns nothing, with reason
// kInvalid.
std::optional<site_config> ConfigForSite(
    const config_text& base, const std::map<std::string, config_text>& overlays,
    const std::string& site);

}  // namespace hickorywood::settings

#endif  // HICKORYWOOD_SETTINGS_FLEET_CONFIG_H_
