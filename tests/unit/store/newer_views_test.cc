#include "store/newer_views.h"

#include <gtest/gtest.h>

namespace hickorywood::store {
namespace {

constexpr char kEngine[] = "e@1";

fleet::view MakeView(uint64_t config, uint64_t lists) {
  fleet::view held;
  held.config.version = config;
  held.version = {1, lists};
  return held;
}

run_report MakeReturn(uint64_t config, uint64_t lists) {
  run_report report;
  report.is_over = true;
  report.how = run_outcome::kMoved;
  report.newer_config = config;
  report.newer_lists = {1, lists};
  return report;
}

// Guards against a leader whose copy of the configuration is late: it sent each
// task again as soon as a store with a newer copy had returned the order.
TEST(NewerViewsTest, LeaderWaitsForTheConfigurationThatAStoreHas) {
  newer_views newer;
  fleet::view held = MakeView(24, 5);
  EXPECT_TRUE(MayOrder(newer, held));
  RecordReturn(newer, MakeReturn(28, 5), kEngine, held);
  EXPECT_FALSE(MayOrder(newer, held));
  RecordReturn(newer, MakeReturn(26, 5), kEngine, held);
  held.config.version = 26;
  EXPECT_FALSE(MayOrder(newer, held));
  held.config.version = 28;
  EXPECT_TRUE(MayOrder(newer, held));
  EXPECT_FALSE(HasLeft(newer, kEngine));
}

// Guards against the same with an engine that is leaving: only its orders are
// returned, so tasks go to the others.
TEST(NewerViewsTest, EngineOfAReturnedOrderIsLeftOutUntilTheListsArrive) {
  newer_views newer;
  fleet::view held = MakeView(24, 5);
  RecordReturn(newer, MakeReturn(24, 7), kEngine, held);
  EXPECT_TRUE(MayOrder(newer, held));
  EXPECT_TRUE(HasLeft(newer, kEngine));
  EXPECT_FALSE(HasLeft(newer, "e@2"));
  held.version.count = 6;
  RemoveKnown(newer, held);
  EXPECT_TRUE(HasLeft(newer, kEngine));
  held.version.count = 7;
  RemoveKnown(newer, held);
  EXPECT_FALSE(HasLeft(newer, kEngine));
}

// The leader has received the newer view before the report.
TEST(NewerViewsTest, LateReturnsChangeNothing) {
  newer_views newer;
  const fleet::view held = MakeView(28, 7);
  RecordReturn(newer, MakeReturn(28, 7), kEngine, held);
  EXPECT_TRUE(MayOrder(newer, held));
  EXPECT_FALSE(HasLeft(newer, kEngine));
}

TEST(NewerViewsTest, OtherOutcomesChangeNothing) {
  newer_views newer;
  const fleet::view held = MakeView(24, 5);
  RecordReturn(newer, run_report{}, kEngine, held);
  EXPECT_TRUE(MayOrder(newer, held));
  EXPECT_FALSE(HasLeft(newer, kEngine));
}

}  // namespace
}  // namespace hickorywood::store
