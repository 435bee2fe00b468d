#ifndef HICKORYWOOD_FLEET_PROTOCOL_H_
#define HICKORYWOOD_FLEET_PROTOCOL_H_

// How callers, operators, trainers and endpoints speak: the seam between the
// product, which decides, and an adapter, which only translates. The product
// hands it wire messages and gets typed ones, and the other way round.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/configuration.h"
#include "fleet/endpoint_registry.h"
#include "net/message.h"
#include "steps/step.h"

namespace hickorywood::fleet {

// --- Calls to the control group.

struct announce_call {
  heartbeat input;
};
struct leave_call {
  departure input;
};
struct put_configuration_call {
  configuration config;
  std::string text;  // as the operator sent it, for reading back
};
struct get_configuration_call {};
// A trainer names a new version of a model's weights.
struct publish_version_call {
  model_version published;
};
// An instance with data is to be emptied, and whether that is done.
struct retire_call {
  std::string instance;
  std::chrono::milliseconds duration{0};
};
struct retirement_status_call {
  std::string instance;
};
// What can't be read: the answer says why.
struct malformed_call {
  int status = 400;
  std::string reason;
};

using control_call =
    std::variant<malformed_call, announce_call, leave_call,
                 put_configuration_call, get_configuration_call,
                 publish_version_call, retire_call, retirement_status_call>;

// --- Calls about steps, which come to any entry.

struct read_results_call {
  std::string step;
  uint64_t after = 0;
  std::chrono::milliseconds wait{0};  // how long the answer may be held back
};
struct read_task_call {
  std::string step;
  std::string task;
};
struct end_step_call {
  std::string step;
};
// Not a call about a step that was submitted: a request for a route.
struct other_call {};
using step_call = std::variant<other_call, malformed_call, read_results_call,
                               read_task_call, end_step_call>;

// --- Calls to endpoints.

enum class swap_mode {
  kWait,    // runs finish first
  kCut,     // the streams of the runs are reset
  kRetain,  // runs go on under the new version
};

// Tells an endpoint to load a version of a model's weights.
struct load_order {
  std::string endpoint;  // name of the only one that may take it
  model_version target;
  swap_mode mode = swap_mode::kRetain;
  std::string holder;                         // who orders
  uint64_t fencing_token = 0;                 // rises with each leader
  std::optional<uint64_t> expected_sequence;  // orders that it took before
};

enum class order_outcome {
  kStarted,
  kAlreadyDone,
  kBusy,       // another order is under way, or the sequence differs
  kFenced,     // a higher token was seen
  kRefused,    // it can't be carried out
  kElsewhere,  // another endpoint has the address
};

// What an endpoint reports of itself; some hundred milliseconds old.
struct endpoint_report {
  std::optional<int64_t> started_ms;  // of the start that reports
  std::vector<model_version> models;
  bool is_busy = false;         // an order is being carried out
  uint64_t order_sequence = 0;  // orders taken so far
};

// What an endpoint adds to its answers about its load.
struct load_hint {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
};

// What a request to an endpoint carries beside what its caller sent.
struct dispatch_terms {
  std::chrono::milliseconds time_left{0};
  std::string endpoint;                // any other one refuses the request
  std::optional<uint64_t> last_event;  // resume after this event
  std::optional<int64_t> priority;     // 0 is first
};

// How an answer of an endpoint is to be read.
struct answer_marks {
  std::string request_id;   // the request that it belongs to
  bool is_not_run = false;  // the endpoint says that it did not run the request
  std::string signature;    // the endpoint's mark; empty: it bears none
  std::optional<load_hint> load;
  std::optional<uint64_t> weights_version;
  std::optional<std::chrono::seconds> idle_limit;

  bool IsSigned() const { return !signature.empty(); }
};

class protocol {
 public:
  virtual ~protocol() = default;

  virtual control_call DecodeControlCall(const net::request& input) const = 0;
  virtual net::response EncodeAcknowledgement(
      const std::string& heartbeat_address) const = 0;
  virtual net::response EncodeRetirement(bool is_done) const = 0;
  // A configuration as it is read back.
  virtual net::response EncodeConfiguration(const std::string& text) const = 0;
  // A failure of the system's own, with the reason in words.
  virtual net::response EncodeFailure(
      int status, const std::string& reason,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;

  virtual step_call DecodeStepCall(const net::request& input) const = 0;
  // Empty with the last reason when it can't be read.
  virtual std::optional<steps::submission> DecodeSubmission(
      const net::request& input) const = 0;
  virtual net::response EncodeResults(const steps::result_page& page) const = 0;
  virtual net::response EncodeTaskBody(const std::string& body) const = 0;

  virtual std::string RequestId(const net::request& input) const = 0;
  // How long the caller waits, where it says so.
  virtual std::optional<std::chrono::milliseconds> TimeLeft(
      const net::request& input) const = 0;
  // A caller's request as it goes to an endpoint.
  virtual net::request EncodeDispatch(const net::request& input,
                                      const dispatch_terms& terms) const = 0;
  // The header that names the request in requests and in answers.
  virtual net::header RequestIdHeader(const std::string& id) const = 0;
  // `task`: id of the task that `input` runs.
  virtual net::request EncodeTask(const steps::submission& step,
                                  const std::string& task,
                                  const steps::task_request& input,
                                  const dispatch_terms& terms) const = 0;
  // A reward request as a caller would send it.
  virtual net::request EncodeReward(
      const steps::reward_request& reward) const = 0;
  virtual answer_marks DecodeMarks(const net::response& answer) const = 0;
  // The version of weights that an event's lines name, where they name one.
  virtual std::optional<uint64_t> EventVersion(
      const std::string& field, const std::string& value) const = 0;
  // The number of output tokens that the caller expects of a task, or 0.
  virtual int64_t ExpectedTokens(const steps::task_request& input) const = 0;
  // The longest output that a task may have, in tokens, or 0.
  virtual int64_t LargestOutput(const steps::task_request& input) const = 0;

  virtual net::request EncodeOrder(const load_order& order) const = 0;
  virtual order_outcome DecodeOrderAnswer(int status) const = 0;
  virtual net::request EncodeReportCall(const std::string& endpoint) const = 0;
  virtual std::optional<endpoint_report> DecodeReport(
      const net::response& answer) const = 0;
};

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_PROTOCOL_H_
