#ifndef HICKORYWOOD_ENTRY_RELAY_H_
#define HICKORYWOOD_ENTRY_RELAY_H_

// Forwards a plain request to an endpoint and returns its answer to the caller.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_state.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/clock.h"
#include "entry/place_client.h"
#include "fleet/configuration.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "net/connection_pool.h"
#include "net/listener.h"
#include "quarantine/crash_detector.h"
#include "routing/request_sender.h"

namespace hickorywood::entry {

// Counts a request of a customer that began to run.
using usage_recorder = std::function<void(const std::string& customer,
                                          core::boot_time_point began_at)>;

class relay {
 public:
  relay(boost::asio::io_context& loop, const core::runtime_clock& clock,
        net::connection_pool& pool, const fleet::protocol& wire,
        const fleet::view& view, quarantine::crash_detector& crashes,
        std::string own_zone, usage_recorder count_usage);

  // Answers the exchange on behalf of `customer`, see fleet::dispatch_terms.
  // The coroutine is cancelled when the caller disconnects, which also cancels
  // the running attempts and closes their connections.
  boost::asio::awaitable<void> Serve(net::exchange& call, fleet::route route,
                                     std::optional<std::string> customer);

  // Called when the endpoints of the view have changed.
  void OnEndpoints(const fleet::view_update& update);

  // Set before the first request: returns the client of the shared places, or
  // nullptr while they are not in use.
  std::function<place_client*()> places = [] { return nullptr; };

 private:
  boost::asio::awaitable<net::response> Answer(
      const net::request& input, const fleet::route& route,
      std::optional<std::string> customer);
  net::response MakeFailureResponse(const routing::send_outcome& outcome) const;
  // Leases a place for a request and records it in its terms.
  boost::asio::awaitable<place> AcquirePlace(place_client& client,
                                             routing::send_terms& terms);
  net::response RefuseWithoutPlace(const routing::send_terms& terms,
                                   const place& refused) const;
  bool IsEndedLocally(const boost::asio::cancellation_state& state,
                      core::time_point deadline) const;
  class open_request;
  struct stream_start;
  boost::asio::awaitable<stream_start> StartStream(
      const net::request& input, const fleet::endpoint& target,
      core::time_point deadline, std::optional<std::string> customer);
  // Logs a stream that failed after its request was sent.
  void LogFailedStream(const net::request& input, const fleet::endpoint& target,
                       const std::string& reason) const;
  boost::asio::awaitable<void> ServeStream(net::exchange& call,
                                           const fleet::route& route,
                                           std::optional<std::string> customer);
  core::time_point DeadlineOf(const net::request& input,
                              const fleet::route& route) const;

  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  const fleet::view& view_;
  quarantine::crash_detector& crashes_;
  routing::request_sender sender_;
  const usage_recorder count_usage_;
};

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_RELAY_H_
