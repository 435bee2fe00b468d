#include "controller/control_state.h"

#include <utility>

#include "core/binary.h"

namespace hickorywood::controller {
namespace {

void PutConfiguration(control_state::content& held,
                      const std::string& payload) {
  auto input = core::DecodeBinary<put_configuration_command>(payload);
  if (!input || input->config.version <= held.config.version) return;
  held.config = std::move(input->config);
  held.config_text = std::move(input->text);
  // Numbers of an earlier configuration must not be ordered later.
  std::erase_if(held.server_targets, [&held](const server_target& item) {
    const fleet::service* service =
        fleet::FindService(held.config, item.service);
    return service == nullptr || !service->has_scaling;
  });
}

void PublishVersion(control_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<fleet::model_version>(payload);
  if (!input) return;
  uint64_t& newest = held.versions[input->model];
  if (input->version > newest) newest = input->version;
}

void FoundDataGroup(control_state::content& held, const std::string& payload) {
  auto input = core::DecodeBinary<found_data_group_command>(payload);
  const bool is_founded =
      !held.data_founder.empty() || !held.data_voters.empty();
  if (!input || is_founded) return;
  held.data_founder = std::move(input->founder);
  held.data_voters = std::move(input->voters);
}

void SetDigestKey(control_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<set_digest_key_command>(payload);
  if (input && held.digest_key.empty()) held.digest_key = input->key;
}

// Reports that are kept for a provider that is unreachable. One more drops the
// oldest.
constexpr size_t kMaxUnreported = 256;

void CloseUsage(control_state::content& held, const std::string& payload) {
  auto input = core::DecodeBinary<fleet::usage_window>(payload);
  if (!input || input->number <= held.latest_closed_usage) return;
  held.latest_closed_usage = input->number;
  held.unreported_usage[input->number] = std::move(input->counts);
  if (held.unreported_usage.size() > kMaxUnreported) {
    held.unreported_usage.erase(held.unreported_usage.begin());
  }
}

void RecordUsageReported(control_state::content& held,
                         const std::string& payload) {
  const auto input = core::DecodeBinary<usage_reported_command>(payload);
  if (input) held.unreported_usage.erase(input->window);
}

void SetTarget(control_state::content& held, const server_target& target) {
  for (server_target& item : held.server_targets) {
    const bool is_same = item.service == target.service &&
                         item.zone == target.zone &&
                         item.is_spot == target.is_spot;
    if (!is_same) continue;
    item.count = target.count;
    return;
  }
  held.server_targets.push_back(target);
}

void SetServers(control_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<set_servers_command>(payload);
  if (!input) return;
  for (const server_target& item : input->targets) SetTarget(held, item);
}

// Leaving endpoints that are recorded. Delayed heartbeats arrive within
// seconds, in which no deployment replaces that many endpoints; the records
// take about 200 KB. One more drops the oldest.
constexpr size_t kMaxLeaving = 4096;

}  // namespace

std::optional<int64_t> control_state::ServerTarget(const std::string& service,
                                                   const std::string& zone,
                                                   bool is_spot) const {
  for (const server_target& item : content_.server_targets) {
    const bool is_same =
        item.service == service && item.zone == zone && item.is_spot == is_spot;
    if (is_same) return item.count;
  }
  return std::nullopt;
}

bool control_state::IsRecorded(const fleet::leaving_endpoint& input) const {
  const auto found = leaving_numbers_.find(input.incarnation);
  if (found == leaving_numbers_.end()) return false;
  return content_.leaving.at(found->second).has_left || !input.has_left;
}

void control_state::RecordLeaving(const std::string& payload) {
  const auto input = core::DecodeBinary<record_leaving_command>(payload);
  if (!input) return;
  auto& records = content_.leaving;
  for (const fleet::leaving_endpoint& item : input->endpoints) {
    if (IsRecorded(item)) continue;
    const auto before = leaving_numbers_.find(item.incarnation);
    if (before != leaving_numbers_.end()) records.erase(before->second);
    const uint64_t last = records.empty() ? 0 : records.rbegin()->first;
    records[last + 1] = item;
    leaving_numbers_[item.incarnation] = last + 1;
    if (records.size() <= kMaxLeaving) continue;
    leaving_numbers_.erase(records.begin()->second.incarnation);
    records.erase(records.begin());
  }
}

void control_state::Apply(const group::hosted_command& input) {
  if (input.name == kPutConfigurationCommand) {
    PutConfiguration(content_, input.payload);
  } else if (input.name == kPublishVersionCommand) {
    PublishVersion(content_, input.payload);
  } else if (input.name == kFoundDataGroupCommand) {
    FoundDataGroup(content_, input.payload);
  } else if (input.name == kSetDigestKeyCommand) {
    SetDigestKey(content_, input.payload);
  } else if (input.name == kCloseUsageCommand) {
    CloseUsage(content_, input.payload);
  } else if (input.name == kUsageReportedCommand) {
    RecordUsageReported(content_, input.payload);
  } else if (input.name == kRecordLeavingCommand) {
    RecordLeaving(input.payload);
  } else if (input.name == kSetServersCommand) {
    SetServers(content_, input.payload);
  }
}

bool control_state::Restore(const std::string& data) {
  content_ = content{};
  leaving_numbers_.clear();
  if (data.empty()) return true;
  auto saved = core::DecodeBinary<content>(data);
  if (!saved) return false;
  content_ = std::move(*saved);
  for (const auto& [number, item] : content_.leaving) {
    leaving_numbers_[item.incarnation] = number;
  }
  return true;
}

consensus::saved_state control_state::Save(uint64_t applied) const {
  return {applied, core::EncodeBinary(content_)};
}

}  // namespace hickorywood::controller
