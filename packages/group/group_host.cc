#include "group/group_host.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <random>
#include <set>
#include <utility>

#include "consensus/members.h"
#include "core/binary.h"
#include "core/events.h"
#include "peering/messages.h"
#include "peering/peer_call.h"

namespace hickorywood::group {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::milliseconds;

// A third of the shortest heartbeat interval, which limits the delay of a
// heartbeat.
constexpr milliseconds kTickPeriod{50};
constexpr milliseconds kJoinPeriod{200};
// An instance that asks who leads gives up after 0.3 s and asks the next one.
constexpr milliseconds kAnnouncePeriod{300};
// Timeouts of a round trip that includes the disk sync of an append. A part of
// a snapshot is larger and gets more time.
constexpr milliseconds kAppendTimeout{400};
constexpr milliseconds kSnapshotTimeout{2000};
// Pause before a replica is reported as unreachable after a failed message.
// Without it, a replica that is down would be called again at each flush.
constexpr milliseconds kUnreachablePause{100};

consensus::group_replica_settings ReplicaSettings(
    const group_settings& settings) {
  consensus::group_replica_settings options;
  options.node = settings.own_address;
  options.raft = settings.raft;
  options.random_seed = std::random_device()();
  return options;
}

}  // namespace

group_settings MakeGroupSettings(const settings::node_settings& node,
                                 std::string name, size_t wanted_voters) {
  group_settings settings;
  settings.name = std::move(name);
  settings.own_address = node.peers_address;
  settings.data_folder = node.data_folder;
  settings.raft.election_timeout = node.election_timeout;
  settings.raft.heartbeat = node.raft_heartbeat;
  settings.raft.leader_lease = node.leader_lease;
  settings.raft.reply_timeout = node.leader_lease;
  settings.raft.wanted_voters = wanted_voters;
  settings.spread_voters = std::max(kMinSpreadVoters, node.DataVoters());
  settings.raft.min_voters = settings.spread_voters;
  return settings;
}

group_host::group_host(asio::io_context& loop, const core::runtime_clock& clock,
                       group_settings settings, net::connection_pool& pool,
                       hosted_state& state)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      pool_(pool),
      storage_(settings_.data_folder),
      state_(state),
      replica_(clock, ReplicaSettings(settings_), storage_, *this, *this) {}

bool group_host::Start() {
  if (!replica_.Load()) return false;
  asio::co_spawn(loop_, RunTickLoop(), asio::detached);
  asio::co_spawn(loop_, RunJoinLoop(), asio::detached);
  asio::co_spawn(loop_, RunAnnounceLoop(), asio::detached);
  return true;
}

void group_host::Bootstrap() {
  if (!IsInGroup()) replica_.Bootstrap(settings_.name);
}

void group_host::Bootstrap(const std::vector<consensus::member>& voters) {
  if (!IsInGroup()) replica_.Bootstrap(settings_.name, voters);
}

void group_host::SetContacts(std::vector<std::string> contacts) {
  contacts_ = std::move(contacts);
}

void group_host::SetLeaving(std::set<std::string> nodes) {
  replica_.SetLeaving(std::move(nodes));
}

std::set<std::string> group_host::Applicants() const {
  std::set<std::string> nodes;
  const milliseconds lifetime = ApplicantLifetime(applicants_.size());
  for (const auto& [node, requested_at] : applicants_) {
    if (clock_.Now() - requested_at < lifetime) nodes.insert(node);
  }
  return nodes;
}

awaitable<void> group_host::RunTickLoop() {
  for (;;) {
    replica_.Tick();
    ScheduleFlush();
    co_await net::Sleep(kTickPeriod);
  }
}

// Sends requests to join until the leader has made this replica a voter.
awaitable<void> group_host::RunJoinLoop() {
  for (;;) {
    co_await net::Sleep(kJoinPeriod);
    const bool is_due = clock_.Now() >= join_.next_at;
    if (is_due && replica_.NeedsToJoin()) RequestToJoin();
  }
}

awaitable<void> group_host::RunAnnounceLoop() {
  for (;;) {
    co_await net::Sleep(kAnnouncePeriod);
    if (!IsServing()) continue;
    const std::vector<std::string> members = Members();
    for (const std::string& address : announced_) {
      const bool is_member =
          std::find(members.begin(), members.end(), address) != members.end();
      if (is_member || address == settings_.own_address) continue;
      asio::co_spawn(loop_, Announce(address), asio::detached);
    }
  }
}

awaitable<void> group_host::Announce(std::string address) {
  peering::join_hint hint;
  hint.leader = settings_.own_address;
  hint.term = replica_.Raft().hard.term;
  // Repeated, so the result is of no interest.
  co_await peering::CallPeer(
      pool_, std::move(address), peering::kLeaderAnnouncementMethod,
      core::EncodeBinary(hint), clock_.Now() + kAnnouncePeriod);
}

void group_host::RequestToJoin() {
  std::set<std::string> known(contacts_.begin(), contacts_.end());
  for (const std::string& node : Members()) known.insert(node);
  known.erase(settings_.own_address);
  for (const std::string& node : JoinTargets(join_, known)) {
    consensus::message join;
    join.kind = consensus::message_kind::kJoin;
    join.group = replica_.Raft().group;
    join.from = replica_.Raft().self;
    join.to.node = node;
    Send(join);
  }
}

// Schedules one flush for everything that is ready on the loop, so that a burst
// shares one disk sync.
void group_host::ScheduleFlush() {
  if (is_flush_scheduled_) return;
  is_flush_scheduled_ = true;
  asio::post(loop_, [this] {
    is_flush_scheduled_ = false;
    replica_.Flush();
    if (replica_.HasBacklog()) ScheduleFlush();
  });
}

void group_host::Send(const consensus::message& output) {
  asio::co_spawn(loop_, Deliver(output), asio::detached);
}

awaitable<void> group_host::Deliver(consensus::message output) {
  const bool is_large = output.kind == consensus::message_kind::kSnapshot;
  const core::time_point deadline =
      clock_.Now() + (is_large ? kSnapshotTimeout : kAppendTimeout);
  const consensus::member peer = output.to;
  const net::call_result result =
      co_await peering::CallPeer(pool_, peer.node, peering::kConsensusMethod,
                                 core::EncodeBinary(output), deadline);
  const bool is_answered =
      result.how == net::progress::kAnswered && result.answer.status == 200;
  const auto answers =
      is_answered
          ? core::DecodeBinary<peering::consensus_messages>(result.answer.body)
          : std::optional<peering::consensus_messages>();
  const bool is_join = output.kind == consensus::message_kind::kJoin;
  if (is_join && answers) {
    peering::join_hint hint = answers->join;
    // It led before its disk was lost.
    if (hint.leader == settings_.own_address) hint.leader.clear();
    OnJoinAnswer(join_, peer.node, hint, clock_.Now());
  }
  LogAnswer(peer.node, answers.has_value(), result);
  if (!answers) {
    if (result.is_timeout) pool_.CloseIdle(peer.node);
    if (is_join) OnJoinFailure(join_, peer.node, clock_.Now());
    co_await net::Sleep(kUnreachablePause);
    replica_.ReportUnreachable(peer);
    co_return;
  }
  for (const consensus::message& answer : answers->messages) {
    replica_.Receive(answer,
                     [](const std::vector<consensus::message>& /*none*/) {});
  }
  ScheduleFlush();
}

// Logs the first message to an instance that fails after one that succeeded.
void group_host::LogAnswer(const std::string& node, bool is_answered,
                           const net::call_result& result) {
  if (is_answered) {
    silent_.erase(node);
    return;
  }
  if (!silent_.insert(node).second) return;
  core::LogEvent(
      core::event_id::kPeerNotAnswering,
      {{"group", settings_.name},
       {"to", node},
       {"sent", result.how == net::progress::kNotSent ? "false" : "true"},
       {"reason", result.error}});
}

awaitable<std::string> group_host::Receive(std::string payload) {
  const auto input = core::DecodeBinary<consensus::message>(payload);
  peering::consensus_messages answers;
  if (!input) {
    core::LogEvent(core::event_id::kPeerMessageMalformed,
                   {{"reason", core::LastReason().text}});
    co_return core::EncodeBinary(answers);
  }
  if (input->kind == consensus::message_kind::kJoin) {
    answers.join = AnswerJoin(*input);
  }
  const net::one_shot<std::vector<consensus::message>> reply;
  replica_.Receive(*input, [reply](std::vector<consensus::message> messages) {
    reply.Set(std::move(messages));
  });
  ScheduleFlush();
  auto messages = co_await reply.WaitUntil(clock_.Now() + kSnapshotTimeout);
  if (messages) answers.messages = std::move(*messages);
  co_return core::EncodeBinary(answers);
}

bool group_host::IsOutdated() const {
  return !IsInGroup() || join_.term > replica_.Raft().hard.term;
}

void group_host::OnLeaderAnnounced(const peering::join_hint& hint) {
  if (hint.leader == settings_.own_address || hint.term < join_.term) return;
  OnJoinAnswer(join_, hint.leader, hint, clock_.Now());
}

peering::join_hint group_host::AnswerJoin(const consensus::message& input) {
  const core::time_point now = clock_.Now();
  const milliseconds lifetime = ApplicantLifetime(applicants_.size());
  std::erase_if(applicants_, [now, lifetime](const auto& item) {
    return now - item.second >= lifetime;
  });
  applicants_[input.from.node] = now;
  const consensus::raft_state& raft = replica_.Raft();
  peering::join_hint hint;
  if (IsOutdated()) {
    hint.leader = join_.leader;
    hint.term = join_.term;
    return hint;
  }
  hint.leader = raft.leader.node;
  hint.term = raft.hard.term;
  const bool is_leader = raft.role == consensus::raft_role::kLeader;
  if (is_leader && !consensus::IsJoinWanted(raft, input.from)) {
    hint.retry_ms = JoinRetryTime(applicants_.size()).count();
  }
  return hint;
}

awaitable<group_host::commit_result> group_host::Commit(std::string name,
                                                        std::string payload) {
  hosted_command input;
  input.name = std::move(name);
  input.now_ms = core::ToUnixMillis(clock_.WallNow());
  input.payload = std::move(payload);
  const net::one_shot<consensus::proposal_outcome> outcome;
  commit_result result;
  result.was_proposed = replica_.Propose(
      EncodeCommand(input),
      [outcome](consensus::proposal_outcome how) { outcome.Set(how); });
  if (!result.was_proposed) co_return result;
  ScheduleFlush();
  // Completes at the commit, or when leadership ends.
  const auto how = co_await outcome.WaitUntil(core::time_point::max());
  result.is_committed = how && *how == consensus::proposal_outcome::kCommitted;
  co_return result;
}

std::optional<hosted_command> group_host::ReadCommand(uint64_t index) {
  const std::optional<std::string> data = replica_.ReadData(index);
  if (!data) return std::nullopt;
  return DecodeCommand(*data);
}

bool group_host::HasEnoughVoters() const {
  return Voters().size() >= settings_.spread_voters;
}

std::vector<std::string> group_host::Voters() const {
  const consensus::group_members members =
      consensus::ActiveMembers(replica_.Raft().log);
  std::vector<std::string> nodes;
  for (const consensus::member& who : members.voters) {
    nodes.push_back(who.node);
  }
  return nodes;
}

bool group_host::IsMember() const {
  const consensus::group_members members =
      consensus::ActiveMembers(replica_.Raft().log);
  const consensus::member& self = replica_.Raft().self;
  return consensus::IsVoter(members, self) ||
         consensus::IsLearner(members, self);
}

std::vector<std::string> group_host::Members() const {
  const consensus::group_members members =
      consensus::ActiveMembers(replica_.Raft().log);
  std::vector<std::string> nodes;
  for (const consensus::member& who : members.voters) {
    nodes.push_back(who.node);
  }
  for (const consensus::member& who : members.learners) {
    nodes.push_back(who.node);
  }
  return nodes;
}

void group_host::Apply(const consensus::log_entry& entry) {
  auto input = DecodeCommand(entry.data);
  if (!input) return;
  input->index = entry.index;
  state_.Apply(*input);
}

void group_host::Restore(uint64_t /*index*/, const std::string& data) {
  if (state_.Restore(data)) return;
  core::LogEvent(
      core::event_id::kLogCorrupt,
      {{"node", settings_.own_address}, {"reason", core::LastReason().text}});
  OnStorageFailure();
}

consensus::saved_state group_host::Save(uint64_t applied) const {
  return state_.Save(applied);
}

void group_host::OnLeadership(bool is_leader) {
  if (on_leadership) on_leadership(is_leader);
}

void group_host::OnApplied() {
  if (on_applied) on_applied();
}

void group_host::OnStorageFailure() {
  if (on_failure) on_failure();
}

}  // namespace hickorywood::group
