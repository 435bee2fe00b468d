#include "control/view.h"

namespace hickorywood::control {

serving_view MakeView(const control_state& state, uint64_t version,
                      const std::string& site) {
  serving_view view;
  view.version = version;
  view.revision = state.revision;
  view.base = state.base;
  const auto overlay = state.overlays.find(site);
  if (overlay != state.overlays.end()) view.overlay = overlay->second;
  view.weights = state.weights;
  return view;
}

bool ChangesView(command_kind kind) {
  return kind == command_kind::kSubmitConfiguration ||
         kind == command_kind::kPublishWeights;
}

}  // namespace hickorywood::control
