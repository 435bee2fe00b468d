#ifndef HICKORYWOOD_CONTROLLER_CONTROL_STATE_H_
#define HICKORYWOOD_CONTROLLER_CONTROL_STATE_H_

// The state that the control group replicates for a deployment.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "fleet/configuration.h"
#include "fleet/endpoint_registry.h"
#include "fleet/usage.h"
#include "group/hosted_state.h"

namespace hickorywood::controller {

constexpr char kPutConfigurationCommand[] = "put_configuration";
constexpr char kPublishVersionCommand[] = "publish_version";
constexpr char kFoundDataGroupCommand[] = "found_data_group";
constexpr char kSetDigestKeyCommand[] = "set_digest_key";
constexpr char kCloseUsageCommand[] = "close_usage";
constexpr char kUsageReportedCommand[] = "usage_reported";
constexpr char kRecordLeavingCommand[] = "record_leaving";
constexpr char kSetServersCommand[] = "set_servers";

struct put_configuration_command {
  fleet::configuration config;
  std::string text;  // as received from the operator
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(put_configuration_command,
                                                config, text)

struct found_data_group_command {
  std::string founder;  // peer address; only in logs of earlier versions
  std::vector<consensus::member> voters;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(found_data_group_command,
                                                founder, voters)

struct set_digest_key_command {
  std::string key;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(set_digest_key_command, key)

// The provider has acknowledged the report of a window.
struct usage_reported_command {
  int64_t window = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(usage_reported_command, window)

// These endpoints are leaving.
struct record_leaving_command {
  std::vector<fleet::leaving_endpoint> endpoints;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(record_leaving_command,
                                                endpoints)

// The number of servers of one kind that are to run for a service in a zone.
struct server_target {
  std::string service;
  std::string zone;
  bool is_spot = false;
  int64_t count = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(server_target, service, zone,
                                                is_spot, count)

// The targets of one decision. They are set together: a server that moves from
// one zone to another must not be counted in both or in neither.
struct set_servers_command {
  std::vector<server_target> targets;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(set_servers_command, targets)

class control_state : public group::hosted_state {
 public:
  // Ignores a configuration that is not newer, a version that is not higher, a
  // second founding of the data group, a second key, usage of a window that is
  // not newer, and leaving endpoints that are recorded.
  void Apply(const group::hosted_command& input) override;
  bool Restore(const std::string& data) override;
  consensus::saved_state Save(uint64_t applied) const override;

  const fleet::configuration& Config() const { return content_.config; }
  const std::string& ConfigText() const { return content_.config_text; }
  // The newest published version of the weights, by model.
  const std::map<std::string, uint64_t>& Versions() const {
    return content_.versions;
  }
  // The first voters of the data group; empty: they were not chosen yet, or by
  // an earlier version, which chose one store.
  const std::vector<consensus::member>& DataVoters() const {
    return content_.data_voters;
  }
  bool IsDataGroupFounded() const {
    return !content_.data_voters.empty() || !content_.data_founder.empty();
  }
  // Key of the digests that identify requests to other instances; empty: none
  // was generated yet. It never changes, so that a request has the same digest
  // under every leader.
  const std::string& DigestKey() const { return content_.digest_key; }

  // The latest window whose usage is final; 0: none.
  int64_t LatestClosedUsage() const { return content_.latest_closed_usage; }
  // The final usage that the provider has not acknowledged, by window.
  const std::map<int64_t, fleet::customer_counts>& UnreportedUsage() const {
    return content_.unreported_usage;
  }

  // The recorded number of servers; nothing: none was recorded.
  std::optional<int64_t> ServerTarget(const std::string& service,
                                      const std::string& zone,
                                      bool is_spot) const;

  // The latest endpoints that are leaving, by ascending number of the record.
  const std::map<uint64_t, fleet::leaving_endpoint>& Leaving() const {
    return content_.leaving;
  }
  // Whether it is recorded that an endpoint is leaving: if it has left, that it
  // has.
  bool IsRecorded(const fleet::leaving_endpoint& input) const;

  struct content {
    fleet::configuration config;
    std::string config_text;
    std::map<std::string, uint64_t> versions;
    std::string data_founder;  // see found_data_group_command
    std::vector<consensus::member> data_voters;
    std::string digest_key;
    int64_t latest_closed_usage = 0;
    std::map<int64_t, fleet::customer_counts> unreported_usage;
    std::map<uint64_t, fleet::leaving_endpoint> leaving;
    std::vector<server_target> server_targets;
  };

 private:
  void RecordLeaving(const std::string& payload);

  content content_;
  std::map<std::string, uint64_t> leaving_numbers_;  // by incarnation
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(control_state::content, config,
                                                config_text, versions,
                                                data_founder, data_voters,
                                                digest_key, latest_closed_usage,
                                                unreported_usage, leaving,
                                                server_targets)

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_CONTROL_STATE_H_
