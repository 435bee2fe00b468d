#ifndef HICKORYWOOD_TESTS_SUPPORT_CLUSTER_H_
#define HICKORYWOOD_TESTS_SUPPORT_CLUSTER_H_

// Runs hickoryd processes and fake endpoints for integration tests. Each
// directed link between two instances goes through the fault proxy.

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/fault_proxy.h"
#include "support/process.h"
#include "support/web.h"

namespace hickorywood::testing {

struct node_spec {
  std::string id;
  std::string site = "north";
  std::string zone = "z1";
  bool is_control = true;
};

struct endpoint_spec {
  std::string id;
  std::string kind = "engine";
  std::string name = "model-a";
  std::string site = "north";
  std::string zone = "z1";
  std::vector<std::string> flags;  // additional flags of fake_endpoint
};

class cluster {
 public:
  // With `is_direct`, the instances connect to each other without the proxy.
  // This is for measurements.
  explicit cluster(std::vector<node_spec> nodes,
                   std::string extra_settings = "",
                   std::vector<std::string> extra_flags = {},
                   bool is_direct = false);
  ~cluster();

  // Starts all nodes, bootstraps the group at the first control node, submits
  // `base` and waits until every node is ready. Returns false if one of these
  // steps fails.
  bool Start(const std::string& base);

  void StartNode(const std::string& id);
  void KillNode(const std::string& id);
  // Removes the data folder of a stopped node.
  void LoseDisk(const std::string& id);
  process& Node(const std::string& id) { return *nodes_.at(id).running; }
  std::string Callers(const std::string& id) const;
  std::string Peers(const std::string& id) const;
  std::string DataFolder(const std::string& id) const {
    return folder_ + "/" + id + "/data";
  }
  std::string LogOf(const std::string& id) const {
    return folder_ + "/" + id + "/log";
  }

  // Sets the fault of the link from one instance to another, or of all links
  // from and to an instance.
  void SetLink(const std::string& from, const std::string& to,
               link_fault fault);
  void Isolate(const std::string& id, link_fault fault);

  // Starts a fake endpoint behind a proxy link. It announces itself to the
  // nodes of its site in turn.
  void StartEndpoint(const endpoint_spec& spec);
  // The process id of a running node, to measure its resource usage.
  pid_t PidOf(const std::string& id) const {
    return nodes_.at(id).running->Pid();
  }
  process& Endpoint(const std::string& id) {
    return *endpoints_.at(id).running;
  }
  uint16_t EndpointLink(const std::string& id) const {
    return endpoints_.at(id).link;
  }
  // The address of the endpoint itself, which bypasses the proxy.
  std::string EndpointAddress(const std::string& id) const;
  // Waits until every running node routes to exactly `count` endpoints.
  bool WaitForEndpoints(size_t count);

  // The id of the leader with an unexpired lease; empty if there is none.
  std::string Leader(const std::string& except = "");
  bool WaitForLeader(const std::string& except = "");
  nlohmann::json Status(const std::string& id);
  bool IsReady(const std::string& id);
  bool IsRunning(const std::string& id);

  // Submits a configuration file and returns the body of the response, with
  // "http_status" added.
  nlohmann::json Submit(const std::string& node, const std::string& scope,
                        const std::string& text, const std::string& change_id,
                        int64_t based_on);
  uint64_t Revision(const std::string& node);

  web& Web() { return web_; }
  fault_proxy& Proxy() { return proxy_; }
  const std::vector<node_spec>& Specs() const { return specs_; }

 private:
  struct running_node {
    std::unique_ptr<process> running;
    uint16_t callers_port = 0;
    uint16_t peers_port = 0;
  };
  struct running_endpoint {
    std::unique_ptr<process> running;
    uint16_t link = 0;
    uint16_t port = 0;
  };

  void WriteSettings(const node_spec& spec) const;
  const node_spec& Spec(const std::string& id) const;

  const std::vector<node_spec> specs_;
  const std::string extra_settings_;
  const std::vector<std::string> extra_flags_;
  const std::string folder_;
  std::map<std::string, uint16_t>
      direct_ports_;  // by node; empty if the links go through the proxy
  fault_proxy proxy_;
  std::map<std::pair<std::string, std::string>, uint16_t>
      links_;  // by source and destination
  std::map<std::string, running_node> nodes_;
  std::map<std::string, running_endpoint> endpoints_;
  web web_;
};

// Returns a configuration with the pool "pool-a" on "model-a" and the service
// "bookings".
std::string SmallConfiguration(const std::string& more_of_pool = "",
                               const std::string& more = "");

// Returns three control nodes of one site in three availability zones: n1, n2,
// n3.
std::vector<node_spec> ThreeNodes();

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_CLUSTER_H_
