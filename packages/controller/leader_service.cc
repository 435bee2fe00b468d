#include "controller/leader_service.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "core/binary.h"
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
using group::Malformed;
using group::Refused;
using peering::call_outcome;
using peering::envelope;

constexpr milliseconds kHousePeriod{500};
constexpr milliseconds kLongestWait{5000};
// A store that asked for no view for this long is left out of the list. It is
// well above an election, so that a new leader does not forget any.
constexpr std::chrono::seconds kStoreLifetime{20};
constexpr milliseconds kRetirePatience{700};

std::vector<fleet::engine_weights_entry> ListWeights(const weight_book& book) {
  std::vector<fleet::engine_weights_entry> list;
  for (const auto& [incarnation, engine] : book.engines) {
    for (const auto& [model, version] : engine.versions) {
      list.push_back({incarnation, model, version, engine.loading == model});
    }
  }
  return list;
}

}  // namespace

leader_service::leader_service(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               group::group_host& group,
                               const control_state& state,
                               fleet::endpoint_registry& registry,
                               weight_book& weights,
                               peering::leader_caller& stores)
    : loop_(loop),
      clock_(clock),
      group_(group),
      state_(state),
      registry_(registry),
      weights_(weights),
      stores_caller_(stores) {}

void leader_service::Start() {
  asio::co_spawn(loop_, KeepHouse(), asio::detached);
}

envelope leader_service::NotLeader() const { return group::NotLeader(group_); }

awaitable<envelope> leader_service::Handle(std::string method,
                                           std::string payload) {
  if (!group_.IsServing()) co_return NotLeader();
  if (method == peering::kViewMethod) {
    co_return co_await GetView(std::move(payload));
  }
  if (method == peering::kHeartbeatMethod) {
    co_return co_await TakeHeartbeat(std::move(payload));
  }
  if (method == peering::kLeaveMethod) {
    co_return co_await TakeLeave(std::move(payload));
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
  const bool is_about_store =
      method == peering::kRetireMethod || method == peering::kRetirementMethod;
  if (is_about_store) {
    co_return co_await Retire(std::move(method), std::move(payload));
  }
  co_return Refused("no method '" + method + "'");
}

// --- Views.

void leader_service::OnLeadership(bool is_leader, const fleet::view& followed) {
  view_count_ = 1;
  if (is_leader) {
    // Heartbeats reach a new leader only after a while; until then the
    // endpoints that it knew as a follower go on being used.
    registry_.endpoints.clear();
    fleet::AdoptEndpoints(registry_, followed.endpoints, clock_.Now());
    stores_.clear();
    for (const fleet::store_entry& item : followed.stores) {
      stores_[item.instance] = {item.address, clock_.Now()};
    }
    NoteEndpointsChanged();
  }
  view_changed_.Notify();
}

void leader_service::OnApplied() {
  std::vector<std::string> members = group_.Members();
  const bool is_same = state_.Config().version == seen_config_ &&
                       state_.DataFounder() == seen_founder_ &&
                       members == seen_members_;
  if (is_same) return;
  seen_config_ = state_.Config().version;
  seen_founder_ = state_.DataFounder();
  seen_members_ = std::move(members);
  ++view_count_;
  view_changed_.Notify();
}

void leader_service::NoteEndpointsChanged() {
  ++view_count_;
  view_changed_.Notify();
  if (on_endpoints) on_endpoints();
}

void leader_service::NoteWeightsChanged() {
  ++weights_count_;
  view_changed_.Notify();
}

fleet::view_version leader_service::Version() const {
  return {group_.Term(), view_count_};
}

fleet::view_update leader_service::MakeUpdate(
    const fleet::view_request& input) const {
  fleet::view_update update;
  update.version = Version();
  const fleet::configuration& config = state_.Config();
  update.has_config = config.version > input.held_config;
  if (update.has_config) update.config = config;
  update.has_lists = !(input.held == update.version);
  if (update.has_lists) {
    update.endpoints = fleet::ListEndpoints(registry_);
    update.controllers = group_.Members();
    for (const auto& [instance, entry] : stores_) {
      update.stores.push_back({instance, entry.address});
    }
    update.data_founder = state_.DataFounder();
  }
  const bool is_same_term = input.held.term == update.version.term;
  update.has_weights = input.wants_weights &&
                       (!is_same_term || input.held_weights != weights_count_);
  update.weights_count = update.has_weights ? weights_count_ : 0;
  if (update.has_weights) update.weights = ListWeights(weights_);
  return update;
}

bool leader_service::HasNews(const fleet::view_request& input) const {
  return !(input.held == Version()) ||
         (input.wants_weights && input.held_weights != weights_count_);
}

awaitable<envelope> leader_service::GetView(std::string payload) {
  const auto input = core::DecodeBinary<fleet::view_request>(payload);
  if (!input) co_return Malformed();
  NoteStore(*input);
  for (const fleet::model_demand& item : input->demands) {
    weights_.demands[item.model] = item.streams;
  }
  if (!HasNews(*input)) {
    const milliseconds wait =
        std::min(milliseconds(input->wait_ms), kLongestWait);
    co_await view_changed_.WaitUntil(clock_.Now() + wait);
  }
  // The lease may have run out while the answer was held back.
  if (!group_.IsServing()) co_return NotLeader();
  co_return Done(core::EncodeBinary(MakeUpdate(*input)));
}

// --- Endpoints.

// Before the first configuration nobody can tell: it says which there are.
bool leader_service::IsKnownService(const std::string& name) const {
  const fleet::configuration& config = state_.Config();
  return config.version == 0 ||
         std::any_of(
             config.services.begin(), config.services.end(),
             [&name](const fleet::service& item) { return item.name == name; });
}

awaitable<envelope> leader_service::TakeHeartbeat(std::string payload) {
  const auto input = core::DecodeBinary<fleet::heartbeat>(payload);
  if (!input) co_return Malformed();
  const std::string incarnation =
      fleet::IncarnationOf(input->name, input->started_ms);
  const bool is_new = registry_.endpoints.count(incarnation) == 0;
  if (is_new && !IsKnownService(input->service)) {
    const std::string reason = "no service is called '" + input->service + "'";
    LogEvent(event_id::kHeartbeatRefused,
             {{"endpoint", incarnation}, {"reason", reason}});
    co_return Refused(reason);
  }
  const bool is_changed = fleet::TakeHeartbeat(registry_, *input, clock_.Now());
  bool is_newer = false;
  // News of a start that is not the newest says nothing of this one's weights.
  const bool is_listed = registry_.endpoints.count(incarnation) != 0;
  for (const fleet::model_version& item : input->models) {
    if (!is_listed) break;
    is_newer |= NoteVersion(weights_, incarnation, item.model, item.version);
  }
  if (is_newer) NoteWeightsChanged();
  if (is_changed) {
    LogEvent(is_new ? event_id::kEndpointJoined : event_id::kEndpointChanged,
             {{"endpoint", incarnation},
              {"service", input->service},
              {"address", input->address},
              {"zone", input->zone},
              {"draining", input->is_draining ? "true" : "false"},
              {"sequence", std::to_string(input->sequence)}});
    NoteEndpointsChanged();
  }
  co_return Done();
}

awaitable<envelope> leader_service::TakeLeave(std::string payload) {
  const auto input = core::DecodeBinary<fleet::departure>(payload);
  if (!input) co_return Malformed();
  if (fleet::TakeLeave(registry_, *input, clock_.Now())) {
    LogEvent(
        event_id::kEndpointLeft,
        {{"endpoint", fleet::IncarnationOf(input->name, input->started_ms)}});
    NoteEndpointsChanged();
  }
  co_return Done();
}

// --- Configuration and weights.

awaitable<envelope> leader_service::CommitCall(std::string name,
                                               std::string payload) {
  return group::CommitCall(group_, std::move(name), std::move(payload));
}

awaitable<envelope> leader_service::PutConfiguration(std::string payload) {
  auto input = core::DecodeBinary<peering::configuration_text>(payload);
  if (!input) co_return Malformed();
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
    co_return Done();
  }
  put_configuration_command command;
  command.config = std::move(input->config);
  command.text = std::move(input->text);
  envelope answer = co_await CommitCall(kPutConfigurationCommand,
                                        core::EncodeBinary(command));
  if (answer.outcome == call_outcome::kDone) {
    LogEvent(event_id::kConfigurationAccepted,
             {{"version", version}, {"before", std::to_string(held)}});
  }
  co_return answer;
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
  const auto known = state_.Versions().find(input->model);
  if (known != state_.Versions().end() && known->second >= input->version) {
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

// --- Stores.

void leader_service::NoteStore(const fleet::view_request& input) {
  if (input.address.empty()) return;
  known_store& entry = stores_[input.instance];
  const bool is_new = entry.address != input.address;
  entry = {input.address, clock_.Now()};
  if (is_new) {
    LogEvent(event_id::kStoreJoined,
             {{"instance", input.instance}, {"address", input.address}});
    ++view_count_;
    view_changed_.Notify();
  }
  // Exactly one store may found the data group, so the choice is committed.
  const bool is_needed = input.may_found && state_.DataFounder().empty() &&
                         !is_founding_ && group_.IsSpread();
  if (!is_needed) return;
  is_founding_ = true;
  asio::co_spawn(
      loop_,
      CommitCall(kFoundDataGroupCommand,
                 core::EncodeBinary(found_data_group_command{input.address})),
      [this](const std::exception_ptr& /*failure*/,
             const envelope& /*answer*/) { is_founding_ = false; });
}

void leader_service::ExpireStores() {
  const time_point now = clock_.Now();
  const size_t gone = std::erase_if(stores_, [now](const auto& item) {
    return now - item.second.heard_at > kStoreLifetime;
  });
  if (gone == 0) return;
  ++view_count_;
  view_changed_.Notify();
}

awaitable<envelope> leader_service::Retire(std::string method,
                                           std::string payload) {
  const auto input = core::DecodeBinary<peering::named_item>(payload);
  if (!input) co_return Malformed();
  const auto found = stores_.find(input->name);
  if (found == stores_.end()) {
    co_return envelope{call_outcome::kNotFound, "", "no such store", ""};
  }
  envelope answer = co_await stores_caller_.Ask(
      std::move(method), peering::EncodeName(found->second.address),
      clock_.Now() + kRetirePatience, kRetirePatience);
  LogEvent(event_id::kRetirementAsked,
           {{"instance", input->name}, {"reason", answer.reason}});
  co_return answer;
}

// --- Upkeep.

awaitable<void> leader_service::KeepHouse() {
  for (;;) {
    co_await net::Sleep(kHousePeriod);
    if (!group_.IsServing()) continue;
    ExpireStores();
    if (!fleet::ExpireEndpoints(registry_, clock_.Now())) continue;
    LogEvent(event_id::kEndpointLeaseExpired,
             {{"endpoints", std::to_string(registry_.endpoints.size())}});
    NoteEndpointsChanged();
  }
}

}  // namespace hickorywood::controller
