#ifndef HICKORYWOOD_QUARANTINE_CRASH_WATCH_H_
#define HICKORYWOOD_QUARANTINE_CRASH_WATCH_H_

// Tells endpoints that ended from connections that merely broke, and names the
// requests that were running there. One for each process that sends requests to
// endpoints.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/view.h"
#include "net/connection_pool.h"
#include "quarantine/request_digest.h"

namespace hickorywood::quarantine {

class crash_watch {
 public:
  crash_watch(boost::asio::io_context& loop, const core::runtime_clock& clock,
              net::connection_pool& pool, const fleet::view& view);

  // The view changed.
  void OnView();

  // The connection to `target` broke under a request before its answer was
  // whole. Not for silence: who does not answer may be at work.
  void NoteBroken(const request_identity& input, const fleet::endpoint& target);

 private:
  // An endpoint whose connections broke, and the requests that ran there.
  struct broken_endpoint {
    fleet::endpoint endpoint;
    std::vector<std::string> digests;
    core::time_point give_up_at{};
  };

  boost::asio::awaitable<void> Watch(std::string incarnation,
                                     std::string address);
  void NoteEnded(const std::string& incarnation);
  bool HasSuccessor(const fleet::endpoint& gone) const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::view& view_;
  std::map<std::string, broken_endpoint> broken_;  // by incarnation
};

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_CRASH_WATCH_H_
