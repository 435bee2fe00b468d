#include "controller/heartbeat_cache.h"

namespace hickorywood::controller {
namespace {

// Without a reply of the leader for this long, this instance may be
// disconnected and does not acknowledge heartbeats by itself, so that the
// endpoint switches to another instance. The timeout is several times the
// period of the refreshes, and below the time after which an endpoint is
// unresponsive.
constexpr std::chrono::milliseconds kLeaderContactTimeout{1500};
// After this time without a heartbeat, the endpoint is assumed to report to
// another instance.
constexpr std::chrono::seconds kEntryLifetime{60};

bool EqualsExceptSequence(const fleet::heartbeat& left,
                          fleet::heartbeat right) {
  right.sequence = left.sequence;
  return left == right;
}

}  // namespace

bool AcceptIfUnchanged(heartbeat_cache& cache, const fleet::heartbeat& input,
                       core::time_point now) {
  const bool is_leader_reachable =
      cache.last_reply_at != core::time_point::min() &&
      now - cache.last_reply_at < kLeaderContactTimeout;
  if (!is_leader_reachable) return false;
  const std::string incarnation =
      fleet::IncarnationOf(input.name, input.started_ms);
  const auto found = cache.accepted.find(incarnation);
  if (found == cache.accepted.end()) return false;
  fleet::heartbeat& latest = found->second.latest;
  // An older heartbeat may differ from a later one that overtook it; the leader
  // decides.
  const bool is_next = input.sequence > latest.sequence;
  if (!is_next || !EqualsExceptSequence(latest, input)) return false;
  latest.sequence = input.sequence;
  found->second.received_at = now;
  cache.refreshes[incarnation] = input.sequence;
  return true;
}

std::vector<fleet::heartbeat_refresh> ExtractRefreshes(heartbeat_cache& cache) {
  std::vector<fleet::heartbeat_refresh> list;
  list.reserve(cache.refreshes.size());
  for (const auto& [incarnation, sequence] : cache.refreshes) {
    list.push_back({incarnation, sequence});
  }
  cache.refreshes.clear();
  return list;
}

void ApplyBatchAnswer(heartbeat_cache& cache, const heartbeat_batch& batch,
                      const heartbeat_batch_answer& answer,
                      core::time_point now) {
  // A late reply of a previous leader.
  if (answer.term < cache.term) return;
  cache.last_reply_at = now;
  if (answer.term > cache.term) {
    // A new leader has not received what the previous one accepted.
    cache.accepted.clear();
    cache.refreshes.clear();
    cache.term = answer.term;
  }
  for (size_t i = 0; i < batch.heartbeats.size(); ++i) {
    const bool is_accepted =
        i < answer.refusals.size() && answer.refusals[i].empty();
    if (!is_accepted) continue;
    const fleet::heartbeat& item = batch.heartbeats[i];
    auto& entry =
        cache.accepted[fleet::IncarnationOf(item.name, item.started_ms)];
    if (item.sequence >= entry.latest.sequence) entry = {item, now};
  }
  for (const std::string& incarnation : answer.unknown) {
    cache.accepted.erase(incarnation);
  }
}

void EvictExpired(heartbeat_cache& cache, core::time_point now) {
  std::erase_if(cache.accepted, [now](const auto& item) {
    return now - item.second.received_at > kEntryLifetime;
  });
}

}  // namespace hickorywood::controller
