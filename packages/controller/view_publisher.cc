#include "controller/view_publisher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "core/binary.h"
#include "core/events.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;

constexpr milliseconds kMaxWait{5000};
// A response costs the leader about a tenth of a millisecond. With this time
// for each follower, it spends at most a tenth of its time on updates, however
// many endpoints join and leave.
constexpr milliseconds kGatherTimePerFollower{1};
// A follower that runs tasks visits each endpoint, which takes it about 0.5 us.
constexpr std::chrono::microseconds kGatherTimePerEndpoint{10};
// Maximum of the gather time of urgent changes: well below the one or two
// seconds after which a leaving endpoint must get no new work.
constexpr milliseconds kMaxUrgentGatherTime{400};
// The same for other changes. 2,000 followers receive them at the rate at which
// fewer do.
constexpr milliseconds kMaxGatherTime{2000};

// Configurations that are kept to tell what changed since. Processes lag behind
// by one or two, and one with thousands of routes takes about a megabyte.
constexpr size_t kRecentConfigs = 6;

// Counts a process as a follower while it waits for changes.
class follower_count {
 public:
  explicit follower_count(std::shared_ptr<size_t> count)
      : count_(std::move(count)) {
    ++*count_;
  }
  ~follower_count() { --*count_; }
  follower_count(const follower_count&) = delete;
  follower_count& operator=(const follower_count&) = delete;

 private:
  const std::shared_ptr<size_t> count_;
};

// How long an answer with complete lists is sent to other processes too. They
// get the changes since with their next request. After a restart of all
// processes the lists change all the time, and encoding 10,000 endpoints for
// each process takes longer than the process waits.
constexpr milliseconds kCompleteLifetime{500};

// Number of processes that receive complete lists at the same time. All
// processes request them after a restart. Sent to all at once, they would share
// the bandwidth and be late everywhere, and take the memory of the leader.
constexpr size_t kCompleteAnswers = 8;
// The same for lists of plain services only, a few percent of the size.
constexpr size_t kPlainCompleteAnswers = 64;
// Time after which the slot of a process that receives slowly is given to the
// next one as well.
constexpr milliseconds kCompleteAnswerTime{500};

// Interval of the log lines about what was sent.
constexpr milliseconds kReportPeriod{10000};

// Index in view_publisher::answer_key.
constexpr size_t kWantsWeights = 5;

}  // namespace

milliseconds GatherTime(size_t followers, size_t endpoints, urgency level) {
  const std::chrono::microseconds time =
      kGatherTimePerFollower * static_cast<int64_t>(followers) +
      kGatherTimePerEndpoint * static_cast<int64_t>(endpoints);
  const milliseconds max_time =
      level == urgency::kHigh ? kMaxUrgentGatherTime : kMaxGatherTime;
  return std::min(std::chrono::duration_cast<milliseconds>(time), max_time);
}

view_publisher::view_publisher(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               view_sources sources)
    : loop_(loop), clock_(clock), sources_(std::move(sources)) {
  complete_slots_.try_emplace(fleet::view_scope::kAll, kCompleteAnswers,
                              kCompleteAnswerTime);
  complete_slots_.try_emplace(fleet::view_scope::kPlain, kPlainCompleteAnswers,
                              kCompleteAnswerTime);
}

void view_publisher::Start() {
  asio::co_spawn(loop_, RunReportLoop(), asio::detached);
  asio::co_spawn(
      loop_,
      RunPublishLoop(
          lists_, [this] { return UpdateLists(); }, sources_.followers),
      asio::detached);
  asio::co_spawn(loop_,
                 RunPublishLoop(
                     weights_, [this] { return UpdateWeights(); },
                     [this] { return *weight_followers_; }),
                 asio::detached);
}

awaitable<void> view_publisher::RunReportLoop() {
  for (;;) {
    co_await net::Sleep(kReportPeriod);
    if (sent_.answers == 0) continue;
    LogEvent(event_id::kViewsSent,
             {{"publications", std::to_string(sent_.publications)},
              {"answers", std::to_string(sent_.answers)},
              {"complete", std::to_string(sent_.complete)},
              {"bytes", std::to_string(sent_.bytes)},
              {"followers", std::to_string(sources_.followers())}});
    sent_ = {};
  }
}

void view_publisher::BeginTerm(uint64_t term, time_point complete_at,
                               const fleet::view& followed) {
  fleet::BeginTerm(log_, term);
  complete_answers_.clear();
  fleet::UpdateScope(log_, sources_.config());
  fleet::InheritLists(log_, followed);
  if (sources_.config().version > 0) RecordConfiguration();
  complete_at_ = complete_at;
  UpdateLists();
  UpdateWeights();
  Wake(lists_);
}

void view_publisher::Interrupt() {
  ++interruptions_;
  Wake(lists_);
}

void view_publisher::OnEndpointsChanged(urgency level) {
  ScheduleUpdate(lists_, level);
}

void view_publisher::PublishEndpoints() {
  if (UpdateLists()) Wake(lists_);
}

void view_publisher::OnWarningsChanged() {
  ScheduleUpdate(lists_, urgency::kHigh);
}

void view_publisher::OnMembersChanged() {
  ScheduleUpdate(lists_, urgency::kHigh);
}

void view_publisher::OnWeightsChanged() {
  ScheduleUpdate(weights_, urgency::kHigh);
}

void view_publisher::OnConfigurationChanged() {
  RecordConfiguration();
  fleet::UpdateScope(log_, sources_.config());
  complete_answers_.clear();
  Wake(lists_);
}

void view_publisher::RecordConfiguration() {
  const fleet::configuration& config = sources_.config();
  recent_configs_[config.version] = config;
  if (recent_configs_.size() > kRecentConfigs) {
    recent_configs_.erase(recent_configs_.begin());
  }
}

void view_publisher::ScheduleUpdate(update_channel& channel, urgency level) {
  const bool is_earlier =
      !channel.has_changes ||
      (level == urgency::kHigh && channel.level == urgency::kLow);
  if (!is_earlier) return;
  channel.has_changes = true;
  channel.level = level;
  channel.changed.Notify();
}

void view_publisher::Wake(update_channel& channel) {
  if (&channel == &lists_) {
    answers_.clear();
  } else {
    std::erase_if(answers_, [](const auto& item) {
      return std::get<kWantsWeights>(item.first);
    });
  }
  // Stores follow both channels, but wait only for the event of the weights.
  if (&channel == &lists_) Notify(lists_.published);
  Notify(weights_.published);
}

void view_publisher::Notify(const net::event& published) {
  asio::co_spawn(
      loop_,
      [event = published]() mutable -> awaitable<void> {
        co_await event.NotifyInTurns(kAnswersPerTurn);
      },
      asio::detached);
}

awaitable<void> view_publisher::RunPublishLoop(update_channel& channel,
                                               publish_function publish,
                                               follower_function followers) {
  for (;;) {
    if (!channel.has_changes) {
      co_await channel.changed.WaitUntil(time_point::max());
      continue;
    }
    const time_point next =
        channel.published_at +
        GatherTime(followers(), log_.endpoints.items.size(), channel.level);
    const auto wait = next - clock_.Now();
    if (wait > wait.zero()) {
      // Ends early when an urgent change arrives.
      co_await channel.changed.WaitUntil(std::chrono::steady_clock::now() +
                                         std::chrono::ceil<milliseconds>(wait));
      continue;
    }
    channel.has_changes = false;
    channel.level = urgency::kLow;
    if (!publish()) continue;
    if (&channel == &lists_) ++sent_.publications;
    channel.published_at = clock_.Now();
    Wake(channel);
  }
}

awaitable<std::optional<published_lists>> view_publisher::AwaitPublished(
    time_point until) {
  if (lists_.has_changes) ScheduleUpdate(lists_, urgency::kHigh);
  while (lists_.has_changes && clock_.Now() < until) {
    co_await lists_.published.WaitUntil(until);
  }
  if (lists_.has_changes) co_return std::nullopt;
  // A process that asks after an acknowledgement must not get lists without it.
  complete_answers_.clear();
  co_return published_lists{log_.count, log_.plain_changed_at};
}

uint64_t view_publisher::KnownCount(const fleet::view_request& input) const {
  return fleet::KnownCount(log_, input);
}

bool view_publisher::UpdateLists() {
  const bool has_endpoints = sources_.update_endpoints(log_);
  const bool has_warnings = fleet::UpdateWarnings(log_, sources_.warnings());
  // A process must not run a request that all others have quarantined.
  if (has_warnings) complete_answers_.clear();
  const bool has_members = fleet::UpdateMembers(log_, sources_.members());
  return has_endpoints || has_warnings || has_members;
}

bool view_publisher::UpdateWeights() { return sources_.update_weights(log_); }

bool view_publisher::HasChangesFor(const fleet::view_request& input) const {
  return sources_.config().version > input.held_config ||
         fleet::HasChangesFor(log_, input);
}

bool view_publisher::NeedsSlot(const fleet::view_request& input) const {
  // The few members of the data group are not delayed: all tasks depend on
  // them.
  return !input.wants_weights && !fleet::HasBase(log_, input);
}

awaitable<view_answer> view_publisher::Answer(fleet::view_request input) {
  const milliseconds wait = std::min(milliseconds(input.wait_ms), kMaxWait);
  const time_point until = clock_.Now() + wait;
  std::optional<follower_count> store;
  if (input.wants_weights) store.emplace(weight_followers_);
  net::event& published =
      input.wants_weights ? weights_.published : lists_.published;
  const uint64_t interruptions = interruptions_;
  const bool has_no_view = input.held.term == 0;
  while (has_no_view && clock_.Now() < complete_at_ &&
         interruptions == interruptions_) {
    co_await published.WaitUntil(complete_at_);
  }
  while (!HasChangesFor(input) && clock_.Now() < until &&
         interruptions == interruptions_) {
    co_await published.WaitUntil(until);
  }
  view_answer answer;
  if (NeedsSlot(input)) {
    answer.send_slot = co_await complete_slots_.at(input.scope).Acquire();
  }
  answer.encoded = EncodedUpdate(std::move(input));
  ++sent_.answers;
  sent_.bytes += answer.encoded.size();
  if (answer.send_slot) ++sent_.complete;
  co_return answer;
}

void view_publisher::AddConfiguration(const fleet::view_request& input,
                                      fleet::view_update& update) const {
  const fleet::configuration& config = sources_.config();
  if (config.version <= input.held_config) return;
  const auto held = recent_configs_.find(input.held_config);
  if (input.takes_config_changes && held != recent_configs_.end()) {
    update.has_config_changes = true;
    update.config_changes = fleet::ChangesBetween(held->second, config);
    return;
  }
  update.has_config = true;
  update.config = config;
}

const std::string& view_publisher::EncodedUpdate(fleet::view_request input) {
  // All processes whose version is not known get the same response.
  if (!fleet::HasBase(log_, input)) {
    input.held = {};
    input.held_scope = 0;
    if (!input.wants_weights) return EncodedCompleteUpdate(input);
  }
  if (input.held.term != log_.term) input.held_weights = 0;
  const answer_key key(input.held.term, input.held.count, input.held_weights,
                       input.held_config, input.scope, input.wants_weights,
                       input.takes_config_changes);
  const auto cached = answers_.find(key);
  if (cached != answers_.end()) return cached->second;
  return answers_[key] = MakeUpdate(input);
}

const std::string& view_publisher::EncodedCompleteUpdate(
    const fleet::view_request& input) {
  complete_answer& answer = complete_answers_[{input.scope, input.held_config,
                                               input.takes_config_changes}];
  const time_point now = clock_.Now();
  const bool is_usable =
      !answer.update.empty() && now - answer.made_at < kCompleteLifetime;
  if (!is_usable) answer = {MakeUpdate(input), now};
  return answer.update;
}

std::string view_publisher::MakeUpdate(const fleet::view_request& input) const {
  fleet::view_update update = fleet::MakeUpdate(log_, input);
  AddConfiguration(input, update);
  return core::EncodeBinary(update);
}

}  // namespace hickorywood::controller
