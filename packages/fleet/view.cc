#include "fleet/view.h"

namespace hickorywood::fleet {

bool ApplyUpdate(view& held, const view_update& update) {
  if (update.version < held.version) return false;
  const bool is_newer_config =
      update.has_config && update.config.version > held.config.version;
  if (is_newer_config) held.config = update.config;
  if (update.has_lists) {
    held.endpoints = update.endpoints;
    held.controllers = update.controllers;
    held.stores = update.stores;
    held.data_founder = update.data_founder;
  }
  if (update.has_weights) {
    held.weights = update.weights;
    held.weights_count = update.weights_count;
  }
  held.version = update.version;
  return is_newer_config || update.has_lists || update.has_weights;
}

}  // namespace hickorywood::fleet
