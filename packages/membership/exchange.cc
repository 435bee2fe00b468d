#include "membership/exchange.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>

namespace hickorywood::membership {
namespace {

using core::milliseconds;
using core::time_point;

// Adds the records that changed after version `since`, oldest change first, and
// the version after them. A message has at most kMaxRecordsPerMessage records;
// the rest is sent in the next one. Records received from `peer` itself are
// left out: when they were sent back, each change was transferred over every
// link in both directions, endlessly under load.
void AddRecordsSince(const endpoint_table& table, uint64_t since,
                     const std::string& peer,
                     const std::set<std::string>& known, time_point now,
                     exchange_message& message) {
  std::vector<const endpoint_record*> changed;
  for (const auto& item : table.records) {
    const endpoint_record& record = item.second;
    const bool is_echo = since > 0 && record.learned_from == peer;
    const bool is_changed_record =
        record.table_version > since && known.count(item.first) == 0;
    if (is_changed_record && !is_echo) changed.push_back(&record);
  }
  std::sort(changed.begin(), changed.end(),
            [](const endpoint_record* left, const endpoint_record* right) {
              return left->table_version < right->table_version;
            });
  message.up_to = table.version;
  if (changed.size() > kMaxRecordsPerMessage) {
    changed.resize(kMaxRecordsPerMessage);
    message.up_to = changed.back()->table_version;
  }
  for (const endpoint_record* record : changed) {
    const int64_t left =
        std::chrono::duration_cast<milliseconds>(record->expires_at - now)
            .count();
    const announcement& latest = record->latest;
    if (record->material_version > since) {
      message.records.push_back({latest, left});
    } else {
      message.refreshes.push_back({latest.id, latest.boot, latest.seq,
                                   latest.running, latest.queued, left});
    }
  }
}

// Returns the announcement updated by a refresh. A refresh of an unknown
// endpoint, or of another process of the endpoint, is ignored: the next full
// exchange contains the complete record.
std::optional<announcement> ApplyRefresh(const endpoint_table& table,
                                         const record_refresh& update) {
  const auto found = table.records.find(update.id);
  if (found == table.records.end() ||
      found->second.latest.boot != update.boot) {
    return std::nullopt;
  }
  announcement next = found->second.latest;
  next.seq = update.seq;
  next.running = update.running;
  next.queued = update.queued;
  return next;
}

// Returns the endpoints for which the sender of `message` has the same state as
// this table, so that the reply can omit them.
std::set<std::string> RecordsOfSender(const endpoint_table& table,
                                      const exchange_message& message) {
  std::set<std::string> known;
  const auto add = [&table, &known](const std::string& id, int64_t boot,
                                    uint64_t seq) {
    const auto found = table.records.find(id);
    if (found == table.records.end()) return;
    const announcement& latest = found->second.latest;
    if (latest.boot == boot && latest.seq == seq) known.insert(id);
  };
  for (const record_update& update : message.records) {
    add(update.latest.id, update.latest.boot, update.latest.seq);
  }
  for (const record_refresh& update : message.refreshes) {
    add(update.id, update.boot, update.seq);
  }
  return known;
}

void MergeOne(exchange_state& state, const announcement& input,
              int64_t lease_left_ms, const std::string& sender, time_point now,
              std::vector<std::string>& changed) {
  const std::optional<announcement> checked = CheckAnnouncement(input);
  if (!checked) return;
  const milliseconds left(std::min(lease_left_ms, checked->lease_ms));
  if (Merge(state.table, *checked, left, now, sender) ==
      merge_result::kChanged) {
    changed.push_back(checked->id);
  }
}

void MergeRecords(exchange_state& state, const exchange_message& message,
                  time_point now, std::vector<std::string>& changed) {
  for (const record_update& update : message.records) {
    MergeOne(state, update.latest, update.lease_left_ms, message.from.id, now,
             changed);
  }
  for (const record_refresh& update : message.refreshes) {
    const std::optional<announcement> next = ApplyRefresh(state.table, update);
    if (next) {
      MergeOne(state, *next, update.lease_left_ms, message.from.id, now,
               changed);
    }
  }
}

void UpdatePeerInfo(peer_progress& progress, const instance_info& info,
                    time_point now) {
  progress.info = info;
  progress.last_contact_at = now;
}

// Versions are only valid for one process: after a restart of the peer,
// everything is sent again.
uint64_t SinceVersion(const peer_progress& progress) {
  return progress.sent_boot == progress.info.boot ? progress.sent_version : 0;
}

}  // namespace

std::vector<std::string> PickPeers(exchange_state& state,
                                   const std::vector<std::string>& all_peers) {
  std::vector<std::string> picked;
  ++state.rounds;
  while (picked.size() < std::min(kPeersPerRound, all_peers.size())) {
    if (state.round_order.empty()) {
      state.round_order = all_peers;
      std::shuffle(state.round_order.begin(), state.round_order.end(),
                   state.random);
    }
    const std::string next = state.round_order.back();
    state.round_order.pop_back();
    if (std::find(picked.begin(), picked.end(), next) == picked.end()) {
      picked.push_back(next);
    }
  }
  return picked;
}

exchange_message MakeRequest(exchange_state& state, const instance_info& self,
                             const std::string& peer, time_point now) {
  const peer_progress& progress = state.peers[peer];
  const bool is_full = state.rounds % kFullExchangeRounds == 0;
  exchange_message request;
  request.from = self;
  request.seen_version = is_full ? 0 : progress.seen_version;
  request.seen_boot = progress.seen_boot;
  AddRecordsSince(state.table, is_full ? 0 : SinceVersion(progress), peer, {},
                  now, request);
  return request;
}

exchange_message AnswerRequest(exchange_state& state, const instance_info& self,
                               const exchange_message& request, time_point now,
                               std::vector<std::string>& changed) {
  peer_progress& progress = state.peers[request.from.id];
  UpdatePeerInfo(progress, request.from, now);
  MergeRecords(state, request, now, changed);
  progress.seen_version = request.up_to;
  progress.seen_boot = request.from.boot;
  // Changes that the peer already has are not sent again.
  const bool is_same_boot = request.seen_boot == self.boot;
  if (is_same_boot && request.seen_version > 0) {
    progress.sent_version =
        std::max(SinceVersion(progress), request.seen_version);
    progress.sent_boot = request.from.boot;
  }
  const std::set<std::string> known = RecordsOfSender(state.table, request);
  exchange_message reply;
  reply.from = self;
  AddRecordsSince(state.table, is_same_boot ? request.seen_version : 0,
                  request.from.id, known, now, reply);
  return reply;
}

void MergeReply(exchange_state& state, const exchange_message& reply,
                uint64_t sent_up_to, time_point now,
                std::vector<std::string>& changed) {
  peer_progress& progress = state.peers[reply.from.id];
  UpdatePeerInfo(progress, reply.from, now);
  MergeRecords(state, reply, now, changed);
  progress.seen_version = reply.up_to;
  progress.seen_boot = reply.from.boot;
  progress.sent_version = sent_up_to;
  progress.sent_boot = reply.from.boot;
}

}  // namespace hickorywood::membership
