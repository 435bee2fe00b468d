#ifndef HICKORYWOOD_PEERING_MESSAGES_H_
#define HICKORYWOOD_PEERING_MESSAGES_H_

// Messages between the processes of this service, as MessagePack over HTTP.
// Every call that changes something is idempotent, so that a caller may repeat
// it during a change of the leader.

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "consensus/types.h"
#include "core/binary.h"
#include "core/json.h"
#include "fleet/configuration.h"
#include "fleet/request_warning.h"
#include "net/slot_queue.h"
#include "steps/step.h"

namespace hickorywood::peering {

constexpr char kPeerPathPrefix[] = "/peer/v1/";

// The methods of the peer API. Any instance of the group accepts them, but only
// the leader executes them: the data leader those about steps and runs, the
// control leader the ones before them, and both leaders those about the
// retirement of a store. Every replica handles consensus messages.
constexpr char kConsensusMethod[] = "consensus";
// Answered at once by the leader of either group.
constexpr char kLeaderMethod[] = "leader";
// The control leader tells an instance that is not in the group that it leads;
// a join_hint.
constexpr char kLeaderAnnouncementMethod[] = "leader_announcement";
constexpr char kViewMethod[] = "view";
constexpr char kHeartbeatsMethod[] = "heartbeats";
constexpr char kLeaveMethod[] = "leave";
constexpr char kPutConfigurationMethod[] = "put_configuration";
constexpr char kGetConfigurationMethod[] = "get_configuration";
constexpr char kPublishVersionMethod[] = "publish_version";
// Reports of requests that were running when endpoints crashed; the list of all
// such requests; and the release of one of them by an operator.
constexpr char kCrashUpdateMethod[] = "crash_news";
constexpr char kWarningsMethod[] = "warnings";
constexpr char kLiftMethod[] = "lift";
// An entry leases places at the endpoints of a plain service, and returns them.
constexpr char kBorrowPlacesMethod[] = "borrow_places";
constexpr char kReturnPlacesMethod[] = "return_places";
// Numbers of ordered and present servers, and counts of usage, for operators.
constexpr char kScalingMethod[] = "scaling";
constexpr char kUsageMethod[] = "usage";
constexpr char kOpenStepMethod[] = "open_step";
// The same for a submission that is too large for one message: its tasks in
// parts, then the rest. The payloads are those of the commands.
constexpr char kStageTasksMethod[] = "stage_tasks";
constexpr char kOpenStagedStepMethod[] = "open_staged_step";
constexpr char kReadResultsMethod[] = "read_results";
constexpr char kReadTaskMethod[] = "read_task";
constexpr char kEndStepMethod[] = "end_step";
// A store requests tasks to run from the data leader, and reports their
// outcomes.
constexpr char kPollOrdersMethod[] = "take_orders";
constexpr char kReportRunsMethod[] = "report_runs";
// Requests that a store is emptied, and reads whether nothing depends on it any
// more. The control leader identifies the store by its instance, the data
// leader by its peer address.
constexpr char kRetireMethod[] = "retire";
constexpr char kRetirementMethod[] = "retirement";

enum class call_outcome {
  kDone,
  kNotLeader,    // not executed; `leader` may contain the leader
  kUnavailable,  // not executed as far as detected; may succeed later
  kUnknown,      // may have been executed
  kRefused,      // can never succeed; see `reason`
  kNotFound,
  kConflict,  // would leave too few instances; not executed
  kPending,   // executed, but not in force everywhere yet; may be repeated
  kNoMemory,  // not executed; may succeed once other work has ended
};
NLOHMANN_JSON_SERIALIZE_ENUM(call_outcome,
                             {{call_outcome::kUnavailable, "unavailable"},
                              {call_outcome::kDone, "done"},
                              {call_outcome::kNotLeader, "not_leader"},
                              {call_outcome::kUnknown, "unknown"},
                              {call_outcome::kRefused, "refused"},
                              {call_outcome::kNotFound, "not_found"},
                              {call_outcome::kConflict, "conflict"},
                              {call_outcome::kPending, "pending"},
                              {call_outcome::kNoMemory, "no_memory"}})

// The reply to each call.
struct envelope {
  call_outcome outcome = call_outcome::kUnavailable;
  std::string leader;  // peer address; empty: unknown
  std::string reason;
  std::string payload;  // of kDone: the encoded result
  // With a view: the time of day by which usage is counted, Unix ms. 0: the
  // leader does not know it yet.
  int64_t time_ms = 0;
  // Held until the reply has been sent; not a part of the message. Empty: none.
  std::shared_ptr<net::slot_queue::slot> send_slot;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(envelope, outcome, leader,
                                                reason, payload, time_ms)

// The answer to a request to join a group.
struct join_hint {
  std::string leader;    // peer address, as far as known; empty: unknown
  uint64_t term = 0;     // of the leader
  int64_t retry_ms = 0;  // time until the next request; 0: as usual
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(join_hint, leader, term,
                                                retry_ms)

struct consensus_messages {
  std::vector<consensus::message> messages;
  join_hint join;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(consensus_messages, messages,
                                                join)

struct named_item {
  std::string name;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(named_item, name)

// Encodes a named_item.
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
  fleet::configuration config;  // empty in replies
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
  int64_t wait_ms = 0;  // how long to wait for a result
  uint64_t page_bytes = 0;
  std::string customer;  // on whose behalf the caller acts; empty: none
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(read_results_request, step,
                                                after, wait_ms, page_bytes,
                                                customer)

struct read_task_request {
  std::string step;
  std::string task;
  std::string customer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(read_task_request, step, task,
                                                customer)

struct end_step_request {
  std::string name;  // of the step
  std::string customer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(end_step_request, name,
                                                customer)

}  // namespace hickorywood::peering

#endif  // HICKORYWOOD_PEERING_MESSAGES_H_
