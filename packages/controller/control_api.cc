#include "controller/control_api.h"

#include <utility>

#include "controller/call_limits.h"
#include "core/binary.h"
#include "core/events.h"
#include "peering/failure_answer.h"

namespace hickorywood::controller {
namespace {

using boost::asio::awaitable;
using core::milliseconds;
using peering::call_outcome;
using peering::envelope;

constexpr milliseconds kRetryAfter{200};
// Parts of the native operator API: the paths are the same on every platform.
constexpr std::string_view kQuarantinePath = "/hickory/v1/quarantine";
constexpr std::string_view kScalingPath = "/hickory/v1/scaling";
constexpr std::string_view kUsagePath = "/hickory/v1/usage";
constexpr int kNotFound = 404;

}  // namespace

control_api::control_api(const fleet::protocol& wire,
                         peering::leader_caller& caller,
                         heartbeat_forwarder& heartbeats)
    : wire_(wire), caller_(caller), heartbeats_(heartbeats) {}

awaitable<void> control_api::Serve(net::exchange& call) {
  net::response answer = co_await Answer(call.Request());
  co_await call.Reply(std::move(answer));
}

net::response control_api::FailureOf(const envelope& answer) const {
  return peering::EncodeFailure(wire_, answer, kRetryAfter);
}

awaitable<net::response> control_api::Forward(std::string method,
                                              std::string payload) {
  const core::time_point deadline =
      std::chrono::steady_clock::now() + kForwardTimeout;
  const envelope answer = co_await caller_.Call(
      std::move(method), std::move(payload), deadline, kAttemptTimeout);
  if (answer.outcome != call_outcome::kDone) co_return FailureOf(answer);
  co_return wire_.EncodeAcknowledgement("");
}

awaitable<net::response> control_api::ListQuarantine() {
  const envelope answer = co_await caller_.Call(
      peering::kWarningsMethod, "",
      std::chrono::steady_clock::now() + kForwardTimeout, kAttemptTimeout);
  const auto held =
      answer.outcome == call_outcome::kDone
          ? core::DecodeBinary<peering::warning_list>(answer.payload)
          : std::optional<peering::warning_list>();
  if (!held) co_return FailureOf(answer);
  net::response list;
  list.headers = {{"Content-Type", "application/json"}};
  list.body = nlohmann::json(*held).dump();
  co_return list;
}

awaitable<net::response> control_api::AnswerRead(std::string method) {
  const envelope answer = co_await caller_.Call(
      std::move(method), "", std::chrono::steady_clock::now() + kForwardTimeout,
      kAttemptTimeout);
  if (answer.outcome != call_outcome::kDone) co_return FailureOf(answer);
  net::response reply;
  reply.headers = {{"Content-Type", "application/json"}};
  reply.body = answer.payload;
  co_return reply;
}

awaitable<net::response> control_api::AnswerQuarantine(
    const net::request& input) {
  const std::string_view path = net::PathOf(input.target);
  if (input.method == "GET" && path == kQuarantinePath) {
    co_return co_await ListQuarantine();
  }
  const bool has_digest = path.size() > kQuarantinePath.size() + 1;
  if (input.method != "DELETE" || !has_digest) {
    co_return wire_.EncodeFailure(kNotFound, "no such path", std::nullopt);
  }
  const std::string digest(path.substr(kQuarantinePath.size() + 1));
  co_return co_await Forward(peering::kLiftMethod, peering::EncodeName(digest));
}

awaitable<net::response> control_api::Answer(const net::request& input) {
  if (input.target.starts_with(kQuarantinePath)) {
    co_return co_await AnswerQuarantine(input);
  }
  if (input.method == "GET" && input.target == kScalingPath) {
    co_return co_await AnswerRead(peering::kScalingMethod);
  }
  if (input.method == "GET" && input.target == kUsagePath) {
    co_return co_await AnswerRead(peering::kUsageMethod);
  }
  fleet::control_call call = wire_.DecodeControlCall(input);
  if (auto* bad = std::get_if<fleet::malformed_call>(&call)) {
    core::LogEvent(core::event_id::kRequestRefused,
                   {{"target", input.target}, {"reason", bad->reason}});
    co_return wire_.EncodeFailure(bad->status, bad->reason, std::nullopt);
  }
  if (auto* beat = std::get_if<fleet::announce_call>(&call)) {
    const std::string endpoint = beat->input.name;
    const envelope reply = co_await heartbeats_.Forward(std::move(beat->input));
    if (reply.outcome != call_outcome::kDone) co_return FailureOf(reply);
    co_return wire_.EncodeAcknowledgement(heartbeat_address(endpoint));
  }
  if (auto* leave = std::get_if<fleet::leave_call>(&call)) {
    co_return co_await Forward(peering::kLeaveMethod,
                               core::EncodeBinary(leave->input));
  }
  if (auto* put = std::get_if<fleet::put_configuration_call>(&call)) {
    peering::configuration_text payload;
    payload.config = std::move(put->config);
    payload.text = std::move(put->text);
    co_return co_await Forward(peering::kPutConfigurationMethod,
                               core::EncodeBinary(payload));
  }
  if (auto* publish = std::get_if<fleet::publish_version_call>(&call)) {
    co_return co_await Forward(peering::kPublishVersionMethod,
                               core::EncodeBinary(publish->published));
  }
  if (std::holds_alternative<fleet::get_configuration_call>(call)) {
    const core::time_point deadline =
        std::chrono::steady_clock::now() + kForwardTimeout;
    const envelope answer = co_await caller_.Call(
        peering::kGetConfigurationMethod, "", deadline, kAttemptTimeout);
    const auto held =
        answer.outcome == call_outcome::kDone
            ? core::DecodeBinary<peering::configuration_text>(answer.payload)
            : std::optional<peering::configuration_text>();
    if (!held) co_return FailureOf(answer);
    co_return wire_.EncodeConfiguration(held->text);
  }
  if (auto* retire = std::get_if<fleet::retire_call>(&call)) {
    co_return co_await Forward(peering::kRetireMethod,
                               peering::EncodeName(retire->instance));
  }
  const auto& status = std::get<fleet::retirement_status_call>(call);
  const envelope answer = co_await caller_.Call(
      peering::kRetirementMethod, peering::EncodeName(status.instance),
      std::chrono::steady_clock::now() + kForwardTimeout, kAttemptTimeout);
  const auto done =
      answer.outcome == call_outcome::kDone
          ? core::DecodeBinary<peering::flag_answer>(answer.payload)
          : std::optional<peering::flag_answer>();
  if (!done) co_return FailureOf(answer);
  co_return wire_.EncodeRetirement(done->is_set);
}

}  // namespace hickorywood::controller
