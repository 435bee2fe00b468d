#include "settings/fleet_config.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/reason.h"
#include "settings/yaml_document.h"

namespace hickorywood::settings {
namespace {

std::optional<route_rule> ParseRoute(const std::string& text) {
  static const auto* const kMethods =
      new std::set<std::string>{"GET", "PUT", "POST", "PATCH", "DELETE"};
  const size_t blank = text.find(' ');
  if (blank == std::string::npos) return std::nullopt;
  route_rule rule{text.substr(0, blank), text.substr(blank + 1)};
  const bool is_valid = kMethods->count(rule.method) != 0 &&
                        !rule.path_prefix.empty() &&
                        rule.path_prefix[0] == '/' &&
                        rule.path_prefix.find(' ') == std::string::npos;
  if (!is_valid) return std::nullopt;
  return rule;
}

void AddFinding(const located_value& location, std::string text,
                std::vector<core::finding>& findings) {
  findings.push_back(
      {location.file, location.line, location.column, std::move(text)});
}

bool IsAtSite(const tree_reader& reader, const std::string& path,
              const std::string& site) {
  const std::vector<std::string> sites = reader.List(path + ".sites");
  return sites.empty() ||
         std::find(sites.begin(), sites.end(), site) != sites.end();
}

pool_config ReadPool(const tree_reader& reader, const std::string& path) {
  pool_config pool;
  pool.model = reader.Text(path + ".model");
  pool.staleness_bound = reader.Integer(path + ".staleness_bound");
  pool.weights_deadline = reader.Duration(path + ".weights_deadline");
  pool.engine_concurrency = reader.Integer(path + ".engine_concurrency");
  pool.queue_wait = reader.Duration(path + ".queue_wait");
  pool.swap_floor = reader.Number(path + ".swap_floor");
  pool.progress_timeout = reader.Duration(path + ".progress_timeout");
  pool.hedge_after = reader.Number(path + ".hedge_after");
  pool.hedge_token_budget = reader.Number(path + ".hedge_token_budget");
  return pool;
}

service_config ReadService(const tree_reader& reader, const std::string& path) {
  service_config service;
  service.timeout = reader.Duration(path + ".timeout");
  service.endpoint_concurrency = reader.Integer(path + ".endpoint_concurrency");
  for (const std::string& text : reader.List(path + ".non_idempotent")) {
    const std::optional<route_rule> rule = ParseRoute(text);
    if (rule) service.non_idempotent.push_back(*rule);
  }
  return service;
}

site_config ReadSite(const value_tree& tree, const std::string& site) {
  const tree_reader reader(tree, FleetSchema());
  site_config config;
  for (const std::string& name : ChildNames(tree, "pools")) {
    if (IsAtSite(reader, "pools." + name, site)) {
      config.pools[name] = ReadPool(reader, "pools." + name);
    }
  }
  for (const std::string& name : ChildNames(tree, "services")) {
    if (!IsAtSite(reader, "services." + name, site)) continue;
    config.services[name] = ReadService(reader, "services." + name);
  }
  for (const std::string& name : ChildNames(tree, "trainers")) {
    const std::string path = "trainers." + name;
    config.trainers[name] = {reader.Integer(path + ".weight"),
                             reader.Text(path + ".pool")};
  }
  config.routing = {reader.Number("routing.retry_budget"),
                    reader.Integer("routing.ejection_failures"),
                    reader.Duration("routing.ejection_time"),
                    reader.Number("routing.ejection_floor"),
                    reader.Duration("routing.connect_timeout")};
  config.claims = {reader.Duration("claims.retention"),
                   reader.Integer("claims.maximum"),
                   reader.Integer("claims.answer_bytes")};
  config.weights = {reader.Number("weights.orders_per_second"),
                    reader.Duration("weights.order_timeout")};
  config.objectives = {reader.Number("objectives.trainer_idle_share"),
                       reader.Number("objectives.staleness_versions"),
                       reader.Number("objectives.fresh_share"),
                       reader.Number("objectives.steps_on_time_share"),
                       reader.Duration("objectives.acknowledgement_time"),
                       reader.Number("objectives.acknowledgement_share")};
  return config;
}

// Checks references between settings, which can't be checked for a single
// value.
void CheckReferences(const value_tree& tree,
                     std::vector<core::finding>& findings) {
  const std::vector<std::string> pools = ChildNames(tree, "pools");
  const std::vector<std::string> services = ChildNames(tree, "services");
  for (const auto& [path, value] : tree.values) {
    const bool names_pool = path.rfind("trainers.", 0) == 0 &&
                            path.size() > 5 &&
                            path.compare(path.size() - 5, 5, ".pool") == 0;
    if (names_pool && std::find(pools.begin(), pools.end(),
                                value.texts.front()) == pools.end()) {
      AddFinding(value,
                 "'" + path + "' names the pool '" + value.texts.front() +
                     "', which does not exist",
                 findings);
    }
    const bool is_model = path.rfind("pools.", 0) == 0 && path.size() > 6 &&
                          path.compare(path.size() - 6, 6, ".model") == 0;
    const std::string pool = is_model ? path.substr(6, path.size() - 12) : "";
    if (is_model &&
        std::find(services.begin(), services.end(), pool) != services.end()) {
      AddFinding(value, "'" + pool + "' is both a pool and a service",
                 findings);
    }
  }
}

// Checks for malformed and overlapping routes. If one route covers another one,
// one of them is a mistake.
void CheckRoutes(const value_tree& tree, std::vector<core::finding>& findings) {
  for (const std::string& name : ChildNames(tree, "services")) {
    const auto found = tree.values.find("services." + name + ".non_idempotent");
    if (found == tree.values.end()) continue;
    std::vector<route_rule> earlier;
    for (const std::string& text : found->second.texts) {
      const std::optional<route_rule> rule = ParseRoute(text);
      if (!rule) {
        AddFinding(found->second,
                   "route '" + text + "' is not of the form 'METHOD /path'",
                   findings);
        continue;
      }
      for (const route_rule& other : earlier) {
        const bool overlaps =
            other.method == rule->method &&
            (other.path_prefix.rfind(rule->path_prefix, 0) == 0 ||
             rule->path_prefix.rfind(other.path_prefix, 0) == 0);
        if (overlaps) {
          AddFinding(found->second,
                     "routes overlap: '" + text + "' and '" + other.method +
                         " " + other.path_prefix + "'",
                     findings);
        }
      }
      earlier.push_back(*rule);
    }
  }
}

bool SameFinding(const core::finding& left, const core::finding& right) {
  return left.file == right.file && left.line == right.line &&
         left.column == right.column && left.text == right.text;
}

// An error in the base file is found again in each merged configuration and
// must be reported only once.
void RemoveDuplicates(std::vector<core::finding>& findings) {
  std::vector<core::finding> unique;
  for (const core::finding& item : findings) {
    const bool is_known = std::any_of(unique.begin(), unique.end(),
                                      [&item](const core::finding& other) {
                                        return SameFinding(item, other);
                                      });
    if (!is_known) unique.push_back(item);
  }
  findings = std::move(unique);
}

}  // namespace

std::optional<std::map<std::string, site_config>> CheckFleet(
    const config_text& base, const std::map<std::string, config_text>& overlays,
    std::vector<core::finding>& findings) {
  const value_tree base_tree =
      ParseDocument(base.file, base.text, FleetSchema(), findings);
  std::map<std::string, site_config> sites;
  if (overlays.empty()) {
    CheckRequired(base_tree, FleetSchema(), base.file, findings);
    CheckReferences(base_tree, findings);
    CheckRoutes(base_tree, findings);
  }
  for (const auto& [site, overlay] : overlays) {
    const value_tree overlay_tree =
        ParseDocument(overlay.file, overlay.text, FleetSchema(), findings);
    const value_tree merged = Merge(base_tree, overlay_tree);
    CheckRequired(merged, FleetSchema(), overlay.file, findings);
    CheckReferences(merged, findings);
    CheckRoutes(merged, findings);
    sites[site] = ReadSite(merged, site);
  }
  RemoveDuplicates(findings);
  if (!findings.empty()) {
    return core::Fail(core::reason_code::kInvalid,
                      std::to_string(findings.size()) + " findings");
  }
  return sites;
}

std::optional<site_config> ConfigForSite(
    const config_text& base, const std::map<std::string, config_text>& overlays,
    const std::string& site) {
  std::vector<core::finding> findings;
  value_tree tree =
      ParseDocument(base.file, base.text, FleetSchema(), findings);
  const auto overlay = overlays.find(site);
  if (overlay != overlays.end()) {
    tree = Merge(tree, ParseDocument(overlay->second.file, overlay->second.text,
                                     FleetSchema(), findings));
  }
  if (!findings.empty()) {
    return core::Fail(core::reason_code::kInvalid,
                      core::FormatFindings(findings));
  }
  return ReadSite(tree, site);
}

}  // namespace hickorywood::settings
