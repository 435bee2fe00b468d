#include "entry/step_gateway.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "core/binary.h"
#include "core/events.h"
#include "core/ids.h"
#include "peering/failure_answer.h"

namespace hickorywood::entry {
namespace {

using boost::asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using peering::call_outcome;
using peering::envelope;

// Time limits of a submission and of one attempt. The total covers an election
// of the leader and one retry.
constexpr milliseconds kOpenTimeout{3000};
constexpr milliseconds kOpenAttemptTimeout{1200};
// The same of a submission that is sent in parts, each of which is committed.
constexpr milliseconds kOpenInPartsTimeout{20000};
// Bodies above this size are sent in parts.
constexpr size_t kMaxMessageBytes = 1024UL * 1024;
constexpr size_t kPartBytes = 512UL * 1024;
constexpr milliseconds kEndTimeout{1800};
constexpr milliseconds kEndAttemptTimeout{800};
// The leader delays its answer to a read until results arrive, for at most the
// wait that the caller allows. The additional time allows one more attempt,
// with another leader; after that the caller polls again.
constexpr milliseconds kReadTimeoutSlack{900};
constexpr milliseconds kReadAttemptSlack{500};
constexpr milliseconds kMaxWait{5000};
constexpr milliseconds kRetryAfter{300};
constexpr uint64_t kMaxPageBytes = 900 * 1000;
constexpr int kTooLarge = 413;

}  // namespace

step_gateway::step_gateway(const core::runtime_clock& clock,
                           const fleet::protocol& wire,
                           peering::leader_caller& caller, size_t decode_memory)
    : clock_(clock),
      wire_(wire),
      caller_(caller),
      decode_memory_(decode_memory) {}

net::response step_gateway::FailureOf(const envelope& answer) const {
  return peering::EncodeFailure(wire_, answer, kRetryAfter);
}

awaitable<void> step_gateway::Open(net::exchange& call,
                                   steps::accepted_route route,
                                   std::string customer) {
  auto submission = wire_.DecodeSubmission(call.Request(), decode_memory_);
  if (!submission) {
    const core::reason& why = core::LastReason();
    const bool is_too_large = why.code == core::reason_code::kTooLarge;
    co_await call.Reply(wire_.EncodeFailure(is_too_large ? kTooLarge : 400,
                                            why.text, std::nullopt));
    co_return;
  }
  const bool is_large = call.Request().body.size() > kMaxMessageBytes;
  if (is_large) call.ReleaseBody();
  submission->route = std::move(route);
  submission->customer = std::move(customer);
  const core::time_point started = clock_.Now();
  const size_t tasks = submission->tasks.size();
  envelope answer;
  if (is_large) {
    answer = co_await SendInParts(*submission);
  } else {
    answer = co_await caller_.Call(peering::kOpenStepMethod,
                                   core::EncodeBinary(*submission),
                                   started + kOpenTimeout, kOpenAttemptTimeout);
  }
  const bool is_accepted = answer.outcome == call_outcome::kDone;
  const auto took =
      std::chrono::duration_cast<milliseconds>(clock_.Now() - started);
  LogEvent(is_accepted ? event_id::kStepOpened : event_id::kRequestRefused,
           {{"step", submission->id},
            {"customer", submission->customer},
            {"prefix", submission->route.prefix},
            {"tasks", std::to_string(tasks)},
            {"number", std::to_string(submission->number)},
            {"reason", answer.reason},
            {"ms", std::to_string(took.count())}});
  net::response reply = FailureOf(answer);
  if (is_accepted) {
    reply = wire_.EncodeAcknowledgement("");
    reply.status = 202;
  }
  co_await call.Reply(std::move(reply));
}

awaitable<bool> step_gateway::SendPart(steps::staged_part& part,
                                       core::time_point deadline,
                                       envelope& failure) {
  failure = co_await caller_.Call(peering::kStageTasksMethod,
                                  core::EncodeBinary(part), deadline,
                                  kOpenAttemptTimeout);
  if (failure.outcome != call_outcome::kDone) {
    // No task of the submission runs.
    if (failure.outcome == call_outcome::kUnknown) {
      failure.outcome = call_outcome::kUnavailable;
    }
    co_return false;
  }
  part.offset += part.bytes.size();
  part.bytes.clear();
  co_return true;
}

awaitable<envelope> step_gateway::SendInParts(steps::submission& input) {
  const core::time_point deadline = clock_.Now() + kOpenInPartsTimeout;
  steps::staged_part part;
  part.submission = core::RandomId();
  envelope answer;
  for (steps::task& item : input.tasks) {
    const steps::encoded_task encoded = steps::EncodeTask(std::move(item));
    item = steps::task();
    const std::array<std::string_view, 3> pieces = {encoded.head, encoded.body,
                                                    encoded.reward_body};
    for (std::string_view piece : pieces) {
      while (!piece.empty()) {
        const size_t room = kPartBytes - part.bytes.size();
        part.bytes += piece.substr(0, room);
        piece.remove_prefix(std::min(room, piece.size()));
        if (part.bytes.size() < kPartBytes) continue;
        const bool is_stored = co_await SendPart(part, deadline, answer);
        if (!is_stored) co_return answer;
      }
    }
  }
  if (!part.bytes.empty()) {
    const bool is_stored = co_await SendPart(part, deadline, answer);
    if (!is_stored) co_return answer;
  }
  input.tasks.clear();
  steps::staged_submission opening;
  opening.input = input;
  opening.staged = part.submission;
  opening.bytes = part.offset;
  co_return co_await caller_.Call(peering::kOpenStagedStepMethod,
                                  core::EncodeBinary(opening), deadline,
                                  kOpenAttemptTimeout);
}

awaitable<void> step_gateway::Serve(net::exchange& call, fleet::step_call input,
                                    std::string customer) {
  net::response answer;
  if (auto* read = std::get_if<fleet::read_results_call>(&input)) {
    answer = co_await Read(std::move(*read), std::move(customer));
  } else if (auto* task = std::get_if<fleet::read_task_call>(&input)) {
    answer = co_await ReadTask(std::move(*task), std::move(customer));
  } else if (auto* end = std::get_if<fleet::end_step_call>(&input)) {
    answer = co_await End(std::move(*end), std::move(customer));
  } else if (auto* bad = std::get_if<fleet::malformed_call>(&input)) {
    answer = wire_.EncodeFailure(bad->status, bad->reason, std::nullopt);
  }
  co_await call.Reply(std::move(answer));
}

awaitable<net::response> step_gateway::Read(fleet::read_results_call input,
                                            std::string customer) {
  const milliseconds wait = std::min(input.wait, kMaxWait);
  peering::read_results_request request;
  request.step = std::move(input.step);
  request.customer = std::move(customer);
  request.after = input.after;
  request.wait_ms = wait.count();
  request.page_bytes = kMaxPageBytes;
  envelope answer = co_await caller_.Call(
      peering::kReadResultsMethod, core::EncodeBinary(request),
      clock_.Now() + wait + kReadTimeoutSlack, wait + kReadAttemptSlack);
  // A read changes no state, so its caller may retry it when the outcome is
  // unknown.
  if (answer.outcome == call_outcome::kUnknown) {
    answer.outcome = call_outcome::kUnavailable;
  }
  if (answer.outcome != call_outcome::kDone) co_return FailureOf(answer);
  const auto page = core::DecodeBinary<steps::result_page>(answer.payload);
  if (!page) {
    co_return wire_.EncodeFailure(503, core::LastReason().text, kRetryAfter);
  }
  co_return wire_.EncodeResults(*page);
}

awaitable<net::response> step_gateway::ReadTask(fleet::read_task_call input,
                                                std::string customer) {
  const peering::read_task_request request{input.step, input.task,
                                           std::move(customer)};
  envelope answer = co_await caller_.Call(
      peering::kReadTaskMethod, core::EncodeBinary(request),
      clock_.Now() + kReadTimeoutSlack, kReadAttemptSlack);
  if (answer.outcome == call_outcome::kUnknown) {
    answer.outcome = call_outcome::kUnavailable;
  }
  net::response reply = answer.outcome == call_outcome::kDone
                            ? wire_.EncodeTaskBody(answer.payload)
                            : FailureOf(answer);
  LogEvent(event_id::kTaskBodyRead,
           {{"step", input.step},
            {"task", input.task},
            {"status", std::to_string(reply.status)},
            {"bytes", std::to_string(answer.payload.size())},
            {"reason", answer.reason}});
  co_return reply;
}

awaitable<net::response> step_gateway::End(fleet::end_step_call input,
                                           std::string customer) {
  const peering::end_step_request request{input.step, std::move(customer)};
  const envelope answer = co_await caller_.Call(
      peering::kEndStepMethod, core::EncodeBinary(request),
      clock_.Now() + kEndTimeout, kEndAttemptTimeout);
  if (answer.outcome != call_outcome::kDone) co_return FailureOf(answer);
  co_return wire_.EncodeAcknowledgement("");
}

}  // namespace hickorywood::entry
