#ifndef HICKORYWOOD_ENTRY_RELAY_H_
#define HICKORYWOOD_ENTRY_RELAY_H_

// Carries one plain request to an endpoint and its answer back. What may be
// repeated is tried again elsewhere, within the attempts and the time of its
// route; what may not is sent once.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "entry/endpoint_choice.h"
#include "fleet/configuration.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "net/connection_pool.h"
#include "net/listener.h"

namespace hickorywood::entry {

class relay {
 public:
  relay(boost::asio::io_context& loop, const core::runtime_clock& clock,
        net::connection_pool& pool, const fleet::protocol& wire,
        const fleet::view& view, std::string own_zone);

  // Answers the exchange. Cancelled when the caller is gone: the attempts that
  // are under way then end with their connections.
  boost::asio::awaitable<void> Serve(net::exchange& call, fleet::route where);

  // The endpoints changed.
  void OnEndpoints();

 private:
  struct attempt_result;
  struct race;

  boost::asio::awaitable<net::response> RunRace(const net::request& input,
                                                const fleet::route& where);
  bool StartAttempt(const std::shared_ptr<race>& state,
                    const net::request& input);
  boost::asio::awaitable<attempt_result> Attempt(std::shared_ptr<race> state,
                                                 fleet::endpoint target,
                                                 net::request output);
  void TakeResults(race& state);
  bool MayStart(const race& state) const;
  net::response GiveUp(const race& state) const;
  boost::asio::awaitable<void> ServeStream(net::exchange& call,
                                           const fleet::route& where);
  core::time_point DeadlineOf(const net::request& input,
                              const fleet::route& where) const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  net::connection_pool& pool_;
  const fleet::protocol& wire_;
  const fleet::view& view_;
  const std::string own_zone_;
  endpoint_book book_;
};

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_RELAY_H_
