#ifndef HICKORYWOOD_CONTROLLER_PLACE_HOLDER_H_
#define HICKORYWOOD_CONTROLLER_PLACE_HOLDER_H_

// Holds the places of plain services while this instance leads, and leases them
// to the entries. A new leader has no record of the leases of the previous one;
// it leases nothing until they have ended, and entries choose endpoints by
// themselves in that time.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "admission/place_ledger.h"
#include "controller/control_state.h"
#include "core/clock.h"
#include "fleet/endpoint_registry.h"
#include "group/group_host.h"
#include "net/event.h"
#include "peering/messages.h"

namespace hickorywood::controller {

class place_holder {
 public:
  // `is_enabled`: the setting; leases are given only while the configuration
  // lists customers.
  place_holder(boost::asio::io_context& loop, const core::runtime_clock& clock,
               group::group_host& group, const control_state& state,
               const fleet::endpoint_registry& registry, bool is_enabled);

  void Start();
  // Called when this instance begins to lead.
  void BeginTerm();
  // Called after a change of the endpoints or of the configuration.
  void OnEndpoints();

  boost::asio::awaitable<peering::envelope> Borrow(std::string payload);
  boost::asio::awaitable<peering::envelope> Return(std::string payload);

 private:
  boost::asio::awaitable<void> RunExpiryLoop();
  bool IsLeasing() const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const control_state& state_;
  const fleet::endpoint_registry& registry_;
  const bool is_enabled_;
  admission::place_ledger ledger_;
  core::time_point leads_since_{};
  bool has_taken_over_ = false;  // leases of the previous holder have ended
  net::event changed_;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_PLACE_HOLDER_H_
