#include "settings/node_settings.h"

#include <algorithm>
#include <utility>

#include "settings/instance_settings.h"
#include "settings/yaml_document.h"

namespace hickorywood::settings {
namespace {

constexpr double kMillisPerMinute = 60.0 * 1000;
constexpr double kMillisPerHour = 60 * kMillisPerMinute;
constexpr char kUsageDuty[] = "usage";
constexpr char kServersDuty[] = "autoscale";

// Returns the port of an address "IP:PORT".
std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':') + 1);
}

// A seed may be any address of a control instance. Only its host is used: the
// peer port is the same on all instances.
std::string PeerAddressOf(const std::string& seed, const std::string& port) {
  return seed.substr(0, seed.rfind(':')) + ":" + port;
}

std::optional<node_role> RoleOf(const std::string& name) {
  if (name == "entry") return node_role::kEntry;
  if (name == "control") return node_role::kControl;
  if (name == "store") return node_role::kStore;
  return std::nullopt;
}

std::optional<task_placement> PlacementOf(const std::string& name) {
  if (name == "streams") return task_placement::kStreams;
  if (name == "predicted") return task_placement::kPredicted;
  if (name == "auto") return task_placement::kAuto;
  return std::nullopt;
}

void CheckRole(const node_settings& settings, const std::string& file,
               std::vector<core::finding>& findings) {
  const auto need = [&](const std::string& value, const char* name,
                        const char* role) {
    if (!value.empty()) return;
    findings.push_back(
        {file, 0, 0, std::string(name) + " is required for role " + role});
  };
  if (settings.role == node_role::kEntry) {
    need(settings.callers_address, "listen.callers", "entry");
    need(settings.readiness_address, "listen.readiness", "entry");
    return;
  }
  if (settings.role == node_role::kControl) {
    need(settings.control_address, "listen.control", "control");
  }
  need(settings.data_folder, "data_folder", "control or store");
  if (settings.leader_lease >= settings.election_timeout) {
    findings.push_back({file, 0, 0,
                        "consensus.leader_lease must be less than "
                        "consensus.election_timeout"});
  }
}

}  // namespace

const std::vector<setting_info>& NodeSchema() {
  using type = value_type;
  static const auto* const kSchema = new std::vector<setting_info>{
      {"role", type::kName, nullptr, 0, 0, "`entry`, `control` or `store`."},
      {"instance.id", type::kName, nullptr, 0, 0,
       "Name of this instance, unique in the deployment."},
      {"instance.zone", type::kName, nullptr, 0, 0,
       "Availability zone of the instance."},
      {"listen.callers", type::kText, "", 0, 0,
       "Address for callers, `IP:PORT`. Entries only."},
      {"listen.readiness", type::kText, "", 0, 0,
       "Address of the readiness check. Entries only."},
      {"listen.control", type::kText, "", 0, 0,
       "Address for operators, trainers and endpoints. Control instances "
       "only."},
      {"listen.peers", type::kAddress, nullptr, 0, 0,
       "Address for the system's own links. Its port is the same on all "
       "instances."},
      {"listen.metrics", type::kText, "", 0, 0,
       "Address of the metrics. Empty: none are served."},
      {"seeds", type::kTextList, nullptr, 0, 0,
       "Addresses of some control instances; their peer port is this "
       "instance's own."},
      {"first_start", type::kFlag, "false", 0, 0,
       "Whether the whole deployment starts for the first time: then the first "
       "seed bootstraps the control group."},
      {"data_folder", type::kText, "", 0, 0,
       "Folder for replicated state. Control instances and stores."},
      {"consensus.election_timeout", type::kDuration, "450ms", 50,
       kMillisPerMinute,
       "Minimum election timeout: time without a message of the leader."},
      {"consensus.heartbeat", type::kDuration, "110ms", 5, kMillisPerMinute,
       "Time between a leader's messages to an idle follower."},
      {"consensus.leader_lease", type::kDuration, "330ms", 20, kMillisPerMinute,
       "How long a leader may act after a confirmation by a quorum. Less than "
       "the election timeout."},
      {"endpoints.heartbeat", type::kDuration, "1200ms", 10, kMillisPerMinute,
       "Time between two heartbeats of an endpoint."},
      {"orders.holder_lease", type::kDuration, "3s", 0, kMillisPerMinute,
       "Time after an election before the new leader sends orders to engines."},
      {"steps.retention", type::kDuration, "120s", 1000, 24 * kMillisPerHour,
       "How long a step's results can be read after its submission."},
      {"drain.grace", type::kDuration, "8s", 0, kMillisPerHour,
       "Time from a stop signal to the forced end; the process exits within "
       "seven eighths of it."},
      {"drain.notice", type::kDuration, "2500ms", 0, kMillisPerHour,
       "How long a planned stop reports \"not ready\" before connections are "
       "closed."},
      {"access.apply_limit", type::kDuration, "0ms", 0, kMillisPerMinute,
       "Time after the acknowledgement of a configuration within which it is "
       "in force everywhere. An entry or a store that was out of contact for "
       "1.5 s longer starts no requests until it has contact again. 0: not "
       "limited."},
      {"access.revocation_limit", type::kDuration, "0ms", 0, kMillisPerMinute,
       "Time after which a withdrawn API key is accepted nowhere. An entry "
       "that was out of contact for as long refuses requests with keys. 0: not "
       "limited."},
      {"usage.window", type::kDuration, "0ms", 0, kMillisPerHour,
       "Length of the windows for which the requests of each customer are "
       "counted. 0: they are not counted."},
      {"usage.due", type::kDuration, "10s", 0, kMillisPerHour,
       "Time after the end of a window in which its report must arrive."},
      {"provider.address", type::kText, "", 0, 0,
       "Address of the provider's API, `IP:PORT`. Control instances only. "
       "Empty: nothing is reported."},
      {"provider.duties", type::kTextList, "", 0, 0,
       "Calls to the provider that the control leader makes: `usage`, "
       "`autoscale`. Other names are ignored."},
      {"provider.fenced", type::kFlag, "true", 0, 0,
       "Whether the provider refuses calls with an older fencing token."},
      {"admission.shared_places", type::kFlag, "false", 0, 0,
       "Whether entries lease the places of plain services from one holder, so "
       "that requests of all entries share one queue. Entries and control "
       "instances. Takes effect only while the configuration lists customers."},
      {"admission.held_memory", type::kFlag, "false", 0, 0,
       "Whether an entry refuses new work of the customer that holds most "
       "while "
       "more than a quarter of `memory_mb` is held for callers."},
      {"steps.placement", type::kName, "auto", 0, 0,
       "How a store chooses the engine of a task: `streams` (by the number of "
       "streams on each engine), `predicted` (by the predicted end of the "
       "task), or `auto`: `predicted` for services whose engines report their "
       "current speed and where the configuration lists customers, else "
       "`streams`."},
      {"losses.instances", type::kInteger, "1", 0, 10,
       "Instances with a disk that may be lost at once."},
      {"memory_mb", type::kInteger, "256", 16, 1024 * 1024,
       "Memory that the process may use, MB. Requests and answers of all "
       "listeners together use up to two fifths of it, and connections a "
       "fifth. A control instance accepts calls of up to a 32nd of it. An "
       "entry decodes a submission in up to a third of it. A store keeps the "
       "tasks of steps in up to two fifths of it, and the outputs of ended "
       "steps in a 64th."},
  };
  return *kSchema;
}

std::optional<node_settings> LoadNodeSettings(
    const std::string& file, std::vector<core::finding>& findings) {
  const std::optional<std::string> text = ReadTextFile(file);
  if (!text) {
    findings.push_back({file, 0, 0, "can't be read"});
    return std::nullopt;
  }
  const value_tree tree = ParseDocument(file, *text, NodeSchema(), findings);
  CheckRequired(tree, NodeSchema(), file, findings);
  if (!findings.empty()) return std::nullopt;
  const tree_reader read(tree, NodeSchema());
  node_settings settings;
  const std::string role = read.Text("role");
  const std::optional<node_role> known = RoleOf(role);
  if (!known) {
    findings.push_back({file, 0, 0, "role is not entry, control or store"});
  }
  settings.role = known.value_or(node_role::kEntry);
  settings.id = read.Text("instance.id");
  settings.zone = read.Text("instance.zone");
  settings.callers_address = read.Text("listen.callers");
  settings.readiness_address = read.Text("listen.readiness");
  settings.control_address = read.Text("listen.control");
  settings.peers_address = read.Text("listen.peers");
  settings.metrics_address = read.Text("listen.metrics");
  const std::string port = PortOf(settings.peers_address);
  for (const std::string& seed : read.List("seeds")) {
    settings.seeds.push_back(PeerAddressOf(seed, port));
  }
  settings.is_first_start = read.Flag("first_start");
  settings.data_folder = read.Text("data_folder");
  settings.election_timeout = read.Duration("consensus.election_timeout");
  settings.raft_heartbeat = read.Duration("consensus.heartbeat");
  settings.leader_lease = read.Duration("consensus.leader_lease");
  settings.endpoint_heartbeat = read.Duration("endpoints.heartbeat");
  settings.holder_lease = read.Duration("orders.holder_lease");
  settings.step_retention = read.Duration("steps.retention");
  settings.drain_grace = read.Duration("drain.grace");
  settings.drain_notice = read.Duration("drain.notice");
  settings.apply_limit = read.Duration("access.apply_limit");
  settings.revocation_limit = read.Duration("access.revocation_limit");
  settings.usage_window = read.Duration("usage.window");
  settings.usage_due = read.Duration("usage.due");
  settings.provider_address = read.Text("provider.address");
  const std::vector<std::string> duties = read.List("provider.duties");
  settings.reports_usage =
      !settings.provider_address.empty() && settings.usage_window.count() > 0 &&
      std::find(duties.begin(), duties.end(), kUsageDuty) != duties.end();
  settings.orders_servers =
      !settings.provider_address.empty() &&
      std::find(duties.begin(), duties.end(), kServersDuty) != duties.end();
  settings.is_provider_fenced = read.Flag("provider.fenced");
  settings.shares_places = read.Flag("admission.shared_places");
  settings.bounds_held_memory = read.Flag("admission.held_memory");
  const auto placement = PlacementOf(read.Text("steps.placement"));
  if (!placement) {
    findings.push_back(
        {file, 0, 0, "steps.placement is not streams, predicted or auto"});
  }
  settings.placement = placement.value_or(task_placement::kAuto);
  settings.tolerated_losses = read.Integer("losses.instances");
  settings.memory_mb = read.Integer("memory_mb");
  CheckRole(settings, file, findings);
  if (!findings.empty()) return std::nullopt;
  return settings;
}

}  // namespace hickorywood::settings
