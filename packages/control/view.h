#ifndef HICKORYWOOD_CONTROL_VIEW_H_
#define HICKORYWOOD_CONTROL_VIEW_H_

// The part of the replicated state that an instance needs in order to serve:
// the configuration of its site and the published weight versions. The leader
// sends it with the configuration lease, always complete and only when it has
// changed. So one message brings an instance up to date after any number of
// missed changes, and instances that are not voters don't receive the log.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/state_machine.h"

namespace hickorywood::control {

struct serving_view {
  uint64_t version = 0;   // log index of the last change to this view
  uint64_t revision = 0;  // revision of the configuration
  stored_file base;
  stored_file overlay;  // overlay of the instance's site; empty text: none
  std::map<std::string, int64_t> weights;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(serving_view, version, revision,
                                                base, overlay, weights)

struct view_request {
  std::string instance;
  std::string boot;
  std::string site;
  uint64_t version = 0;  // version of the view that the instance has in force
  uint64_t revision = 0;
  bool is_release = false;  // releases the lease
  bool is_first = false;    // requests an immediate response
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_request, instance, boot,
                                                site, version, revision,
                                                is_release, is_first)

struct view_reply {
  bool is_granted = false;
  std::string leader;  // current leader, if this is not the leader
  int64_t lease_ms = 0;
  bool is_changed = false;
  serving_view view;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(view_reply, is_granted, leader,
                                                lease_ms, is_changed, view)

// Returns the view of one site.
serving_view MakeView(const control_state& state, uint64_t version,
                      const std::string& site);

// Whether a command can change the result of MakeView().
bool ChangesView(command_kind kind);

}  // namespace hickorywood::control

#endif  // HICKORYWOOD_CONTROL_VIEW_H_
