#ifndef HICKORYWOOD_PEERING_MESSAGES_H_
#define HICKORYWOOD_PEERING_MESSAGES_H_

// Messages between the system's own processes, as MessagePack over HTTP. Every
// call that changes something is idempotent, so that a caller may repeat it
// while the leader changes.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "consensus/types.h"
#include "core/binary.h"
#include "core/json.h"
#include "fleet/configuration.h"
#include "fleet/request_warning.h"
#include "steps/step.h"

namespace hickorywood::peering {

constexpr char kPeerPathPrefix[] = "/peer/v1/";

// The methods of the peer interface. Any instance of the group takes them, only
// the leader answers: the control leader the first ones, the data leader those
// about steps.
constexpr char kConsensusMethod[] = "consensus";
constexpr char kViewMethod[] = "view";
constexpr char kHeartbeatsMethod[] = "heartbeats";
constexpr char kLeaveMethod[] = "leave";
constexpr char kPutConfigurationMethod[] = "put_configuration";
constexpr char kGetConfigurationMethod[] = "get_configuration";
constexpr char kPublishVersionMethod[] = "publish_version";
// What a process has seen of requests under which endpoints ended; what the
// leader holds of them all; and an operator's word that one may be sent.
constexpr char kCrashNewsMethod[] = "crash_news";
constexpr char kWarningsMethod[] = "warnings";
constexpr char kLiftMethod[] = "lift";
constexpr char kOpenStepMethod[] = "open_step";
constexpr char kReadResultsMethod[] = "read_results";
constexpr char kReadTaskMethod[] = "read_task";
constexpr char kEndStepMethod[] = "end_step";
// A store asks the data leader for tasks to run, and tells what comes of them.
constexpr char kTakeOrdersMethod[] = "take_orders";
constexpr char kReportRunsMethod[] = "report_runs";
// A store is to be emptied, and whether nothing depends on it any more. At the
// control leader by instance, at the data leader by peer address.
constexpr char kRetireMethod[] = "retire";
constexpr char kRetirementMethod[] = "retirement";

enum class call_outcome {
  kDone,
  kNotLeader,    // nothing was done here; `leader` may tell where to go
  kUnavailable,  // not done as far as known; may work later
  kUnknown,      // it may have been done
  kRefused,      // it can never be done; `reason` says why
  kNotFound,
  kConflict,  // it would leave too little; nothing was done
};
NLOHMANN_JSON_SERIALIZE_ENUM(call_outcome,
                             {{call_outcome::kUnavailable, "unavailable"},
                              {call_outcome::kDone, "done"},
                              {call_outcome::kNotLeader, "not_leader"},
                              {call_outcome::kUnknown, "unknown"},
                              {call_outcome::kRefused, "refused"},
                              {call_outcome::kNotFound, "not_found"},
                              {call_outcome::kConflict, "conflict"}})

// The answer to each call.
struct envelope {
  call_outcome outcome = call_outcome::kUnavailable;
  std::string leader;  // peer address, where known
  std::string reason;
  std::string payload;  // of kDone: the method's own answer
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(envelope, outcome, leader,
                                                reason, payload)

struct consensus_messages {
  std::vector<consensus::message> messages;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(consensus_messages, messages)

struct named_item {
  std::string name;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(named_item, name)

// A named_item, encoded.
inline std::string EncodeName(std::string name) {
  named_item item;
  item.name = std::move(name);
  return core::EncodeBinary(item);
}

struct flag_answer {
  bool is_set = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(flag_answer, is_set)

struct configuration_text {
  fleet::configuration config;  // left empty in answers
  std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(configuration_text, config,
                                                text)

struct warning_list {
  std::vector<fleet::request_warning> warnings;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(warning_list, warnings)

struct read_results_request {
  std::string step;
  uint64_t after = 0;
  int64_t wait_ms = 0;  // how long the answer may be held back for a result
  uint64_t page_bytes = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(read_results_request, step,
                                                after, wait_ms, page_bytes)

struct read_task_request {
  std::string step;
  std::string task;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(read_task_request, step, task)

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_MESSAGES_H_
