#ifndef HICKORYWOOD_QUARANTINE_CRASH_DETECTOR_H_
#define HICKORYWOOD_QUARANTINE_CRASH_DETECTOR_H_

// Detects endpoints that crashed under this process's requests. It
// distinguishes crashes from connections that merely broke, reports the
// requests that were running on a crashed endpoint to the control leader, and
// decides which requests must not be sent.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/request_warning.h"
#include "fleet/view.h"
#include "net/connection_pool.h"
#include "net/event.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/quarantine_decision.h"
#include "quarantine/request_digest.h"

namespace hickorywood::quarantine {

class crash_detector {
 public:
  // Sends an update to the control leader. False: the leader may not have
  // received it.
  using update_sender =
      std::function<boost::asio::awaitable<bool>(fleet::crash_update)>;

  crash_detector(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, net::connection_pool& pool,
                 const fleet::view& view, update_sender send_update);

  void Start();
  // Called when the view has changed.
  void OnView();

  // The connection to `target` broke before the response to the request was
  // complete. Not to be called for a timeout: an endpoint that does not respond
  // may still be working.
  void RecordBrokenConnection(const request_identity& input,
                              const fleet::endpoint& target);
  // The process no longer waits for the response of `target`: the caller
  // disconnected or the deadline passed. A crash of the endpoint that is
  // detected soon after is attributed to the request.
  void RecordAbandoned(const request_identity& input,
                       const fleet::endpoint& target);
  // An endpoint responded to the request and kept running.
  void RecordServed(const request_identity& input);

  // Number of endpoints that are being probed.
  size_t ProbesInProgress() const;
  // True if no request is suspected; then requests need no check.
  bool HasNoSuspects() const { return ledger_.suspects.empty(); }
  quarantine_decision Check(const request_identity& input) const;
  quarantine_decision CheckDigest(const std::string& digest) const;
  // Number of crashes that are attributed to the request with this digest.
  size_t CountCrashes(const std::string& digest) const {
    return quarantine::CountCrashes(ledger_, digest);
  }
  // Empty until the control group has generated the digest key.
  std::string DigestOf(const request_identity& input) const;

 private:
  struct affected_request {
    std::string digest;
    std::string customer;
    bool is_batch = false;
  };
  // Requests that were running on an endpoint that may have crashed without
  // closing its connections.
  struct unresponsive_endpoint {
    fleet::endpoint endpoint;
    // Each with the time at which it expires.
    std::vector<std::pair<affected_request, core::time_point>> requests;
  };
  // An endpoint whose connections broke, and the requests that were running
  // there.
  struct disconnected_endpoint {
    fleet::endpoint endpoint;
    std::vector<affected_request> requests;
    bool is_probing = false;  // its probes are in progress
    core::time_point expires_at{};
  };

  boost::asio::awaitable<void> Probe(std::string incarnation,
                                     std::string address);
  bool IsLeaving(const fleet::endpoint& target) const;
  void AddUnresponsive(const fleet::endpoint& target, affected_request item);
  void RemoveExpiredEntries();
  boost::asio::awaitable<void> RunReportLoop();
  boost::asio::awaitable<void> RunMaintenanceLoop();
  void HandleCrash(const std::string& incarnation);
  bool HasSuccessor(const fleet::endpoint& previous) const;
  void MergeWarnings();
  void QueueMissingReports();

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::view& view_;
  const update_sender send_update_;
  std::map<std::string, disconnected_endpoint> disconnected_;  // by incarnation
  std::map<std::string, unresponsive_endpoint> unresponsive_;  // by incarnation
  crash_ledger ledger_;
  fleet::crash_update outbox_;
  net::event outbox_changed_;
  // Of the view that was processed last.
  uint64_t last_view_term_ = 0;
  std::vector<fleet::request_warning> last_warnings_;
};

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_CRASH_DETECTOR_H_
