#include "controller/leader_service.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "core/ids.h"
#include "group/leader_calls.h"
#include "quarantine/quarantine_log.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;
using group::Done;
using group::Malformed;
using group::Refused;
using peering::call_outcome;
using peering::envelope;

constexpr milliseconds kMaintenancePeriod{500};
// Time in which all followers find a new leader and send it their records of
// quarantined requests: one round of requests and one call.
constexpr milliseconds kWarningSyncTime{300};

// How long the question who leads is held while nobody does. When all processes
// start at once, a thousand of them ask; without the wait each would ask 25
// times a second, which delays the election. It is less than the time limit of
// the question.
constexpr milliseconds kLeaderWait{200};
constexpr milliseconds kLeaderWatchPeriod{10};

// How long a call waits for the instances that do not have its change yet. Less
// than the timeout of a forwarded call.
constexpr milliseconds kAcknowledgementWait{500};

}  // namespace

leader_service::leader_service(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               group::group_host& group,
                               const control_state& state,
                               fleet::endpoint_registry& registry,
                               weight_table& weights, usage_reporter& usage,
                               peering::leader_caller& stores)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      registry_(registry),
      weights_(weights),
      usage_(usage),
      stores_caller_(stores),
      views_(loop, clock, Sources()) {}

void leader_service::Start() {
  views_.Start();
  asio::co_spawn(loop_, RunMaintenanceLoop(), asio::detached);
}

envelope leader_service::NotLeader() const { return group::NotLeader(group_); }

awaitable<envelope> leader_service::Handle(std::string method,
                                           std::string payload) {
  if (method == peering::kLeaderMethod) {
    co_await AwaitLeader();
  }
  if (!group_.IsServing()) co_return NotLeader();
  if (method == peering::kLeaderMethod) co_return Done();
  if (method == peering::kViewMethod) {
    co_return co_await GetView(std::move(payload));
  }
  if (method == peering::kHeartbeatsMethod) {
    co_return co_await HandleHeartbeats(std::move(payload));
  }
  if (method == peering::kLeaveMethod) {
    co_return co_await HandleLeave(std::move(payload));
  }
  if (method == peering::kPutConfigurationMethod) {
    co_return co_await PutConfiguration(std::move(payload));
  }
  if (method == peering::kGetConfigurationMethod) {
    co_return co_await GetConfiguration();
  }
  if (method == peering::kPublishVersionMethod) {
    co_return co_await PublishVersion(std::move(payload));
  }
  if (method == peering::kCrashUpdateMethod) {
    co_return co_await HandleCrashUpdate(std::move(payload));
  }
  if (method == peering::kWarningsMethod) {
    peering::warning_list held{quarantine::ListWarnings(crashes_)};
    std::erase_if(held.warnings,
                  [](const auto& item) { return item.ends.empty(); });
    co_return Done(core::EncodeBinary(held));
  }
  const auto handler = handlers.find(method);
  if (handler != handlers.end()) {
    co_return co_await handler->second(std::move(payload));
  }
  if (method == peering::kLiftMethod) {
    co_return co_await Lift(std::move(payload));
  }
  const bool is_retirement =
      method == peering::kRetireMethod || method == peering::kRetirementMethod;
  if (is_retirement) {
    co_return co_await Retire(std::move(method), std::move(payload));
  }
  co_return Refused("unknown method '" + method + "'");
}

bool leader_service::IsLeaderKnown() const {
  const std::string& leader = group_.KnownLeader();
  const bool is_other = leader != group_.OwnAddress();
  return group_.IsServing() || (is_other && !leader.empty());
}

awaitable<void> leader_service::AwaitLeader() {
  if (IsLeaderKnown()) co_return;
  const time_point until = clock_.Now() + kLeaderWait;
  if (!is_leader_watched_) {
    is_leader_watched_ = true;
    asio::co_spawn(loop_, RunLeaderWatch(), asio::detached);
  }
  co_await leader_known_.WaitUntil(until);
}

awaitable<void> leader_service::RunLeaderWatch() {
  do {
    co_await net::Sleep(kLeaderWatchPeriod);
  } while (leader_known_.HasWaiters() && !IsLeaderKnown());
  is_leader_watched_ = false;
  co_await leader_known_.NotifyInTurns(kAnswersPerTurn);
}

view_sources leader_service::Sources() const {
  view_sources sources;
  sources.update_endpoints = [this](fleet::view_log& log) {
    return fleet::UpdateEndpoints(log, registry_);
  };
  sources.update_weights = [this](fleet::view_log& log) {
    return fleet::UpdateWeights(log, TakeChanges(weights_));
  };
  sources.warnings = [this] { return quarantine::ListWarnings(crashes_); };
  sources.members = [this] { return Members(); };
  sources.config = [this]() -> const fleet::configuration& {
    return state_.Config();
  };
  // Not those that wait now: under overload their requests are still on the
  // way, and more frequent updates would add to the load.
  sources.followers = [this] {
    return CountContacts(list_contacts_) + CountContacts(plain_contacts_);
  };
  return sources;
}

fleet::view_members leader_service::Members() const {
  fleet::view_members members;
  members.controllers = group_.Members();
  for (const auto& [instance, entry] : stores_) {
    members.stores.push_back({instance, entry.address});
  }
  members.data_voters = state_.DataVoters();
  members.digest_key = state_.DigestKey();
  return members;
}

void leader_service::OnLeadership(bool is_leader, const fleet::view& followed) {
  is_leader_ = is_leader;
  if (!is_leader) {
    views_.Interrupt();
    return;
  }
  // After a term of another leader, there may be instances in contact that this
  // one does not know.
  const bool has_led_before = group_.LedSince() < group_.ElectedAt();
  if (!has_led_before) StartContacts(config_contacts_, clock_.Now());
  // The versions of lists restart with each term.
  StartContacts(list_contacts_, clock_.Now());
  StartContacts(plain_contacts_, clock_.Now());
  leaving_.clear();
  usage_.BeginTerm();
  // Heartbeats reach a new leader only after a while. Until then it uses the
  // endpoints that it had as a follower.
  fleet::AdoptEndpoints(registry_, followed.endpoints, clock_.Now());
  applied_leaving_ = 0;
  ApplyLeavingRecords();
  LogEvent(event_id::kEndpointsInherited,
           {{"term", std::to_string(group_.Term())},
            {"lists", fleet::VersionText(followed.version)},
            {"endpoints", std::to_string(registry_.endpoints.size())}});
  stores_.clear();
  for (const fleet::store_entry& item : followed.members.stores) {
    stores_[item.instance] = {item.address, "", clock_.Now()};
  }
  // Processes with more records of crashes send them again once they follow
  // this leader.
  crashes_ = {};
  for (const fleet::request_warning& item : followed.warnings) {
    quarantine::MergeWarning(crashes_, item, clock_.Now());
  }
  // An instance that has followed no leader since it started has no records of
  // quarantines.
  const bool has_followed = followed.version.term != 0;
  MarkAllChanged(weights_);
  const bool is_first_start = state_.Config().version == 0;
  const bool is_complete = has_followed || is_first_start;
  views_.BeginTerm(
      group_.Term(),
      clock_.Now() + (is_complete ? milliseconds(0) : kWarningSyncTime),
      followed);
  asio::co_spawn(loop_, CommitDigestKey(), asio::detached);
  if (on_endpoints) on_endpoints();
}

bool leader_service::ApplyLeavingRecords() {
  bool is_changed = false;
  const auto& records = state_.Leaving();
  for (auto record = records.upper_bound(applied_leaving_);
       record != records.end(); ++record) {
    applied_leaving_ = record->first;
    const fleet::leaving_endpoint& item = record->second;
    if (!fleet::ApplyLeaving(registry_, item, clock_.Now())) continue;
    LogEvent(event_id::kEndpointLeft, {{"endpoint", item.incarnation}});
    is_changed = true;
  }
  return is_changed;
}

void leader_service::OnApplied() {
  // A leader may apply records of earlier terms only after its election, and
  // must not send a view without them.
  if (is_leader_ && ApplyLeavingRecords()) {
    views_.PublishEndpoints();
    if (on_endpoints) on_endpoints();
  }
  if (state_.Config().version != published_config_) {
    published_config_ = state_.Config().version;
    config_applied_at_ = clock_.Now();
    views_.OnConfigurationChanged();
  }
  std::vector<std::string> members = group_.Members();
  const bool is_same = state_.DataVoters() == published_voters_ &&
                       state_.DigestKey() == published_key_ &&
                       members == published_members_;
  if (is_same) return;
  published_voters_ = state_.DataVoters();
  published_key_ = state_.DigestKey();
  published_members_ = std::move(members);
  views_.OnMembersChanged();
}

void leader_service::OnEndpointsChanged(urgency level) {
  views_.OnEndpointsChanged(level);
  if (on_endpoints) on_endpoints();
}

void leader_service::OnWeightsChanged() { views_.OnWeightsChanged(); }

awaitable<envelope> leader_service::GetView(std::string payload) {
  const auto input = core::DecodeBinary<fleet::view_request>(payload);
  if (!input) co_return Malformed();
  RecordStore(*input);
  RecordRequest(*input);
  for (const fleet::model_demand& item : input->demands) {
    weights_.demands[item.model] = item.streams;
    weights_.peak_tasks[item.model] = item.peak_tasks;
  }
  if (on_demands) on_demands(input->service_demands);
  usage_.Record(*input);
  view_answer update = co_await views_.Answer(*input);
  // The lease may have expired while the request waited for a change.
  if (!group_.IsServing()) co_return NotLeader();
  envelope answer = Done(std::move(update.encoded));
  answer.send_slot = std::move(update.send_slot);
  const auto now = usage_.Now();
  if (now) answer.time_ms = now->time_since_epoch().count();
  co_return answer;
}

// The configuration lists the services, so before the first one every service
// is accepted.
bool leader_service::IsKnownService(const std::string& name) const {
  const fleet::configuration& config = state_.Config();
  return config.version == 0 ||
         std::any_of(
             config.services.begin(), config.services.end(),
             [&name](const fleet::service& item) { return item.name == name; });
}

awaitable<envelope> leader_service::HandleHeartbeats(std::string payload) {
  const auto input = core::DecodeBinary<heartbeat_batch>(payload);
  if (!input) co_return Malformed();
  const time_point until = clock_.Now() + kAcknowledgementWait;
  heartbeat_batch_answer answer;
  answer.term = group_.Term();
  std::vector<fleet::leaving_endpoint> leaving;
  for (const fleet::heartbeat& item : input->heartbeats) {
    answer.refusals.push_back(AcceptHeartbeat(item));
    std::string incarnation = fleet::IncarnationOf(item.name, item.started_ms);
    if (!item.is_draining) {
      leaving_.erase(incarnation);
      continue;
    }
    const bool is_known = registry_.endpoints.count(incarnation) != 0 ||
                          registry_.departed.count(incarnation) != 0;
    if (is_known) leaving.push_back({std::move(incarnation)});
  }
  for (const fleet::heartbeat_refresh& item : input->refreshes) {
    const bool is_known = fleet::ApplyRefresh(registry_, item, clock_.Now());
    if (!is_known) answer.unknown.push_back(item.incarnation);
  }
  envelope known = co_await RecordLeaving(std::move(leaving), until);
  if (known.outcome == call_outcome::kDone) {
    known.payload = core::EncodeBinary(answer);
  }
  co_return known;
}

// Returns the reason for which the heartbeat is rejected; empty: it is
// accepted.
std::string leader_service::AcceptHeartbeat(const fleet::heartbeat& input) {
  const std::string incarnation =
      fleet::IncarnationOf(input.name, input.started_ms);
  const bool is_new = registry_.endpoints.count(incarnation) == 0;
  if (is_new && !IsKnownService(input.service)) {
    std::string reason = "unknown service '" + input.service + "'";
    LogEvent(event_id::kHeartbeatRefused,
             {{"endpoint", incarnation}, {"reason", reason}});
    return reason;
  }
  if (registry_.departed.count(incarnation) != 0) {
    LogEvent(event_id::kDepartedHeartbeat,
             {{"endpoint", incarnation},
              {"sequence", std::to_string(input.sequence)}});
    return "";
  }
  if (on_heartbeat) on_heartbeat(input);
  const bool is_changed = fleet::ApplyHeartbeat(registry_, input, clock_.Now());
  bool is_newer = false;
  // A heartbeat of an older incarnation does not describe the weights of the
  // newest one.
  const bool is_listed = registry_.endpoints.count(incarnation) != 0;
  for (const fleet::model_version& item : input.models) {
    if (!is_listed) break;
    is_newer |= RecordVersion(weights_, incarnation, item.model, item.version);
  }
  if (is_newer) OnWeightsChanged();
  if (is_changed) {
    LogEvent(is_new ? event_id::kEndpointJoined : event_id::kEndpointChanged,
             {{"endpoint", incarnation},
              {"service", input.service},
              {"address", input.address},
              {"zone", input.zone},
              {"draining", input.is_draining ? "true" : "false"},
              {"sequence", std::to_string(input.sequence)}});
    OnEndpointsChanged(input.is_draining ? urgency::kHigh : urgency::kLow);
  }
  return "";
}

awaitable<envelope> leader_service::HandleLeave(std::string payload) {
  const auto input = core::DecodeBinary<fleet::departure>(payload);
  if (!input) co_return Malformed();
  const time_point until = clock_.Now() + kAcknowledgementWait;
  const fleet::leaving_endpoint leaving{
      fleet::DepartingIncarnation(registry_, *input), true};
  if (fleet::ApplyLeaving(registry_, leaving, clock_.Now())) {
    LogEvent(event_id::kEndpointLeft, {{"endpoint", leaving.incarnation}});
    OnEndpointsChanged(urgency::kHigh);
  }
  std::vector<fleet::leaving_endpoint> endpoints;
  endpoints.push_back(leaving);
  co_return co_await RecordLeaving(std::move(endpoints), until);
}

awaitable<envelope> leader_service::CommitCall(std::string name,
                                               std::string payload) {
  return group::CommitCall(group_, std::move(name), std::move(payload));
}

awaitable<envelope> leader_service::PutConfiguration(std::string payload) {
  auto input = core::DecodeBinary<peering::configuration_text>(payload);
  if (!input) co_return Malformed();
  const time_point until = clock_.Now() + kAcknowledgementWait;
  const std::vector<std::string> findings =
      fleet::CheckConfiguration(input->config);
  const std::string version = std::to_string(input->config.version);
  if (!findings.empty()) {
    const std::string reason = absl::StrJoin(findings, "; ");
    LogEvent(event_id::kConfigurationRefused,
             {{"version", version}, {"findings", reason}});
    co_return Refused(reason);
  }
  const uint64_t held = state_.Config().version;
  if (input->config.version <= held) {
    LogEvent(event_id::kConfigurationNotNewer,
             {{"version", version}, {"held", std::to_string(held)}});
    co_return co_await AwaitInForce(input->config.version, until);
  }
  // Entries serve from the first configuration on, and need the digest key by
  // then.
  co_await CommitDigestKey();
  const uint64_t number = input->config.version;
  put_configuration_command command;
  command.config = std::move(input->config);
  command.text = std::move(input->text);
  envelope answer = co_await CommitCall(kPutConfigurationCommand,
                                        core::EncodeBinary(command));
  if (answer.outcome != call_outcome::kDone) co_return answer;
  LogEvent(event_id::kConfigurationAccepted,
           {{"version", version}, {"before", std::to_string(held)}});
  co_return co_await AwaitInForce(number, until);
}

awaitable<envelope> leader_service::GetConfiguration() {
  if (state_.Config().version == 0) {
    envelope none;
    none.reason = "no configuration yet";
    co_return none;
  }
  peering::configuration_text held;
  held.text = state_.ConfigText();
  co_return Done(core::EncodeBinary(held));
}

awaitable<envelope> leader_service::PublishVersion(std::string payload) {
  const auto input = core::DecodeBinary<fleet::model_version>(payload);
  if (!input) co_return Malformed();
  const auto published = state_.Versions().find(input->model);
  if (published != state_.Versions().end() &&
      published->second >= input->version) {
    co_return Done();
  }
  envelope answer =
      co_await CommitCall(kPublishVersionCommand, std::move(payload));
  if (answer.outcome == call_outcome::kDone) {
    LogEvent(
        event_id::kWeightsPublished,
        {{"model", input->model}, {"version", std::to_string(input->version)}});
  }
  co_return answer;
}

// Two leaders may each generate a key; the first one that is committed is used.
awaitable<void> leader_service::CommitDigestKey() {
  if (!state_.DigestKey().empty()) co_return;
  const set_digest_key_command command{core::RandomId()};
  co_await CommitCall(kSetDigestKeyCommand, core::EncodeBinary(command));
}

awaitable<void> leader_service::RunMaintenanceLoop() {
  for (;;) {
    co_await net::Sleep(kMaintenancePeriod);
    if (!group_.IsServing()) continue;
    co_await CommitDigestKey();
    ExpireStores();
    RemoveExpired(config_contacts_, clock_.Now());
    RemoveExpired(list_contacts_, clock_.Now());
    RemoveExpired(plain_contacts_, clock_.Now());
    const time_point oldest =
        clock_.Now() - registry_.options.departed_retention;
    std::erase_if(leaving_, [oldest](const auto& item) {
      return item.second.published_at < oldest;
    });
    const auto lifted = quarantine::Expire(crashes_, clock_.Now());
    if (!lifted.empty()) OnQuarantineChanges(lifted);
    if (!fleet::ExpireEndpoints(registry_, clock_.Now())) continue;
    LogEvent(event_id::kEndpointLeaseExpired,
             {{"endpoints", std::to_string(registry_.endpoints.size())}});
    OnEndpointsChanged(urgency::kLow);
  }
}

}  // namespace hickorywood::controller
