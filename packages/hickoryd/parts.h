#ifndef HICKORYWOOD_HICKORYD_PARTS_H_
#define HICKORYWOOD_HICKORYD_PARTS_H_

#include <memory>

#include "hickoryd/body_holder.h"
#include "hickoryd/call_quarantine.h"
#include "hickoryd/call_service.h"
#include "hickoryd/context.h"
#include "hickoryd/explain_log.h"
#include "hickoryd/generation_service.h"
#include "hickoryd/leader_client.h"
#include "hickoryd/membership_service.h"
#include "hickoryd/order_service.h"
#include "hickoryd/replica_host.h"
#include "hickoryd/step_service.h"
#include "rollout/burn.h"

namespace hickorywood::hickoryd {

// The services of one process that the two listeners use. `host` is null
// without the control role.
struct instance_parts {
  instance_context& context;
  replica_host* host;
  leader_client& leader;
  membership_service& membership;
  call_quarantine& quarantine;
  generation_service& generations;
  call_service& calls;
  step_service& steps;
  body_holder& bodies;
  explain_log& explain;
  rollout::burn_recorder& burn;  // traffic thread only
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_PARTS_H_
