#ifndef HICKORYWOOD_SETTINGS_INSTANCE_SETTINGS_H_
#define HICKORYWOOD_SETTINGS_INSTANCE_SETTINGS_H_

// The settings of one hickoryd process, read from layered YAML files in the
// order base, specific, local.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/finding.h"

namespace hickorywood::settings {

using std::chrono::milliseconds;

struct peer_settings {
  std::string id;
  std::string address;  // "IP:PORT"
  std::string site;
  std::string zone;
  bool is_control = false;
};

// The tokens, read from their files. An empty token means that no token is
// required for this kind of caller.
struct token_set {
  std::string operators;
  std::string endpoints;
  std::string trainers;
  std::string peers;
};

struct instance_settings {
  std::string id;
  std::string site;
  std::string zone;
  std::string callers_address;
  std::string peers_address;
  std::string data_folder;  // empty: not a control instance
  std::string ports_file;
  std::vector<peer_settings> peers;  // the other instances, without this one
  token_set tokens;
  milliseconds election_timeout{0};
  milliseconds heartbeat{0};
  milliseconds leader_lease{0};
  int64_t snapshot_every = 0;  // entries
  milliseconds configuration_lease{0};
  int64_t memory_mb = 0;  // memory limit of the process, MB
  int64_t request_bytes = 0;
  int64_t held_body_bytes = 0;
  int64_t control_queue = 0;
  milliseconds drain_limit{0};
  milliseconds drain_notice{0};

  bool IsControl() const { return !data_folder.empty(); }
};

// Reads the layers in order; values of later ones take precedence. Returns
// nothing if there are findings.
std::optional<instance_settings> LoadInstanceSettings(
    const std::vector<std::string>& files,
    std::vector<core::finding>& findings);

// Reads a small file completely. Returns nothing, with reason kIo, if it can't
// be read.
std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace hickorywood::settings

#endif  // HICKORYWOOD_SETTINGS_INSTANCE_SETTINGS_H_
