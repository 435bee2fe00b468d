#include "control/commands.h"

namespace hickorywood::control {

const char* CommandOutcomeName(command_outcome outcome) {
  switch (outcome) {
    case command_outcome::kAccepted:
      return "accepted";
    case command_outcome::kConflict:
      return "conflict";
    case command_outcome::kInvalid:
      return "invalid";
    case command_outcome::kExists:
      return "exists";
    case command_outcome::kInProgress:
      return "in_progress";
    case command_outcome::kUnknown:
      return "unknown";
    case command_outcome::kFull:
      return "full";
    case command_outcome::kStale:
      return "stale";
  }
  return "invalid";
}

}  // namespace hickorywood::control
