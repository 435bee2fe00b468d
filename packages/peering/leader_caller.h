#ifndef HICKORYWOOD_PEERING_LEADER_CALLER_H_
#define HICKORYWOOD_PEERING_LEADER_CALLER_H_

// Calls to the current leader of a group. Starts with the seeds, adds the
// instances from the views, and switches to another instance when the leader
// changes, is unreachable or has terminated. A call, which may be held for
// long, is sent only to an instance that has answered as the leader: an
// instance that stands still would otherwise take the time limit of the call.

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/connection_pool.h"
#include "peering/messages.h"

namespace hickorywood::peering {

class leader_caller {
 public:
  using local_handler = std::function<boost::asio::awaitable<envelope>(
      std::string method, std::string payload)>;

  // `seeds`: initial peer addresses.
  leader_caller(net::connection_pool& pool, std::vector<std::string> seeds);

  // Handles calls to the own instance without a connection.
  void ServeLocally(std::string own_address, local_handler handle);

  // Replaces the seeds. The instances from the views are kept.
  void SetSeeds(std::vector<std::string> seeds);
  void SetInstances(std::vector<std::string> controllers);
  const std::vector<std::string>& Controllers() const { return controllers_; }

  // Calls the leader until a reply other than kNotLeader, kUnavailable and
  // kUnknown arrives, or until `deadline`. One attempt takes `attempt_timeout`
  // at most. Returns kUnknown when an attempt may have been executed and no
  // later one got a definite reply.
  boost::asio::awaitable<envelope> Call(std::string method, std::string payload,
                                        core::time_point deadline,
                                        core::milliseconds attempt_timeout);

  // Asks the instances in turn which of them leads. Returns false when none of
  // them answered as the leader by `deadline`.
  boost::asio::awaitable<bool> FindLeader(core::time_point deadline);

  // Makes one attempt at one instance.
  boost::asio::awaitable<envelope> AttemptCall(const std::string& address,
                                               const std::string& method,
                                               const std::string& payload,
                                               core::time_point deadline);

 private:
  std::string NextTarget();
  void UpdateLeader(const std::string& target, const envelope& answer);

  net::connection_pool& pool_;
  std::vector<std::string> seeds_;
  std::vector<std::string> controllers_;  // from the latest view
  std::string leader_;                    // latest known; empty: none
  bool has_answered_ = false;             // as the leader
  size_t next_target_ = 0;
  int search_timeouts_ = 0;  // in a row
  std::string own_address_;
  local_handler local_;
};

// Reports requests that were running when endpoints crashed to the control
// leader. Returns false when the report may not have arrived.
boost::asio::awaitable<bool> SendCrashUpdate(leader_caller& caller,
                                             fleet::crash_update update);

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_LEADER_CALLER_H_
