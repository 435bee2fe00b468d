#ifndef HICKORYWOOD_MEMBERSHIP_EXCHANGE_H_
#define HICKORYWOOD_MEMBERSHIP_EXCHANGE_H_

// Synchronizes the endpoint table between instances. Each instance exchanges
// records with a fixed number of peers per round, independent of the size of
// the fleet: each side sends the records that changed since the version that
// the other side has. A record reaches all instances in about log(instances)
// rounds. Periodically an exchange sends the complete table, which repairs
// differences caused by faults.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "membership/endpoint_table.h"

namespace hickorywood::membership {

// Information that an instance sends about itself.
struct instance_info {
  std::string id;
  std::string boot;  // id of the process
  std::string site;
  std::string zone;
  bool holds_lease = false;  // whether it has a configuration lease
  bool is_draining = false;
  uint64_t revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(instance_info, id, boot, site,
                                                zone, holds_lease, is_draining,
                                                revision)

// Update of the lease and the load of an endpoint that the receiver already
// has.
struct record_refresh {
  std::string id;
  int64_t boot = 0;
  uint64_t seq = 0;
  int64_t running = 0;
  int64_t queued = 0;
  int64_t lease_left_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(record_refresh, id, boot, seq,
                                                running, queued, lease_left_ms)

struct record_update {
  announcement latest;
  int64_t lease_left_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(record_update, latest,
                                                lease_left_ms)

// Used for both the request and the reply.
struct exchange_message {
  instance_info from;
  // Version of the receiver's table that the sender has.
  uint64_t seen_version = 0;
  std::string seen_boot;  // boot id of the process with `seen_version`
  // Version of the sender's table that the receiver has after merging the
  // records.
  uint64_t up_to = 0;
  std::vector<record_update> records;
  std::vector<record_refresh> refreshes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(exchange_message, from,
                                                seen_version, seen_boot, up_to,
                                                records, refreshes)

// Synchronization state with one peer.
struct peer_progress {
  instance_info info;
  core::time_point last_contact_at{};
  // Version of the peer's table that was merged here.
  uint64_t seen_version = 0;
  std::string seen_boot;
  uint64_t sent_version = 0;  // version of this table that the peer has
  std::string sent_boot;      // boot id of the peer's process that has it
};

struct exchange_state {
  endpoint_table table;
  std::map<std::string, peer_progress> peers;  // by instance id
  std::mt19937_64 random;
  std::vector<std::string> round_order;  // peers not yet contacted in this pass
  uint64_t rounds = 0;
};

constexpr size_t kPeersPerRound = 3;
constexpr size_t kMaxRecordsPerMessage = 2000;
// Number of rounds between full exchanges.
constexpr uint64_t kFullExchangeRounds = 120;

// Returns the peers for this round. All peers are visited in turn.
std::vector<std::string> PickPeers(exchange_state& state,
                                   const std::vector<std::string>& all_peers);

exchange_message MakeRequest(exchange_state& state, const instance_info& self,
                             const std::string& peer, core::time_point now);

// Merges a request and returns the reply. Adds the ids of the endpoints that
// changed to `changed`.
exchange_message AnswerRequest(exchange_state& state, const instance_info& self,
                               const exchange_message& request,
                               core::time_point now,
                               std::vector<std::string>& changed);

// Merges the reply to a request that contained this table up to version
// `sent_up_to`.
void MergeReply(exchange_state& state, const exchange_message& reply,
                uint64_t sent_up_to, core::time_point now,
                std::vector<std::string>& changed);

}  // namespace hickorywood::membership

#endif  // HICKORYWOOD_MEMBERSHIP_EXCHANGE_H_
