#ifndef HICKORYWOOD_FLEET_PROTOCOL_H_
#define HICKORYWOOD_FLEET_PROTOCOL_H_

// The interface of a protocol adapter, which translates the messages of
// callers, operators, trainers and endpoints between their wire format and
// these types. All decisions are made outside the adapter.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/configuration.h"
#include "fleet/endpoint_registry.h"
#include "fleet/usage.h"
#include "net/message.h"
#include "steps/step.h"

namespace hickorywood::fleet {

struct announce_call {
  heartbeat input;
};
struct leave_call {
  departure input;
};
struct put_configuration_call {
  configuration config;
  std::string text;  // as received from the operator; returned by a read
};
struct get_configuration_call {};
// A trainer publishes a new version of the weights of a model.
struct publish_version_call {
  model_version published;
};
// Requests to empty an instance that stores data.
struct retire_call {
  std::string instance;
  std::chrono::milliseconds duration{0};
};
// Reads whether the retirement of an instance is complete.
struct retirement_status_call {
  std::string instance;
};
// A request that can't be decoded; the response contains the reason.
struct malformed_call {
  int status = 400;
  std::string reason;
};

using control_call =
    std::variant<malformed_call, announce_call, leave_call,
                 put_configuration_call, get_configuration_call,
                 publish_version_call, retire_call, retirement_status_call>;

// Calls about submitted steps. Any entry accepts them.

struct read_results_call {
  std::string step;
  uint64_t after = 0;  // position of the first result to return, from 0
  std::chrono::milliseconds wait{0};  // how long to wait for a result
};
struct read_task_call {
  std::string step;
  std::string task;
};
struct end_step_call {
  std::string step;
};
// A request that is not about a submitted step, but for a route.
struct other_call {};
using step_call = std::variant<other_call, malformed_call, read_results_call,
                               read_task_call, end_step_call>;

// What happens to the running requests of an endpoint when it loads new
// weights.
enum class swap_mode {
  kWait,    // the requests finish before the weights are loaded
  kCut,     // the streams of the requests are reset
  kRetain,  // the requests continue with the new version
};

// Orders an endpoint to load a version of the weights of a model.
struct load_order {
  std::string endpoint;  // the only endpoint that may accept the order
  model_version target;
  swap_mode mode = swap_mode::kRetain;
  std::string holder;          // instance that sends the order
  uint64_t fencing_token = 0;  // increases with each leader
  // Number of orders that the endpoint must have accepted before; empty: the
  // order contains no such condition.
  std::optional<uint64_t> expected_sequence;
};

enum class order_outcome {
  kStarted,
  kAlreadyDone,
  kBusy,       // another order is in progress, or `expected_sequence` differs
  kFenced,     // the endpoint has received a higher token
  kRefused,    // the order can't be executed
  kElsewhere,  // another endpoint has the address
};

// Reports the usage of a window to the provider.
struct usage_report {
  usage_window usage;
  std::string holder;  // instance that sends the report
  uint64_t fencing_token = 0;
};

enum class report_outcome {
  kAccepted,
  kFenced,    // the provider has received a higher token
  kRejected,  // not accepted; a later attempt may be
};

// Orders a number of servers of one kind from the provider.
struct server_order {
  std::string service;
  std::string zone;
  bool is_spot = false;
  int64_t count = 0;   // that are to run in the zone
  std::string holder;  // instance that sends the order
  uint64_t fencing_token = 0;
};

enum class server_order_outcome {
  kAccepted,
  // None are available there at the moment, or the provider has received a
  // higher token. Its answer does not distinguish the two.
  kUnavailable,
  kTooManyCalls,
  kRejected,  // not accepted; a later attempt may be
};

// The state that an endpoint reports on request. The state is a few hundred
// milliseconds old.
struct endpoint_report {
  std::optional<int64_t> started_ms;  // start of the reporting incarnation
  std::vector<model_version> models;
  bool is_busy = false;         // the endpoint is executing an order
  uint64_t order_sequence = 0;  // number of orders accepted so far
};

// The load that an endpoint reports with its responses.
struct load_hint {
  int64_t running = 0;  // requests that are running
  int64_t waiting = 0;  // requests that are waiting
  int64_t slots = 0;
  // How long work takes on its machine at the moment, in percent of the usual
  // time; 0: the endpoint does not report it. It changes many times a second.
  int64_t pace = 0;
};

// The values that are added to a request to an endpoint.
struct dispatch_terms {
  std::chrono::milliseconds time_left{0};
  std::string endpoint;                // any other endpoint rejects the request
  std::optional<uint64_t> last_event;  // the endpoint resumes after this event
  std::optional<int64_t> priority;     // 0 is the most urgent
  // Customer on whose behalf the request runs. If set, the caller's own
  // statements on it are removed: its key and the name of a customer. Empty
  // name: there is none.
  std::optional<std::string> customer;
};

// The metadata of a response of an endpoint.
struct answer_marks {
  std::string request_id;   // the request that the response belongs to
  bool is_not_run = false;  // the endpoint did not run the request
  std::string signature;    // empty: the response has none
  std::optional<load_hint> load;
  std::optional<uint64_t> weights_version;
  // Keep-alive timeout of the connection, if the response contains it.
  std::optional<std::chrono::seconds> idle_limit;

  bool IsSigned() const { return !signature.empty(); }
};

class protocol {
 public:
  virtual ~protocol() = default;

  virtual control_call DecodeControlCall(const net::request& input) const = 0;
  // Encodes the response to an accepted call. An empty `heartbeat_address` is
  // left out of the response.
  virtual net::response EncodeAcknowledgement(
      const std::string& heartbeat_address) const = 0;
  virtual net::response EncodeRetirement(bool is_done) const = 0;
  // The response to a read of the configuration.
  virtual net::response EncodeConfiguration(const std::string& text) const = 0;
  // Encodes a failure response that this service creates, with the reason as
  // text and, if `retry_after` is set, the time after which to retry.
  virtual net::response EncodeFailure(
      int status, const std::string& reason,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;

  virtual step_call DecodeStepCall(const net::request& input) const = 0;
  // Returns nothing and sets the last reason if `input` can't be decoded
  // (kInvalid), or not with `memory` bytes beside its body (kTooLarge).
  virtual std::optional<steps::submission> DecodeSubmission(
      const net::request& input, size_t memory) const = 0;
  virtual net::response EncodeResults(const steps::result_page& page) const = 0;
  virtual net::response EncodeTaskBody(const std::string& body) const = 0;

  virtual std::string RequestId(const net::request& input) const = 0;
  // The key with which the caller identifies its customer, or empty.
  virtual std::string CallerKey(const net::request& input) const = 0;
  // Returns the time for which the caller still waits, or nothing if the
  // request doesn't contain it.
  virtual std::optional<std::chrono::milliseconds> TimeLeft(
      const net::request& input) const = 0;
  // Encodes the request of a caller as a request to an endpoint.
  virtual net::request EncodeDispatch(const net::request& input,
                                      const dispatch_terms& terms) const = 0;
  // The header with the id of the request, in requests and responses.
  virtual net::header RequestIdHeader(const std::string& id) const = 0;
  // Encodes a task of `step` as a request to an endpoint, with the task id
  // `task` as the id of the request.
  virtual net::request EncodeTask(const steps::submission& step,
                                  const std::string& task,
                                  const steps::task_request& input,
                                  const dispatch_terms& terms) const = 0;
  // Encodes a reward request in the form in which a caller would send it.
  virtual net::request EncodeReward(
      const steps::reward_request& reward) const = 0;
  virtual answer_marks DecodeMarks(const net::response& answer) const = 0;
  // Returns the version of the weights in a field of an event, or nothing if
  // the field doesn't contain it.
  virtual std::optional<uint64_t> EventVersion(
      const std::string& field, const std::string& value) const = 0;
  // Returns the number of output tokens that the caller expects of a task, or 0
  // if the request doesn't contain it.
  virtual int64_t ExpectedTokens(const steps::task_request& input) const = 0;
  // Returns the maximum length of the output of a task in tokens, or 0 if the
  // request doesn't contain it.
  virtual int64_t LargestOutput(const steps::task_request& input) const = 0;

  virtual net::request EncodeOrder(const load_order& order) const = 0;
  // `status`: HTTP status of the response to an order.
  virtual order_outcome DecodeOrderAnswer(int status) const = 0;
  virtual net::request EncodeUsageReport(const usage_report& report) const = 0;
  // `status`: HTTP status of the response to a report of usage.
  virtual report_outcome DecodeUsageAnswer(int status) const = 0;
  virtual net::request EncodeServerOrder(const server_order& order) const = 0;
  // `status`: HTTP status of the response to an order of servers.
  virtual server_order_outcome DecodeServerOrderAnswer(int status) const = 0;
  virtual net::request EncodeReportCall(const std::string& endpoint) const = 0;
  virtual std::optional<endpoint_report> DecodeReport(
      const net::response& answer) const = 0;
};

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_PROTOCOL_H_
