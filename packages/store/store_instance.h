#ifndef HICKORYWOOD_STORE_STORE_INSTANCE_H_
#define HICKORYWOOD_STORE_STORE_INSTANCE_H_

// A store: its replica of the data group and, while it leads the group, the
// service for steps and the dispatcher of their tasks.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "net/request_memory.h"
#include "settings/node_settings.h"

namespace hickorywood::store {

class store_instance {
 public:
  // `memory` is that of all listeners of the process.
  store_instance(boost::asio::io_context& loop,
                 const core::runtime_clock& clock,
                 const settings::node_settings& settings,
                 const fleet::protocol& wire,
                 const std::shared_ptr<net::request_memory>& memory);
  ~store_instance();
  store_instance(const store_instance&) = delete;
  store_instance& operator=(const store_instance&) = delete;

  // Returns false and sets the reason if the listener or the data folder can't
  // be used.
  bool Start();
  // Applies new settings. Only the seeds can change in a running process.
  void Reload(const settings::node_settings& settings);
  // Transfers leadership and stops the loop.
  void BeginStop();

  // Whether the disk failed. The exit code of the process reports it.
  bool HasFailed() const;

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_STORE_INSTANCE_H_
