#ifndef HICKORYWOOD_CONTROLLER_CONTROLLER_H_
#define HICKORYWOOD_CONTROLLER_CONTROLLER_H_

// A control instance: its replica of the control group and, while it leads, the
// views, the endpoint registry, the weights and the crash records.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "net/request_memory.h"
#include "settings/node_settings.h"

namespace hickorywood::controller {

class controller {
 public:
  // `memory` is that of all listeners of the process.
  controller(boost::asio::io_context& loop, const core::runtime_clock& clock,
             const settings::node_settings& settings,
             const fleet::protocol& wire,
             const std::shared_ptr<net::request_memory>& memory);
  ~controller();
  controller(const controller&) = delete;
  controller& operator=(const controller&) = delete;

  // Returns false, and sets the reason, when a listener or the data folder is
  // unusable.
  bool Start();
  // Applies new settings. Only the seeds can change in a running process.
  void Reload(const settings::node_settings& settings);
  // Transfers leadership, finishes the requests in flight, and stops the loop.
  void BeginStop();

  // Whether the disk failed; the process then exits with a failure code.
  bool HasFailed() const;

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_CONTROLLER_H_
