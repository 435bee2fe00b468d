#ifndef HICKORYWOOD_HICKORYD_INSTANCE_H_
#define HICKORYWOOD_HICKORYD_INSTANCE_H_

// One hickoryd process: all its components under a supervisor tree, and the
// planned stop.

#include <atomic>
#include <memory>
#include <optional>

#include "core/clock.h"
#include "hickoryd/generation_service.h"
#include "settings/instance_settings.h"

namespace hickorywood::hickoryd {

// Alternatives for baseline measurements; the defaults are the product
// behavior.
struct instance_options {
  generation_policy generation;
  bool hedging_enabled = true;
};

class instance {
 public:
  ~instance();
  instance(const instance&) = delete;
  instance& operator=(const instance&) = delete;

  // Starts all components. False with the reason.
  bool Start();

  // Begins the planned stop: reports not ready, drains, transfers leadership,
  // stops. Returns immediately.
  void BeginDrain();

  // Blocks until a planned stop is complete or a component failed permanently.
  // Returns the exit code: 0 after a planned stop, 1 otherwise.
  int Wait();

  uint16_t CallersPort() const;
  uint16_t PeersPort() const;

  struct impl;

 private:
  friend class instance_builder;
  explicit instance(std::unique_ptr<impl> parts);
  std::unique_ptr<impl> impl_;
};

// Builds an instance from validated settings.
class instance_builder {
 public:
  explicit instance_builder(const core::runtime_clock& clock) : clock_(clock) {}

  instance_builder& WithSettings(settings::instance_settings settings);
  instance_builder& WithOptions(instance_options options);
  std::unique_ptr<instance> Build();

 private:
  const core::runtime_clock& clock_;
  settings::instance_settings settings_;
  instance_options options_;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_INSTANCE_H_
