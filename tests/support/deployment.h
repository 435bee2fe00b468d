#ifndef HICKORYWOOD_TESTS_SUPPORT_DEPLOYMENT_H_
#define HICKORYWOOD_TESTS_SUPPORT_DEPLOYMENT_H_

// A complete deployment of real processes that discover each other through
// seeds: control instances, stores and entries, each on its own loopback
// address, with simulated endpoints in the test's process.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/process.h"
#include "support/simulated_endpoints.h"
#include "support/web.h"

namespace hickorywood::testing {

// The path of the program under test.
std::string ProgramPath();

// Number of instances of each role.
struct deployment_size {
  int controls = 3;
  int stores = 3;
  int entries = 2;
};

class deployment {
 public:
  explicit deployment(deployment_size size = {});
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Starts all instances except the spare control instance, applies
  // configuration 1 and waits until the entries are ready. Returns false if one
  // of these steps fails.
  bool Start();

  void StartNode(const std::string& id);
  void KillNode(const std::string& id);
  // Whether the log of a node contains an event.
  bool HasLogged(const std::string& id, const std::string& event) const;
  // Whether the current process of this node has logged its start.
  bool HasStarted(const std::string& id) const;
  // Starts the control instance that Start() leaves out. It joins, with an
  // empty disk, a group that was bootstrapped before.
  void StartSpareControl();
  // Kills all running instances, removes the data folder of `wiped`, and
  // restarts them.
  void CutPower(const std::string& wiped);
  // The number of storage identities under which a store or a control instance
  // has been a voter so far, according to the voter lists in the logs of its
  // group.
  size_t CountVoterIdentities(const std::string& node) const;
  // Whether `id` is in the latest voter list in the log of `observer`.
  bool IsVoter(const std::string& observer, const std::string& id) const;
  // Removes the data folder of a stopped instance.
  void LoseDisk(const std::string& id);
  process& Node(const std::string& id) { return *nodes_.at(id).running; }
  bool IsReady(const std::string& entry);
  // Returns the next heartbeats of endpoints outside this deployment: the
  // bodies by incarnation. Must be set before Start().
  std::function<std::map<std::string, std::string>()> extra_heartbeats;

  // Text that is appended to the settings of all instances that are started
  // from now on.
  std::string extra_settings;
  // Whether all instances that are started from now on serve metrics.
  bool serves_metrics = false;
  // Addresses of the listeners of an instance.
  std::string CallersAddress(const std::string& id) const;
  std::string ReadinessAddress(const std::string& id) const;
  std::string ControlAddress(const std::string& id) const;
  std::string PeersAddress(const std::string& id) const;
  std::string MetricsAddress(const std::string& id) const;
  // Further settings of one instance; empty: none.
  std::function<std::string(const std::string& id)> settings_of;
  // Customers of the next configurations, in the operator's format; null: none.
  nlohmann::json customers;
  // Further routes of the next configurations, in the operator's format.
  nlohmann::json extra_routes = nlohmann::json::array();
  // Whether the next configurations have the route of steps.
  bool has_step_route = true;
  // Paths of the steps that are submitted from now on, and of their tasks.
  std::string step_path = "/s/";
  std::string task_path = "/s/run";
  // A further service of the next configurations; null: none.
  nlohmann::json extra_service;
  // Key that is sent with all requests of callers; empty: none.
  std::string caller_key;

  nlohmann::json Configuration(int version, bool with_plain_route) const;
  // Sends a configuration to one control instance once.
  transport::http_response PutConfigurationAt(
      const std::string& control, const nlohmann::json& configuration);
  // Sends a configuration to the control instances in turn until one accepts
  // it.
  bool PutConfiguration(int version, bool with_plain_route);
  // Path of the route that only this version of the configuration has.
  static std::string PathOf(int version);
  // Sends a request of that route.
  transport::http_response UseVersion(const std::string& entry, int version,
                                      const std::string& request_id);
  // The configuration version that a control instance reports; 0 if it reports
  // none.
  int VersionAt(const std::string& control);

  // The control instance that was elected last; empty: none.
  std::string ControlLeader() const;
  // Sends a heartbeat with this body to a control instance. Returns whether it
  // was acknowledged.
  bool SendHeartbeat(const std::string& control, const std::string& incarnation,
                     const std::string& body);
  // Reports to a control instance that an endpoint leaves. Returns whether it
  // was acknowledged.
  bool Leave(const std::string& control, const std::string& incarnation);

  // The ordered and present servers that a control instance reports.
  nlohmann::json Scaling(const std::string& control);
  // The quarantined and suspected requests that a control instance reports.
  nlohmann::json Quarantine(const std::string& control);
  bool Lift(const std::string& control, const std::string& digest);

  // Creates a request with a request id to an entry, without a body.
  transport::http_request MakeRequest(const std::string& entry,
                                      const std::string& path,
                                      const std::string& request_id) const;
  transport::http_response Plain(const std::string& entry,
                                 const std::string& request_id);
  transport::http_response PlainWithBody(const std::string& entry,
                                         const std::string& request_id,
                                         const std::string& body);
  // Sends a request and disconnects after `timeout`. `path` is the path of a
  // route: "/p/x" for plain requests, "/q/x" for streams.
  transport::http_response SendWithTimeout(const std::string& entry,
                                           const std::string& path,
                                           const std::string& request_id,
                                           const std::string& body,
                                           std::chrono::milliseconds timeout);
  // Sends a request that engines answer with a stream of events.
  transport::http_response Stream(const std::string& entry,
                                  const std::string& request_id,
                                  const std::string& body);
  std::future<transport::http_response> PlainLater(
      const std::string& entry, const std::string& request_id);
  // Submits a step of `tasks` tasks and retries until it is accepted. The body
  // of the task with the index `crashing` is kCrashBody.
  bool Submit(const std::string& entry, const std::string& step, int tasks,
              bool with_rewards = false, int crashing = -1);
  // Ends a step and retries until the end is acknowledged.
  bool End(const std::string& entry, const std::string& step);
  // Waits until an entry lists at least `count` results of a step, and returns
  // its results.
  nlohmann::json WaitForResults(const std::string& entry,
                                const std::string& step, size_t count);

  // Reads the results of a step after a position from an entry.
  transport::http_response ReadResults(const std::string& entry,
                                       const std::string& step, size_t after);
  // Reads the body of a task from an entry.
  transport::http_response ReadBody(const std::string& entry,
                                    const std::string& step, int task);

  static constexpr char kSpareControl[] = "c4";
  // Body of requests that crash the endpoint that runs them, once CrashOnBody()
  // was called with it.
  static constexpr char kCrashBody[] = "crash";
  static std::string TaskId(const std::string& step, int task);
  // The body with which a task is submitted. It contains every byte value.
  static std::string BodyOf(const std::string& step, int task);
  static std::string RewardId(const std::string& step, int task);
  const std::vector<std::string>& Stores() const { return stores_; }
  const std::vector<std::string>& Controls() const { return controls_; }
  simulated_endpoints& Endpoints() { return endpoints_; }
  web& Web() { return web_; }
  std::string LogOf(const std::string& id) const {
    return folder_ + "/" + id + ".log";
  }

 private:
  struct node {
    std::string role;
    std::string ip;
    std::unique_ptr<process> running;
    bool was_started = false;
    std::uintmax_t log_offset =
        0;  // size of its log before the latest start, in bytes
    bool is_up = false;
  };

  std::vector<transport::http_header> CallerHeaders() const;
  void AddNode(const std::string& id, const std::string& role);
  std::vector<std::string> GroupOf(const std::string& id) const;
  std::string Address(const std::string& id, int port) const;
  transport::http_request MakePlain(const std::string& entry,
                                    const std::string& request_id,
                                    const std::string& body) const;
  transport::http_request MakeHeartbeat(const std::string& control,
                                        const std::string& incarnation,
                                        const std::string& body) const;
  void SendHeartbeats();

  const std::string folder_;
  int peers_port_ = 0;
  int callers_port_ = 0;
  int control_port_ = 0;
  int ready_port_ = 0;
  int metrics_port_ = 0;
  std::map<std::string, node> nodes_;
  std::vector<std::string> stores_;
  std::vector<std::string> controls_;
  std::vector<std::string> entries_;
  simulated_endpoints endpoints_;
  web web_;
  std::atomic<bool> is_stopping_{false};
  std::thread heartbeats_;
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_DEPLOYMENT_H_
