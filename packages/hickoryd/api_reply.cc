#include "hickoryd/api_reply.h"

#include <utility>
#include <vector>

#include "hickoryd/step_service.h"

namespace hickorywood::hickoryd {
namespace {

// Returns the headers of a failure. A header without a value is left out, since
// ReplyStep() uses this function for successful responses too, which have no
// outcome.
std::vector<transport::http_header> FailureHeaders(
    const std::string& outcome, core::milliseconds retry_after) {
  std::vector<transport::http_header> headers;
  if (!outcome.empty()) headers.push_back({kOutcomeHeader, outcome});
  if (retry_after.count() > 0) {
    headers.push_back({"Retry-After", RetryAfterSeconds(retry_after)});
  }
  return headers;
}

}  // namespace

void ReplyJson(const exchange_ptr& exchange, int status,
               const std::string& body) {
  exchange->Reply(status, {}, kJsonType, body);
}

std::string RetryAfterSeconds(core::milliseconds time) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(time).count());
}

void ReplyStep(const exchange_ptr& exchange, const step_reply& reply) {
  exchange->Reply(reply.status,
                  FailureHeaders(reply.outcome, reply.retry_after), kJsonType,
                  reply.body);
}

void ReplyFailure(const exchange_ptr& exchange, int status,
                  request_outcome outcome, const std::string& reason,
                  core::milliseconds retry_after) {
  const nlohmann::json tree = {{"outcome", OutcomeName(outcome)},
                               {"reason", reason},
                               {"retry_after_ms", retry_after.count()}};
  const std::vector<transport::http_header> headers =
      FailureHeaders(OutcomeName(outcome), retry_after);
  exchange->Reply(
      status, headers, kJsonType,
      tree.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void ReplyInvalid(const exchange_ptr& exchange, const std::string& reason) {
  ReplyFailure(exchange, 400, request_outcome::kNotRun, reason,
               core::milliseconds(0));
}

void RunOn(core::event_loop& loop, const exchange_ptr& exchange,
           core::event_loop::task work) {
  if (loop.Post(std::move(work))) return;
  ReplyFailure(exchange, 503, request_outcome::kNotRun, "the queue is full",
               core::milliseconds(1000));
}

}  // namespace hickorywood::hickoryd
