#ifndef HICKORYWOOD_PEERING_VIEW_FOLLOWER_H_
#define HICKORYWOOD_PEERING_VIEW_FOLLOWER_H_

// Keeps the view of a process up to date by long polling: the leader delays
// each response until something changes.

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/view.h"
#include "peering/leader_caller.h"

namespace hickorywood::peering {

struct follower_options {
  std::string instance;
  std::string store_address;      // peer address of a store; empty: not a store
  std::string heartbeat_address;  // of a control instance; empty: not one
  bool acts_on_config = false;    // see fleet::view_request
  fleet::view_scope scope = fleet::view_scope::kAll;
  // How long the leader may delay a response. It also limits the time until a
  // broken connection is detected.
  core::milliseconds wait{700};
  // Additional time for the response to arrive.
  core::milliseconds slack{400};
};

// Returns the peer addresses of the stores in a view.
std::vector<std::string> StoreAddresses(const fleet::view& held);

// Counts of usage that are sent with the requests.
struct usage_feed {
  std::string source;  // see fleet::view_request
  // Called before each request.
  std::function<std::vector<fleet::usage_window>()> pending;
  // Called after each response, with the term of the leader that received the
  // counts and with its time of day, if it knows it.
  std::function<void(uint64_t term, std::optional<core::unix_time> time)>
      received;
};

class view_follower {
 public:
  view_follower(const core::runtime_clock& clock, leader_caller& caller,
                follower_options options);

  // Runs until the coroutine is cancelled.
  boost::asio::awaitable<void> Run();

  const fleet::view& View() const { return view_; }
  // When the request was sent whose response last confirmed the configuration
  // of the view: every configuration acknowledged before is in it. Nothing: no
  // response was received yet.
  std::optional<core::boot_time_point> ConfirmedAt() const {
    return confirmed_at_;
  }
  // Sets the condition under which the weights of the engines are requested.
  void SetWeightsCondition(std::function<bool()> wants) {
    wants_weights_ = std::move(wants);
  }
  // Sets the source of the demands that this process reports with each request.
  void SetDemandSource(
      std::function<std::vector<fleet::model_demand>()> demands) {
    demands_ = std::move(demands);
  }
  void SetServiceDemandSource(
      std::function<std::vector<fleet::service_demand>()> demands) {
    service_demands_ = std::move(demands);
  }
  // Sets the source of fleet::view_request::vacant_storage.
  void SetVacantStorage(std::function<std::string()> storage) {
    vacant_storage_ = std::move(storage);
  }
  void SetUsageFeed(usage_feed feed) { usage_ = std::move(feed); }
  // Called after each change, with the update that contained it.
  void OnChange(std::function<void(const fleet::view_update&)> changed) {
    changed_ = std::move(changed);
  }

 private:
  void Apply(const envelope& answer, core::boot_time_point requested_at);
  std::string AgeText() const;

  const core::runtime_clock& clock_;
  leader_caller& caller_;
  const follower_options options_;
  fleet::view view_;
  std::optional<core::boot_time_point> confirmed_at_;
  bool is_following_ = false;
  int timeouts_ = 0;  // requests in a row that were sent and not answered
  std::function<bool()> wants_weights_;
  std::function<std::vector<fleet::model_demand>()> demands_;
  std::function<std::vector<fleet::service_demand>()> service_demands_;
  std::function<std::string()> vacant_storage_;
  usage_feed usage_;
  std::function<void(const fleet::view_update&)> changed_;
};

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_VIEW_FOLLOWER_H_
