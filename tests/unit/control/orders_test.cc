#include "control/orders.h"

#include <gtest/gtest.h>

#include <set>

namespace hickorywood::control {
namespace {

using core::milliseconds;
using core::time_point;

const time_point kStart{std::chrono::hours(1)};
const order_limits kFast{1000, milliseconds(10000)};

std::vector<engine_report> Engines(int count, int64_t version) {
  std::vector<engine_report> engines;
  for (int i = 0; i < count; ++i) {
    engines.push_back({"e" + std::to_string(i), "addr", "p", version, false});
  }
  return engines;
}

order_tracker MakeTracker() {
  order_tracker tracker;
  StartOrderTracker(tracker, 3, kStart);
  return tracker;
}

TEST(OrdersTest, PlanKeepsTheFloor) {
  order_tracker tracker = MakeTracker();
  const auto plan = PlanOrders(tracker, Engines(10, 1), {{"p", {2, 0.7}}},
                               kFast, kStart + milliseconds(100));
  EXPECT_EQ(plan.size(), 3U);
  EXPECT_TRUE(PlanOrders(tracker, Engines(10, 1), {{"p", {2, 0.7}}}, kFast,
                         kStart + milliseconds(200))
                  .empty());
}

TEST(OrdersTest, FloorOfOneStillAllowsOneEngine) {
  order_tracker tracker = MakeTracker();
  EXPECT_EQ(PlanOrders(tracker, Engines(4, 1), {{"p", {2, 1.0}}}, kFast,
                       kStart + milliseconds(100))
                .size(),
            1U);
}

TEST(OrdersTest, RateLimitOfTheWeightStore) {
  order_tracker tracker = MakeTracker();
  const order_limits slow{2, milliseconds(10000)};
  EXPECT_EQ(
      PlanOrders(tracker, Engines(20, 1), {{"p", {2, 0}}}, slow, kStart).size(),
      1U);
  EXPECT_EQ(PlanOrders(tracker, Engines(20, 1), {{"p", {2, 0}}}, slow,
                       kStart + milliseconds(1000))
                .size(),
            2U);
}

// A swap failed and the engine still reports the old version. After the timeout
// the order is sent again, with a higher fencing number.
TEST(OrdersTest, LostOrderIsSentAgain) {
  order_tracker tracker = MakeTracker();
  const auto first = PlanOrders(tracker, Engines(1, 1), {{"p", {2, 0}}}, kFast,
                                kStart + milliseconds(10));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_TRUE(PlanOrders(tracker, Engines(1, 1), {{"p", {2, 0}}}, kFast,
                         kStart + milliseconds(9000))
                  .empty());
  const auto second = PlanOrders(tracker, Engines(1, 1), {{"p", {2, 0}}}, kFast,
                                 kStart + milliseconds(10100));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_GT(second[0].fence, first[0].fence);
}

TEST(OrdersTest, LaterTermsFenceOffAllEarlierOrders) {
  EXPECT_GT(FencingNumber(4, 0), FencingNumber(3, 4000000000ULL));
}

TEST(OrdersTest, UpToDateEnginesGetNoOrder) {
  order_tracker tracker = MakeTracker();
  EXPECT_TRUE(PlanOrders(tracker, Engines(5, 2), {{"p", {2, 0}}}, kFast,
                         kStart + milliseconds(10))
                  .empty());
}

}  // namespace
}  // namespace hickorywood::control
