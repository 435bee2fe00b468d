#include "control/state_machine.h"

#include <algorithm>
#include <utility>

#include "core/ids.h"

namespace hickorywood::control {
namespace {

// Limits for claims before the first configuration is accepted.
const settings::claims_config kLimitsBeforeConfiguration{std::chrono::hours(24),
                                                         100000, 65536};

const settings::claims_config& ClaimsConfig(control_state& state) {
  if (state.limits_revision == state.revision && state.revision != 0) {
    return state.limits;
  }
  const std::optional<settings::site_config> config =
      SiteConfig(state, settings::kBaseScope);
  state.limits = config ? config->claims : kLimitsBeforeConfiguration;
  state.limits_revision = state.revision;
  return state.limits;
}

std::string SubmissionDigest(const command& input) {
  return core::DigestHex(input.scope + '\n' + std::to_string(input.based_on) +
                         '\n' + input.text);
}

const change_record* FindChange(const control_state& state,
                                const std::string& change_id) {
  for (const change_record& change : state.changes) {
    if (change.change_id == change_id) return &change;
  }
  return nullptr;
}

command_result MakeResult(const control_state& state, command_outcome outcome,
                          std::string text) {
  command_result result;
  result.outcome = outcome;
  result.reason = std::move(text);
  result.revision = state.revision;
  return result;
}

command_result ApplySubmit(control_state& state, const command& input) {
  if (const change_record* earlier = FindChange(state, input.change_id)) {
    if (earlier->digest != SubmissionDigest(input)) {
      return MakeResult(state, command_outcome::kConflict,
                        "this change id was used for another change");
    }
    command_result result =
        MakeResult(state, command_outcome::kAccepted, "accepted before");
    result.revision = earlier->revision;
    return result;
  }
  if (input.based_on != state.revision) {
    command_result result =
        MakeResult(state, command_outcome::kConflict,
                   "based on revision " + std::to_string(input.based_on) +
                       ", in force is " + std::to_string(state.revision));
    for (const change_record& change : state.changes) {
      if (change.based_on == input.based_on) result.winner = change.change_id;
    }
    return result;
  }
  const stored_file file{input.file, input.text};
  if (input.scope == settings::kBaseScope) {
    state.base = file;
  } else {
    state.overlays[input.scope] = file;
  }
  ++state.revision;
  state.changes.push_back({input.change_id, input.based_on, state.revision,
                           input.scope, SubmissionDigest(input)});
  if (state.changes.size() > kMaxChanges) {
    state.changes.erase(state.changes.begin());
  }
  return MakeResult(state, command_outcome::kAccepted, "");
}

command_result ApplyExclusion(control_state& state, const command& input) {
  if (input.kind == command_kind::kExcludeSite) {
    state.excluded_sites.insert(input.scope);
  } else {
    state.excluded_sites.erase(input.scope);
  }
  return MakeResult(state, command_outcome::kAccepted, "");
}

void RemoveExpiredClaims(control_state& state,
                         const settings::claims_config& config,
                         int64_t now_ms) {
  for (auto item = state.claims.begin(); item != state.claims.end();) {
    const bool is_expired =
        now_ms - item->second.claimed_ms > config.retention.count();
    if (is_expired) state.claim_body_bytes -= item->second.body.size();
    item = is_expired ? state.claims.erase(item) : std::next(item);
  }
}

// Returns the result for a call whose key is already claimed. The call itself
// never runs again.
command_result RepeatClaim(const control_state& state,
                           const claim_record& claim, const command& input) {
  if (claim.request_digest != input.request_digest) {
    return MakeResult(state, command_outcome::kConflict,
                      "this idempotency key was used for another request");
  }
  if (claim.state == claim_state::kFinished) {
    command_result result =
        MakeResult(state, command_outcome::kExists, "recorded answer");
    result.status = claim.status;
    result.body = claim.body;
    result.content_type = claim.content_type;
    return result;
  }
  if (claim.state == claim_state::kClaimed && claim.nonce == input.nonce) {
    return MakeResult(state, command_outcome::kAccepted,
                      "claimed by this attempt before");
  }
  const auto boot = state.boots.find(claim.instance);
  const bool is_process_terminated =
      boot != state.boots.end() && boot->second != claim.boot;
  if (claim.state == claim_state::kUnknown || is_process_terminated) {
    return MakeResult(
        state, command_outcome::kUnknown,
        "an earlier attempt was interrupted; it is unknown whether it ran");
  }
  return MakeResult(state, command_outcome::kInProgress,
                    "an earlier attempt is still in progress");
}

command_result ApplyClaim(control_state& state, const command& input) {
  const auto found = state.claims.find(input.claim_key);
  if (found != state.claims.end()) {
    return RepeatClaim(state, found->second, input);
  }

  const settings::claims_config& config = ClaimsConfig(state);
  if (state.claims.size() >= static_cast<size_t>(config.maximum)) {
    RemoveExpiredClaims(state, config, input.now_ms);
  }
  // Removing a claim that has not expired would allow its call to run twice, so
  // the new claim is rejected.
  if (state.claims.size() >= static_cast<size_t>(config.maximum)) {
    return MakeResult(state, command_outcome::kFull,
                      "'claims.maximum' is reached");
  }
  claim_record claim;
  claim.instance = input.instance;
  claim.boot = input.boot;
  claim.nonce = input.nonce;
  claim.request_digest = input.request_digest;
  claim.claimed_ms = input.now_ms;
  state.claims[input.claim_key] = claim;
  return MakeResult(state, command_outcome::kAccepted, "");
}

command_result ApplyFinishClaim(control_state& state, const command& input) {
  const auto found = state.claims.find(input.claim_key);
  if (found == state.claims.end()) {
    return MakeResult(state, command_outcome::kStale, "no such claim");
  }
  claim_record& claim = found->second;
  if (claim.nonce != input.nonce) {
    return MakeResult(state, command_outcome::kStale,
                      "claimed by another attempt");
  }
  if (claim.state != claim_state::kClaimed) {
    return MakeResult(state, command_outcome::kExists, "finished before");
  }
  if (input.is_not_run) {
    state.claims.erase(found);
    return MakeResult(state, command_outcome::kAccepted, "");
  }
  claim.state = input.is_known ? claim_state::kFinished : claim_state::kUnknown;
  claim.status = input.status;
  claim.content_type = input.content_type;
  const bool fits =
      input.body.size() <=
          static_cast<size_t>(ClaimsConfig(state).answer_bytes) &&
      state.claim_body_bytes + input.body.size() <= kMaxClaimBodyBytes;
  if (fits) {
    claim.body = input.body;
    state.claim_body_bytes += input.body.size();
  }
  return MakeResult(state, command_outcome::kAccepted, "");
}

command_result DescribeStep(const control_state& state, const step_record& step,
                            command_outcome outcome) {
  command_result result = MakeResult(state, outcome, "");
  result.coordinator = step.coordinator;
  result.epoch = step.epoch;
  return result;
}

void RemoveOldSteps(control_state& state, int64_t now_ms) {
  for (auto item = state.steps.begin(); item != state.steps.end();) {
    const bool is_old =
        now_ms - item->second.opened_ms > kStepRetention.count();
    item = is_old ? state.steps.erase(item) : std::next(item);
  }
}

command_result ApplyOpenStep(control_state& state, const command& input) {
  const std::string key = StepKey(input.pool, input.step);
  const auto found = state.steps.find(key);
  if (found != state.steps.end()) {
    const bool is_same = found->second.spec_digest == input.spec_digest;
    return DescribeStep(
        state, found->second,
        is_same ? command_outcome::kExists : command_outcome::kConflict);
  }
  RemoveOldSteps(state, input.now_ms);
  if (state.steps.size() >= kMaxSteps) {
    return MakeResult(state, command_outcome::kFull, "too many steps");
  }
  step_record step;
  step.coordinator = input.instance;
  step.boot = input.boot;
  step.epoch = 1;
  step.spec_digest = input.spec_digest;
  step.holders = input.holders;
  step.opened_ms = input.now_ms;
  state.steps[key] = step;
  return DescribeStep(state, step, command_outcome::kAccepted);
}

command_result ApplyTakeOver(control_state& state, const command& input) {
  const auto found = state.steps.find(StepKey(input.pool, input.step));
  if (found == state.steps.end()) {
    return MakeResult(state, command_outcome::kInvalid, "no such step");
  }
  step_record& step = found->second;
  if (step.is_closed) return DescribeStep(state, step, command_outcome::kStale);
  if (step.epoch != input.epoch) {
    return DescribeStep(state, step, command_outcome::kStale);
  }
  step.coordinator = input.instance;
  step.boot = input.boot;
  ++step.epoch;
  return DescribeStep(state, step, command_outcome::kAccepted);
}

bool IsDelivered(const step_record& step, int64_t slot) {
  return std::any_of(step.batches.begin(), step.batches.end(),
                     [slot](const batch_record& batch) {
                       return std::find(batch.slots.begin(), batch.slots.end(),
                                        slot) != batch.slots.end();
                     });
}

command_result ApplyCommitBatch(control_state& state, const command& input) {
  const auto found = state.steps.find(StepKey(input.pool, input.step));
  if (found == state.steps.end()) {
    return MakeResult(state, command_outcome::kInvalid, "no such step");
  }
  step_record& step = found->second;
  if (step.epoch != input.epoch) {
    return DescribeStep(state, step, command_outcome::kStale);
  }
  const uint64_t cursor = input.batch.cursor;
  if (cursor >= 1 && cursor <= step.batches.size()) {
    command_result result = DescribeStep(state, step, command_outcome::kExists);
    result.batch = step.batches[cursor - 1];
    return result;
  }
  if (cursor != step.batches.size() + 1) {
    return MakeResult(state, command_outcome::kInvalid, "cursor out of order");
  }
  // The coordinator should never deliver a slot twice. If it does, the sample
  // must not be delivered again.
  const bool repeats_slot =
      std::any_of(input.batch.slots.begin(), input.batch.slots.end(),
                  [&step](int64_t slot) { return IsDelivered(step, slot); });
  if (repeats_slot) {
    return MakeResult(state, command_outcome::kInvalid,
                      "a sample of the batch was delivered before");
  }
  step.batches.push_back(input.batch);
  command_result result = DescribeStep(state, step, command_outcome::kAccepted);
  result.batch = input.batch;
  return result;
}

command_result ApplyCloseStep(control_state& state, const command& input) {
  const auto found = state.steps.find(StepKey(input.pool, input.step));
  if (found == state.steps.end()) {
    return MakeResult(state, command_outcome::kInvalid, "no such step");
  }
  // The first result is kept: a coordinator that closes the step again after a
  // lost response can't turn a missed deadline into a complete step.
  if (!found->second.is_closed) found->second.end_status = input.status;
  found->second.is_closed = true;
  return DescribeStep(state, found->second, command_outcome::kAccepted);
}

command_result ApplyPublishWeights(control_state& state, const command& input) {
  int64_t& version = state.weights[input.pool];
  const bool is_newer = input.version > version;
  const bool is_repeat = input.version == version;
  if (is_newer) version = input.version;
  command_result result = MakeResult(state,
                                     is_newer    ? command_outcome::kAccepted
                                     : is_repeat ? command_outcome::kExists
                                                 : command_outcome::kStale,
                                     "");
  result.version = version;
  return result;
}

// Registers the current process of an instance; an empty boot id means that the
// instance has terminated. The outcome of the unfinished claims of its previous
// process becomes unknown.
command_result ApplyRegisterInstance(control_state& state,
                                     const command& input) {
  state.boots[input.instance] = input.boot;
  return MakeResult(state, command_outcome::kAccepted, "");
}

}  // namespace

command_result Apply(control_state& state, const command& input) {
  switch (input.kind) {
    case command_kind::kSubmitConfiguration:
      return ApplySubmit(state, input);
    case command_kind::kExcludeSite:
    case command_kind::kIncludeSite:
      return ApplyExclusion(state, input);
    case command_kind::kClaim:
      return ApplyClaim(state, input);
    case command_kind::kFinishClaim:
      return ApplyFinishClaim(state, input);
    case command_kind::kOpenStep:
      return ApplyOpenStep(state, input);
    case command_kind::kTakeOverStep:
      return ApplyTakeOver(state, input);
    case command_kind::kCommitBatch:
      return ApplyCommitBatch(state, input);
    case command_kind::kCloseStep:
      return ApplyCloseStep(state, input);
    case command_kind::kPublishWeights:
      return ApplyPublishWeights(state, input);
    case command_kind::kRegisterInstance:
      return ApplyRegisterInstance(state, input);
  }
  return MakeResult(state, command_outcome::kInvalid, "unknown command");
}

std::vector<core::finding> CheckSubmission(const control_state& state,
                                           const command& input,
                                           const std::set<std::string>& sites) {
  std::vector<core::finding> findings;
  if (input.change_id.empty()) {
    findings.push_back({input.file, 0, 0, "a change id is needed"});
  }
  const bool is_base = input.scope == settings::kBaseScope;
  if (!is_base && sites.count(input.scope) == 0) {
    findings.push_back(
        {input.file, 0, 0, "there is no site '" + input.scope + "'"});
  }
  if (!is_base && state.base.text.empty()) {
    findings.push_back({input.file, 0, 0,
                        "the base file must be submitted before an overlay"});
  }
  if (!findings.empty()) return findings;
  settings::config_text base{state.base.file, state.base.text};
  std::map<std::string, settings::config_text> overlays;
  for (const std::string& site : sites) {
    overlays[site] = {site + " (no overlay)", ""};
  }
  for (const auto& [site, overlay] : state.overlays) {
    overlays[site] = {overlay.file, overlay.text};
  }
  if (is_base) {
    base = {input.file, input.text};
  } else {
    overlays[input.scope] = {input.file, input.text};
  }
  settings::CheckFleet(base, overlays, findings);
  return findings;
}

std::optional<settings::site_config> SiteConfig(const control_state& state,
                                                const std::string& site) {
  if (state.revision == 0 || state.base.text.empty()) {
    return core::Fail(core::reason_code::kUnavailable,
                      "no configuration was accepted yet");
  }
  std::map<std::string, settings::config_text> overlays;
  const auto overlay = state.overlays.find(site);
  if (overlay != state.overlays.end()) {
    overlays[site] = {overlay->second.file, overlay->second.text};
  }
  return settings::ConfigForSite({state.base.file, state.base.text}, overlays,
                                 site);
}

std::string StepKey(const std::string& pool, const std::string& step) {
  return pool + "/" + step;
}

}  // namespace hickorywood::control
