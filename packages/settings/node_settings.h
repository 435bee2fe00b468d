#ifndef HICKORYWOOD_SETTINGS_NODE_SETTINGS_H_
#define HICKORYWOOD_SETTINGS_NODE_SETTINGS_H_

// The settings of one process of a deployment that finds its own members: an
// entry before the endpoints, a member of the control group, or a store.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/finding.h"
#include "settings/schema.h"

namespace hickorywood::settings {

enum class node_role { kEntry, kControl, kStore };

struct node_settings {
  node_role role = node_role::kEntry;
  std::string id;
  std::string zone;
  std::string callers_address;    // entries
  std::string readiness_address;  // entries
  std::string control_address;    // control instances
  std::string peers_address;
  std::string metrics_address;     // empty: none served
  std::vector<std::string> seeds;  // peer addresses of control instances
  bool is_first_start = false;
  std::string data_folder;
  std::chrono::milliseconds election_timeout{0};
  std::chrono::milliseconds raft_heartbeat{0};
  std::chrono::milliseconds leader_lease{0};
  std::chrono::milliseconds endpoint_heartbeat{0};
  std::chrono::milliseconds holder_lease{0};
  std::chrono::milliseconds step_retention{0};
  std::chrono::milliseconds drain_grace{0};
  std::chrono::milliseconds drain_notice{0};
  // Instances with a disk that may be lost at once.
  int64_t tolerated_losses = 1;
  int64_t memory_mb = 256;  // that the process may use

  // Bytes of outputs of ended steps that a store keeps in memory; older ones
  // are read from disk. A small share: they are asked for rarely, by readers
  // that come late, while each store would hold two minutes of texts for them
  // (a third of the memory in place of this cost 8 to 10 MB a store).
  size_t OutputBudget() const {
    constexpr size_t kShare = 64;
    return static_cast<size_t>(memory_mb) * 1024 * 1024 / kShare;
  }

  // Replicas of a data group: a majority is left after the losses.
  size_t DataVoters() const {
    return static_cast<size_t>(2 * tolerated_losses + 1);
  }
};

// Every setting of such a process, declared once.
const std::vector<setting_info>& NodeSchema();

// Reads one file. Empty when there is any finding.
std::optional<node_settings> LoadNodeSettings(
    const std::string& file, std::vector<core::finding>& findings);

}  // namespace hickorywood::settings

#endif  // HICKORYWOOD_SETTINGS_NODE_SETTINGS_H_
