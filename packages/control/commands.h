#ifndef HICKORYWOOD_CONTROL_COMMANDS_H_
#define HICKORYWOOD_CONTROL_COMMANDS_H_

// The commands of the replicated state machine and their results. A command is
// the data of one log entry. Each command has an id that makes it idempotent,
// so that a proposal whose result was lost can be sent again.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"

namespace hickorywood::control {

enum class command_kind {
  kSubmitConfiguration,
  kExcludeSite,
  kIncludeSite,
  kClaim,
  kFinishClaim,
  kOpenStep,
  kTakeOverStep,
  kCommitBatch,
  kCloseStep,
  kPublishWeights,
  kRegisterInstance,
};

// One delivered batch of a step: the response to one pull.
struct batch_record {
  uint64_t cursor = 0;
  int64_t trainer_version = 0;
  std::vector<int64_t> slots;        // slots of the samples
  std::vector<std::string> digests;  // digests of the bodies, in the same order
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(batch_record, cursor,
                                                trainer_version, slots, digests)

struct command {
  command_kind kind = command_kind::kSubmitConfiguration;
  // Wall time of the leader that proposed the command; determines expiry.
  int64_t now_ms = 0;
  std::string instance;  // instance that sent the command
  std::string boot;      // id of its process

  // kSubmitConfiguration; kExcludeSite and kIncludeSite use `scope`.
  std::string change_id;
  std::string scope;  // "base" or a site
  std::string file;
  std::string text;
  uint64_t based_on = 0;  // revision

  // kClaim, kFinishClaim
  std::string claim_key;
  // Id of one attempt, so that a repeated proposal is recognized.
  std::string nonce;
  std::string request_digest;
  // The request certainly did not run, so the claim is removed.
  bool is_not_run = false;
  bool is_known = false;  // the outcome is known, since a response was received
  int status = 0;
  std::string body;
  std::string content_type;

  // kOpenStep, kTakeOverStep, kCommitBatch, kCloseStep, kPublishWeights
  std::string pool;
  std::string step;
  uint64_t epoch = 0;
  std::string spec_digest;
  std::vector<std::string> holders;  // instances that store the step's prompts
  batch_record batch;
  int64_t version = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    command, kind, now_ms, instance, boot, change_id, scope, file, text,
    based_on, claim_key, nonce, request_digest, is_not_run, is_known, status,
    body, content_type, pool, step, epoch, spec_digest, holders, batch, version)

enum class command_outcome {
  kAccepted,
  kConflict,  // another change was accepted first
  kInvalid,
  kExists,      // already done: the recorded result is returned
  kInProgress,  // claimed by a process that may still run the request
  // Claimed by a terminated process: the outcome is unknown.
  kUnknown,
  kFull,   // a limit is reached; nothing was recorded
  kStale,  // the epoch or version is not the current one
};

struct command_result {
  command_outcome outcome = command_outcome::kInvalid;
  std::string reason;
  uint64_t revision = 0;  // configuration revision after the command
  uint64_t epoch = 0;
  int64_t version = 0;
  std::string winner;       // id of the change that was accepted first
  std::string coordinator;  // instance that coordinates the step
  int status = 0;           // status of the recorded response
  std::string body;
  std::string content_type;
  batch_record batch;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(command_result, outcome, reason,
                                                revision, epoch, version,
                                                winner, coordinator, status,
                                                body, content_type, batch)

// Name of `outcome` in responses: "accepted", "conflict", ...
const char* CommandOutcomeName(command_outcome outcome);

}  // namespace hickorywood::control

#endif  // HICKORYWOOD_CONTROL_COMMANDS_H_
