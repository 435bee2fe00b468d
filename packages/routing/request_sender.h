#ifndef HICKORYWOOD_ROUTING_REQUEST_SENDER_H_
#define HICKORYWOOD_ROUTING_REQUEST_SENDER_H_

// Sends one plain request to the endpoints of its route until one gives a
// whole answer. What may be repeated is tried again elsewhere, within the
// attempts and the time of its route; what may not is sent once. Callers'
// requests at entries and reward calls at stores go this one way.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "fleet/configuration.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "net/connection_pool.h"
#include "net/message.h"
#include "quarantine/crash_watch.h"
#include "routing/endpoint_choice.h"

namespace hickorywood::routing {

// How long to wait for a connection to an endpoint before the next one is
// tried: a sound one is there within a few ms, also in another zone.
constexpr std::chrono::milliseconds kConnectTimeout{500};
// Endpoints that may refuse one request before it is given up. Bounds how long
// a request knocks on full endpoints.
constexpr int kMostRefusals = 4;

struct send_terms {
  fleet::route where;
  std::string id;               // of the request; answers echo it
  core::time_point deadline{};  // of the whole answer
};

// What came of a request.
struct send_outcome {
  // The endpoint's own whole answer, headers of its connection left out. Empty:
  // none came.
  std::optional<net::response> answer;
  std::string service;  // that was drawn of the route's
  bool may_have_run =
      false;               // an endpoint may have begun with it, or still may
  bool is_late = false;    // the deadline passed
  int failed_answers = 0;  // whole answers of endpoints that say 500
  int refusals = 0;        // endpoints that did not run it
  size_t endpoints = 0;    // that were tried
  std::string problem;     // why no further one was tried
  // Endpoints end under this request, and it is sent to none for as long.
  std::optional<std::chrono::milliseconds> quarantined_for;
};

class request_sender {
 public:
  request_sender(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, net::connection_pool& pool,
                 const fleet::protocol& wire, const fleet::view& view,
                 quarantine::crash_watch& crashes, std::string own_zone);

  // Cancelled with its coroutine: the attempts that are under way then end with
  // their connections.
  boost::asio::awaitable<send_outcome> Send(const net::request& input,
                                            const send_terms& terms);

  // The endpoints changed.
  void OnEndpoints();

  // What is known of the endpoints, also for requests that go another way.
  endpoint_book& Book() { return book_; }
  const std::string& OwnZone() const { return own_zone_; }

 private:
  struct attempt_result;
  struct race;

  bool StartAttempt(const std::shared_ptr<race>& state,
                    const net::request& input);
  boost::asio::awaitable<attempt_result> Attempt(std::shared_ptr<race> state,
                                                 fleet::endpoint target,
                                                 net::request output);
  void TakeResults(race& state, const quarantine::request_identity& identity);
  bool MayStart(const race& state) const;
  // Takes the request's standing into the race. False: it must not be sent.
  bool IsSendable(race& state,
                  const quarantine::request_identity& identity) const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  const fleet::view& view_;
  quarantine::crash_watch& crashes_;
  const std::string own_zone_;
  endpoint_book book_;
  std::map<std::string, std::string> addresses_;  // by incarnation
};

// A number from 0 to 1, for the draw of a route's service.
double DrawShare();

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_REQUEST_SENDER_H_
