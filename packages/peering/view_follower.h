#ifndef HICKORYWOOD_PEERING_VIEW_FOLLOWER_H_
#define HICKORYWOOD_PEERING_VIEW_FOLLOWER_H_

// Keeps a process's view up to date: asks the leader again and again, each time
// held back there until something changes.

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/view.h"
#include "peering/leader_caller.h"

namespace hickorywood::peering {

struct follower_options {
  std::string instance;
  std::string store_address;  // peer address of a store; empty: not a store
  bool may_found = false;     // a store that starts for the first time
  // How long the leader may hold an answer back. Also what tells a silent link:
  // twice this is well below the time in which a change must be in force.
  core::milliseconds wait{700};
  // How much later than that an answer may come.
  core::milliseconds slack{400};
};

// Peer addresses of the stores that a view lists.
std::vector<std::string> StoreAddresses(const fleet::view& held);

class view_follower {
 public:
  view_follower(leader_caller& caller, follower_options options);

  // Runs until the coroutine is cancelled.
  boost::asio::awaitable<void> Run();

  const fleet::view& View() const { return view_; }
  // Whether the weights of the engines are asked for too.
  void WantWeights(bool wants) { wants_weights_ = wants; }
  // What this process says of the tasks that it runs, each time it asks.
  void TellDemands(std::function<std::vector<fleet::model_demand>()> demands) {
    demands_ = std::move(demands);
  }
  // Called after each change.
  void OnChange(std::function<void()> changed) {
    changed_ = std::move(changed);
  }

 private:
  void Take(const envelope& answer);

  leader_caller& caller_;
  const follower_options options_;
  fleet::view view_;
  bool is_in_touch_ = false;
  bool wants_weights_ = false;
  std::function<std::vector<fleet::model_demand>()> demands_;
  std::function<void()> changed_;
};

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_VIEW_FOLLOWER_H_
