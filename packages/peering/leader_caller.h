#ifndef HICKORYWOOD_PEERING_LEADER_CALLER_H_
#define HICKORYWOOD_PEERING_LEADER_CALLER_H_

// Calls to whichever control instance leads. Starts from the seeds, learns the
// others from the views, and goes on to the next one when the leader changes,
// is silent or is gone.

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

  // `seeds`: peer addresses to begin with.
  leader_caller(net::connection_pool& pool, std::vector<std::string> seeds);

  // A control instance answers its own calls without a connection.
  void ServeLocally(std::string own_address, local_handler handle);

  // New seeds take the place of the first ones; what views told stays.
  void SetSeeds(std::vector<std::string> seeds);
  void SetControllers(std::vector<std::string> controllers);
  const std::vector<std::string>& Controllers() const { return controllers_; }

  // Asks until an answer that is neither kNotLeader nor kUnavailable comes, or
  // until `deadline`. One try waits `patience` at most. kUnknown: a try got no
  // answer and none after it told more.
  boost::asio::awaitable<envelope> Ask(std::string method, std::string payload,
                                       core::time_point deadline,
                                       core::milliseconds patience);

  // One try at one instance.
  boost::asio::awaitable<envelope> AskOne(const std::string& address,
                                          const std::string& method,
                                          const std::string& payload,
                                          core::time_point deadline);

 private:
  std::string NextTarget();
  void NoteAnswer(const std::string& target, const envelope& answer);

  net::connection_pool& pool_;
  std::vector<std::string> seeds_;
  std::vector<std::string> controllers_;  // from the latest view
  std::string leader_;                    // best guess; empty: none
  size_t turn_ = 0;
  std::string own_address_;
  local_handler local_;
};

// Tells the control leader of requests under which endpoints ended. False: it
// may not have heard.
boost::asio::awaitable<bool> TellCrashNews(leader_caller& caller,
                                           fleet::crash_news news);

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_LEADER_CALLER_H_
