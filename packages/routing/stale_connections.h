#ifndef HICKORYWOOD_ROUTING_STALE_CONNECTIONS_H_
#define HICKORYWOOD_ROUTING_STALE_CONNECTIONS_H_

#include <map>
#include <string>

#include "core/clock.h"

namespace hickorywood::routing {

// Tracks peers whose open connections may be dead. A device between two hosts
// can lose the state of all established connections while new connections work;
// each call on an old connection then times out, one after the other. The first
// timeout is no evidence about the peer itself, but all connections of that age
// become suspected: until the HTTP client has closed them because of their idle
// age, calls to that peer use new connections.
struct stale_connections {
  std::map<std::string, core::time_point> until;  // by peer
};

void RecordTimeout(stale_connections& stale, const std::string& peer,
                   core::time_point now);

bool NeedsNewConnection(const stale_connections& stale, const std::string& peer,
                        core::time_point now);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_STALE_CONNECTIONS_H_
