#include "routing/adaptive_limit.h"

#include <algorithm>

namespace hickorywood::routing {
namespace {

// Share of a service's places that requests which can wait may take. The rest
// is for the others: endpoints turn slow when they are nearly full, and a
// request that finds a free place waits for nobody.
constexpr double kMostShare = 0.5;
// So many may always be under way: with fewer, nothing would be learned.
constexpr double kLeast = 2;
// Factor of the bound at a refusal.
constexpr double kShrink = 0.7;
// Refusals within this time are one: they were sent under the same bound.
constexpr std::chrono::milliseconds kOneRefusal{200};

double MostOf(int64_t slots) {
  return std::max(kLeast, kMostShare * static_cast<double>(slots));
}

double Current(const adaptive_limit& limit, int64_t slots) {
  const double most = MostOf(slots);
  return limit.allowed > 0 ? std::min(limit.allowed, most) : most;
}

}  // namespace

int64_t AllowedNow(const adaptive_limit& limit, int64_t slots) {
  return static_cast<int64_t>(Current(limit, slots));
}

// One place more for each round of answers.
void NoteServed(adaptive_limit& limit, int64_t slots) {
  const double current = Current(limit, slots);
  limit.allowed = std::min(MostOf(slots), current + 1 / current);
}

void NoteRefused(adaptive_limit& limit, int64_t slots, core::time_point now) {
  const bool is_same = limit.allowed > 0 && now - limit.shrunk_at < kOneRefusal;
  if (is_same) return;
  limit.allowed = std::max(kLeast, kShrink * Current(limit, slots));
  limit.shrunk_at = now;
}

}  // namespace hickorywood::routing
