#ifndef HICKORYWOOD_CONTROLLER_LEADER_SERVICE_H_
#define HICKORYWOOD_CONTROLLER_LEADER_SERVICE_H_

// What the control leader does for the other processes: views, heartbeats,
// configurations, weights, and requests that take endpoints down. Each method
// answers kNotLeader where this instance does not hold a live lease.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "controller/control_state.h"
#include "controller/heartbeat_memory.h"
#include "controller/view_publisher.h"
#include "controller/weight_book.h"
#include "core/clock.h"
#include "fleet/endpoint_registry.h"
#include "fleet/view.h"
#include "group/group_host.h"
#include "peering/leader_caller.h"
#include "peering/messages.h"
#include "quarantine/crash_ledger.h"

namespace hickorywood::controller {

class leader_service {
 public:
  leader_service(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, group::group_host& group,
                 const control_state& state, fleet::endpoint_registry& registry,
                 weight_book& weights, peering::leader_caller& stores);

  void Start();
  boost::asio::awaitable<peering::envelope> Handle(std::string method,
                                                   std::string payload);

  // This instance starts or stops leading. `followed` is the view that it held
  // as a follower.
  void OnLeadership(bool is_leader, const fleet::view& followed);
  // The replicated state changed.
  void OnApplied();

  // The weights of an engine changed, or it began or ended to load.
  void NoteWeightsChanged();

  // Called when the list of endpoints changed.
  std::function<void()> on_endpoints;

 private:
  using answer = boost::asio::awaitable<peering::envelope>;

  answer GetView(std::string payload);
  answer TakeHeartbeats(std::string payload);
  std::string TakeHeartbeat(const fleet::heartbeat& input);
  answer TakeLeave(std::string payload);
  answer PutConfiguration(std::string payload);
  answer GetConfiguration();
  answer PublishVersion(std::string payload);
  answer Retire(std::string method, std::string payload);
  answer TakeCrashNews(std::string payload);
  answer Lift(std::string payload);

  answer CommitCall(std::string name, std::string payload);
  void NoteStore(const fleet::view_request& input);
  void ExpireStores();
  // Logs what began and ended, and tells it.
  void NoteQuarantines(const std::vector<quarantine::standing_change>& changes);
  boost::asio::awaitable<void> DrawDigestKey();
  boost::asio::awaitable<void> KeepHouse();
  void NoteEndpointsChanged();
  bool IsKnownService(const std::string& name) const;
  view_sources Sources() const;
  fleet::view_members Members() const;
  peering::envelope NotLeader() const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const control_state& state_;
  fleet::endpoint_registry& registry_;
  weight_book& weights_;
  peering::leader_caller& stores_caller_;
  quarantine::crash_ledger crashes_;
  view_publisher views_;
  uint64_t seen_config_ = 0;
  std::string seen_founder_;
  std::string seen_key_;
  std::vector<std::string> seen_members_;
  struct known_store {
    std::string address;
    core::time_point heard_at{};
  };
  std::map<std::string, known_store> stores_;  // by instance
  bool is_founding_ = false;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_LEADER_SERVICE_H_
