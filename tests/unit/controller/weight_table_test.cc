#include "controller/weight_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace hickorywood::controller {
namespace {

using std::chrono::milliseconds;

load_plan_input Engines(size_t count) {
  load_plan_input input;
  for (size_t i = 0; i < count; ++i) {
    plannable_engine engine;
    engine.incarnation = "e" + std::to_string(i);
    input.engines.push_back(engine);
  }
  return input;
}

plannable_model Terms(milliseconds period, double weight = 1) {
  plannable_model terms;
  terms.period = period;
  terms.weight = weight;
  return terms;
}

void SetAll(weight_table& table, const load_plan_input& input,
            const std::string& model, uint64_t version) {
  for (const plannable_engine& engine : input.engines) {
    RecordVersion(table, engine.incarnation, model, version);
  }
}

// Plans and completes loads until none is left. Returns their number.
size_t LoadAll(weight_table& table, const load_plan_input& input) {
  size_t loads = 0;
  for (;;) {
    const std::vector<planned_load> plan = PlanLoads(table, input);
    if (plan.empty()) return loads;
    for (const planned_load& load : plan) {
      RecordVersion(table, load.incarnation, load.target.model,
                    load.target.version);
      ++loads;
    }
  }
}

TEST(WeightTableTest, VersionsNeverDecrease) {
  weight_table table;
  EXPECT_TRUE(RecordVersion(table, "e", "m", 3));
  EXPECT_FALSE(RecordVersion(table, "e", "m", 2));
  EXPECT_EQ(VersionAt(table, "e", "m"), 3U);
  EXPECT_FALSE(VersionAt(table, "e", "other"));
}

// Guards against a new leader that plans for so long that it loses its lease.
// Its work must not grow with the cube of the number of engines: this test
// would run for minutes.
TEST(WeightTableTest, FirstPlanForTenThousandEngines) {
  weight_table table;
  load_plan_input input = Engines(10000);
  SetAll(table, input, "m", 1);
  input.models = {{"m", {3}}, {"n", {1}}, {"o", {1}}};
  const std::vector<planned_load> plan = PlanLoads(table, input);
  EXPECT_FALSE(plan.empty());
  std::set<std::string> engines;
  for (const planned_load& load : plan) engines.insert(load.incarnation);
  EXPECT_EQ(engines.size(), plan.size());
}

// Returns the shortest time of a few plans. `change` is called before each.
std::chrono::nanoseconds ShortestPlan(weight_table& table,
                                      load_plan_input& input,
                                      const std::function<void()>& change) {
  constexpr int kPlans = 5;
  auto shortest = std::chrono::nanoseconds::max();
  for (int i = 0; i < kPlans; ++i) {
    change();
    const auto started = std::chrono::steady_clock::now();
    PlanLoads(table, input);
    shortest = std::min<std::chrono::nanoseconds>(
        shortest, std::chrono::steady_clock::now() - started);
  }
  return shortest;
}

// Guards against a leader that does nothing but plan while engines are lost one
// after the other: it ranked all engines by name for each model in each plan.
TEST(WeightTableTest, PlansWithALostEngineTakeLittleLonger) {
  constexpr int kMaxRatio = 5;
  weight_table table;
  load_plan_input input = Engines(10000);
  for (const char* model : {"m", "n", "o", "p", "q", "r"}) {
    SetAll(table, input, model, 3);
    input.models[model] = {3};
    input.models[model].peak_tasks = 600;
  }
  for (plannable_engine& engine : input.engines) engine.slots = 6;
  PlanLoads(table, input);
  const auto usual = ShortestPlan(table, input, [] {});
  const auto with_loss = ShortestPlan(table, input, [&] {
    std::set<std::string> lost;
    for (const auto& [model, chosen] : table.assigned) {
      lost.insert(*chosen.begin());
    }
    std::erase_if(input.engines, [&](const plannable_engine& engine) {
      return lost.count(engine.incarnation) != 0;
    });
  });
  EXPECT_LT(with_loss, kMaxRatio * usual);
}

// One trainer, nine engines, a version every few seconds; a step accepts the
// newest version and the previous one. Half of the engines load each version,
// and every engine always has a version that the next step accepts.
TEST(WeightTableTest, HalvesTakeTurns) {
  weight_table table;
  load_plan_input input = Engines(9);
  SetAll(table, input, "m", 1);
  for (uint64_t version = 2; version < 20; ++version) {
    input.models = {{"m", {version}}};
    const size_t loads = LoadAll(table, input);
    EXPECT_LE(loads, 5U) << version;
    for (const plannable_engine& engine : input.engines) {
      EXPECT_GE(*VersionAt(table, engine.incarnation, "m") + 1, version);
    }
  }
}

// Three trainers on nine engines; a load takes 1 s and two run at a time. When
// versions are published faster than all engines can load them, fewer engines
// are kept up to date.
TEST(WeightTableTest, LoadsFitIntoThePeriod) {
  load_plan_input input = Engines(9);
  input.models = {{"a", {2}}, {"b", {2}}, {"c", {2}}};
  EXPECT_EQ(EnginesPerModel(input, Terms(milliseconds(4000))), 6U);
  EXPECT_EQ(EnginesPerModel(input, Terms(milliseconds(1500))), 2U);
  EXPECT_EQ(EnginesPerModel(input, Terms(milliseconds(60000))), 6U);
  EXPECT_EQ(EnginesPerModel(input, Terms(milliseconds(100))), 2U);
  input.models = {{"a", {2}}};
  EXPECT_EQ(EnginesPerModel(input, Terms(milliseconds(4000))), 9U);
}

// When loads have to wait, the model whose next step can use the fewest engines
// goes first, independent of its name.
TEST(WeightTableTest, ModelWithFewestUsableEnginesGoesFirst) {
  weight_table table;
  load_plan_input input = Engines(9);
  input.models = {{"a", {5}}, {"b", {5}}};
  SetAll(table, input, "a", 4);
  SetAll(table, input, "b", 3);
  RecordVersion(table, "e0", "a", 3);
  const std::vector<planned_load> plan = PlanLoads(table, input);
  ASSERT_EQ(plan.size(), 2U);
  EXPECT_EQ(plan[0].target.model, "b");
  EXPECT_EQ(plan[1].target.model, "b");
}

// After an election three models are two versions behind on every engine. The
// models take turns. Guards against an order by name, with which the steps of
// one model waited for 11 s while the others, whose names sort first, were
// updated twice.
TEST(WeightTableTest, ModelsTakeTurnsWhenAllAreOutdated) {
  weight_table table;
  load_plan_input input = Engines(9);
  input.models = {{"a", {5}}, {"b", {5}}, {"c", {5}}};
  for (const char* model : {"a", "b", "c"}) SetAll(table, input, model, 3);
  std::vector<std::string> order;
  while (order.size() < 6) {
    for (const planned_load& load : PlanLoads(table, input)) {
      RecordVersion(table, load.incarnation, load.target.model, 5);
      order.push_back(load.target.model);
    }
  }
  std::sort(order.begin(), order.end());
  EXPECT_EQ(order, std::vector<std::string>({"a", "a", "b", "b", "c", "c"}));
}

// Three trainers, with enough time for all loads. Each model is kept up to date
// on six of nine engines, so that a version costs three loads, a third of the
// engines.
TEST(WeightTableTest, ModelsShareTheEngines) {
  weight_table table;
  load_plan_input input = Engines(9);
  for (const char* model : {"a", "b", "c"}) SetAll(table, input, model, 1);
  size_t loads = 0;
  constexpr uint64_t kVersions = 12;
  for (uint64_t version = 2; version < 2 + kVersions; ++version) {
    input.models = {{"a", {version}}, {"b", {version}}, {"c", {version}}};
    for (auto& item : input.models) item.second.period = milliseconds(60000);
    loads += LoadAll(table, input);
  }
  EXPECT_LE(loads, 3 * 3 * kVersions + 9);
  for (const auto& item : table.assigned) EXPECT_EQ(item.second.size(), 6U);
}

// One model has four times the work of the other, and the loader is overloaded.
// The engines are shared by demand, and the small model keeps enough engines
// for a crash.
TEST(WeightTableTest, LoadsFollowTheDemand) {
  weight_table table;
  load_plan_input input = Engines(12);
  const auto weights =
      WeightsOf({"large", "small"}, {{"large", 32}, {"small", 8}});
  SetAll(table, input, "large", 3);
  SetAll(table, input, "small", 3);
  for (const auto& [model, weight] : weights) {
    input.models[model].newest = 5;
    input.models[model].weight = weight;
  }
  std::map<std::string, size_t> loads;
  while (loads["large"] + loads["small"] < 8) {
    for (const planned_load& load : PlanLoads(table, input)) {
      RecordVersion(table, load.incarnation, load.target.model, 5);
      ++loads[load.target.model];
    }
  }
  EXPECT_GE(loads["large"], 6U);
  EXPECT_GE(loads["small"], 1U);
  EXPECT_GE(
      EnginesPerModel(input, Terms(milliseconds(4000), weights.at("small"))),
      2U);
  EXPECT_EQ(
      EnginesPerModel(input, Terms(milliseconds(60000), weights.at("large"))),
      12U);
}

// No demand was reported, or only that of one model: all models have the same
// weight, or the model without a demand has the mean weight.
TEST(WeightTableTest, UnknownDemandCountsAsTheMean) {
  const auto none = WeightsOf({"a", "b"}, {});
  EXPECT_EQ(none.at("a"), 1);
  EXPECT_EQ(none.at("b"), 1);
  const auto zero = WeightsOf({"a", "b"}, {{"a", 0}, {"b", 0}});
  EXPECT_EQ(zero.at("a"), 1);
  const auto idle = WeightsOf({"a", "b"}, {{"a", 10}, {"b", 0}});
  EXPECT_GT(idle.at("b"), 0);
  EXPECT_LT(idle.at("b"), 1);
  EXPECT_TRUE(WeightsOf({}, {{"a", 1}}).empty());
}

// Loads share the link to the weight store: few run at once, and each engine
// has at most one.
TEST(WeightTableTest, FewLoadsAtOnce) {
  weight_table table;
  load_plan_input input = Engines(9);
  input.models = {{"a", {9}}, {"b", {9}}};
  EXPECT_EQ(PlanLoads(table, input).size(), 2U);
  input.loads_in_progress = 1;
  EXPECT_EQ(PlanLoads(table, input).size(), 1U);
  input.loads_in_progress = 2;
  EXPECT_TRUE(PlanLoads(table, input).empty());
  load_plan_input large = Engines(48);
  large.models = {{"a", {9}}};
  EXPECT_EQ(PlanLoads(table, large).size(), 10U);
}

// An engine terminates and a new one joins. The others keep their models, and
// the new one takes over the free assignments.
TEST(WeightTableTest, TerminatedEngineIsReplaced) {
  weight_table table;
  load_plan_input input = Engines(9);
  input.models = {{"a", {2}}, {"b", {2}}, {"c", {2}}};
  LoadAll(table, input);
  const auto before = table.assigned;
  input.engines[0].incarnation = "fresh";
  LoadAll(table, input);
  for (const auto& [model, engines] : before) {
    size_t kept = 0;
    for (const std::string& name : engines) {
      kept += table.assigned.at(model).count(name);
    }
    EXPECT_EQ(kept, engines.size() - engines.count("e0")) << model;
  }
}

load_plan_input Fleet(size_t engines, int64_t tasks) {
  load_plan_input input = Engines(engines);
  for (plannable_engine& engine : input.engines) engine.slots = 6;
  for (const char* model : {"a", "b", "c", "d", "e", "f"}) {
    plannable_model& terms = input.models[model];
    terms.newest = 2;
    terms.peak_tasks = tasks;
  }
  return input;
}

// Guards against loads that grow with the fleet: six trainers before 10,000
// engines had 2,350 loads a second ordered by one leader.
TEST(WeightTableTest, LoadsFollowTheWorkAndNotTheFleet) {
  for (const size_t engines : {1000U, 10000U, 20000U}) {
    weight_table table;
    const load_plan_input input = Fleet(engines, 224);
    for (const auto& item : input.models) SetAll(table, input, item.first, 1);
    EXPECT_LE(LoadAll(table, input), 600U) << engines;
  }
}

// A trainer grows tenfold. Guards against tasks that wait for weights for
// several versions.
TEST(WeightTableTest, GrownTrainerGetsItsEnginesAtOnce) {
  load_plan_input input = Fleet(10000, 224);
  const size_t before = EnginesPerModel(input, input.models.at("a"));
  input.models.at("a").peak_tasks = 2240;
  EXPECT_GE(EnginesPerModel(input, input.models.at("a")), 9 * before);
}

// Guards against loads to all engines while no demand is reported, as after
// a restart of all instances.
TEST(WeightTableTest, UnknownDemandNeedsFewEngines) {
  const load_plan_input input = Fleet(10000, 0);
  EXPECT_LE(EnginesPerModel(input, input.models.at("a")), 64U);
}

// Guards against a new leader that orders so many loads at once that it can't
// renew its lease: 1,748 of them kept it from all other work for 4 s.
TEST(WeightTableTest, LoadsBeginInSmallNumbers) {
  weight_table table;
  const load_plan_input input = Fleet(10000, 2240);
  for (const auto& item : input.models) SetAll(table, input, item.first, 0);
  EXPECT_LE(PlanLoads(table, input).size(), 32U);
}

}  // namespace
}  // namespace hickorywood::controller
