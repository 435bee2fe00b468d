#include "routing/stale_connections.h"

namespace hickorywood::routing {
namespace {

// Slightly longer than the idle age at which the HTTP client closes
// connections.
constexpr core::milliseconds kStaleDuration{21000};

}  // namespace

void RecordTimeout(stale_connections& stale, const std::string& peer,
                   core::time_point now) {
  stale.until[peer] = now + kStaleDuration;
}

bool NeedsNewConnection(const stale_connections& stale, const std::string& peer,
                        core::time_point now) {
  const auto found = stale.until.find(peer);
  return found != stale.until.end() && now < found->second;
}

}  // namespace hickorywood::routing
