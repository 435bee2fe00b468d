#ifndef HICKORYWOOD_MEMBERSHIP_ENDPOINT_TABLE_H_
#define HICKORYWOOD_MEMBERSHIP_ENDPOINT_TABLE_H_

// The table of endpoints. There is no configured list: each endpoint
// periodically announces itself to any instance with a lease. The table is soft
// state and is synchronized between instances by exchange.h.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace hickorywood::membership {

enum class endpoint_kind { kEngine, kService };
NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_kind,
                             {{endpoint_kind::kEngine, "engine"},
                              {endpoint_kind::kService, "service"}})

// The announcement of an endpoint.
struct announcement {
  std::string id;
  std::string address;  // "IP:PORT"
  endpoint_kind kind = endpoint_kind::kEngine;
  std::string name;  // model of an engine, or name of the service
  std::string site;
  std::string zone;
  // Start time of the endpoint's process, in milliseconds since the epoch.
  int64_t boot = 0;
  uint64_t seq = 0;  // increases with each announcement of that process
  bool is_leaving = false;
  bool is_swapping = false;      // is loading weights and accepts no work
  bool honours_fencing = false;  // rejects orders with an old fencing number
  int64_t version = 0;           // weight version in use
  int64_t running = 0;           // number of requests in the batch
  int64_t queued = 0;            // number of requests in the queue
  int64_t lease_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(announcement, id, address, kind,
                                                name, site, zone, boot, seq,
                                                is_leaving, is_swapping,
                                                honours_fencing, version,
                                                running, queued, lease_ms)

constexpr int64_t kMinLeaseMs = 200;
constexpr int64_t kMaxLeaseMs = 30000;
constexpr size_t kMaxEndpoints = 20000;
// Records of expired endpoints are retained for this time, so that a late copy
// can't bring them back. Longer than any lease that such a copy can contain.
constexpr core::milliseconds kTombstoneRetention{60000};

struct endpoint_record {
  announcement latest;
  core::time_point received_at{};
  core::time_point expires_at{};
  // Version of the table when this record last changed in a way that is sent to
  // other instances.
  uint64_t table_version = 0;
  // Expiry that was published with table_version.
  core::time_point published_expiry{};
  core::time_point published_at{};
  // Version of the table when anything but the load and the lease last changed.
  uint64_t material_version = 0;
  // Instance that sent the current state; empty: the endpoint itself.
  std::string learned_from;
  bool was_expired = false;  // the expiry has been recorded as a change
};

struct endpoint_table {
  std::map<std::string, endpoint_record> records;  // by endpoint id
  uint64_t version = 0;
};

enum class merge_result { kUnchanged, kRefreshed, kChanged, kRefused };

// Validates an announcement from another process. Returns nothing
// and sets the last reason (kInvalid) if the announcement is not valid.
std::optional<announcement> CheckAnnouncement(const announcement& input);

// Merges an announcement, whose lease expires in `lease_left`. `sender` is the
// instance that forwarded it, or empty if the endpoint sent it. Returns
// kRefused, with the reason, if it uses the id of another endpoint whose lease
// is valid.
merge_result Merge(endpoint_table& table, const announcement& input,
                   core::milliseconds lease_left, core::time_point now,
                   const std::string& sender = "");

// Records expired leases and removes old tombstones. Returns the ids of the
// endpoints that have expired since the last call.
std::vector<std::string> ExpireLeases(endpoint_table& table,
                                      core::time_point now);

// Whether the endpoint may receive new work.
bool IsServing(const endpoint_record& record, core::time_point now);

}  // namespace hickorywood::membership

#endif  // HICKORYWOOD_MEMBERSHIP_ENDPOINT_TABLE_H_
