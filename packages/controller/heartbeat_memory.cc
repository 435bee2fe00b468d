#include "controller/heartbeat_memory.h"

namespace hickorywood::controller {
namespace {

// Without an answer of the leader for this long, an acknowledgement here would
// promise what nobody knows: the endpoint shall go on to another instance. Some
// times the period in which refreshes are told, and below the time after which
// an endpoint counts as silent.
constexpr std::chrono::milliseconds kTrustedFor{1500};
// An endpoint that reports elsewhere now is no business of this instance.
constexpr std::chrono::seconds kRemembered{60};

// Equal but for the sequence.
bool SaysTheSame(const fleet::heartbeat& left, fleet::heartbeat right) {
  right.sequence = left.sequence;
  return left == right;
}

}  // namespace

bool TakeIfKnown(heartbeat_memory& memory, const fleet::heartbeat& input,
                 core::time_point now) {
  const bool is_trusted = memory.in_touch_at != core::time_point::min() &&
                          now - memory.in_touch_at < kTrustedFor;
  if (!is_trusted) return false;
  const std::string incarnation =
      fleet::IncarnationOf(input.name, input.started_ms);
  const auto found = memory.taken.find(incarnation);
  if (found == memory.taken.end()) return false;
  fleet::heartbeat& latest = found->second.latest;
  // An older one may have been overtaken by one that says something else.
  const bool is_next = input.sequence > latest.sequence;
  if (!is_next || !SaysTheSame(latest, input)) return false;
  latest.sequence = input.sequence;
  found->second.heard_at = now;
  memory.refreshes[incarnation] = input.sequence;
  return true;
}

std::vector<fleet::heartbeat_refresh> TakeRefreshes(heartbeat_memory& memory) {
  std::vector<fleet::heartbeat_refresh> list;
  list.reserve(memory.refreshes.size());
  for (const auto& [incarnation, sequence] : memory.refreshes) {
    list.push_back({incarnation, sequence});
  }
  memory.refreshes.clear();
  return list;
}

void NoteAnswer(heartbeat_memory& memory, const heartbeat_batch& batch,
                const heartbeat_batch_answer& answer, core::time_point now) {
  // An answer of a leader before the present one.
  if (answer.term < memory.term) return;
  memory.in_touch_at = now;
  if (answer.term > memory.term) {
    // A new leader has not heard what the one before took.
    memory.taken.clear();
    memory.refreshes.clear();
    memory.term = answer.term;
  }
  for (size_t i = 0; i < batch.heartbeats.size(); ++i) {
    const bool is_taken =
        i < answer.refusals.size() && answer.refusals[i].empty();
    if (!is_taken) continue;
    const fleet::heartbeat& item = batch.heartbeats[i];
    auto& known =
        memory.taken[fleet::IncarnationOf(item.name, item.started_ms)];
    if (item.sequence >= known.latest.sequence) known = {item, now};
  }
  for (const std::string& incarnation : answer.unknown) {
    memory.taken.erase(incarnation);
  }
}

void ForgetOld(heartbeat_memory& memory, core::time_point now) {
  std::erase_if(memory.taken, [now](const auto& item) {
    return now - item.second.heard_at > kRemembered;
  });
}

}  // namespace hickorywood::controller
