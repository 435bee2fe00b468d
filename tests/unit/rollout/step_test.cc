#include "rollout/step.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rollout/body_store.h"
#include "rollout/burn.h"

namespace hickorywood::rollout {
namespace {

const time_point kStart{std::chrono::hours(1)};

step_spec Spec(int prompts, int group) {
  step_spec spec;
  spec.pool = "p";
  spec.step = "s";
  spec.trainer = "t";
  spec.prompts.assign(static_cast<size_t>(prompts), "prompt");
  spec.samples_per_prompt = group;
  return spec;
}

generated_text Text(int64_t version, int64_t tokens) {
  return {"text", tokens, {{version, 0, tokens}}};
}

sample Sample(int64_t slot, int64_t version, int64_t tokens = 10) {
  sample result;
  result.slot = slot;
  result.generated = Text(version, tokens);
  return result;
}

TEST(StepTest, BatchesAreCompleteGroupsOfReplicatedSamples) {
  step_run step = StartStep(Spec(2, 2), 1, kStart);
  const auto launches = NextLaunches(step, {}, kStart, 10);
  ASSERT_EQ(launches.size(), 4U);
  for (const launch& item : launches) {
    RecordComplete(step, item.attempt, Sample(item.slot, 1), kStart);
  }
  EXPECT_TRUE(FormBatch(step, 1, 2, 10).slots.empty());
  for (const int64_t slot : {0, 1, 2}) RecordReplicated(step, slot);
  EXPECT_EQ(FormBatch(step, 1, 2, 10).slots, (std::vector<int64_t>{0, 1}));
}

// A sample that becomes stale between its completion and its delivery is
// generated again.
TEST(StepTest, StaleSampleIsGeneratedAgain) {
  step_run step = StartStep(Spec(1, 1), 1, kStart);
  const launch first = NextLaunches(step, {}, kStart, 1).front();
  RecordComplete(step, first.attempt, Sample(0, 1), kStart);
  RecordReplicated(step, 0);
  const formed_batch batch = FormBatch(step, 4, 2, 10);
  EXPECT_TRUE(batch.slots.empty());
  EXPECT_EQ(batch.discarded, std::vector<int64_t>{0});
  EXPECT_EQ(NextLaunches(step, {}, kStart, 1).size(), 1U);
}

// A hedge continues from the current text of the slow original. When one
// attempt is complete, the other is cancelled, and a late completion of the
// losing attempt has no effect.
TEST(StepTest, HedgeContinuesFromTheTextOfTheOriginal) {
  step_run step = StartStep(Spec(8, 1), 1, kStart);
  const auto launches = NextLaunches(step, {}, kStart, 8);
  for (size_t i = 0; i < 7; ++i) {
    RecordComplete(step, launches[i].attempt, Sample(launches[i].slot, 1, 1000),
                   kStart + milliseconds(100));
  }
  RecordProgress(step, 7, launches[7].attempt, Text(1, 900));
  EXPECT_TRUE(NextLaunches(step, {}, kStart + milliseconds(200), 8).empty());
  const auto hedges = NextLaunches(step, {}, kStart + milliseconds(251), 8);
  ASSERT_EQ(hedges.size(), 1U);
  EXPECT_TRUE(hedges[0].is_hedge);
  EXPECT_EQ(hedges[0].resume.token_count, 900);
  EXPECT_TRUE(NextLaunches(step, {}, kStart + milliseconds(300), 8).empty());
  RecordProgress(step, 7, launches[7].attempt, Text(1, 950));
  const completion_result won = RecordComplete(
      step, hedges[0].attempt, Sample(7, 1, 1000), kStart + milliseconds(400));
  EXPECT_TRUE(won.is_accepted);
  EXPECT_EQ(won.cancel_attempts, std::vector<uint64_t>{launches[7].attempt});
  EXPECT_EQ(step.hedge_tokens,
            50);  // tokens that the original generated after the hedge resumed
                  // its text
  EXPECT_FALSE(RecordComplete(step, launches[7].attempt, Sample(7, 1),
                              kStart + milliseconds(500))
                   .is_accepted);
}

TEST(StepTest, HedgesStayWithinTheTokenBudget) {
  step_run step = StartStep(Spec(20, 1), 1, kStart);
  const auto launches = NextLaunches(step, {}, kStart, 20);
  for (size_t i = 0; i < 10; ++i) {
    RecordComplete(step, launches[i].attempt, Sample(launches[i].slot, 1, 100),
                   kStart + milliseconds(10));
  }
  // 5% of 1000 tokens are less than one hedge of 100 expected tokens.
  EXPECT_TRUE(NextLaunches(step, {}, kStart + milliseconds(1000), 20).empty());
  hedge_policy generous;
  generous.token_budget = 0.25;
  EXPECT_EQ(
      NextLaunches(step, generous, kStart + milliseconds(1000), 20).size(), 2U);
}

TEST(StepTest, InvalidSpecsAreRejected) {
  EXPECT_TRUE(CheckSpec(Spec(1, 1)));
  EXPECT_FALSE(CheckSpec(Spec(0, 1)));
  EXPECT_FALSE(CheckSpec(Spec(1, 0)));
  EXPECT_FALSE(CheckSpec(Spec(2, 65536)));
  step_spec spec = Spec(1, 1);
  spec.max_tokens = 0;
  EXPECT_FALSE(CheckSpec(spec));
  spec = Spec(1, INT32_MAX);
  EXPECT_FALSE(CheckSpec(spec));
}

// For any order of launches, failures, completions, staleness and deliveries,
// each slot is delivered once, and its sample is always within the bound.
RC_GTEST_PROP(StepTest, EachSlotIsDeliveredOnceWithinTheBound, ()) {
  step_run step = StartStep(Spec(5, 2), 1, kStart);
  std::vector<launch> running;
  std::map<int64_t, int> delivered;
  int64_t version = 1;
  time_point now = kStart;
  const auto actions = *rc::gen::container<std::vector<uint32_t>>(
      200, rc::gen::arbitrary<uint32_t>());
  for (const uint32_t action : actions) {
    now += milliseconds(action % 50);
    const size_t which = running.empty() ? 0 : (action / 8) % running.size();
    switch (action % 7) {
      case 0:
      case 1:
        for (const launch& item : NextLaunches(step, {}, now, 3)) {
          running.push_back(item);
        }
        break;
      case 2:
      case 3:
        if (running.empty()) break;
        RecordComplete(step, running[which].attempt,
                       Sample(running[which].slot, version), now);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(which));
        break;
      case 4:
        if (running.empty()) break;
        RecordFailed(step, running[which].slot, running[which].attempt, now,
                     milliseconds(5));
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(which));
        break;
      case 5:
        for (int64_t slot = 0; slot < 10; ++slot) RecordReplicated(step, slot);
        version += action % 3 == 0 ? 1 : 0;
        break;
      default: {
        const formed_batch batch = FormBatch(step, version, 1, 4);
        for (const int64_t slot : batch.slots) {
          RC_ASSERT(++delivered[slot] == 1);
          const auto oldest = OldestVersion(
              step.slots[static_cast<size_t>(slot)].result.generated);
          RC_ASSERT(version - *oldest <= 1);
        }
        MarkDelivered(step, batch.slots);
      }
    }
  }
}

TEST(LabelTest, ChunksMustBeContiguous) {
  generated_text text;
  EXPECT_TRUE(AppendChunk(text, "r", {"r", 0, 2, "ab", 1, ""}));
  EXPECT_FALSE(AppendChunk(text, "r", {"r", 3, 2, "cd", 1, ""}));  // a gap
  EXPECT_FALSE(AppendChunk(text, "r", {"r", 0, 2, "ab", 1, ""}));  // a repeat
  EXPECT_FALSE(AppendChunk(text, "r", {"other", 2, 2, "cd", 1, ""}));
  EXPECT_FALSE(AppendChunk(text, "r", {"r", 2, 2, "cd", std::nullopt, ""}));
  EXPECT_TRUE(AppendChunk(text, "r", {"r", 2, 1, "c", 2, ""}));
  EXPECT_TRUE(AppendChunk(text, "r", {"r", 3, 1, "d", 2, "stop"}));
  EXPECT_EQ(text.ranges.size(), 2U);
  EXPECT_EQ(OldestVersion(text), 1);
  EXPECT_TRUE(IsLabelComplete(text));
}

TEST(BodyStoreTest, LimitIsEnforcedAndReleased) {
  body_store store;
  store.byte_limit = 100;
  EXPECT_TRUE(StoreSpec(store, "a", std::string(40, 'x'), kStart));
  EXPECT_TRUE(StoreSample(store, "a", 1, std::string(60, 'x'), kStart));
  EXPECT_FALSE(StoreSample(store, "a", 2, "x", kStart));
  RemoveSample(store, "a", 1);
  EXPECT_TRUE(StoreSample(store, "a", 2, std::string(60, 'x'), kStart));
  EvictIdleSteps(store, kStart + milliseconds(10), milliseconds(5));
  EXPECT_EQ(store.bytes, 0U);
}

TEST(BurnTest, WindowsAreLimitedAndRatesRelateToTheBudget) {
  burn_recorder recorder;
  const core::wall_time now{std::chrono::hours(1000)};
  AddBurn(recorder, objective::kTrainerIdle, "p", 90, 10, "generation",
          now - std::chrono::minutes(20));
  AddBurn(recorder, objective::kTrainerIdle, "p", 100, 0, "", now);
  const auto sums = SumBurn(
      recorder, {std::chrono::minutes(5), std::chrono::minutes(60)}, now);
  ASSERT_EQ(sums.size(), 2U);
  EXPECT_EQ(sums[0].bad, 0);
  EXPECT_EQ(sums[1].bad, 10);
  EXPECT_DOUBLE_EQ(BurnRate(sums[1], 0.05), 1.0);
}

}  // namespace
}  // namespace hickorywood::rollout
