// The engines of a service with thousands of engines, of which the tasks of
// each trainer need a hundred.

#include "store/engine_ring.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace hickorywood::store {
namespace {

constexpr size_t kLimit = 256;

std::vector<std::string> Names(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) names.push_back("i-" + std::to_string(i));
  return names;
}

std::vector<ring_engine> RingOf(const std::vector<std::string>& names) {
  return MakeRing({names.begin(), names.end()}, kLimit);
}

std::set<std::string> ChosenNames(const std::vector<std::string>& names,
                                  const std::string& model) {
  std::set<std::string> chosen;
  for (const size_t index : ChooseFromRing(RingOf(names), model, kLimit,
                                           [](size_t) { return true; })) {
    chosen.insert(names[index]);
  }
  return chosen;
}

size_t CountCommon(const std::set<std::string>& left,
                   const std::set<std::string>& right) {
  return static_cast<size_t>(std::count_if(
      left.begin(), left.end(),
      [&right](const std::string& name) { return right.count(name) != 0; }));
}

// Guards against a pass over the waiting tasks that visits all engines.
TEST(EngineRingTest, VisitsDoNotGrowWithTheFleet) {
  for (const size_t engines : {1000U, 10000U, 20000U}) {
    size_t visits = 0;
    const auto chosen =
        ChooseFromRing(RingOf(Names(engines)), "m", kLimit, [&visits](size_t) {
          ++visits;
          return true;
        });
    EXPECT_EQ(chosen.size(), kLimit);
    EXPECT_EQ(visits, kLimit) << engines;
  }
}

// Guards against other decisions on small deployments.
TEST(EngineRingTest, FewEnginesKeepTheirOrder) {
  const auto chosen = ChooseFromRing(RingOf(Names(kLimit)), "m", kLimit,
                                     [](size_t) { return true; });
  ASSERT_EQ(chosen.size(), kLimit);
  EXPECT_TRUE(std::is_sorted(chosen.begin(), chosen.end()));
}

// Guards against prompts that are read again on all engines when one of them
// joins or leaves.
TEST(EngineRingTest, OneEngineMoreOrLessChangesOneChoice) {
  std::vector<std::string> names = Names(10000);
  const std::set<std::string> before = ChosenNames(names, "m");
  names.push_back("i-new");
  EXPECT_GE(CountCommon(before, ChosenNames(names, "m")), kLimit - 1);
  names.erase(std::find(names.begin(), names.end(), *before.begin()));
  EXPECT_GE(CountCommon(before, ChosenNames(names, "m")), kLimit - 2);
}

// Guards against trainers that all use the same few engines of many.
TEST(EngineRingTest, ModelsUseDifferentEngines) {
  const std::vector<std::string> names = Names(10000);
  std::set<std::string> all;
  for (const char* model : {"a", "b", "c", "d", "e", "f"}) {
    all.merge(ChosenNames(names, model));
  }
  EXPECT_GE(all.size(), 4 * kLimit);
}

// Guards against tasks that wait although engines beyond the first ones fit.
TEST(EngineRingTest, LooksBeyondEnginesThatDoNotFit) {
  const std::vector<std::string> names = Names(10000);
  const auto chosen =
      ChooseFromRing(RingOf(names), "m", kLimit,
                     [](size_t index) { return index % 100 == 7; });
  EXPECT_EQ(chosen.size(), 100U);
}

}  // namespace
}  // namespace hickorywood::store
