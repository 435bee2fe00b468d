#include "peering/leader_caller.h"

#include <algorithm>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "net/event.h"
#include "peering/peer_call.h"

namespace hickorywood::peering {
namespace {

using boost::asio::awaitable;
using core::milliseconds;
using core::time_point;

// Pause between two attempts: an election takes a few hundred milliseconds, and
// a tight loop would load the instances that conduct it.
constexpr milliseconds kRetryPause{40};
// Time limit for an instance to say who leads. Its loop is rarely busy for
// longer, and an election takes longer anyway.
constexpr milliseconds kSearchTimeout{300};

// Each timeout in a row doubles the time limit, this many times at most. After
// a restart of a thousand processes the leader answers late; questions that are
// given up and asked again would keep it busy for good.
constexpr int kMaxSearchDoublings = 3;

// Time limit of sending an update: the request that crashed an endpoint may
// arrive again for as long. After a failure the caller queues the update again.
// One attempt takes much less than the time within which all instances must
// have the report.
constexpr milliseconds kCrashUpdateTimeout{5000};
constexpr milliseconds kCrashUpdateAttemptTimeout{500};

time_point Now() { return std::chrono::steady_clock::now(); }

}  // namespace

leader_caller::leader_caller(net::connection_pool& pool,
                             std::vector<std::string> seeds)
    : pool_(pool), seeds_(std::move(seeds)) {}

void leader_caller::ServeLocally(std::string own_address,
                                 local_handler handle) {
  own_address_ = std::move(own_address);
  local_ = std::move(handle);
}

void leader_caller::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
}

void leader_caller::SetInstances(std::vector<std::string> controllers) {
  controllers_ = std::move(controllers);
}

// Returns the leader if it is known, otherwise the known instances in turn. The
// own instance is the first of them: its answer needs no connection.
std::string leader_caller::NextTarget() {
  if (!leader_.empty()) return leader_;
  std::vector<std::string> targets;
  if (local_) targets.push_back(own_address_);
  for (const auto* list : {&controllers_, &seeds_}) {
    for (const std::string& address : *list) {
      const bool is_new =
          std::find(targets.begin(), targets.end(), address) == targets.end();
      if (is_new) targets.push_back(address);
    }
  }
  if (targets.empty()) return "";
  return targets[next_target_++ % targets.size()];
}

void leader_caller::UpdateLeader(const std::string& target,
                                 const envelope& answer) {
  const bool is_from_leader = answer.outcome != call_outcome::kNotLeader &&
                              answer.outcome != call_outcome::kUnavailable &&
                              answer.outcome != call_outcome::kUnknown;
  // A late failure of another instance says nothing about the leader that was
  // found meanwhile.
  if (has_answered_ && target != leader_ && !is_from_leader) return;
  has_answered_ = is_from_leader;
  switch (answer.outcome) {
    case call_outcome::kNotLeader:
      leader_ = answer.leader == target ? "" : answer.leader;
      return;
    case call_outcome::kUnavailable:
    case call_outcome::kUnknown:
      leader_.clear();
      return;
    case call_outcome::kDone:
    case call_outcome::kRefused:
    case call_outcome::kNotFound:
    case call_outcome::kConflict:
    case call_outcome::kPending:
    case call_outcome::kNoMemory:
      leader_ = target;
      return;
  }
}

awaitable<envelope> leader_caller::AttemptCall(const std::string& address,
                                               const std::string& method,
                                               const std::string& payload,
                                               time_point deadline) {
  if (local_ && address == own_address_) {
    co_return co_await local_(method, payload);
  }
  const net::call_result result =
      co_await CallPeer(pool_, address, method, payload, deadline);
  envelope answer;
  if (result.how == net::progress::kAnswered && result.answer.status == 200) {
    const auto reply = core::DecodeBinary<envelope>(result.answer.body);
    if (reply) co_return *reply;
    core::LogEvent(core::event_id::kPeerMessageMalformed,
                   {{"method", method},
                    {"address", address},
                    {"reason", core::LastReason().text}});
    co_return answer;
  }
  const bool is_sent = result.how != net::progress::kNotSent;
  answer.outcome =
      is_sent ? call_outcome::kUnknown : call_outcome::kUnavailable;
  answer.reason = result.error;
  // The other connections to that instance may be broken as well.
  if (result.is_timeout) pool_.CloseIdle(address);
  co_return answer;
}

awaitable<bool> leader_caller::FindLeader(time_point deadline) {
  while (!has_answered_) {
    const std::string target = NextTarget();
    const time_point until =
        std::min(deadline, Now() + kSearchTimeout * (1 << search_timeouts_));
    const envelope answer =
        co_await AttemptCall(target, kLeaderMethod, "", until);
    const bool is_unanswered = answer.outcome == call_outcome::kUnavailable ||
                               answer.outcome == call_outcome::kUnknown;
    if (!is_unanswered) {
      search_timeouts_ = 0;
    } else if (Now() >= until) {
      search_timeouts_ = std::min(search_timeouts_ + 1, kMaxSearchDoublings);
    }
    UpdateLeader(target, answer);
    if (has_answered_) break;
    if (Now() + kRetryPause >= deadline) co_return false;
    if (leader_.empty()) {
      co_await net::Sleep(kRetryPause);
    }
  }
  co_return true;
}

awaitable<envelope> leader_caller::Call(std::string method, std::string payload,
                                        time_point deadline,
                                        milliseconds attempt_timeout) {
  bool is_unknown = false;
  envelope answer;
  for (;;) {
    const bool has_leader = co_await FindLeader(deadline);
    if (!has_leader) {
      answer.reason = "no instance answered as the leader";
      break;
    }
    const std::string target = leader_;
    const time_point until = std::min(deadline, Now() + attempt_timeout);
    answer = co_await AttemptCall(target, method, payload, until);
    UpdateLeader(target, answer);
    const bool should_retry = answer.outcome == call_outcome::kNotLeader ||
                              answer.outcome == call_outcome::kUnavailable ||
                              answer.outcome == call_outcome::kUnknown;
    if (!should_retry) co_return answer;
    is_unknown = is_unknown || answer.outcome == call_outcome::kUnknown;
    if (Now() + kRetryPause >= deadline) break;
    if (leader_.empty()) {
      co_await net::Sleep(kRetryPause);
    }
  }
  answer.outcome =
      is_unknown ? call_outcome::kUnknown : call_outcome::kUnavailable;
  co_return answer;
}

awaitable<bool> SendCrashUpdate(leader_caller& caller,
                                fleet::crash_update update) {
  const envelope answer = co_await caller.Call(
      kCrashUpdateMethod, core::EncodeBinary(update),
      std::chrono::steady_clock::now() + kCrashUpdateTimeout,
      kCrashUpdateAttemptTimeout);
  co_return answer.outcome == call_outcome::kDone;
}

}  // namespace hickorywood::peering
