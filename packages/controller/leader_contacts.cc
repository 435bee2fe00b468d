// The part of the leader service that tells what the other instances have, and
// delays acknowledgements until they have a change.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "controller/leader_service.h"
#include "core/events.h"
#include "group/leader_calls.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;
using group::Done;
using peering::call_outcome;
using peering::envelope;

// Time after which it is checked again whether instances have lost contact.
constexpr milliseconds kContactPoll{50};
// Time for which contacts are collected before they are compared with what
// acknowledgements wait for. A thousand instances renew their contact 1,400
// times a second, and each comparison visits all of them.
constexpr milliseconds kContactGatherTime{5};

}  // namespace

void leader_service::RecordRequest(const fleet::view_request& input) {
  const time_point now = clock_.Now();
  const bool is_plain = input.scope == fleet::view_scope::kPlain;
  RecordContact(is_plain ? plain_contacts_ : list_contacts_, input.instance,
                views_.KnownCount(input), now);
  if (input.acts_on_config) {
    RecordContact(config_contacts_, input.instance, input.held_config, now);
  }
  if (!input.heartbeat_address.empty()) {
    RecordInstance(heartbeat_routing_, input.instance, input.heartbeat_address,
                   now);
  }
  NotifyOfContact();
}

std::string leader_service::HeartbeatAddressFor(const std::string& endpoint) {
  if (!group_.IsServing()) return "";
  return RouteHeartbeat(heartbeat_routing_, endpoint, clock_.Now());
}

void leader_service::NotifyOfContact() {
  if (is_contact_scheduled_ || !contact_.HasWaiters()) return;
  is_contact_scheduled_ = true;
  asio::co_spawn(loop_, net::Sleep(kContactGatherTime),
                 [this](const std::exception_ptr& /*none*/) {
                   is_contact_scheduled_ = false;
                   contact_.Notify();
                 });
}

awaitable<envelope> leader_service::AwaitKnown(std::vector<contact_goal> goals,
                                               time_point since,
                                               time_point until) {
  const uint64_t term = group_.Term();
  for (;;) {
    const bool is_same_term = group_.IsServing() && group_.Term() == term;
    if (!is_same_term) {
      co_return envelope{call_outcome::kUnknown, "",
                         "leadership ended before all instances were told", ""};
    }
    const time_point now = clock_.Now();
    const bool is_known =
        std::all_of(goals.begin(), goals.end(), [&](const contact_goal& goal) {
          return IsKnownEverywhere(*goal.contacts, goal.version, since, now);
        });
    if (is_known) co_return Done();
    if (now >= until) {
      co_return envelope{call_outcome::kPending, "",
                         "recorded, but not known at every instance yet", ""};
    }
    co_await contact_.WaitUntil(std::min(until, now + kContactPoll));
  }
}

awaitable<envelope> leader_service::AwaitInForce(uint64_t version,
                                                 time_point until) {
  const time_point applied_at = config_applied_at_;
  std::vector<contact_goal> goals{{&config_contacts_, version}};
  const envelope answer =
      co_await AwaitKnown(std::move(goals), applied_at, until);
  const time_point now = clock_.Now();
  const auto age = std::chrono::duration_cast<milliseconds>(now - applied_at);
  if (answer.outcome == call_outcome::kDone) {
    LogEvent(event_id::kConfigurationConfirmed,
             {{"version", std::to_string(version)},
              {"age_ms", std::to_string(age.count())}});
  }
  if (answer.outcome == call_outcome::kPending) {
    const std::vector<std::string> missing =
        InstancesWithout(config_contacts_, version, now);
    LogEvent(event_id::kConfigurationPending,
             {{"version", std::to_string(version)},
              {"age_ms", std::to_string(age.count())},
              {"instances", std::to_string(missing.size())},
              {"first", missing.empty() ? "" : missing.front()}});
  }
  co_return answer;
}

awaitable<envelope> leader_service::CommitLeaving(
    const std::vector<fleet::leaving_endpoint>& endpoints) {
  record_leaving_command command;
  for (const fleet::leaving_endpoint& item : endpoints) {
    if (!state_.IsRecorded(item)) command.endpoints.push_back(item);
  }
  if (command.endpoints.empty()) co_return Done();
  co_return co_await CommitCall(kRecordLeavingCommand,
                                core::EncodeBinary(command));
}

awaitable<envelope> leader_service::RecordLeaving(
    std::vector<fleet::leaving_endpoint> endpoints, time_point until) {
  if (endpoints.empty()) co_return Done();
  const uint64_t term = group_.Term();
  envelope recorded = co_await CommitLeaving(endpoints);
  if (recorded.outcome != call_outcome::kDone) co_return recorded;
  const std::optional<published_lists> published =
      co_await views_.AwaitPublished(until);
  // In another term the lists may be those before the change.
  if (!published || group_.Term() != term) {
    co_return envelope{call_outcome::kPending, "",
                       "recorded, but not published yet", ""};
  }
  published_change latest;
  for (const fleet::leaving_endpoint& item : endpoints) {
    const auto [found, is_new] = leaving_.try_emplace(
        item.incarnation, published_change{*published, clock_.Now()});
    const published_change& change = found->second;
    latest.versions.all = std::max(latest.versions.all, change.versions.all);
    latest.versions.plain =
        std::max(latest.versions.plain, change.versions.plain);
    latest.published_at = std::max(latest.published_at, change.published_at);
  }
  std::vector<contact_goal> goals{{&list_contacts_, latest.versions.all},
                                  {&plain_contacts_, latest.versions.plain}};
  co_return co_await AwaitKnown(std::move(goals), latest.published_at, until);
}

}  // namespace hickorywood::controller
