#ifndef HICKORYWOOD_ENTRY_ENTRY_INSTANCE_H_
#define HICKORYWOOD_ENTRY_ENTRY_INSTANCE_H_

// An entry: callers' connections, readiness, plain requests, and the hand-over
// of trainers' calls.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "settings/node_settings.h"

namespace hickorywood::entry {

class entry_instance {
 public:
  entry_instance(boost::asio::io_context& loop,
                 const core::runtime_clock& clock,
                 const settings::node_settings& settings,
                 const fleet::protocol& wire);
  ~entry_instance();
  entry_instance(const entry_instance&) = delete;
  entry_instance& operator=(const entry_instance&) = delete;

  // False with the reason when a listener can't be opened.
  bool Start();
  // New settings: only the seeds can change in a running process.
  void Reload(const settings::node_settings& settings);
  // Reports not ready, finishes what is in flight, and stops the loop.
  void BeginStop();

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_ENTRY_INSTANCE_H_
