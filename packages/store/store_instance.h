#ifndef HICKORYWOOD_STORE_STORE_INSTANCE_H_
#define HICKORYWOOD_STORE_STORE_INSTANCE_H_

// A store: its replica of the data group and, while it leads, the steps and the
// runs of their tasks.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "settings/node_settings.h"

namespace hickorywood::store {

class store_instance {
 public:
  store_instance(boost::asio::io_context& loop,
                 const core::runtime_clock& clock,
                 const settings::node_settings& settings,
                 const fleet::protocol& wire);
  ~store_instance();
  store_instance(const store_instance&) = delete;
  store_instance& operator=(const store_instance&) = delete;

  // False with the reason when the listener or the data folder can't be used.
  bool Start();
  // New settings: only the seeds can change in a running process.
  void Reload(const settings::node_settings& settings);
  // Gives leadership away and stops the loop.
  void BeginStop();

  // Whether the disk failed, so that the exit code must say so.
  bool HasFailed() const;

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_STORE_INSTANCE_H_
