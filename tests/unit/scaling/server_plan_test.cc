// How many servers are ordered while some are lost, drained or reclaimed, while
// the provider has none, and while the load rises and falls.

#include "scaling/server_plan.h"

#include <gtest/gtest.h>

#include <string>

namespace hickorywood::scaling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerPlanTest : public ::testing::Test {
 protected:
  ServerPlanTest() {
    input_.terms.min = 1;
    input_.terms.max = 32;
    input_.terms.startup_s = 4;
    input_.terms.spot_price = 0.18;
    input_.terms.zone_prices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}};
    for (const char* zone : {"a", "b", "c"}) {
      input_.groups.push_back(Group(zone, server_kind::kRegular, 16));
      input_.groups.push_back(Group(zone, server_kind::kSpot, 0));
    }
    input_.load.slots = 8;
    input_.load.running = 200;
  }

  static server_group Group(const std::string& zone, server_kind kind,
                            int64_t count) {
    server_group group;
    group.zone = zone;
    group.kind = kind;
    group.present = count;
    group.target = count;
    return group;
  }
  server_group& Regular(size_t zone) { return input_.groups[2 * zone]; }
  server_group& Spot(size_t zone) { return input_.groups[2 * zone + 1]; }
  std::optional<planned_order> Plan() const {
    return PlanServers(input_, now_);
  }
  void Shortage() {
    input_.load.running = 384;
    input_.load.waiting = 300;
    input_.load.longest_wait = seconds(3);
    input_.load.nearest_due = milliseconds(7500);
  }

  plan_input input_;
  const core::time_point now_{seconds(1000)};
};

TEST_F(ServerPlanTest, NothingChangesWhileAllServersAreThere) {
  EXPECT_FALSE(Plan());
  Regular(0).target.reset();
  Regular(0).present = 3;
  EXPECT_FALSE(Plan());
}

// Guards against a service that stays smaller after servers were taken away.
TEST_F(ServerPlanTest, MissingServersAreReplacedInTheirZone) {
  Regular(1).present = 13;
  Regular(1).leaving = 3;
  const auto order = Plan();
  ASSERT_TRUE(order);
  EXPECT_EQ(order->zone, "b");
  EXPECT_EQ(order->count, 16);
  // They are starting.
  Regular(1).ordered_at = now_ - seconds(5);
  EXPECT_FALSE(Plan());
  Regular(1).ordered_at = now_ - seconds(8);
  EXPECT_TRUE(Plan());
}

// Guards against repeated orders to a zone that has no servers.
TEST_F(ServerPlanTest, CheapestOtherZoneReplacesWhatAZoneRefuses) {
  Regular(2).present = 12;
  Regular(2).unavailable_until = now_ + seconds(5);
  const auto order = Plan();
  ASSERT_TRUE(order);
  EXPECT_EQ(order->zone, "b");
  EXPECT_EQ(order->count, 20);
  EXPECT_EQ(order->kind, server_kind::kRegular);
  ASSERT_TRUE(order->moved_from);
  EXPECT_EQ(order->moved_from->zone, "c");
  EXPECT_EQ(order->moved_from->count, 12);
}

// Guards against further orders each time that the replacements have started,
// until every zone is full.
TEST_F(ServerPlanTest, ReplacementElsewhereIsOrderedOnce) {
  Regular(2).present = 12;
  Regular(2).unavailable_until = now_ + seconds(1000);
  const auto order = Plan();
  ASSERT_TRUE(order && order->moved_from);
  Regular(1).target = Regular(1).present = order->count;
  Regular(2).target = order->moved_from->count;
  EXPECT_FALSE(Plan());
}

// Guards against a newer call that overtakes one that may still be executed.
TEST_F(ServerPlanTest, NoCallFollowsAnUnansweredOne) {
  Regular(0).present = 10;
  Regular(0).blocked_until = now_ + seconds(6);
  EXPECT_FALSE(Plan());
}

// Guards against an order that stops servers which the record does not contain.
TEST_F(ServerPlanTest, AnOrderNeverAsksForLessThanThereIs) {
  Regular(1).present = 20;
  Shortage();
  input_.load.waiting = 8;
  input_.load.running = 52 * input_.load.slots;
  Spot(0).reclaimed_at = Spot(1).reclaimed_at = Spot(2).reclaimed_at = now_;
  const auto order = Plan();
  ASSERT_TRUE(order);
  EXPECT_EQ(order->zone, "b");
  EXPECT_EQ(order->count, 21);
  Regular(1).target = 0;
  input_.load = {};
  input_.load.slots = 8;
  input_.load.idle_since = now_ - seconds(100);
  Regular(0).target = Regular(2).target = 1;
  Regular(0).present = Regular(2).present = 1;
  const auto fewer = Plan();
  ASSERT_TRUE(fewer);
  EXPECT_EQ(fewer->zone, "b");
  EXPECT_EQ(fewer->count, 19);
}

// Guards against a first record without the servers that are out of contact.
TEST_F(ServerPlanTest, SilentServersAreInTheFirstRecord) {
  server_group group = Group("a", server_kind::kRegular, 3);
  group.silent = 12;
  group.leaving = 1;
  EXPECT_EQ(FirstTarget(group), 16);
}

// Guards against a provider that does not answer for some time, and then stops
// all servers by which the numbers were decreased meanwhile.
TEST_F(ServerPlanTest, UnansweredDecreaseIsNotFollowedByAnother) {
  input_.load.running = 20;
  input_.load.idle_since = now_ - seconds(100);
  ASSERT_TRUE(Plan());
  Regular(2).target = 15;
  input_.changed_at = now_ - seconds(59);
  EXPECT_FALSE(Plan());
}

// Guards against replacing reclaimed spot servers where they are reclaimed at
// once again.
TEST_F(ServerPlanTest, ReclaimedSpotServersAreReplacedByRegularOnes) {
  Spot(1).target = 6;
  Spot(1).reclaimed_at = now_ - seconds(2);
  const auto order = Plan();
  ASSERT_TRUE(order);
  EXPECT_EQ(order->kind, server_kind::kRegular);
  EXPECT_EQ(order->zone, "b");
  EXPECT_EQ(order->count, 22);
  ASSERT_TRUE(order->moved_from);
  EXPECT_EQ(order->moved_from->count, 0);
}

TEST_F(ServerPlanTest, MoreAreOrderedWhenTasksWaitTooLong) {
  Shortage();
  const auto order = Plan();
  ASSERT_TRUE(order);
  EXPECT_EQ(order->kind, server_kind::kSpot);
  EXPECT_EQ(order->zone, "b");
  EXPECT_LE(order->count, 12);
  input_.load.longest_wait = milliseconds(1000);
  EXPECT_FALSE(Plan());
}

// Guards against servers that are ordered because tasks wait for weights.
TEST_F(ServerPlanTest, NoMoreAreOrderedWhilePlacesAreFree) {
  Shortage();
  input_.load.running = 100;
  EXPECT_FALSE(Plan());
}

TEST_F(ServerPlanTest, SpotServersAreAtMostAThird) {
  Shortage();
  Spot(0).target = Spot(0).present = 24;
  input_.load.running = 72 * input_.load.slots;
  const auto order = Plan();
  ASSERT_TRUE(order);
  EXPECT_EQ(order->kind, server_kind::kRegular);
}

TEST_F(ServerPlanTest, NoZoneExceedsItsMaximum) {
  input_.terms.max = 16;
  Shortage();
  EXPECT_FALSE(Plan());
}

// Guards against numbers that rise and fall with each step.
TEST_F(ServerPlanTest, FewerAreOrderedOnlyAfterACalmMinute) {
  input_.load.running = 20;
  input_.load.peak_running = 100;
  input_.load.idle_since = now_ - seconds(59);
  EXPECT_FALSE(Plan());
  input_.load.idle_since = now_ - seconds(60);
  auto order = Plan();
  ASSERT_TRUE(order);
  EXPECT_EQ(order->zone, "c");
  EXPECT_EQ(order->count, 15);
  input_.changed_at = now_ - seconds(30);
  EXPECT_FALSE(Plan());
}

// Guards against a service without room for the loss of some servers.
TEST_F(ServerPlanTest, UsedServersAndASixthAreKept) {
  input_.load.peak_running = 190;
  input_.load.idle_since = now_ - seconds(100);
  for (size_t zone = 0; zone < 3; ++zone) {
    Regular(zone).target = Regular(zone).present = 10;
  }
  EXPECT_TRUE(Plan());
  for (size_t zone = 0; zone < 3; ++zone) {
    Regular(zone).target = Regular(zone).present = 9;
  }
  EXPECT_FALSE(Plan());
}

}  // namespace
}  // namespace hickorywood::scaling
