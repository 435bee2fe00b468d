#include "consensus/raft_log.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hickorywood::consensus {

uint64_t LastIndex(const raft_log& log) {
  return log.base_index + log.entries.size();
}

uint64_t LastTerm(const raft_log& log) {
  return log.entries.empty() ? log.base_term : log.entries.back().term;
}

std::optional<uint64_t> TermAt(const raft_log& log, uint64_t index) {
  if (index == log.snap.index) return log.snap.term;
  if (index == log.base_index) return log.base_term;
  if (index < log.base_index || index > LastIndex(log)) return std::nullopt;
  return EntryAt(log, index).term;
}

const log_entry& EntryAt(const raft_log& log, uint64_t index) {
  return log.entries.at(index - log.base_index - 1);
}

std::vector<log_entry> EntriesFrom(const raft_log& log, uint64_t first,
                                   size_t byte_limit) {
  std::vector<log_entry> result;
  size_t bytes = 0;
  for (uint64_t index = first; index <= LastIndex(log); ++index) {
    const log_entry& entry = EntryAt(log, index);
    const size_t size = entry.data.size() + entry.bytes_on_disk;
    if (!result.empty() && bytes + size > byte_limit) break;
    bytes += size;
    result.push_back(entry);
  }
  return result;
}

void EvictData(raft_log& log, uint64_t index) {
  if (index <= log.base_index || index > LastIndex(log)) return;
  log_entry& entry = log.entries.at(index - log.base_index - 1);
  if (entry.kind != entry_kind::kCommand || entry.data.empty()) return;
  entry.bytes_on_disk = entry.data.size();
  // An assignment would not release the memory.
  std::string().swap(entry.data);
}

void TruncateFrom(raft_log& log, uint64_t first) {
  if (first > LastIndex(log)) return;
  if (first <= log.base_index) {
    log.entries.clear();
    return;
  }
  log.entries.resize(first - log.base_index - 1);
}

void CompactTo(raft_log& log, snapshot snap, uint64_t keep) {
  uint64_t new_base = snap.index > keep ? snap.index - keep : 0;
  for (const log_entry& entry : log.entries) {
    if (entry.index > snap.index) break;
    if (entry.bytes_on_disk > 0) new_base = std::max(new_base, entry.index);
  }
  while (log.base_index < new_base && !log.entries.empty()) {
    log.base_index = log.entries.front().index;
    log.base_term = log.entries.front().term;
    log.entries.pop_front();
  }
  log.snap = std::move(snap);
}

void ResetTo(raft_log& log, snapshot snap) {
  const std::optional<uint64_t> term = TermAt(log, snap.index);
  const bool agrees =
      term && *term == snap.term && snap.index <= LastIndex(log);
  if (!agrees) {
    log.entries.clear();
    log.base_index = snap.index;
    log.base_term = snap.term;
    log.snap = std::move(snap);
    return;
  }
  CompactTo(log, std::move(snap), 0);
}

uint64_t LastMembersIndex(const raft_log& log) {
  for (auto entry = log.entries.rbegin(); entry != log.entries.rend();
       ++entry) {
    if (entry->index <= log.snap.index) break;
    if (entry->kind == entry_kind::kMembers) return entry->index;
  }
  return log.snap.index;
}

group_members ActiveMembers(const raft_log& log) {
  return MembersAt(log, std::numeric_limits<uint64_t>::max());
}

group_members MembersAt(const raft_log& log, uint64_t index) {
  for (auto entry = log.entries.rbegin(); entry != log.entries.rend();
       ++entry) {
    if (entry->index <= log.snap.index) break;
    if (entry->index > index || entry->kind != entry_kind::kMembers) continue;
    // Leaders write this entry from a group_members struct, so a decoding error
    // can only be memory damage. The snapshot's members are the last valid
    // ones.
    return core::Decode<group_members>(entry->data).value_or(log.snap.members);
  }
  return log.snap.members;
}

}  // namespace hickorywood::consensus
