#ifndef HICKORYWOOD_ROUTING_CONNECTION_SUSPICION_H_
#define HICKORYWOOD_ROUTING_CONNECTION_SUSPICION_H_

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
struct connection_suspicion {
  std::map<std::string, core::time_point> until;  // by peer
};

void NoteSilence(connection_suspicion& suspicion, const std::string& peer,
                 core::time_point now);

bool NeedsFreshConnection(const connection_suspicion& suspicion,
                          const std::string& peer, core::time_point now);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_CONNECTION_SUSPICION_H_
