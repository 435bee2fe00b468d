#include "membership/endpoint_table.h"

#include <algorithm>
#include <cctype>

#include "core/reason.h"

namespace hickorywood::membership {
namespace {

// Minimum interval between two updates that only change the load of an
// endpoint. The load changes constantly, and more precise values would not
// justify the cost of sending every change to all instances.
constexpr core::milliseconds kLoadPublishInterval{200};
constexpr size_t kMaxTextBytes = 128;
constexpr int64_t kMaxCount = 1000000;

bool IsPlainText(const std::string& text) {
  return !text.empty() && text.size() <= kMaxTextBytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isgraph(c) != 0; });
}

bool IsNewer(const announcement& input, const announcement& known) {
  return input.boot != known.boot ? input.boot > known.boot
                                  : input.seq > known.seq;
}

bool DiffersMaterially(const announcement& left, const announcement& right) {
  return left.boot != right.boot || left.address != right.address ||
         left.kind != right.kind || left.name != right.name ||
         left.zone != right.zone || left.is_leaving != right.is_leaving ||
         left.is_swapping != right.is_swapping ||
         left.version != right.version ||
         left.honours_fencing != right.honours_fencing;
}

bool DiffersInLoad(const announcement& left, const announcement& right) {
  return left.running != right.running || left.queued != right.queued;
}

// Whether the updated record must be sent to the other instances: something
// changed, or less than half of the published lease remains.
bool NeedsPublishing(const endpoint_record& record, const announcement& before,
                     core::time_point now) {
  if (DiffersMaterially(record.latest, before)) return true;
  if (DiffersInLoad(record.latest, before) &&
      now - record.published_at >= kLoadPublishInterval) {
    return true;
  }
  const core::milliseconds lease(record.latest.lease_ms);
  return record.published_expiry - now < lease / 2;
}

void MarkChanged(endpoint_table& table, endpoint_record& record,
                 core::time_point now, bool is_material) {
  record.table_version = ++table.version;
  record.published_expiry = record.expires_at;
  record.published_at = now;
  if (is_material) record.material_version = table.version;
}

}  // namespace

std::optional<announcement> CheckAnnouncement(const announcement& input) {
  using core::Fail;
  using core::reason_code;
  const bool has_names = IsPlainText(input.id) && IsPlainText(input.name) &&
                         IsPlainText(input.zone) && IsPlainText(input.site) &&
                         IsPlainText(input.address);
  if (!has_names) {
    return Fail(reason_code::kInvalid,
                "id, address, name, site and zone must be plain text");
  }
  if (input.address.find(':') == std::string::npos) {
    return Fail(reason_code::kInvalid, "the address must be IP:PORT");
  }
  if (input.lease_ms < kMinLeaseMs || input.lease_ms > kMaxLeaseMs) {
    return Fail(reason_code::kInvalid,
                "lease_ms must lie between 200 and 30000");
  }
  const auto is_count = [](int64_t value) {
    return value >= 0 && value <= kMaxCount;
  };
  if (!is_count(input.running) || !is_count(input.queued) ||
      input.version < 0 || input.boot < 0) {
    return Fail(reason_code::kInvalid,
                "running and queued must lie between 0 and 1000000, version "
                "and boot must not be negative");
  }
  return input;
}

merge_result Merge(endpoint_table& table, const announcement& input,
                   core::milliseconds lease_left, core::time_point now,
                   const std::string& sender) {
  const auto found = table.records.find(input.id);
  if (found == table.records.end()) {
    if (lease_left.count() <= 0) return merge_result::kUnchanged;
    if (table.records.size() >= kMaxEndpoints) {
      core::SetLastReason(core::reason_code::kUnavailable,
                          "the endpoint table is full");
      return merge_result::kRefused;
    }
    endpoint_record record;
    record.latest = input;
    record.received_at = now;
    record.expires_at = now + lease_left;
    record.learned_from = sender;
    MarkChanged(table, record, now, true);
    table.records[input.id] = record;
    return merge_result::kChanged;
  }
  endpoint_record& record = found->second;
  const bool is_serving = IsServing(record, now);
  if (is_serving && input.address != record.latest.address) {
    core::SetLastReason(
        core::reason_code::kConflict,
        "'" + input.id + "' is in use at " + record.latest.address);
    return merge_result::kRefused;
  }
  if (!IsNewer(input, record.latest)) return merge_result::kUnchanged;
  const announcement before = record.latest;
  record.latest = input;
  record.received_at = now;
  record.expires_at = now + lease_left;
  record.learned_from = sender;
  const bool is_material =
      record.was_expired || DiffersMaterially(input, before);
  record.was_expired = false;
  if (is_material || NeedsPublishing(record, before, now)) {
    MarkChanged(table, record, now, is_material);
  }
  return is_material ? merge_result::kChanged : merge_result::kRefreshed;
}

std::vector<std::string> ExpireLeases(endpoint_table& table,
                                      core::time_point now) {
  std::vector<std::string> expired;
  for (auto item = table.records.begin(); item != table.records.end();) {
    endpoint_record& record = item->second;
    if (!record.was_expired && record.expires_at <= now) {
      record.was_expired = true;
      if (!record.latest.is_leaving) expired.push_back(item->first);
    }
    const bool is_old = record.expires_at + kTombstoneRetention <= now;
    item = is_old ? table.records.erase(item) : std::next(item);
  }
  return expired;
}

bool IsServing(const endpoint_record& record, core::time_point now) {
  return !record.latest.is_leaving && record.expires_at > now;
}

}  // namespace hickorywood::membership
