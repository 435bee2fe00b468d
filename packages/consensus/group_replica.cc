#include "consensus/group_replica.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "consensus/members.h"
#include "core/events.h"
#include "core/json.h"

namespace hickorywood::consensus {
namespace {

using core::event_id;
using core::LogEvent;

// Maximum size of the commands applied in one turn, some 10 ms of work on the
// small instances. Heartbeats are sent between turns.
constexpr size_t kMaxApplyBytesPerTurn = 256 * 1024;

// Maximum size of the applied commands kept in memory for followers that are
// slightly behind, some seconds under high load. Older entries are read from
// disk when they must be sent: keeping all of them in memory took as much
// memory as the state itself.
constexpr size_t kMaxCachedBytes = 4 * 1024 * 1024;

bool IsReply(message_kind kind) {
  return kind == message_kind::kPreVoteReply ||
         kind == message_kind::kVoteReply ||
         kind == message_kind::kAppendReply ||
         kind == message_kind::kSnapshotReply;
}

std::string VoterList(const std::vector<member>& voters) {
  std::string list;
  for (const std::string& text : MemberTexts(voters)) {
    list += (list.empty() ? "" : ",") + text;
  }
  return list;
}

}  // namespace

const char* RoleName(raft_role role) {
  switch (role) {
    case raft_role::kFollower:
      return "follower";
    case raft_role::kPreCandidate:
    case raft_role::kCandidate:
      return "candidate";
    case raft_role::kLeader:
      return "leader";
  }
  return "follower";
}

std::vector<std::string> MemberTexts(const std::vector<member>& members) {
  constexpr size_t kShortId = 8;
  std::vector<std::string> texts;
  texts.reserve(members.size());
  for (const member& who : members) {
    texts.push_back(who.node + "/" + who.storage.substr(0, kShortId));
  }
  return texts;
}

group_replica::group_replica(const core::runtime_clock& clock,
                             group_replica_settings settings,
                             log_storage& storage, message_sender& sender,
                             replicated_machine& machine)
    : clock_(clock),
      settings_(std::move(settings)),
      storage_(storage),
      sender_(sender),
      machine_(machine) {}

bool group_replica::Load() {
  const time_point start = clock_.BootNow();
  storage_.SetReplay({[this](const snapshot& snap) { RestoreFrom(snap); },
                      [this](const log_entry& entry) { ApplyEntry(entry); }});
  std::optional<stored_state> stored = storage_.Load();
  if (!stored) {
    if (core::LastReason().code == core::reason_code::kCorrupt) {
      LogEvent(event_id::kLogCorrupt,
               {{"node", settings_.node}, {"reason", core::LastReason().text}});
    }
    return false;
  }
  if (stored->is_new) {
    LogEvent(event_id::kStorageCreated, {{"node", settings_.node}});
  }
  if (stored->was_tail_cut) {
    LogEvent(event_id::kLogTailCut, {{"node", settings_.node}});
  }
  raft_.options = settings_.raft;
  raft_.self = {settings_.node, stored->storage_id};
  raft_.hard = stored->hard;
  raft_.log = std::move(stored->log);
  raft_.random.seed(settings_.random_seed);
  StartReplica(raft_, start, clock_.BootNow());
  if (stored->replayed) {
    raft_.delivered_index = std::max(raft_.delivered_index, *stored->replayed);
  } else {
    RestoreFrom(raft_.log.snap);
  }
  // The entries known to be committed are applied before this replica takes
  // part in an election. When a new leader applied a day's entries after the
  // election, it sent no heartbeats for longer than the election timeout of its
  // followers.
  while (const log_entry* entry = NextCommittedEntry(raft_)) {
    ApplyEntry(*entry);
    RecordApplied(*entry);
  }
  LogLoadedState(start);
  return true;
}

void group_replica::LogLoadedState(time_point start) const {
  const auto took =
      std::chrono::duration_cast<core::milliseconds>(clock_.BootNow() - start);
  LogEvent(event_id::kStateLoaded,
           {{"entries", std::to_string(LastIndex(raft_.log))},
            {"snapshot", std::to_string(raft_.log.snap.index)},
            {"applied", std::to_string(applied_)},
            {"applied_bytes", std::to_string(applied_bytes_)},
            {"ms", std::to_string(took.count())}});
}

bool group_replica::Bootstrap(const std::string& group) {
  return Bootstrap(group, {raft_.self});
}

bool group_replica::Bootstrap(const std::string& group,
                              std::vector<member> voters) {
  const std::string list = VoterList(voters);
  const size_t count = voters.size();
  if (!BootstrapGroup(raft_, group, std::move(voters), clock_.BootNow(),
                      out_)) {
    core::SetLastReason(
        core::reason_code::kConflict,
        "this instance is in group " + raft_.group + " already");
    return false;
  }
  voter_count_ = count;
  LogEvent(event_id::kGroupBootstrapped,
           {{"group", group}, {"node", settings_.node}, {"voters", list}});
  Flush();
  return true;
}

void group_replica::Tick() {
  const time_point now = clock_.BootNow();
  health_.BeforeTick(raft_, now);
  consensus::Tick(raft_, now, out_);
}

void group_replica::Flush() {
  if (has_failed_) return;
  // A commit can cause further messages, so repeat until there is no work left.
  for (;;) {
    SendPending(raft_, clock_.BootNow(), out_);
    raft_output out = std::move(out_);
    out_ = raft_output{};
    SendBeforeSync(out);
    if (!Persist(out)) return;
    HandleRoleChange();
    if (out.snapshot_installed) {
      LogEvent(event_id::kSnapshotInstalled,
               {{"index", std::to_string(raft_.log.snap.index)}});
      backlog_.clear();
      RestoreFrom(raft_.log.snap);
      FailPendingProposals();
    }
    std::move(out.committed.begin(), out.committed.end(),
              std::back_inserter(backlog_));
    RouteMessages(out.messages);
    const bool has_applied_entries = ApplyBacklog();
    if (has_applied_entries) {
      SaveSnapshotIfDue();
      machine_.OnApplied();
    }
    const bool is_idle = out_.messages.empty() && out_.appended.empty() &&
                         !out_.hard_state_changed;
    if (is_idle && (!has_applied_entries || HasBacklog())) break;
  }
  // Messages without a reply are completed too, so that their connections can
  // be used again.
  std::vector<inbound_message> rest = std::move(inbound_);
  inbound_.clear();
  for (inbound_message& item : rest) item.reply({});
}

void group_replica::SendBeforeSync(raft_output& out) {
  if (!MaySendBeforeSync(raft_, out)) return;
  const auto first_append = std::stable_partition(
      out.messages.begin(), out.messages.end(), [](const message& output) {
        return output.kind != message_kind::kAppend;
      });
  for (auto append = first_append; append != out.messages.end(); ++append) {
    SendWithData(std::move(*append));
  }
  out.messages.erase(first_append, out.messages.end());
}

// Sends a message after reading the entry data that is only on disk.
void group_replica::SendWithData(message output) {
  for (log_entry& entry : output.entries) {
    if (entry.bytes_on_disk == 0) continue;
    std::optional<std::string> data = storage_.ReadData(entry.index);
    if (!data) {
      FailStorage();
      return;
    }
    entry.data = std::move(*data);
    entry.bytes_on_disk = 0;
  }
  sender_.Send(output);
}

void group_replica::RestoreFrom(const snapshot& snap) {
  applied_ = snap.index;
  applied_bytes_ = 0;
  cached_.clear();
  cached_bytes_ = 0;
  machine_.Restore(snap.index, snap.data);
}

std::optional<std::string> group_replica::ReadData(uint64_t index) {
  const raft_log& log = raft_.log;
  if (index > log.base_index && index <= LastIndex(log)) {
    const log_entry& entry = EntryAt(log, index);
    if (entry.bytes_on_disk == 0) return entry.data;
  }
  return storage_.ReadData(index);
}

// Records an applied entry and releases the oldest data above the limit.
void group_replica::RecordApplied(const log_entry& entry) {
  cached_.emplace_back(entry.index, entry.data.size());
  cached_bytes_ += entry.data.size();
  while (cached_bytes_ > kMaxCachedBytes) {
    const auto [index, bytes] = cached_.front();
    cached_.pop_front();
    cached_bytes_ -= bytes;
    EvictData(raft_.log, index);
  }
}

bool group_replica::Persist(raft_output& out) {
  raft_.hard.commit = raft_.commit;
  bool is_durable = true;
  if (out.snapshot_installed) {
    is_durable = storage_.WriteSnapshot(raft_.log, raft_.hard);
  } else if (out.hard_state_changed || out.truncate_from != 0 ||
             !out.appended.empty()) {
    is_durable = storage_.Write({out.truncate_from, out.appended, raft_.hard});
  }
  if (!is_durable) FailStorage();
  return is_durable;
}

// After a failed sync the state on disk is undefined. Continuing could
// acknowledge entries that are lost.
void group_replica::FailStorage() {
  has_failed_ = true;
  LogEvent(event_id::kStorageFailed, {{"reason", core::LastReason().text}});
  machine_.OnStorageFailure();
}

// Applies committed entries for one turn. Returns whether there were any.
bool group_replica::ApplyBacklog() {
  size_t bytes = 0;
  bool has_applied_entries = false;
  while (!backlog_.empty() && bytes < kMaxApplyBytesPerTurn) {
    const log_entry entry = std::move(backlog_.front());
    backlog_.pop_front();
    bytes += entry.data.size();
    ApplyEntry(entry);
    RecordApplied(entry);
    has_applied_entries = true;
  }
  return has_applied_entries;
}

void group_replica::ApplyEntry(const log_entry& entry) {
  applied_ = entry.index;
  applied_bytes_ += static_cast<int64_t>(entry.data.size());
  if (entry.kind == entry_kind::kMembers) LogMembers(entry);
  if (entry.kind == entry_kind::kCommand) machine_.Apply(entry);
  const auto waiting = proposals_.find(entry.index);
  if (waiting == proposals_.end()) return;
  const pending_proposal proposal = std::move(waiting->second);
  proposals_.erase(waiting);
  proposal.done(proposal.term == entry.term ? proposal_outcome::kCommitted
                                            : proposal_outcome::kLost);
}

void group_replica::LogMembers(const log_entry& entry) {
  const std::optional<group_members> members =
      core::Decode<group_members>(entry.data);
  if (!members) return;
  const bool is_removal = members->voters.size() < voter_count_;
  voter_count_ = members->voters.size();
  LogEvent(is_removal ? event_id::kVoterRemoved : event_id::kVoterReadmitted,
           {{"voters", VoterList(members->voters)},
            {"learners", std::to_string(members->learners.size())}});
}

void group_replica::SaveSnapshotIfDue() {
  const uint64_t since = applied_ - raft_.log.snap.index;
  const bool is_due =
      since >= static_cast<uint64_t>(settings_.snapshot_every) ||
      applied_bytes_ >= settings_.snapshot_bytes;
  if (!is_due) return;
  applied_bytes_ = 0;
  saved_state saved = machine_.Save(applied_);
  if (saved.index <= raft_.log.snap.index) return;
  Compact(raft_, saved.index, std::move(saved.data));
  if (!storage_.WriteCompaction(raft_.log)) {
    FailStorage();
    return;
  }
  LogEvent(event_id::kSnapshotSaved, {{"index", std::to_string(saved.index)},
                                      {"applied", std::to_string(applied_)}});
}

void group_replica::RouteMessages(const std::vector<message>& messages) {
  for (const message& output : messages) {
    if (!IsReply(output.kind)) {
      SendWithData(output);
      continue;
    }
    const auto found = std::find_if(inbound_.begin(), inbound_.end(),
                                    [&output](const inbound_message& item) {
                                      return item.from == output.to;
                                    });
    if (found == inbound_.end()) continue;
    inbound_message item = std::move(*found);
    inbound_.erase(found);
    item.reply({output});
  }
}

void group_replica::HandleRoleChange() {
  const bool is_leader = raft_.role == raft_role::kLeader;
  if (is_leader == was_leader_) return;
  was_leader_ = is_leader;
  LogEvent(is_leader ? event_id::kLeaderElected : event_id::kLeadershipLost,
           {{"node", settings_.node},
            {"term", std::to_string(raft_.hard.term)},
            {"last_contacts_ms", is_leader ? "" : health_.LastContacts()}});
  machine_.OnLeadership(is_leader);
  if (!is_leader) FailPendingProposals();
}

void group_replica::FailPendingProposals() {
  std::map<uint64_t, pending_proposal> proposals = std::move(proposals_);
  proposals_.clear();
  for (auto& item : proposals) item.second.done(proposal_outcome::kLost);
}

void group_replica::Receive(const message& input, reply_messages reply) {
  inbound_.push_back({input.from, std::move(reply)});
  consensus::Receive(raft_, clock_.BootNow(), input, out_);
}

void group_replica::ReportUnreachable(const member& to) {
  consensus::ReportUnreachable(raft_, to);
}

bool group_replica::Propose(std::string data, proposal_callback done) {
  if (!IsServing()) return false;
  const std::optional<uint64_t> index = consensus::Propose(
      raft_, clock_.BootNow(), entry_kind::kCommand, std::move(data), out_);
  if (!index) return false;
  proposals_[*index] = {raft_.hard.term, std::move(done)};
  return true;
}

bool group_replica::TransferLeadership() {
  const bool is_started =
      consensus::TransferLeadership(raft_, clock_.BootNow(), out_);
  Flush();
  return is_started;
}

bool group_replica::IsServing() const {
  return !has_failed_ && applied_ >= raft_.term_start_index &&
         IsServingLeader(raft_, clock_.BootNow());
}

bool group_replica::NeedsToJoin() const {
  return consensus::NeedsToJoin(raft_, clock_.BootNow());
}

bool group_replica::IsVoter() const {
  return consensus::IsVoter(ActiveMembers(raft_.log), raft_.self);
}

}  // namespace hickorywood::consensus
