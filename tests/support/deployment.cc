#include "support/deployment.h"

#include <absl/strings/escaping.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <regex>
#include <set>
#include <utility>

namespace hickorywood::testing {
namespace {

using nlohmann::json;

constexpr int kNodes = 9;
constexpr std::chrono::milliseconds kHeartbeatPeriod{150};
constexpr std::chrono::milliseconds kHeartbeatTimeout{1000};
constexpr std::chrono::milliseconds kCallTimeout{3000};
// After this time an operator's client switches to another instance.
constexpr std::chrono::milliseconds kOperatorTimeout{1000};

std::string NodeAddress(int number) {
  return "127.1.1." + std::to_string(number + 1);
}

// Returns whether the port can be bound at the address of every node.
bool IsFreeEverywhere(int port) {
  bool is_free = true;
  for (int i = 0; i < kNodes && is_free; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, NodeAddress(i).c_str(), &address.sin_addr);
    is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
  }
  return is_free;
}

// Returns a free port, chosen by the kernel, that is the same for all nodes, as
// on the platform.
int PickCommonPort() {
  for (;;) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    socklen_t size = sizeof address;
    const bool is_bound =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(fd);
    const int port = ntohs(address.sin_port);
    if (is_bound && IsFreeEverywhere(port)) return port;
  }
}

std::string Base64(const std::string& bytes) {
  std::string encoded;
  absl::Base64Escape(bytes, &encoded);
  return encoded;
}

json PlainRoute() {
  return {{"name", "plain"},   {"host", "h"},         {"path_prefix", "/p/"},
          {"kind", "safe"},    {"timeout_ms", 20000}, {"goal_ms", 10000},
          {"service", "echo"}, {"max_attempts", 2}};
}

json SingleRoute() {
  return {{"name", "single"},  {"host", "h"},         {"path_prefix", "/u/"},
          {"kind", "unsafe"},  {"timeout_ms", 20000}, {"goal_ms", 10000},
          {"service", "echo"}, {"max_attempts", 1}};
}

// A route that only one version of the configuration has.
json VersionRoute(int version) {
  return {{"name", "version"}, {"host", "h"},
          {"kind", "safe"},    {"path_prefix", deployment::PathOf(version)},
          {"service", "echo"}, {"timeout_ms", 20000},
          {"goal_ms", 10000},  {"max_attempts", 2}};
}

json StreamRoute() {
  return {{"name", "streams"},    {"host", "h"},         {"path_prefix", "/q/"},
          {"kind", "stream"},     {"timeout_ms", 20000}, {"goal_ms", 10000},
          {"service", "engines"}, {"max_attempts", 1}};
}

json StepRoute() {
  return {{"name", "steps"},   {"host", "h"},         {"path_prefix", "/s/"},
          {"kind", "rollout"}, {"timeout_ms", 20000}, {"service", "engines"},
          {"max_attempts", 3}, {"item_ttl_s", 600},   {"resumable", true}};
}

// Whether a line of a log contains the voters of a group.
bool IsVoterList(const std::string& line) {
  for (const char* event : {"HK2007", "HK2010", "HK2011"}) {
    if (line.find(event) != std::string::npos) return true;
  }
  return false;
}

}  // namespace

std::string ProgramPath() { return HICKORYD_PATH; }

deployment::deployment(deployment_size size)
    : folder_(MakeTemporaryFolder()),
      peers_port_(PickCommonPort()),
      callers_port_(PickCommonPort()),
      control_port_(PickCommonPort()),
      ready_port_(PickCommonPort()),
      metrics_port_(PickCommonPort()) {
  for (int i = 1; i <= size.controls; ++i) {
    controls_.push_back("c" + std::to_string(i));
    AddNode(controls_.back(), "control");
  }
  for (int i = 1; i <= size.stores; ++i) {
    stores_.push_back("s" + std::to_string(i));
    AddNode(stores_.back(), "store");
  }
  for (int i = 1; i <= size.entries; ++i) {
    entries_.push_back("e" + std::to_string(i));
    AddNode(entries_.back(), "entry");
  }
  AddNode(kSpareControl, "control");
}

deployment::~deployment() {
  is_stopping_ = true;
  if (heartbeats_.joinable()) heartbeats_.join();
  nodes_.clear();
  if (::testing::Test::HasFailure()) {
    std::cerr << "logs are stored in " << folder_ << "\n";
    return;
  }
  std::filesystem::remove_all(folder_);
}

void deployment::AddNode(const std::string& id, const std::string& role) {
  node& item = nodes_[id];
  item.role = role;
  item.ip = NodeAddress(static_cast<int>(nodes_.size()) - 1);
}

std::string deployment::CallersAddress(const std::string& id) const {
  return Address(id, callers_port_);
}

std::string deployment::ReadinessAddress(const std::string& id) const {
  return Address(id, ready_port_);
}

std::string deployment::ControlAddress(const std::string& id) const {
  return Address(id, control_port_);
}

std::string deployment::PeersAddress(const std::string& id) const {
  return Address(id, peers_port_);
}

std::string deployment::MetricsAddress(const std::string& id) const {
  return Address(id, metrics_port_);
}

std::string deployment::Address(const std::string& id, int port) const {
  return nodes_.at(id).ip + ":" + std::to_string(port);
}

void deployment::StartNode(const std::string& id) {
  node& item = nodes_.at(id);
  const std::string file = folder_ + "/" + id + ".yaml";
  std::ofstream out(file);
  out << "role: " << item.role << "\n"
      << "instance: {id: " << id << ", zone: z}\n"
      << "listen:\n"
      << "  peers: \"" << Address(id, peers_port_) << "\"\n"
      << "  callers: \"" << Address(id, callers_port_) << "\"\n"
      << "  readiness: \"" << Address(id, ready_port_) << "\"\n"
      << "  control: \"" << Address(id, control_port_) << "\"\n";
  if (serves_metrics) {
    out << "  metrics: \"" << Address(id, metrics_port_) << "\"\n";
  }
  out << "seeds: [";
  for (const std::string& control : controls_) {
    out << (control == controls_.front() ? "" : ", ") << "\""
        << Address(control, control_port_) << "\"";
  }
  out << "]\n"
      << "first_start: " << (item.was_started ? "false" : "true") << "\n"
      << "data_folder: " << folder_ << "/" << id << "\n"
      << "endpoints: {heartbeat: 10s}\n"
      << "orders: {holder_lease: 0ms}\n"
      << "drain: {grace: 20s, notice: 300ms}\n"
      << extra_settings << (settings_of ? settings_of(id) : "");
  out.close();
  item.was_started = true;
  item.is_up = true;
  std::error_code no_log;
  const auto log_offset = std::filesystem::file_size(LogOf(id), no_log);
  item.log_offset = no_log ? 0 : log_offset;
  item.running = std::make_unique<process>(
      std::vector<std::string>{ProgramPath(), "--node_settings=" + file},
      LogOf(id));
}

bool deployment::HasLogged(const std::string& id,
                           const std::string& event) const {
  std::ifstream log(LogOf(id));
  for (std::string line; std::getline(log, line);) {
    if (line.find(event) != std::string::npos) return true;
  }
  return false;
}

bool deployment::HasStarted(const std::string& id) const {
  std::ifstream log(LogOf(id));
  log.seekg(static_cast<std::streamoff>(nodes_.at(id).log_offset));
  for (std::string line; std::getline(log, line);) {
    if (line.find("HK1001") != std::string::npos) return true;
  }
  return false;
}

void deployment::KillNode(const std::string& id) {
  nodes_.at(id).running->Kill();
  nodes_.at(id).is_up = false;
}

void deployment::StartSpareControl() {
  nodes_.at(kSpareControl).was_started = true;
  StartNode(kSpareControl);
}

void deployment::CutPower(const std::string& wiped) {
  std::vector<std::string> running;
  for (const auto& [id, item] : nodes_) {
    if (item.is_up) running.push_back(id);
  }
  for (const std::string& id : running) KillNode(id);
  LoseDisk(wiped);
  for (const std::string& id : running) StartNode(id);
}

void deployment::LoseDisk(const std::string& id) {
  std::filesystem::remove_all(folder_ + "/" + id);
}

std::vector<std::string> deployment::GroupOf(const std::string& id) const {
  if (nodes_.at(id).role == "store") return stores_;
  std::vector<std::string> group = controls_;
  group.emplace_back(kSpareControl);
  return group;
}

bool deployment::IsVoter(const std::string& observer,
                         const std::string& id) const {
  const std::string address = Address(id, peers_port_) + "/";
  std::ifstream log(LogOf(observer));
  bool is_voter = false;
  for (std::string line; std::getline(log, line);) {
    if (IsVoterList(line)) is_voter = line.find(address) != std::string::npos;
  }
  return is_voter;
}

size_t deployment::CountVoterIdentities(const std::string& node) const {
  const std::regex identity(Address(node, peers_port_) + "/([0-9a-f]+)");
  std::set<std::string> found;
  for (const std::string& other : GroupOf(node)) {
    std::ifstream log(LogOf(other));
    for (std::string line; std::getline(log, line);) {
      if (!IsVoterList(line)) continue;
      std::smatch match;
      if (std::regex_search(line, match, identity)) found.insert(match[1]);
    }
  }
  return found.size();
}

bool deployment::IsReady(const std::string& entry) {
  return web_.Get(Address(entry, ready_port_), "/v1/ready").status == 200;
}

bool deployment::Start() {
  for (const auto& [id, item] : nodes_) {
    if (id != kSpareControl) StartNode(id);
  }
  for (int i = 0; i < 2; ++i) endpoints_.Start("echo");
  for (int i = 0; i < 3; ++i) endpoints_.Start("engines");
  heartbeats_ = std::thread([this] { SendHeartbeats(); });
  if (!PutConfiguration(1, true)) return false;
  return WaitUntil([this] {
    return std::all_of(
        entries_.begin(), entries_.end(), [this](const std::string& entry) {
          return IsReady(entry) &&
                 Plain(entry, "warm-" + entry.substr(1)).status == 200;
        });
  });
}

transport::http_request deployment::MakeHeartbeat(
    const std::string& control, const std::string& incarnation,
    const std::string& body) const {
  transport::http_request input;
  input.url = "http://" + Address(control, control_port_) + "/v1/instances/" +
              incarnation + "/heartbeat";
  input.body = body;
  input.total_timeout = kHeartbeatTimeout;
  return input;
}

bool deployment::SendHeartbeat(const std::string& control,
                               const std::string& incarnation,
                               const std::string& body) {
  return web_.Send(MakeHeartbeat(control, incarnation, body)).status == 200;
}

void deployment::SendHeartbeats() {
  size_t turn = 0;
  while (!is_stopping_) {
    std::map<std::string, std::string> bodies;
    if (extra_heartbeats) bodies = extra_heartbeats();
    for (const std::string& incarnation : endpoints_.Incarnations()) {
      bodies[incarnation] = endpoints_.HeartbeatOf(incarnation);
    }
    for (const auto& [incarnation, body] : bodies) {
      if (body.empty()) continue;  // the endpoint has terminated
      const std::string& control = controls_[turn++ % controls_.size()];
      web_.SendLater(MakeHeartbeat(control, incarnation, body));
    }
    std::this_thread::sleep_for(kHeartbeatPeriod);
  }
}

json deployment::Configuration(int version, bool with_plain_route) const {
  json body = {
      {"version", version},
      {"routes",
       json::array({StreamRoute(), SingleRoute(), VersionRoute(version)})},
      {"services",
       json::array(
           {{{"name", "echo"}},
            {{"name", "engines"},
             {"engine",
              {{"slots", 8}, {"models", json::array({{{"name", "m"}}})}}}}})}};
  if (with_plain_route) body["routes"].push_back(PlainRoute());
  if (has_step_route) body["routes"].push_back(StepRoute());
  for (const json& route : extra_routes) body["routes"].push_back(route);
  if (!customers.is_null()) body["tenants"] = customers;
  if (!extra_service.is_null()) body["services"].push_back(extra_service);
  return body;
}

transport::http_response deployment::PutConfigurationAt(
    const std::string& control, const json& configuration) {
  transport::http_request input;
  input.url = "http://" + Address(control, control_port_) + "/v1/config/put";
  input.body = configuration.dump();
  input.total_timeout = kOperatorTimeout;
  return web_.Send(std::move(input));
}

bool deployment::PutConfiguration(int version, bool with_plain_route) {
  const json body = Configuration(version, with_plain_route);
  size_t turn = 0;
  return WaitUntil([&] {
    const std::string& control = controls_[turn++ % controls_.size()];
    return PutConfigurationAt(control, body).status == 200;
  });
}

std::string deployment::PathOf(int version) {
  return "/version-" + std::to_string(version) + "/";
}

transport::http_response deployment::UseVersion(const std::string& entry,
                                                int version,
                                                const std::string& request_id) {
  return web_.Send(MakeRequest(entry, PathOf(version), request_id));
}

int deployment::VersionAt(const std::string& control) {
  const json tree =
      web_.GetJson(Address(control, control_port_), "/v1/config/get");
  return tree.is_object() ? tree.value("version", 0) : 0;
}

std::string deployment::ControlLeader() const {
  std::string leader;
  int64_t latest_term = 0;
  for (const std::string& control : controls_) {
    std::ifstream log(LogOf(control));
    for (std::string line; std::getline(log, line);) {
      if (line.find("HK2005") == std::string::npos) continue;
      const std::string text = json::parse(line).value("term", "0");
      const int64_t term = std::stoll(text);
      if (term <= latest_term) continue;
      latest_term = term;
      leader = control;
    }
  }
  return leader;
}

bool deployment::Leave(const std::string& control,
                       const std::string& incarnation) {
  transport::http_request input;
  input.url = "http://" + Address(control, control_port_) + "/v1/instances/" +
              incarnation + "/leave";
  input.body = "{}";
  input.total_timeout = kOperatorTimeout;
  return web_.Send(std::move(input)).status == 200;
}

json deployment::Scaling(const std::string& control) {
  return web_.GetJson(Address(control, control_port_), "/hickory/v1/scaling");
}

json deployment::Quarantine(const std::string& control) {
  const json tree =
      web_.GetJson(Address(control, control_port_), "/hickory/v1/quarantine");
  return tree.is_object() ? tree["warnings"] : json::array();
}

bool deployment::Lift(const std::string& control, const std::string& digest) {
  transport::http_request input;
  input.method = "DELETE";
  input.url = "http://" + Address(control, control_port_) +
              "/hickory/v1/quarantine/" + digest;
  input.total_timeout = kCallTimeout;
  return web_.Send(std::move(input)).status / 100 == 2;
}

std::vector<transport::http_header> deployment::CallerHeaders() const {
  std::vector<transport::http_header> headers = {{"Host", "h"}};
  if (!caller_key.empty()) {
    headers.push_back({"Authorization", "Bearer " + caller_key});
  }
  return headers;
}

transport::http_request deployment::MakeRequest(
    const std::string& entry, const std::string& path,
    const std::string& request_id) const {
  transport::http_request input;
  input.url = "http://" + Address(entry, callers_port_) + path;
  input.headers = CallerHeaders();
  input.headers.push_back({"X-Request-Id", request_id});
  input.total_timeout = std::chrono::milliseconds(30000);
  return input;
}

transport::http_request deployment::MakePlain(const std::string& entry,
                                              const std::string& request_id,
                                              const std::string& body) const {
  transport::http_request input = MakeRequest(entry, "/p/x", request_id);
  input.body = body;
  return input;
}

transport::http_response deployment::Plain(const std::string& entry,
                                           const std::string& request_id) {
  return web_.Send(MakePlain(entry, request_id, request_id));
}

transport::http_response deployment::SendWithTimeout(
    const std::string& entry, const std::string& path,
    const std::string& request_id, const std::string& body,
    std::chrono::milliseconds timeout) {
  transport::http_request input = MakeRequest(entry, path, request_id);
  input.body = body;
  input.total_timeout = timeout;
  return web_.Send(std::move(input));
}

transport::http_response deployment::Stream(const std::string& entry,
                                            const std::string& request_id,
                                            const std::string& body) {
  transport::http_request input = MakeRequest(entry, "/q/x", request_id);
  input.body = body;
  return web_.Send(std::move(input));
}

transport::http_response deployment::PlainWithBody(
    const std::string& entry, const std::string& request_id,
    const std::string& body) {
  return web_.Send(MakePlain(entry, request_id, body));
}

std::future<transport::http_response> deployment::PlainLater(
    const std::string& entry, const std::string& request_id) {
  return web_.SendLater(MakePlain(entry, request_id, request_id));
}

std::string deployment::TaskId(const std::string& step, int task) {
  return step + "-t" + std::to_string(task);
}

std::string deployment::BodyOf(const std::string& step, int task) {
  std::string body = TaskId(step, task);
  for (int byte = 0; byte < 256; ++byte) body += static_cast<char>(byte);
  return body;
}

std::string deployment::RewardId(const std::string& step, int task) {
  return TaskId(step, task) + "-reward";
}

bool deployment::Submit(const std::string& entry, const std::string& step,
                        int tasks, bool with_rewards, int crashing) {
  json body = {{"step", 0},
               {"model", "m"},
               {"min_version", 1},
               {"target_groups", tasks},
               {"requests", json::array()}};
  for (int i = 0; i < tasks; ++i) {
    const std::string id = TaskId(step, i);
    body["requests"].push_back(
        {{"id", id},
         {"path", task_path},
         {"headers", json::object()},
         {"body", Base64(i == crashing ? kCrashBody : BodyOf(step, i))},
         {"tokens", 10},
         {"group", id}});
    if (!with_rewards) continue;
    body["requests"].back()["scorer"] = {{"id", RewardId(step, i)},
                                         {"host", "h"},
                                         {"path", "/p/reward"},
                                         {"body", Base64(id)}};
  }
  std::vector<transport::http_header> headers = CallerHeaders();
  headers.push_back({"X-Request-Id", step});
  return WaitUntil([&] {
    return web_.Post(Address(entry, callers_port_), step_path + step, body,
                     headers)
               .status == 202;
  });
}

bool deployment::End(const std::string& entry, const std::string& step) {
  return WaitUntil([&] {
    transport::http_request input;
    input.method = "DELETE";
    input.url = "http://" + Address(entry, callers_port_) + "/v1/lots/" + step;
    input.headers = CallerHeaders();
    input.total_timeout = kCallTimeout;
    return web_.Send(std::move(input)).status / 100 == 2;
  });
}

transport::http_response deployment::ReadBody(const std::string& entry,
                                              const std::string& step,
                                              int task) {
  return web_.Get(Address(entry, callers_port_),
                  "/v1/items/" + step + "?id=" + TaskId(step, task),
                  CallerHeaders());
}

transport::http_response deployment::ReadResults(const std::string& entry,
                                                 const std::string& step,
                                                 size_t after) {
  return web_.Get(Address(entry, callers_port_),
                  "/v1/lots/" + step + "?after=" + std::to_string(after),
                  CallerHeaders());
}

json deployment::WaitForResults(const std::string& entry,
                                const std::string& step, size_t count) {
  json page;
  WaitUntil([&] {
    page = testing::BodyOf(ReadResults(entry, step, 0));
    return page.is_object() && page["results"].size() >= count;
  });
  return page.is_object() ? page["results"] : json::array();
}

}  // namespace hickorywood::testing
