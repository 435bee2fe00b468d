#ifndef HICKORYWOOD_ROUTING_REQUEST_SENDER_H_
#define HICKORYWOOD_ROUTING_REQUEST_SENDER_H_

// Sends a plain request to endpoints of its route until one of them returns a
// complete answer. An idempotent request is retried on other endpoints, within
// the attempt limit and the timeout of its route; any other request is sent
// until one endpoint may have run it. Entries use this class for callers'
// requests, and stores for reward calls.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/configuration.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "net/connection_pool.h"
#include "net/message.h"
#include "quarantine/crash_detector.h"
#include "routing/endpoint_choice.h"

namespace hickorywood::routing {

// Time limit of connecting to an endpoint, after which the next endpoint is
// tried. A healthy endpoint accepts a connection within a few ms, also in
// another zone.
constexpr std::chrono::milliseconds kConnectTimeout{500};
// Rejections of one request after which it is no longer retried. This bounds
// how long a request is offered to full endpoints.
constexpr int kMaxRefusals = 4;

// Called once for a request that an endpoint began to run, with the time at
// which it was sent there.
using run_observer = std::function<void(core::boot_time_point began_at)>;

struct send_terms {
  fleet::route route;
  std::string id;               // of the request; answers repeat it
  core::time_point deadline{};  // of the complete answer
  // Customer on whose behalf the request runs, see fleet::dispatch_terms.
  std::optional<std::string> customer;
  run_observer on_run;  // empty: not called
  // The service, if it was chosen from those of the route already.
  std::string service;
  // See quarantine::request_identity.
  bool is_batch = false;
  // Incarnation of the endpoint for the first attempt, if it is still in use;
  // empty: chosen by load.
  std::string first_endpoint;
};

// The result of sending a request.
struct send_outcome {
  // The complete answer with the mark of its endpoint, without hop-by-hop
  // headers; empty if no complete answer was received.
  std::optional<net::response> answer;
  std::string service;        // chosen from the services of the route
  bool may_have_run = false;  // an endpoint may have run it, or may still do so
  bool is_late = false;       // the deadline has passed
  int failed_answers = 0;     // complete answers with status 500
  int refusals = 0;           // attempts that ended without running it
  size_t endpoints = 0;       // endpoints that were tried
  std::string problem;        // why no further endpoint was tried
  size_t crashes = 0;  // attributed to the request before the last attempt
  // Set when the request is quarantined because endpoints crash while they run
  // it: the time for which it is sent to no endpoint.
  std::optional<std::chrono::milliseconds> quarantined_for;
};

class request_sender {
 public:
  request_sender(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, net::connection_pool& pool,
                 const fleet::protocol& wire, const fleet::view& view,
                 quarantine::crash_detector& crashes, std::string own_zone);

  // Cancelling the coroutine cancels the running attempts and closes their
  // connections.
  boost::asio::awaitable<send_outcome> Send(const net::request& input,
                                            const send_terms& terms);

  // Called after an update of the view.
  void OnEndpoints(const fleet::view_update& update);

  // Load records of the endpoints, shared with requests that are not sent by
  // Send().
  endpoint_load_table& Loads() { return loads_; }
  const std::string& OwnZone() const { return own_zone_; }
  // See choice_input::seed.
  uint64_t ChoiceSeed() const { return choice_seed_; }

 private:
  struct attempt_result;
  struct send_state;

  bool StartAttempt(const std::shared_ptr<send_state>& state,
                    const net::request& input);
  void OnRemoved(const std::string& incarnation);
  const fleet::endpoint* FirstEndpoint(const send_state& state) const;
  boost::asio::awaitable<attempt_result> Attempt(
      std::shared_ptr<send_state> state, fleet::endpoint target,
      net::request output);
  void ProcessResults(send_state& state,
                      const quarantine::request_identity& identity);
  bool MayStart(const send_state& state) const;
  // Updates `state` with the quarantine state of the request. Returns false
  // when the request must not be sent.
  bool IsSendable(send_state& state,
                  const quarantine::request_identity& identity) const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  const fleet::view& view_;
  quarantine::crash_detector& crashes_;
  const std::string own_zone_;
  const uint64_t choice_seed_ = core::Hash64(core::RandomId());
  endpoint_load_table loads_;
  std::map<std::string, std::string> addresses_;  // by incarnation
  // Endpoints that were removed while requests were running there.
  std::set<std::string> removed_;
};

// Returns a random number from 0 to 1, with which a service of a route is
// chosen.
double DrawShare();

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_REQUEST_SENDER_H_
