#include "fleet/configuration.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace hickorywood::fleet {
namespace {

double TotalWeight(const route& where) {
  double total = 0;
  for (const weighted_service& item : where.services) total += item.weight;
  return total;
}

void CheckRoute(const configuration& config, const route& where,
                std::vector<std::string>& findings) {
  const std::string label = "route '" + where.name + "': ";
  if (where.timeout_ms <= 0) {
    findings.push_back(label + "the timeout is not above 0");
  }
  if (where.services.empty() || TotalWeight(where) <= 0) {
    findings.push_back(label + "the weights add up to 0");
  }
  for (const weighted_service& item : where.services) {
    if (item.weight < 0) findings.push_back(label + "a weight is below 0");
    if (FindService(config, item.service) == nullptr) {
      findings.push_back(label + "unknown service '" + item.service + "'");
    }
  }
  const bool has_slashes = !where.path_prefix.empty() &&
                           where.path_prefix.front() == '/' &&
                           where.path_prefix.back() == '/';
  if (!has_slashes) {
    findings.push_back(label + "the prefix does not begin and end with '/'");
  }
}

// The findings name the places of the keys in place of the keys themselves,
// which are secret.
void CheckCustomers(const configuration& config,
                    std::vector<std::string>& findings) {
  struct key_place {
    std::string customer;
    size_t index = 0;
  };
  std::map<std::string_view, key_place> places;
  for (const customer& holder : config.customers) {
    for (size_t i = 0; i < holder.keys.size(); ++i) {
      const auto [first, is_new] =
          places.emplace(holder.keys[i], key_place{holder.name, i});
      if (is_new || first->second.customer == holder.name) continue;
      findings.push_back("customer '" + holder.name + "': its key " +
                         std::to_string(i) + " is also key " +
                         std::to_string(first->second.index) +
                         " of customer '" + first->second.customer + "'");
    }
  }
}

}  // namespace

std::vector<std::string> CheckConfiguration(const configuration& config) {
  std::vector<std::string> findings;
  if (config.version == 0) findings.push_back("the version is not above 0");
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const route& where : config.routes) {
    CheckRoute(config, where, findings);
    if (!prefixes.emplace(where.host, where.path_prefix).second) {
      findings.push_back("route '" + where.name +
                         "': another route has its host and prefix");
    }
  }
  std::set<std::string> names;
  for (const service& item : config.services) {
    if (!names.insert(item.name).second) {
      findings.push_back("service '" + item.name + "' is listed twice");
    }
  }
  CheckCustomers(config, findings);
  return findings;
}

const route* FindRoute(const configuration& config, std::string_view host,
                       std::string_view path) {
  const route* best = nullptr;
  for (const route& where : config.routes) {
    if (where.host != host || !path.starts_with(where.path_prefix)) continue;
    const bool is_longer =
        best == nullptr || where.path_prefix.size() > best->path_prefix.size();
    if (is_longer) best = &where;
  }
  return best;
}

const route* FindRouteOfStep(const configuration& config, std::string_view host,
                             std::string_view accepted_prefix,
                             std::string_view path) {
  for (const route& where : config.routes) {
    const bool is_accepted = where.kind == route_kind::kRollout &&
                             where.host == host &&
                             where.path_prefix == accepted_prefix;
    if (is_accepted) return &where;
  }
  const route* const successor = FindRoute(config, host, path);
  const bool runs_steps =
      successor != nullptr && successor->kind == route_kind::kRollout;
  return runs_steps ? successor : nullptr;
}

bool HasPublicSteps(const configuration& config, std::string_view host) {
  return std::any_of(config.routes.begin(), config.routes.end(),
                     [host](const route& where) {
                       return where.kind == route_kind::kRollout &&
                              where.is_public && where.host == host;
                     });
}

const service* FindService(const configuration& config, std::string_view name) {
  for (const service& item : config.services) {
    if (item.name == name) return &item;
  }
  return nullptr;
}

std::string_view DrawService(const route& where, double draw) {
  double left = draw * TotalWeight(where);
  std::string_view last;
  for (const weighted_service& item : where.services) {
    if (item.weight <= 0) continue;
    last = item.service;
    left -= item.weight;
    if (left < 0) return item.service;
  }
  return last;
}

}  // namespace hickorywood::fleet
