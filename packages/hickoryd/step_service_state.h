#ifndef HICKORYWOOD_HICKORYD_STEP_SERVICE_STATE_H_
#define HICKORYWOOD_HICKORYD_STEP_SERVICE_STATE_H_

// State shared by the two halves of step_service: running steps
// (step_service.cc) and finding, opening and taking them over
// (step_takeover.cc).

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryd/step_service.h"

namespace hickorywood::hickoryd {

constexpr int64_t kLongestWaitMs = 20000;
constexpr int64_t kMostBatch = 4096;
constexpr core::milliseconds kCommitLimit{5000};
constexpr core::milliseconds kFindLimit{10000};
constexpr core::milliseconds kPullRetryAfter{100};

struct step_service::waiting_pull {
  pull_request request;
  completion done;
  core::time_point arrived_at{};
  core::time_point
      answer_at{};  // with an empty batch, if there is none by then
};

// A batch that is committed or on its way, with the bodies that its digests are
// of. A coordinator that was deposed and goes on may put its own bodies in the
// place of the held ones.
struct step_service::proposed_batch {
  control::batch_record record;
  held_bodies bodies;
};

struct step_service::coordinated_step {
  std::string key;
  rollout::step_run run;
  std::string backup;  // instance with the second copies; empty: to be chosen
  std::vector<control::batch_record> batches;  // committed, by cursor
  std::shared_ptr<const proposed_batch> last;  // of them, until acknowledged
  uint64_t acknowledged = 0;
  int64_t trainer_version = 0;
  std::map<uint64_t, uint64_t>
      generations;  // by attempt: id at the generation service
  std::vector<int64_t> to_replicate;
  bool is_copying = false;
  bool is_committing = false;
  bool is_dropped = false;
  std::vector<waiting_pull> pulls;
  core::time_point last_answer_at{};
};

// A take-over under way.
struct step_service::take_over {
  std::string key;
  pull_request request;
  control::step_record record;
  core::time_point give_up_at{};
  held_bodies found;
  std::string backup;
  size_t answers_missing = 0;
};

// How a step ended, as its record keeps it.
constexpr int kEndWhole = 200;
constexpr int kEndPartial = 206;
constexpr int kEndMissed = 504;

// The answer to a pull of a step that has ended.
step_reply EndReply(uint64_t cursor, int end_status);

// The JSON of a batch without samples.
std::string EmptyBatch(uint64_t cursor, bool is_done, bool is_partial);

step_reply FailureReply(int status, const std::string& outcome,
                        const std::string& reason,
                        core::milliseconds retry_after);

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_STEP_SERVICE_STATE_H_
