#ifndef HICKORYWOOD_QUARANTINE_CRASH_WATCH_H_
#define HICKORYWOOD_QUARANTINE_CRASH_WATCH_H_

// One process's part in holding back requests that take endpoints down: tells
// endpoints that ended from connections that merely broke, reports the requests
// that were running there to the control leader, and knows which requests must
// not be sent.

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
#include "quarantine/request_digest.h"
#include "quarantine/verdict.h"

namespace hickorywood::quarantine {

class crash_watch {
 public:
  // Brings news to the control leader. False: it may not have arrived.
  using teller = std::function<boost::asio::awaitable<bool>(fleet::crash_news)>;

  crash_watch(boost::asio::io_context& loop, const core::runtime_clock& clock,
              net::connection_pool& pool, const fleet::view& view, teller tell);

  void Start();
  // The view changed.
  void OnView();

  // The connection to `target` broke under a request before its answer was
  // whole. Not for silence: who does not answer may be at work.
  void NoteBroken(const request_identity& input, const fleet::endpoint& target);
  // No answer from `target` is waited for any more: the caller left, or the
  // time is up. An end of the endpoint that shows soon counts against the
  // request.
  void NoteGivenUp(const request_identity& input,
                   const fleet::endpoint& target);
  // An endpoint answered the request and goes on.
  void NoteServed(const request_identity& input);

  // Endpoints that are being asked whether they listen.
  size_t Probing() const;
  // While nothing is suspected no request is looked at.
  bool IsQuiet() const { return ledger_.suspects.empty(); }
  verdict Check(const request_identity& input) const;
  verdict CheckDigest(const std::string& digest) const;
  // Empty while the control group has drawn no key.
  std::string DigestOf(const request_identity& input) const;

 private:
  struct victim {
    std::string digest;
    std::string customer;
  };
  // Requests at an endpoint that may have ended without a sign of it.
  struct silent_endpoint {
    fleet::endpoint endpoint;
    std::vector<std::pair<victim, core::time_point>> victims;  // until when
  };
  // An endpoint whose connections broke, and the requests that ran there.
  struct broken_endpoint {
    fleet::endpoint endpoint;
    std::vector<victim> victims;
    bool is_probed = false;  // its probes are under way
    core::time_point give_up_at{};
  };

  boost::asio::awaitable<void> Probe(std::string incarnation,
                                     std::string address);
  bool IsLeaving(const fleet::endpoint& target) const;
  void AddSilent(const fleet::endpoint& target, victim item);
  void ForgetSound();
  boost::asio::awaitable<void> KeepTelling();
  boost::asio::awaitable<void> KeepHouse();
  void NoteEnded(const std::string& incarnation);
  bool HasSuccessor(const fleet::endpoint& gone) const;
  void TakeWarnings();
  void TellWhatTheLeaderLacks();

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::view& view_;
  const teller tell_;
  std::map<std::string, broken_endpoint> broken_;  // by incarnation
  std::map<std::string, silent_endpoint> silent_;  // by incarnation
  crash_ledger ledger_;
  fleet::crash_news outbox_;
  net::event outbox_filled_;
  // Of the view that was looked at last.
  uint64_t seen_term_ = 0;
  std::vector<fleet::request_warning> seen_warnings_;
};

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_CRASH_WATCH_H_
