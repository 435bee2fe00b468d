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
}

void PublishVersion(control_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<fleet::model_version>(payload);
  if (!input) return;
  uint64_t& newest = held.versions[input->model];
  if (input->version > newest) newest = input->version;
}

void FoundDataGroup(control_state::content& held, const std::string& payload) {
  const auto input = core::DecodeBinary<found_data_group_command>(payload);
  if (input && held.data_founder.empty()) held.data_founder = input->founder;
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

}  // namespace

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
  }
}

bool control_state::Restore(const std::string& data) {
  content_ = content{};
  if (data.empty()) return true;
  auto saved = core::DecodeBinary<content>(data);
  if (!saved) return false;
  content_ = std::move(*saved);
  return true;
}

consensus::saved_state control_state::Save(uint64_t applied) const {
  return {applied, core::EncodeBinary(content_)};
}

}  // namespace hickorywood::controller
