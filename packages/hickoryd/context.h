#ifndef HICKORYWOOD_HICKORYD_CONTEXT_H_
#define HICKORYWOOD_HICKORYD_CONTEXT_H_

#include <atomic>
#include <string>

#include "core/clock.h"
#include "core/event_loop.h"
#include "hickoryd/metrics.h"
#include "hickoryd/peer_links.h"
#include "hickoryd/routing_view.h"
#include "settings/instance_settings.h"
#include "transport/http_client.h"

namespace hickorywood::hickoryd {

// The objects shared by the components of one process. Each member outlives all
// components.
struct instance_context {
  const core::runtime_clock& clock;
  const settings::instance_settings& settings;
  const std::string boot;     // random id of this process
  core::event_loop& control;  // owns the control state
  core::event_loop& traffic;  // owns active requests and steps
  transport::http_client& client;
  peer_links& links;
  routing_view_holder& view_holder;
  metrics& counters;
  std::atomic<bool>& is_draining;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_CONTEXT_H_
