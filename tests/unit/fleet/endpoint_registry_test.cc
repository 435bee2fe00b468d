#include "fleet/endpoint_registry.h"

#include <gtest/gtest.h>

#include <string>

namespace hickorywood::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::time_point kStart = core::time_point(seconds(1000));

heartbeat Beat(const std::string& incarnation, uint64_t sequence,
               const std::string& address = "10.0.0.1:80") {
  heartbeat input;
  input.incarnation = incarnation;
  input.service = "engines";
  input.address = address;
  input.slots = 4;
  input.sequence = sequence;
  return input;
}

TEST(EndpointRegistryTest, OlderHeartbeatChangesNothing) {
  endpoint_registry registry;
  heartbeat draining = Beat("a", 5);
  draining.is_draining = true;
  EXPECT_TRUE(TakeHeartbeat(registry, Beat("a", 4), kStart));
  EXPECT_TRUE(TakeHeartbeat(registry, draining, kStart));
  EXPECT_FALSE(TakeHeartbeat(registry, Beat("a", 3), kStart));
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kDraining);
}

// An endpoint says that it drains; a later heartbeat of a confused process says
// ready again. New work must not go there: it may be gone any moment.
TEST(EndpointRegistryTest, DrainingIsFinal) {
  endpoint_registry registry;
  heartbeat draining = Beat("a", 1);
  draining.is_draining = true;
  TakeHeartbeat(registry, draining, kStart);
  TakeHeartbeat(registry, Beat("a", 2), kStart);
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kDraining);
}

// An endpoint left; a heartbeat that was held up on the way comes in after it.
// The endpoint must not come back: nobody serves at its address any more.
TEST(EndpointRegistryTest, LateHeartbeatDoesNotBringALeaverBack) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("a", 1), kStart);
  EXPECT_TRUE(TakeLeave(registry, "a", kStart));
  EXPECT_FALSE(TakeHeartbeat(registry, Beat("a", 2), kStart + seconds(3)));
  EXPECT_TRUE(registry.endpoints.empty());
}

// An endpoint crashed and a new incarnation took its address. A delayed
// heartbeat of the old one arrives: callers must go on using the new one.
TEST(EndpointRegistryTest, DelayedHeartbeatDoesNotTakeTheAddressBack) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("old", 7), kStart);
  TakeHeartbeat(registry, Beat("new", 1), kStart + seconds(4));
  EXPECT_EQ(registry.endpoints.count("old"), 0U);
  EXPECT_FALSE(TakeHeartbeat(registry, Beat("old", 8), kStart + seconds(5)));
  EXPECT_EQ(registry.endpoints.count("new"), 1U);
}

// The first heartbeat of an incarnation that is long gone comes in late and
// takes the address for a moment. The live one goes on sending and gets it
// back.
TEST(EndpointRegistryTest, LiveIncarnationGetsItsAddressBack) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("live", 10), kStart);
  TakeHeartbeat(registry, Beat("ghost", 3), kStart + seconds(1));
  EXPECT_EQ(registry.endpoints.count("live"), 0U);
  TakeHeartbeat(registry, Beat("live", 11), kStart + seconds(2));
  TakeHeartbeat(registry, Beat("live", 12), kStart + seconds(3));
  EXPECT_EQ(registry.endpoints.count("live"), 1U);
  EXPECT_EQ(registry.endpoints.count("ghost"), 0U);
}

// The path from an endpoint to the control group is cut while callers reach it.
// It is marked, not dropped, and only a long silence ends it.
TEST(EndpointRegistryTest, SilenceMarksAndOnlyLongSilenceForgets) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("a", 1), kStart);
  EXPECT_FALSE(ExpireEndpoints(registry, kStart + milliseconds(4599)));
  EXPECT_TRUE(ExpireEndpoints(registry, kStart + milliseconds(4600)));
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kSilent);
  EXPECT_TRUE(TakeHeartbeat(registry, Beat("a", 2), kStart + seconds(10)));
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kReady);
  EXPECT_TRUE(ExpireEndpoints(registry, kStart + seconds(70)));
  EXPECT_TRUE(registry.endpoints.empty());
}

// A new leader knows the endpoints only from the view that it followed. Their
// next heartbeat must count, whatever its sequence.
TEST(EndpointRegistryTest, AdoptedEndpointsTakeTheNextHeartbeat) {
  endpoint_registry before;
  TakeHeartbeat(before, Beat("a", 41), kStart);
  endpoint_registry after;
  AdoptEndpoints(after, ListEndpoints(before), kStart);
  heartbeat draining = Beat("a", 42);
  draining.is_draining = true;
  EXPECT_TRUE(TakeHeartbeat(after, draining, kStart));
  EXPECT_EQ(after.endpoints.at("a").item.state, endpoint_state::kDraining);
}

}  // namespace
}  // namespace hickorywood::fleet
