#ifndef HICKORYWOOD_HICKORYD_STEP_SERVICE_STATE_H_
#define HICKORYWOOD_HICKORYD_STEP_SERVICE_STATE_H_

// State shared by the parts of step_service: running steps (step_service.cc),
// delivering batches (step_delivery.cc), and finding, opening and taking over
// steps (step_takeover.cc).

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryd/step_service.h"

namespace hickorywood::hickoryd {

constexpr int64_t kMaxWaitMs = 20000;
constexpr int64_t kMaxBatchSamples = 4096;
constexpr core::milliseconds kCommitLimit{5000};
constexpr core::milliseconds kFindLimit{10000};
constexpr core::milliseconds kPullRetryAfter{100};

struct step_service::waiting_pull {
  pull_request request;
  completion done;
  core::time_point arrived_at{};
  // Answered with an empty batch if no batch is available by then.
  core::time_point answer_at{};
};

// A committed or proposed batch with the bodies that match its digests. The
// bodies are kept here because a deposed coordinator that still runs may
// overwrite the stored ones with its own.
struct step_service::proposed_batch {
  control::batch_record record;
  held_bodies bodies;
};

struct step_service::coordinated_step {
  std::string key;
  rollout::step_run run;
  std::string backup;  // instance with the second copies; empty: not chosen yet
  std::vector<control::batch_record> batches;  // committed, by cursor
  std::shared_ptr<const proposed_batch> last;  // until it is acknowledged
  uint64_t acknowledged = 0;
  int64_t trainer_version = 0;
  std::map<uint64_t, uint64_t> generations;  // generation service id by attempt
  std::vector<int64_t> to_replicate;
  bool is_copying = false;
  bool is_committing = false;
  bool is_stopped = false;
  std::vector<waiting_pull> pulls;
  core::time_point last_answer_at{};
};

// A take-over in progress.
struct step_service::take_over {
  std::string key;
  pull_request request;
  control::step_record record;
  core::time_point retry_until{};
  held_bodies found;
  std::string backup;
  size_t answers_missing = 0;
};

// The final status of a step, as stored in its record.
constexpr int kEndComplete = 200;
constexpr int kEndPartial = 206;
constexpr int kEndDeadlineMissed = 504;

// The response to a pull of a step that has ended.
step_reply EndReply(uint64_t cursor, int end_status);

// The JSON of a batch without samples.
std::string EmptyBatch(uint64_t cursor, bool is_done, bool is_partial);

step_reply FailureReply(int status, const std::string& outcome,
                        const std::string& reason,
                        core::milliseconds retry_after);

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_STEP_SERVICE_STATE_H_
