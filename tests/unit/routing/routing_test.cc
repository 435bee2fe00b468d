#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "routing/admission.h"
#include "routing/choice.h"
#include "routing/endpoint_health.h"
#include "routing/retry_budget.h"
#include "routing/stale_connections.h"

namespace hickorywood::routing {
namespace {

const time_point kStart{std::chrono::hours(1)};

candidate Candidate(const std::string& id, int64_t reported,
                    int64_t outstanding, int64_t at_report) {
  candidate item;
  item.id = id;
  item.is_same_zone = true;
  item.reported_load = reported;
  item.outstanding = outstanding;
  item.outstanding_at_report = at_report;
  item.allowed = 100;
  return item;
}

TEST(ChoiceTest, CorrectedLoadReplacesOwnShareOfTheReport) {
  EXPECT_EQ(CorrectedLoad(Candidate("e", 10, 6, 4)), 12);
  EXPECT_EQ(CorrectedLoad(Candidate("e", 2, 0, 5)), 0);
}

// Without the corrected load, all requests between two reports would go to the
// endpoint that the last report shows as idle.
TEST(ChoiceTest, DelayedReportsDoNotCauseAHerd) {
  choice_policy policy;
  policy.uses_affinity = false;
  choice_state state;
  std::vector<candidate> candidates = {Candidate("a", 0, 0, 0),
                                       Candidate("b", 3, 0, 0),
                                       Candidate("c", 3, 0, 0)};
  std::map<std::string, int> sent;
  for (int i = 0; i < 90; ++i) {
    const size_t chosen = *ChooseEndpoint(policy, state, candidates, 0);
    ++candidates[chosen].outstanding;
    ++sent[candidates[chosen].id];
  }
  for (const auto& [id, count] : sent) EXPECT_NEAR(count, 30, 8) << id;
}

TEST(ChoiceTest, ZoneSpillsOverWhenClearlyBusier) {
  choice_policy policy;
  policy.uses_affinity = false;
  choice_state state;
  std::vector<candidate> candidates = {Candidate("here", 2, 0, 0),
                                       Candidate("there", 0, 0, 0)};
  candidates[1].is_same_zone = false;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(*ChooseEndpoint(policy, state, candidates, 0), 0U);
  }
  candidates[0].reported_load = 30;
  bool spilled = false;
  for (int i = 0; i < 50; ++i) {
    spilled = spilled || *ChooseEndpoint(policy, state, candidates, 0) == 1;
  }
  EXPECT_TRUE(spilled);
}

TEST(ChoiceTest, PrefixStaysOnItsEndpointWithinTheLoadBound) {
  const choice_policy policy;
  choice_state state;
  std::vector<candidate> candidates = {Candidate("a", 2, 0, 0),
                                       Candidate("b", 2, 0, 0),
                                       Candidate("c", 2, 0, 0)};
  const size_t assigned = *ChooseEndpoint(policy, state, candidates, 42);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(*ChooseEndpoint(policy, state, candidates, 42), assigned);
  }
  candidates[assigned].reported_load = 50;
  EXPECT_NE(*ChooseEndpoint(policy, state, candidates, 42), assigned);
}

TEST(ChoiceTest, SlowEndpointGetsLess) {
  choice_policy policy;
  policy.uses_affinity = false;
  choice_state state;
  std::vector<candidate> candidates = {Candidate("fast", 0, 0, 0),
                                       Candidate("slow", 0, 0, 0)};
  candidates[0].token_seconds = 0.001;
  candidates[1].token_seconds = 0.010;
  int slow = 0;
  for (int i = 0; i < 110; ++i) {
    const size_t chosen = *ChooseEndpoint(policy, state, candidates, 0);
    ++candidates[chosen].outstanding;
    slow += chosen == 1 ? 1 : 0;
  }
  EXPECT_LT(slow, 55);
}

RC_GTEST_PROP(ChoiceTest, NeverAnEndpointWithoutCapacity, ()) {
  const auto loads =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
  std::vector<candidate> candidates;
  for (size_t i = 0; i < loads.size(); ++i) {
    candidates.push_back(
        Candidate("e" + std::to_string(i), loads[i], loads[i], 0));
    candidates.back().allowed = 10;
    candidates.back().is_same_zone = loads[i] % 2 == 0;
  }
  choice_state state;
  const auto chosen = ChooseEndpoint(choice_policy{}, state, candidates,
                                     *rc::gen::arbitrary<uint64_t>());
  bool has_capacity = false;
  for (const candidate& item : candidates) {
    has_capacity = has_capacity || item.outstanding < item.allowed;
  }
  RC_ASSERT(chosen.has_value() == has_capacity);
  if (chosen) {
    RC_ASSERT(candidates[*chosen].outstanding < candidates[*chosen].allowed);
  }
}

TEST(HealthTest, EjectionExpiresAndLoadReturnsGradually) {
  stats_table table;
  const std::vector<std::string> peers = {"a", "b", "c", "d"};
  const ejection_policy policy;
  EXPECT_FALSE(RecordFailure(table, "a", peers, policy, kStart));
  EXPECT_FALSE(RecordFailure(table, "a", peers, policy, kStart));
  EXPECT_TRUE(RecordFailure(table, "a", peers, policy, kStart));
  EXPECT_FALSE(IsAvailable(table["a"], kStart + milliseconds(4999)));
  EXPECT_TRUE(IsAvailable(table["a"], kStart + milliseconds(5000)));
  EXPECT_EQ(AllowedConcurrency(table["a"], 100, kStart + milliseconds(5000)),
            1);
  EXPECT_EQ(AllowedConcurrency(table["a"], 100, kStart + milliseconds(6000)),
            50);
  EXPECT_EQ(AllowedConcurrency(table["a"], 100, kStart + milliseconds(8000)),
            100);
}

// All endpoints fail at the same time, for example because a switch failed:
// ejection stops at the floor.
TEST(HealthTest, EjectionKeepsTheFloor) {
  stats_table table;
  const std::vector<std::string> peers = {"a", "b", "c", "d"};
  for (const std::string& id : peers) {
    for (int i = 0; i < 10; ++i) {
      RecordFailure(table, id, peers, ejection_policy{}, kStart);
    }
  }
  int available = 0;
  for (const std::string& id : peers) {
    available += IsAvailable(table[id], kStart) ? 1 : 0;
  }
  EXPECT_EQ(available, 2);
}

TEST(HealthTest, OverloadShrinksTheLimitAndSuccessGrowsIt) {
  endpoint_stats stats;
  stats.outstanding = 40;
  RecordOverload(stats, 100);
  EXPECT_EQ(AllowedConcurrency(stats, 100, kStart), 30);
  RecordSuccess(stats, 10, milliseconds(10));
  EXPECT_EQ(AllowedConcurrency(stats, 100, kStart), 31);
}

TEST(FairQueueTest, SharesFollowTheWeights) {
  fair_queue queue;
  SetWeight(queue, "large", 3);
  SetWeight(queue, "small", 1);
  for (uint64_t i = 0; i < 400; ++i) {
    Push(queue, {i, i % 2 == 0 ? "large" : "small", traffic_class::kRollout,
                 100, kStart});
  }
  std::map<std::string, int> started;
  for (int i = 0; i < 200; ++i) ++started[Pop(queue)->trainer];
  EXPECT_NEAR(started["large"], 150, 3);
}

TEST(FairQueueTest, InteractiveGoesFirst) {
  fair_queue queue;
  Push(queue, {1, "t", traffic_class::kRollout, 1, kStart});
  Push(queue, {2, "", traffic_class::kInteractive, 1, kStart});
  EXPECT_EQ(Pop(queue)->id, 2U);
}

TEST(FairQueueTest, PutBackKeepsTheOrder) {
  fair_queue queue;
  Push(queue, {1, "t", traffic_class::kRollout, 1, kStart});
  Push(queue, {2, "t", traffic_class::kRollout, 1, kStart});
  PutBack(queue, *Pop(queue));
  EXPECT_EQ(queue.size, 2U);
  EXPECT_EQ(Pop(queue)->id, 1U);
  EXPECT_TRUE(Remove(queue, 2));
  EXPECT_FALSE(Pop(queue));
}

RC_GTEST_PROP(FairQueueTest, NothingIsLostOrRepeated, ()) {
  fair_queue queue;
  std::map<uint64_t, int> waiting;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  uint64_t next = 0;
  for (const int step : steps) {
    if (step < 60) {
      const auto kind =
          step % 5 == 0 ? traffic_class::kInteractive : traffic_class::kRollout;
      Push(queue,
           {next, "t" + std::to_string(step % 3), kind, 1 + step, kStart});
      waiting[next++] = 1;
    } else if (step < 90) {
      const auto popped = Pop(queue);
      RC_ASSERT(popped.has_value() == !waiting.empty());
      if (popped) RC_ASSERT(waiting.erase(popped->id) == 1U);
    } else if (!waiting.empty()) {
      RC_ASSERT(Remove(queue, waiting.begin()->first));
      waiting.erase(waiting.begin());
    }
    RC_ASSERT(queue.size == waiting.size());
  }
}

// A request whose expected wait exceeds its limit is rejected immediately, with
// the time after which to retry.
TEST(AdmissionTest, RejectsImmediatelyWithRetryAfter) {
  completion_rate rate;
  for (int i = 0; i <= 100; ++i) {
    RecordCompletion(rate, kStart + milliseconds(10 * i));
  }
  EXPECT_NEAR(rate.per_second, 100, 10);
  EXPECT_TRUE(Admit(rate, 50, milliseconds(1000)).is_admitted);
  const admission_decision rejected = Admit(rate, 300, milliseconds(1000));
  EXPECT_FALSE(rejected.is_admitted);
  EXPECT_NEAR(static_cast<double>(rejected.retry_after.count()), 2000, 300);
}

TEST(RetryBudgetTest, FailuresAloneExhaustIt) {
  retry_budget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) retries += ConsumeRetry(budget) ? 1 : 0;
  EXPECT_EQ(retries, 10);
  for (int i = 0; i < 100; ++i) RecordSuccess(budget);
  EXPECT_TRUE(ConsumeRetry(budget));
}

TEST(StaleConnectionsTest, ExpiresWithTheAgeOfTheConnections) {
  stale_connections stale;
  EXPECT_FALSE(NeedsNewConnection(stale, "a", kStart));
  RecordTimeout(stale, "a", kStart);
  EXPECT_TRUE(NeedsNewConnection(stale, "a", kStart + milliseconds(20000)));
  EXPECT_FALSE(NeedsNewConnection(stale, "a", kStart + milliseconds(21000)));
}

}  // namespace
}  // namespace hickorywood::routing
