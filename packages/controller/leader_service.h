#ifndef HICKORYWOOD_CONTROLLER_LEADER_SERVICE_H_
#define HICKORYWOOD_CONTROLLER_LEADER_SERVICE_H_

// The service that the control leader provides to the other processes: views,
// heartbeats, configurations, weights, retirement of stores, and the quarantine
// of requests that crash endpoints. Each method returns kNotLeader when this
// instance has no live lease.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "controller/contact_table.h"
#include "controller/control_state.h"
#include "controller/heartbeat_cache.h"
#include "controller/heartbeat_routing.h"
#include "controller/usage_reporter.h"
#include "controller/view_publisher.h"
#include "controller/weight_table.h"
#include "core/clock.h"
#include "fleet/endpoint_registry.h"
#include "fleet/view.h"
#include "group/group_host.h"
#include "net/event.h"
#include "peering/leader_caller.h"
#include "peering/messages.h"
#include "quarantine/crash_ledger.h"

namespace hickorywood::controller {

class leader_service {
 public:
  leader_service(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, group::group_host& group,
                 const control_state& state, fleet::endpoint_registry& registry,
                 weight_table& weights, usage_reporter& usage,
                 peering::leader_caller& stores);

  void Start();
  boost::asio::awaitable<peering::envelope> Handle(std::string method,
                                                   std::string payload);

  // Handles the start or the end of leadership. `followed` is the view that
  // this instance had as a follower.
  void OnLeadership(bool is_leader, const fleet::view& followed);
  // Publishes changes of the replicated state.
  void OnApplied();

  // Sets the address at which this instance takes heartbeats.
  void SetHeartbeatAddress(const std::string& address) {
    heartbeat_routing_.own_address = address;
  }
  // Returns the address to which an endpoint that sent a heartbeat to this
  // instance should send the next ones; empty: to this one.
  std::string HeartbeatAddressFor(const std::string& endpoint);

  // Publishes that the weights of an engine changed, or that a load began or
  // ended.
  void OnWeightsChanged();

  // Called when the list of endpoints changed.
  std::function<void()> on_endpoints;
  // Called for each heartbeat, and with the load that a process reports.
  std::function<void(const fleet::heartbeat&)> on_heartbeat;
  std::function<void(const std::vector<fleet::service_demand>&)> on_demands;
  // Further methods, which other parts of the control leader provide.
  using method_handler =
      std::function<boost::asio::awaitable<peering::envelope>(
          std::string payload)>;
  std::map<std::string, method_handler> handlers;

 private:
  using answer = boost::asio::awaitable<peering::envelope>;

  answer GetView(std::string payload);
  answer HandleHeartbeats(std::string payload);
  std::string AcceptHeartbeat(const fleet::heartbeat& input);
  answer HandleLeave(std::string payload);
  answer PutConfiguration(std::string payload);
  // Waits until no instance acts on a version before those of `goals`, which
  // are in all views since `since`. Returns kPending when some still may at
  // `until`.
  answer AwaitKnown(std::vector<contact_goal> goals, core::time_point since,
                    core::time_point until);
  // Commits that these endpoints are leaving, and waits until no instance sends
  // work to them any more.
  answer RecordLeaving(std::vector<fleet::leaving_endpoint> endpoints,
                       core::time_point until);
  // Commits those of the endpoints that are not recorded yet.
  answer CommitLeaving(const std::vector<fleet::leaving_endpoint>& endpoints);
  // Applies further records of leaving endpoints to the registry. Returns true
  // when the list of endpoints changed.
  bool ApplyLeavingRecords();
  // Waits until no instance acts on a configuration before `version`.
  answer AwaitInForce(uint64_t version, core::time_point until);
  void RecordRequest(const fleet::view_request& input);
  // Waits until this instance leads or knows who does.
  boost::asio::awaitable<void> AwaitLeader();
  boost::asio::awaitable<void> RunLeaderWatch();
  bool IsLeaderKnown() const;
  // Wakes the acknowledgements that wait, once for many requests.
  void NotifyOfContact();
  answer GetConfiguration();
  answer PublishVersion(std::string payload);
  answer Retire(std::string method, std::string payload);
  answer HandleCrashUpdate(std::string payload);
  answer Lift(std::string payload);

  answer CommitCall(std::string name, std::string payload);
  void RecordStore(const fleet::view_request& input);
  // Returns the stores that are to be the first voters of the data group.
  // Nothing: there are too few yet, or one of them is in a group.
  std::vector<consensus::member> FirstDataVoters() const;
  void FoundDataGroup();
  void ExpireStores();
  // Logs the changed quarantines and publishes them.
  void OnQuarantineChanges(
      const std::vector<quarantine::quarantine_change>& changes);
  boost::asio::awaitable<void> CommitDigestKey();
  boost::asio::awaitable<void> RunMaintenanceLoop();
  void OnEndpointsChanged(urgency level);
  bool IsKnownService(const std::string& name) const;
  view_sources Sources() const;
  fleet::view_members Members() const;
  peering::envelope NotLeader() const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const control_state& state_;
  fleet::endpoint_registry& registry_;
  weight_table& weights_;
  usage_reporter& usage_;
  peering::leader_caller& stores_caller_;
  quarantine::crash_ledger crashes_;
  view_publisher views_;
  bool is_leader_ = false;
  // Number of the latest record of a leaving endpoint that the registry has.
  uint64_t applied_leaving_ = 0;
  uint64_t published_config_ = 0;
  std::vector<consensus::member> published_voters_;  // first data voters
  std::string published_key_;
  std::vector<std::string> published_members_;
  struct store_record {
    std::string address;
    std::string vacant_storage;  // see fleet::view_request
    core::time_point last_request_at{};
  };
  std::map<std::string, store_record> stores_;  // by instance
  heartbeat_routing heartbeat_routing_;
  bool is_founding_ = false;
  contact_table config_contacts_;  // instances that act on the configuration
  core::time_point config_applied_at_{};  // the latest one, at this instance
  // The instances with each scope, with their version of lists.
  contact_table list_contacts_;
  contact_table plain_contacts_;
  // The first version of this term's lists in which an endpoint is leaving, and
  // when it was published.
  struct published_change {
    published_lists versions;
    core::time_point published_at{};
  };
  std::map<std::string, published_change> leaving_;  // by incarnation
  net::event contact_;                               // a view was requested
  bool is_contact_scheduled_ = false;
  net::event leader_known_;
  bool is_leader_watched_ = false;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_LEADER_SERVICE_H_
