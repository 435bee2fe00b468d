#ifndef HICKORYWOOD_HICKORYD_API_REPLY_H_
#define HICKORYWOOD_HICKORYD_API_REPLY_H_

// Helpers that send the responses that hickoryd creates, as opposed to those
// that it passes through from an endpoint.

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "core/event_loop.h"
#include "core/json.h"
#include "hickoryd/generation_service.h"
#include "transport/http_server.h"

namespace hickorywood::hickoryd {

struct step_reply;

using exchange_ptr = std::shared_ptr<transport::http_exchange>;

constexpr char kJsonType[] = "application/json";
constexpr char kOutcomeHeader[] = "Hickory-Outcome";

void ReplyJson(const exchange_ptr& exchange, int status,
               const std::string& body);

// Sends a failure with the body {"outcome", "reason", "retry_after_ms"} and the
// header Hickory-Outcome. If `retry_after` is positive, the header Retry-After
// is set too, in seconds.
void ReplyFailure(const exchange_ptr& exchange, int status,
                  request_outcome outcome, const std::string& reason,
                  core::milliseconds retry_after);

// Sends the response to a step request. A failure gets the headers that
// ReplyFailure() sets.
void ReplyStep(const exchange_ptr& exchange, const step_reply& reply);

// Rejects malformed input: status 400, "not_run".
void ReplyInvalid(const exchange_ptr& exchange, const std::string& reason);

// The value of Retry-After for `time`: in seconds, rounded up.
std::string RetryAfterSeconds(core::milliseconds time);

// Runs `work` on `loop`. If the queue of `loop` is full or `loop` is stopping,
// responds with status 503 and the outcome "not_run" instead.
void RunOn(core::event_loop& loop, const exchange_ptr& exchange,
           core::event_loop::task work);

// Returns the request body decoded into T. If the body is malformed, responds
// with status 400 and returns nothing.
template <typename T>
std::optional<T> DecodeBody(const exchange_ptr& exchange) {
  std::optional<T> value = core::Decode<T>(exchange->Body());
  if (!value) ReplyInvalid(exchange, core::LastReason().text);
  return value;
}

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_API_REPLY_H_
