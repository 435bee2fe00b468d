#ifndef HICKORYWOOD_ENTRY_ENTRY_INSTANCE_H_
#define HICKORYWOOD_ENTRY_ENTRY_INSTANCE_H_

// An entry instance: it accepts callers' connections, reports readiness, serves
// plain requests, and forwards trainers' calls to the stores.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "net/request_memory.h"
#include "settings/node_settings.h"

namespace hickorywood::entry {

class entry_instance {
 public:
  // `memory` is that of all listeners of the process.
  entry_instance(boost::asio::io_context& loop,
                 const core::runtime_clock& clock,
                 const settings::node_settings& settings,
                 const fleet::protocol& wire,
                 std::shared_ptr<net::request_memory> memory);
  ~entry_instance();
  entry_instance(const entry_instance&) = delete;
  entry_instance& operator=(const entry_instance&) = delete;

  // Returns false and sets the last reason when a listener can't be opened.
  bool Start();
  // Applies new settings. Only the seeds can change in a running process.
  void Reload(const settings::node_settings& settings);
  // Reports not ready, waits for the requests in flight, and stops the loop.
  void BeginStop();

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_ENTRY_INSTANCE_H_
