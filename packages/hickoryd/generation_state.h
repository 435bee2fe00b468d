#ifndef HICKORYWOOD_HICKORYD_GENERATION_STATE_H_
#define HICKORYWOOD_HICKORYD_GENERATION_STATE_H_

// State shared by the two parts of generation_service: queueing and engine
// choice (generation_service.cc), and the attempts on engines
// (generation_attempt.cc).

#include <cstdint>
#include <string>

#include "hickoryd/generation_service.h"

namespace hickorywood::hickoryd {

constexpr core::milliseconds kNoEngineRetryAfter{1000};

struct generation_service::generation {
  uint64_t id = 0;
  generation_request request;
  generation_callbacks callbacks;
  rollout::generated_text generated;
  std::string finish_reason;
  bool is_queued = false;
  core::time_point not_before{};  // while queued: earliest time of dispatch
  core::time_point arrived_at{};
  int failures = 0;
  bool was_maybe_sent = false;
  std::string target;  // identifies the request together with the prompt

  // The current attempt.
  uint64_t attempt = 0;
  uint64_t transfer = 0;  // id in the HTTP client; 0: none
  std::string engine;
  // The announcement of the engine when it was chosen.
  membership::announcement announced;
  std::string attempt_id;  // request id sent to the engine
  int status = 0;
  bool has_end_mark = false;
  transport::completion_stream stream;
  core::time_point attempt_started_at{};
  core::time_point progress_at{};
  int64_t attempt_first_token = 0;
};

inline quarantine::request_identity generation_service::IdentityOf(
    const generation& item) {
  const bool is_sample = item.request.kind == routing::traffic_class::kRollout;
  return {item.request.pool, "POST", item.target, item.request.prompt,
          is_sample};
}

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_GENERATION_STATE_H_
