// Tests which orders a runner still carries out after a change.

#include "store/task_run.h"

#include <gtest/gtest.h>

namespace hickorywood::store {
namespace {

// Guards against orders that wait at a runner until engines respond, and start
// by a replaced route or at an engine that has left meanwhile.
class OutdatedOrderTest : public ::testing::Test {
 protected:
  OutdatedOrderTest() {
    held.version = {3, 7};
    held.config.version = 5;
    fleet::endpoint engine;
    engine.incarnation = "engine";
    held.endpoints = {engine};
    order.incarnation = "engine";
    order.config = held.config.version;
    order.lists = held.version;
  }

  fleet::view held;
  run_order order;
};

TEST_F(OutdatedOrderTest, CurrentOrderIsCarriedOut) {
  EXPECT_FALSE(IsOutdated(order, held));
}

TEST_F(OutdatedOrderTest, NewerConfigurationOutdatesAnOrder) {
  ++held.config.version;
  EXPECT_TRUE(IsOutdated(order, held));
}

TEST_F(OutdatedOrderTest, EngineThatDrainsOrLeftOutdatesAnOrder) {
  held.endpoints.front().state = fleet::endpoint_state::kDraining;
  EXPECT_TRUE(IsOutdated(order, held));
  held.endpoints.clear();
  EXPECT_TRUE(IsOutdated(order, held));
}

TEST_F(OutdatedOrderTest, LeaderWithLaterListsKnowsTheEngine) {
  held.endpoints.clear();
  ++order.lists.count;
  EXPECT_FALSE(IsOutdated(order, held));
}

TEST_F(OutdatedOrderTest, OrderOfAnEarlierReleaseIsCarriedOut) {
  order.config = 0;
  EXPECT_FALSE(IsOutdated(order, held));
}

}  // namespace
}  // namespace hickorywood::store
