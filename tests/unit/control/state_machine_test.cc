#include "control/state_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

namespace hickorywood::control {
namespace {

command Submit(const std::string& id, uint64_t based_on,
               const std::string& text) {
  command input;
  input.kind = command_kind::kSubmitConfiguration;
  input.change_id = id;
  input.scope = "base";
  input.based_on = based_on;
  input.text = text;
  return input;
}

command Claim(const std::string& key, const std::string& nonce,
              const std::string& instance = "a") {
  command input;
  input.kind = command_kind::kClaim;
  input.claim_key = key;
  input.nonce = nonce;
  input.request_digest = "digest";
  input.instance = instance;
  input.boot = "boot-1";
  return input;
}

command Finish(const std::string& key, const std::string& nonce) {
  command input;
  input.kind = command_kind::kFinishClaim;
  input.claim_key = key;
  input.nonce = nonce;
  input.is_known = true;
  input.status = 200;
  input.body = "answer";
  return input;
}

command Register(const std::string& instance, const std::string& boot) {
  command input;
  input.kind = command_kind::kRegisterInstance;
  input.instance = instance;
  input.boot = boot;
  return input;
}

command Batch(uint64_t epoch, uint64_t cursor, std::vector<int64_t> slots) {
  command input;
  input.kind = command_kind::kCommitBatch;
  input.pool = "p";
  input.step = "s";
  input.epoch = epoch;
  input.batch.cursor = cursor;
  input.batch.slots = std::move(slots);
  return input;
}

TEST(StateMachineTest, SameBaseRevisionHasOneWinner) {
  control_state state;
  EXPECT_EQ(Apply(state, Submit("one", 0, "a")).outcome,
            command_outcome::kAccepted);
  const command_result loser = Apply(state, Submit("two", 0, "b"));
  EXPECT_EQ(loser.outcome, command_outcome::kConflict);
  EXPECT_EQ(loser.winner, "one");
  EXPECT_EQ(Apply(state, Submit("one", 0, "a")).revision, 1U);
  EXPECT_EQ(Apply(state, Submit("one", 0, "changed")).outcome,
            command_outcome::kConflict);
  EXPECT_EQ(state.revision, 1U);
}

// A proposal whose result was lost is sent again with the same nonce: it must
// neither look like the claim of another attempt nor count twice.
TEST(StateMachineTest, ClaimSentAgainIsTheSameClaim) {
  control_state state;
  EXPECT_EQ(Apply(state, Claim("k", "n1")).outcome, command_outcome::kAccepted);
  EXPECT_EQ(Apply(state, Claim("k", "n1")).outcome, command_outcome::kAccepted);
  EXPECT_EQ(Apply(state, Claim("k", "n2")).outcome,
            command_outcome::kInProgress);
  EXPECT_EQ(Apply(state, Finish("k", "n2")).outcome, command_outcome::kStale);
  EXPECT_EQ(Apply(state, Finish("k", "n1")).outcome,
            command_outcome::kAccepted);
  EXPECT_EQ(Apply(state, Claim("k", "n3")).body, "answer");
}

// The process with the claim has terminated: it stays unknown whether its call
// ran.
TEST(StateMachineTest, ClaimOfATerminatedProcessHasUnknownOutcome) {
  control_state state;
  Apply(state, Register("a", "boot-1"));
  Apply(state, Claim("k", "n1"));
  EXPECT_EQ(Apply(state, Claim("k", "n2", "b")).outcome,
            command_outcome::kInProgress);
  Apply(state, Register("a", "boot-2"));
  EXPECT_EQ(Apply(state, Claim("k", "n3", "b")).outcome,
            command_outcome::kUnknown);
}

// At the limit a new claim is rejected until an old one has expired; no valid
// claim is removed.
TEST(StateMachineTest, NewClaimIsRejectedAtTheLimit) {
  control_state state;
  Apply(state, Submit("c", 0, "claims: {maximum: 10, retention: 1m}\n"));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Apply(state, Claim("k" + std::to_string(i), "n")).outcome,
              command_outcome::kAccepted);
  }
  EXPECT_EQ(Apply(state, Claim("one-more", "n")).outcome,
            command_outcome::kFull);
  command later = Claim("one-more", "n");
  later.now_ms = 61000;
  EXPECT_EQ(Apply(state, later).outcome, command_outcome::kAccepted);
}

TEST(StateMachineTest, NotRunReleasesTheClaim) {
  control_state state;
  Apply(state, Claim("k", "n1"));
  command release = Finish("k", "n1");
  release.is_not_run = true;
  Apply(state, release);
  EXPECT_EQ(Apply(state, Claim("k", "n2")).outcome, command_outcome::kAccepted);
}

TEST(StateMachineTest, LargeAnswersAreNotRecorded) {
  control_state state;
  Apply(state, Claim("k", "n1"));
  command finish = Finish("k", "n1");
  finish.body = std::string(70000, 'x');
  Apply(state, finish);
  const command_result repeat = Apply(state, Claim("k", "n2"));
  EXPECT_EQ(repeat.outcome, command_outcome::kExists);
  EXPECT_EQ(repeat.status, 200);
  EXPECT_TRUE(repeat.body.empty());
}

// A coordinator that was replaced without having detected it commits a batch:
// the batch must be rejected, whatever it contains.
TEST(StateMachineTest, OldEpochCommitsNothing) {
  control_state state;
  command open;
  open.kind = command_kind::kOpenStep;
  open.pool = "p";
  open.step = "s";
  open.instance = "a";
  Apply(state, open);
  EXPECT_EQ(Apply(state, Batch(1, 1, {0, 1})).outcome,
            command_outcome::kAccepted);
  EXPECT_EQ(Apply(state, Batch(1, 1, {2})).outcome, command_outcome::kExists);
  EXPECT_EQ(Apply(state, Batch(1, 2, {1, 2})).outcome,
            command_outcome::kInvalid);  // slot 1 has already been delivered
  command take_over = open;
  take_over.kind = command_kind::kTakeOverStep;
  take_over.instance = "b";
  take_over.epoch = 1;
  EXPECT_EQ(Apply(state, take_over).epoch, 2U);
  EXPECT_EQ(Apply(state, take_over).outcome, command_outcome::kStale);
  EXPECT_EQ(Apply(state, Batch(1, 2, {2})).outcome, command_outcome::kStale);
  EXPECT_EQ(Apply(state, Batch(2, 2, {2})).outcome, command_outcome::kAccepted);
}

TEST(StateMachineTest, WeightVersionsOnlyRise) {
  control_state state;
  command publish;
  publish.kind = command_kind::kPublishWeights;
  publish.pool = "p";
  publish.version = 5;
  EXPECT_EQ(Apply(state, publish).outcome, command_outcome::kAccepted);
  EXPECT_EQ(Apply(state, publish).outcome, command_outcome::kExists);
  publish.version = 4;
  EXPECT_EQ(Apply(state, publish).outcome, command_outcome::kStale);
  EXPECT_EQ(state.weights.at("p"), 5);
}

// For any sequence of claims and outcomes a key is granted at most once between
// two "not run" releases, and restoring a snapshot in between changes nothing.
RC_GTEST_PROP(StateMachineTest, ClaimsAreGrantedOnce, ()) {
  control_state state;
  std::set<std::string> granted;
  std::string holder;
  const auto steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 40));
  for (const int step : steps) {
    const std::string nonce = "n" + std::to_string(step % 8);
    if (step < 16) {
      const bool is_granted =
          Apply(state, Claim("k", nonce)).outcome == command_outcome::kAccepted;
      RC_ASSERT(!is_granted || holder.empty() || holder == nonce);
      if (is_granted) holder = nonce;
    } else if (step < 20) {
      command release = Finish("k", nonce);
      release.is_not_run = true;
      if (Apply(state, release).outcome == command_outcome::kAccepted) {
        RC_ASSERT(holder == nonce);
        holder.clear();
      }
    } else if (step < 24) {
      if (Apply(state, Finish("k", nonce)).outcome ==
          command_outcome::kAccepted) {
        RC_ASSERT(holder == nonce);
      }
    } else if (step < 26) {
      Apply(state, Register("a", "boot-" + std::to_string(step)));
    } else if (step == 26) {
      const auto restored = core::Decode<control_state>(core::Encode(state));
      RC_ASSERT(restored.has_value());
      state = *restored;
    }
  }
}

}  // namespace
}  // namespace hickorywood::control
