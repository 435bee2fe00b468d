#include "settings/instance_settings.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "core/reason.h"
#include "settings/yaml_document.h"

namespace hickorywood::settings {
namespace {

// The file of a token must not be empty: an empty token would disable
// authentication without notice.
std::string ReadToken(const std::string& path,
                      std::vector<core::finding>& findings) {
  if (path.empty()) return "";
  const std::optional<std::string> text = ReadTextFile(path);
  if (!text) {
    findings.push_back({path, 0, 0, core::LastReason().text});
    return "";
  }
  const size_t end = text->find_last_not_of(" \t\r\n");
  if (end == std::string::npos) {
    findings.push_back({path, 0, 0, "the token file is empty"});
    return "";
  }
  return text->substr(0, end + 1);
}

std::vector<peer_settings> ReadPeers(const value_tree& tree,
                                     const tree_reader& reader,
                                     const std::string& own_id) {
  std::vector<peer_settings> peers;
  for (const std::string& name : ChildNames(tree, "peers")) {
    if (name == own_id) continue;  // all instances may use the same list
    const std::string path = "peers." + name;
    peers.push_back({name, reader.Text(path + ".address"),
                     reader.Text(path + ".site"), reader.Text(path + ".zone"),
                     reader.Flag(path + ".control")});
  }
  return peers;
}

}  // namespace

std::optional<std::string> ReadTextFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    if (stream && stream.peek() == std::ifstream::traits_type::eof()) {
      return std::string();
    }
    return core::Fail(core::reason_code::kIo, "can't read '" + path + "'");
  }
  return text.str();
}

std::optional<instance_settings> LoadInstanceSettings(
    const std::vector<std::string>& files,
    std::vector<core::finding>& findings) {
  value_tree tree;
  for (const std::string& file : files) {
    const std::optional<std::string> text = ReadTextFile(file);
    if (!text) {
      findings.push_back({file, 0, 0, core::LastReason().text});
      continue;
    }
    tree = Merge(tree, ParseDocument(file, *text, InstanceSchema(), findings));
  }
  CheckRequired(tree, InstanceSchema(),
                files.empty() ? "settings" : files.back(), findings);

  const tree_reader reader(tree, InstanceSchema());
  instance_settings result;
  result.id = reader.Text("instance.id");
  result.site = reader.Text("instance.site");
  result.zone = reader.Text("instance.zone");
  result.callers_address = reader.Text("listen.callers");
  result.peers_address = reader.Text("listen.peers");
  result.data_folder = reader.Text("data_folder");
  result.ports_file = reader.Text("ports_file");
  result.peers = ReadPeers(tree, reader, result.id);
  result.tokens.operators =
      ReadToken(reader.Text("tokens.operators"), findings);
  result.tokens.endpoints =
      ReadToken(reader.Text("tokens.endpoints"), findings);
  result.tokens.trainers = ReadToken(reader.Text("tokens.trainers"), findings);
  result.tokens.peers = ReadToken(reader.Text("tokens.peers"), findings);
  result.election_timeout = reader.Duration("consensus.election_timeout");
  result.heartbeat = reader.Duration("consensus.heartbeat");
  result.leader_lease = reader.Duration("consensus.leader_lease");
  result.snapshot_every = reader.Integer("consensus.snapshot_every");
  result.configuration_lease = reader.Duration("consensus.configuration_lease");
  result.memory_mb = reader.Integer("limits.memory_mb");
  result.request_bytes = reader.Integer("limits.request_bytes");
  result.held_body_bytes = reader.Integer("limits.held_body_bytes");
  result.control_queue = reader.Integer("limits.control_queue");
  result.drain_limit = reader.Duration("drain.limit");
  result.drain_notice = reader.Duration("drain.notice");

  // The voters' promise not to elect another leader lasts one election timeout.
  // A lease of the same duration could outlast the promise, and there could be
  // two leaders at the same time.
  if (result.leader_lease * 10 > result.election_timeout * 9) {
    findings.push_back({files.empty() ? "settings" : files.back(), 0, 0,
                        "'consensus.leader_lease' must be at most 0.9 of "
                        "'consensus.election_timeout'"});
  }
  if (result.heartbeat * 3 > result.leader_lease) {
    findings.push_back({files.empty() ? "settings" : files.back(), 0, 0,
                        "'consensus.heartbeat' must be at most a third of "
                        "'consensus.leader_lease'"});
  }
  if (!findings.empty()) {
    return core::Fail(core::reason_code::kInvalid,
                      std::to_string(findings.size()) + " findings");
  }
  return result;
}

}  // namespace hickorywood::settings
