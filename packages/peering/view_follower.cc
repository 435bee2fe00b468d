#include "peering/view_follower.h"

#include <algorithm>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "net/event.h"

namespace hickorywood::peering {
namespace {

using boost::asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::time_point;

// Pause after a request for which no leader was found.
constexpr core::milliseconds kPauseWithoutLeader{50};

// Each unanswered request in a row doubles the time limit, this many times at
// most: a leader that many processes ask for complete views answers late, and
// would have to make each of them again.
constexpr int kMaxTimeoutDoublings = 2;

time_point Now() { return std::chrono::steady_clock::now(); }

}  // namespace

std::vector<std::string> StoreAddresses(const fleet::view& held) {
  std::vector<std::string> addresses;
  for (const fleet::store_entry& item : held.members.stores) {
    addresses.push_back(item.address);
  }
  return addresses;
}

view_follower::view_follower(const core::runtime_clock& clock,
                             leader_caller& caller, follower_options options)
    : clock_(clock), caller_(caller), options_(std::move(options)) {}

awaitable<void> view_follower::Run() {
  for (;;) {
    const core::milliseconds attempt_timeout =
        (options_.wait + options_.slack) * (1 << timeouts_);
    // Separate from the call, which needs its full time limit.
    co_await caller_.FindLeader(Now() + attempt_timeout);
    fleet::view_request input;
    input.instance = options_.instance;
    input.address = options_.store_address;
    input.heartbeat_address = options_.heartbeat_address;
    if (vacant_storage_) input.vacant_storage = vacant_storage_();
    input.wants_weights = wants_weights_ && wants_weights_();
    input.held_weights = view_.weights_count;
    input.held = view_.version;
    input.scope = options_.scope;
    input.held_scope = view_.scope_digest;
    input.held_config = view_.config.version;
    input.takes_config_changes = true;
    input.acts_on_config = options_.acts_on_config;
    input.wait_ms = options_.wait.count();
    if (demands_) input.demands = demands_();
    if (service_demands_) input.service_demands = service_demands_();
    input.clock_ms = core::ToUnixMillis(clock_.WallNow());
    if (usage_.pending) {
      input.usage_source = usage_.source;
      input.usage = usage_.pending();
    }
    const core::boot_time_point requested_at = clock_.BootNow();
    const envelope answer =
        co_await caller_.Call(kViewMethod, core::EncodeBinary(input),
                              Now() + attempt_timeout, attempt_timeout);
    const bool is_answered = answer.outcome == call_outcome::kDone;
    const bool is_lost = answer.outcome == call_outcome::kUnknown;
    timeouts_ = is_lost ? std::min(timeouts_ + 1, kMaxTimeoutDoublings) : 0;
    if (is_answered != is_following_) {
      is_following_ = is_answered;
      LogEvent(
          is_answered ? event_id::kLeaderFound : event_id::kLeaderUnreachable,
          {{"reason", answer.reason},
           {"configuration", std::to_string(view_.config.version)},
           {"age_ms", AgeText()}});
    }
    if (is_answered) {
      Apply(answer, requested_at);
    } else {
      co_await net::Sleep(kPauseWithoutLeader);
    }
  }
}

// Returns the time since the configuration was last confirmed, in
// milliseconds; empty: it never was.
std::string view_follower::AgeText() const {
  if (!confirmed_at_) return "";
  const auto age = std::chrono::duration_cast<core::milliseconds>(
      clock_.BootNow() - *confirmed_at_);
  return std::to_string(age.count());
}

void view_follower::Apply(const envelope& answer,
                          core::boot_time_point requested_at) {
  const auto update = core::DecodeBinary<fleet::view_update>(answer.payload);
  if (!update) {
    LogEvent(event_id::kPeerMessageMalformed,
             {{"reason", core::LastReason().text}});
    return;
  }
  const uint64_t config_before = view_.config.version;
  const std::string age_before = AgeText();
  if (usage_.received) {
    std::optional<core::unix_time> time;
    if (answer.time_ms > 0) {
      time = core::unix_time(core::milliseconds(answer.time_ms));
    }
    usage_.received(update->version.term, time);
  }
  const bool is_changed = fleet::ApplyUpdate(view_, *update);
  // An update that was rejected confirms nothing if it contains a newer
  // configuration, or if its sender is a leader that was replaced.
  const bool has_latest =
      fleet::ConfigVersionOf(*update) <= view_.config.version &&
      update->version.term >= view_.version.term;
  if (has_latest) confirmed_at_ = requested_at;
  if (!has_latest) {
    LogEvent(
        event_id::kViewUpdateRejected,
        {{"held", fleet::VersionText(view_.version)},
         {"base", fleet::VersionText(update->base)},
         {"version", fleet::VersionText(update->version)},
         {"held_configuration", std::to_string(config_before)},
         {"configuration", std::to_string(fleet::ConfigVersionOf(*update))}});
  }
  if (!is_changed) return;
  if (update->has_members) {
    caller_.SetInstances(view_.members.controllers);
  }
  if (view_.config.version != config_before) {
    LogEvent(event_id::kConfigurationInForce,
             {{"version", std::to_string(view_.config.version)},
              {"before", std::to_string(config_before)},
              {"age_ms", age_before},
              {"request_ms", AgeText()}});
  }
  if (changed_) changed_(*update);
}

}  // namespace hickorywood::peering
