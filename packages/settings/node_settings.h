#ifndef HICKORYWOOD_SETTINGS_NODE_SETTINGS_H_
#define HICKORYWOOD_SETTINGS_NODE_SETTINGS_H_

// The settings of one process in a deployment that discovers its members: an
// entry (in front of the endpoints), a member of the control group, or a store.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/finding.h"
#include "settings/schema.h"

namespace hickorywood::settings {

enum class node_role { kEntry, kControl, kStore };

// How a store chooses the engine of a task.
enum class task_placement {
  kStreams,    // by the number of streams on each engine
  kPredicted,  // by the predicted end of the task on each engine
  // kPredicted for services whose engines report their current speed, and where
  // the configuration lists customers, whose trainers compete for the engines;
  // else kStreams.
  kAuto,
};

struct node_settings {
  node_role role = node_role::kEntry;
  std::string id;
  std::string zone;
  std::string callers_address;    // entries
  std::string readiness_address;  // entries
  std::string control_address;    // control instances
  std::string peers_address;
  std::string metrics_address;     // empty: no metrics are served
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
  // Number of instances with a disk that may be lost at the same time.
  int64_t tolerated_losses = 1;
  // Time after the acknowledgement of a configuration within which it is in
  // force everywhere; 0: not limited.
  std::chrono::milliseconds apply_limit{0};
  // Time after which a withdrawn key is accepted nowhere; 0: not limited.
  std::chrono::milliseconds revocation_limit{0};
  std::chrono::milliseconds usage_window{0};  // 0: usage is not counted
  std::chrono::milliseconds usage_due{0};     // after the end of a window
  // Address of the provider's API; empty: there is none.
  std::string provider_address;
  bool reports_usage = false;
  bool orders_servers = false;
  bool is_provider_fenced = true;  // it refuses calls with an older token
  int64_t memory_mb = 256;         // memory limit of the process, MB
  // Whether entries lease the places of plain services from one holder.
  bool shares_places = false;
  // Whether the customer that holds most is refused while memory is short.
  bool bounds_held_memory = false;
  task_placement placement = task_placement::kAuto;

  // Size of the outputs of ended steps that a store keeps in memory; older ones
  // are read from disk. The share is small because these outputs are rarely
  // read, only by late readers, while each store would otherwise keep two
  // minutes of texts in memory for them. A third of the memory instead cost 8
  // to 10 MB per store.
  size_t OutputBudget() const {
    constexpr size_t kMemoryDivisor = 64;
    return static_cast<size_t>(memory_mb) * 1024 * 1024 / kMemoryDivisor;
  }

  // Memory that the tasks of all steps may take on a store.
  size_t TaskBudget() const {
    return static_cast<size_t>(memory_mb) * 1024 * 1024 * 2 / 5;
  }

  // Maximum size of a call to a control instance. Its leader needs up to 16
  // times the size of a configuration while that is decoded, stored and sent to
  // the other instances.
  uint64_t ControlBodyLimit() const {
    constexpr uint64_t kMemoryDivisor = 32;
    return static_cast<uint64_t>(memory_mb) * 1024 * 1024 / kMemoryDivisor;
  }

  // Memory that decoding one submission may take on an entry, beside its body.
  size_t DecodeBudget() const {
    return static_cast<size_t>(memory_mb) * 1024 * 1024 / 3;
  }

  // Number of replicas of a data group: a majority remains after the tolerated
  // losses.
  size_t DataVoters() const {
    return static_cast<size_t>(2 * tolerated_losses + 1);
  }
};

// The settings of such a process.
const std::vector<setting_info>& NodeSchema();

// Reads one file. Returns nothing if there are findings.
std::optional<node_settings> LoadNodeSettings(
    const std::string& file, std::vector<core::finding>& findings);

}  // namespace hickorywood::settings

#endif  // HICKORYWOOD_SETTINGS_NODE_SETTINGS_H_
