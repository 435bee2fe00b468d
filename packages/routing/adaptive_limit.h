#ifndef HICKORYWOOD_ROUTING_ADAPTIVE_LIMIT_H_
#define HICKORYWOOD_ROUTING_ADAPTIVE_LIMIT_H_

// How many requests that can wait may be under way to one service at once, so
// that requests that can't wait find a place there. The bound follows what the
// endpoints say: it shrinks when they refuse and grows while they don't.

#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace hickorywood::routing {

struct adaptive_limit {
  double allowed = 0;  // requests at once; 0: nothing was learned yet
  core::time_point shrunk_at{};
};

// Requests that may be under way at once before endpoints with `slots` places
// together. 0 slots: nobody says how many there are.
int64_t AllowedNow(const adaptive_limit& limit, int64_t slots);

// A request was answered.
void NoteServed(adaptive_limit& limit, int64_t slots);
// An endpoint said that it is full.
void NoteRefused(adaptive_limit& limit, int64_t slots, core::time_point now);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_ADAPTIVE_LIMIT_H_
