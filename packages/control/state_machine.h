#ifndef HICKORYWOOD_CONTROL_STATE_MACHINE_H_
#define HICKORYWOOD_CONTROL_STATE_MACHINE_H_

// The replicated state: configuration, claims of non-idempotent calls, steps,
// weight versions. Apply() is deterministic: it depends only on the state and
// the command, so all replicas that have applied the same entries have the same
// state.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/commands.h"
#include "settings/fleet_config.h"

namespace hickorywood::control {

// One configuration file in force.
struct stored_file {
  std::string file;
  std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(stored_file, file, text)

// An accepted change. It is retained so that a repeated submission gets the
// same result, and a conflicting one gets the id of the accepted change.
struct change_record {
  std::string change_id;
  uint64_t based_on = 0;
  uint64_t revision = 0;
  std::string scope;
  std::string digest;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(change_record, change_id,
                                                based_on, revision, scope,
                                                digest)

enum class claim_state { kClaimed, kFinished, kUnknown };

struct claim_record {
  claim_state state = claim_state::kClaimed;
  std::string instance;
  std::string boot;
  std::string nonce;
  std::string request_digest;
  int64_t claimed_ms = 0;
  int status = 0;
  std::string body;
  std::string content_type;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_record, state, instance,
                                                boot, nonce, request_digest,
                                                claimed_ms, status, body,
                                                content_type)

struct step_record {
  std::string coordinator;
  std::string boot;
  uint64_t epoch = 0;
  std::string spec_digest;
  std::vector<std::string> holders;
  std::vector<batch_record> batches;  // by cursor, from 1
  bool is_closed = false;
  // If closed: 200 complete, 206 partial, 504 deadline missed.
  int end_status = 0;
  int64_t opened_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step_record, coordinator, boot,
                                                epoch, spec_digest, holders,
                                                batches, is_closed, end_status,
                                                opened_ms)

struct control_state {
  // Increases by one with each accepted change, never decreases.
  uint64_t revision = 0;
  stored_file base;
  std::map<std::string, stored_file> overlays;  // by site
  std::vector<change_record> changes;           // the latest kMaxChanges
  std::set<std::string> excluded_sites;
  std::map<std::string, claim_record> claims;  // by service and key
  std::map<std::string, step_record> steps;    // by "pool/step"
  std::map<std::string, int64_t> weights;  // latest published version by pool
  std::map<std::string, std::string>
      boots;                    // latest process id of each instance
  size_t claim_body_bytes = 0;  // total size of the recorded response bodies

  // Cached from the files of `limits_revision`, so that a claim doesn't need to
  // parse them again.
  settings::claims_config limits;
  uint64_t limits_revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(control_state, revision, base,
                                                overlays, changes,
                                                excluded_sites, claims, steps,
                                                weights, boots)

constexpr size_t kMaxChanges = 1000;
constexpr size_t kMaxSteps = 20000;
// Above this total size only the outcome of a claim is recorded, not the body
// of its response.
constexpr size_t kMaxClaimBodyBytes = 64 * 1024 * 1024;
// Steps are removed this long after they were opened.
constexpr std::chrono::milliseconds kStepRetention = std::chrono::hours(6);

// Applies one command and returns its result.
command_result Apply(control_state& state, const command& input);

// Checks a submission against `state` without changing it: the resulting files
// are merged and validated for every site. The findings contain all errors.
// `sites` are the sites of the fleet's instances.
std::vector<core::finding> CheckSubmission(const control_state& state,
                                           const command& input,
                                           const std::set<std::string>& sites);

// Returns the configuration in force at `site`; nothing before the first base
// file was accepted.
std::optional<settings::site_config> SiteConfig(const control_state& state,
                                                const std::string& site);

// Returns the key of a step in control_state::steps.
std::string StepKey(const std::string& pool, const std::string& step);

}  // namespace hickorywood::control

#endif  // HICKORYWOOD_CONTROL_STATE_MACHINE_H_
