#include "net/call.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

#include "core/events.h"
#include "core/reason.h"

namespace hickorywood::net {
namespace {

using boost::asio::awaitable;
using core::time_point;

// Size above which a mismatched answer is not read to its end.
constexpr size_t kMaxSkippedBytes = 1024 * 1024;
// Mismatched answers after which no further one is read. An endpoint that
// answers twice sends one for each earlier request of the connection.
constexpr int kMaxSkippedAnswers = 16;
// Limit of a body that doesn't state its length, which may have no end. Several
// of them must fit in the memory of a small instance.
constexpr size_t kMaxUnsizedBytes = 8UL * 1024 * 1024;

void LogMismatchedAnswer(const connection& from, const header& id,
                         const response& head) {
  core::LogEvent(core::event_id::kMismatchedAnswer,
                 {{"request", id.value},
                  {"found", std::string(Find(head.headers, id.name))},
                  {"status", std::to_string(head.status)},
                  {"address", from.Address()},
                  {"reused", from.IsReused() ? "true" : "false"}});
}

// Reads a body to its end and discards it.
awaitable<bool> SkipBody(connection& from, time_point deadline) {
  std::string body;
  body_state state = body_state::kMore;
  while (state == body_state::kMore && body.size() <= kMaxSkippedBytes) {
    state = co_await from.ReadSome(body, deadline);
  }
  co_return state == body_state::kEnd;
}

// Returns the limit of the body after `head`, or nothing if the body states a
// length above `limit`.
std::optional<size_t> BodyLimitOf(const response& head, size_t limit) {
  if (!Has(head.headers, "Content-Length")) {
    return std::min(limit, kMaxUnsizedBytes);
  }
  size_t length = 0;
  const std::string_view text = Find(head.headers, "Content-Length");
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  if (failure != std::errc() || length > limit) return std::nullopt;
  return limit;
}

awaitable<bool> ReadAnswer(connection& from, const call_options& options,
                           response& answer) {
  const bool has_head =
      co_await ReadOwnHead(from, options.expected, options.deadline, answer);
  if (!has_head) co_return false;
  const std::optional<size_t> limit = BodyLimitOf(answer, options.body_limit);
  body_state state = body_state::kMore;
  while (state == body_state::kMore) {
    if (!limit || answer.body.size() > *limit) {
      from.SetError("the body of the answer is too long");
      co_return false;
    }
    state = co_await from.ReadSome(answer.body, options.deadline);
  }
  co_return state == body_state::kEnd;
}

}  // namespace

awaitable<bool> ReadOwnHead(connection& from, const header& id,
                            time_point deadline, response& head) {
  bool is_first = !from.IsReused();
  for (int skipped = 0;; ++skipped) {
    const bool has_head = co_await from.ReadHead(head, deadline);
    if (!has_head) co_return false;
    const std::string_view found = Find(head.headers, id.name);
    if (!found.empty() && found == id.value) {
      from.MarkIdentified();
      co_return true;
    }
    if (found.empty() && is_first) co_return true;
    LogMismatchedAnswer(from, id, head);
    // After an answer without a known end, the next answer can't be located.
    const bool may_follow =
        !found.empty() && from.IsFramed() && skipped < kMaxSkippedAnswers;
    const bool is_skipped = may_follow && co_await SkipBody(from, deadline);
    if (!is_skipped) {
      from.SetError("received an answer that may belong to another request");
      co_return false;
    }
    is_first = false;
  }
}

awaitable<call_result> Call(connection_pool& pool, const std::string& address,
                            const request& input, const call_options& options) {
  call_result result;
  acquire_terms terms;
  terms.needs_fresh = options.needs_fresh;
  terms.request_id = options.expected.value;
  std::unique_ptr<connection> open = co_await pool.Acquire(
      address, options.connect_deadline, std::move(terms));
  if (!open) {
    result.error = core::LastReason().text;
    co_return result;
  }
  result.how = progress::kMaybeSent;
  bool is_complete = co_await open->Write(input, options.deadline);
  if (is_complete) {
    is_complete = co_await ReadAnswer(*open, options, result.answer);
  }
  if (!is_complete) {
    result.answer = response{.status = 0};
    result.error = open->Error();
    result.is_invalid = open->HasInvalidResponse();
    result.is_timeout = std::chrono::steady_clock::now() >= options.deadline;
    co_return result;
  }
  result.how = progress::kAnswered;
  pool.Release(std::move(open));
  co_return result;
}

}  // namespace hickorywood::net
