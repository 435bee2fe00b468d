#include "fleet/endpoint_registry.h"

#include <gtest/gtest.h>

#include <string>

namespace hickorywood::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::time_point kStart = core::time_point(seconds(1000));

heartbeat Beat(const std::string& name, uint64_t sequence,
               const std::string& address = "10.0.0.1:80") {
  heartbeat input;
  input.name = name;
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
  EXPECT_TRUE(TakeLeave(registry, {"a"}, kStart));
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

// --- Starts of one endpoint under its name.

heartbeat BeatOfStart(int64_t started_ms, uint64_t sequence) {
  heartbeat input = Beat("a", sequence);
  input.started_ms = started_ms;
  return input;
}

std::string Listed(const endpoint_registry& registry) {
  const std::vector<endpoint> list = ListEndpoints(registry);
  return list.size() == 1 ? list[0].incarnation : "";
}

// An endpoint crashes and starts again under its name; its count of heartbeats
// starts anew. It is another incarnation, so that nothing kept of the old one
// is taken for the new one's, and it is known from its first heartbeat on.
TEST(EndpointRegistryTest, RestartUnderTheSameNameIsAnotherIncarnation) {
  endpoint_registry registry;
  TakeHeartbeat(registry, BeatOfStart(1000, 40), kStart);
  EXPECT_TRUE(
      TakeHeartbeat(registry, BeatOfStart(2000, 1), kStart + seconds(1)));
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
  EXPECT_EQ(registry.endpoints.begin()->second.item.name, "a");
}

// The endpoint was draining, or had left, when it was started again. The new
// start is ready: what the old one said does not hold for it.
TEST(EndpointRegistryTest, RestartEndsDrainingAndLeaving) {
  endpoint_registry registry;
  heartbeat draining = BeatOfStart(1000, 1);
  draining.is_draining = true;
  TakeHeartbeat(registry, draining, kStart);
  TakeHeartbeat(registry, BeatOfStart(2000, 1), kStart);
  EXPECT_EQ(registry.endpoints.begin()->second.item.state,
            endpoint_state::kReady);
  EXPECT_TRUE(TakeLeave(registry, {"a", 2000}, kStart));
  EXPECT_TRUE(TakeHeartbeat(registry, BeatOfStart(3000, 1), kStart));
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 3000));
}

// A cut between an endpoint and the control group heals after the endpoint has
// started again: heartbeats of the old start come in out of order, and its word
// that it leaves. None of it changes anything.
TEST(EndpointRegistryTest, NewsOfAnOlderStartChangesNothing) {
  endpoint_registry registry;
  TakeHeartbeat(registry, BeatOfStart(1000, 4), kStart);
  TakeHeartbeat(registry, BeatOfStart(2000, 1), kStart);
  for (uint64_t sequence : {9, 7, 8, 12}) {
    EXPECT_FALSE(TakeHeartbeat(registry, BeatOfStart(1000, sequence),
                               kStart + seconds(1)));
  }
  EXPECT_FALSE(TakeLeave(registry, {"a", 1000}, kStart + seconds(1)));
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
}

// The newer start has crashed too and is silent. Late news of the older one
// comes in a burst, and must not bring it back.
TEST(EndpointRegistryTest, BurstOfOldNewsRevivesNobody) {
  endpoint_registry registry;
  TakeHeartbeat(registry, BeatOfStart(2000, 1), kStart);
  for (uint64_t sequence = 1; sequence < 20; ++sequence) {
    EXPECT_FALSE(TakeHeartbeat(registry, BeatOfStart(1000, sequence),
                               kStart + seconds(10)));
  }
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
}

// The clock of the machine was set back before the endpoint started again, so
// that its start looks older. Nothing tells it from old news but that it goes
// on: it is taken once the other one has been silent and it has gone on with
// rising sequence for as long.
TEST(EndpointRegistryTest, RestartUnderAClockSetBackIsTakenInTheEnd) {
  endpoint_registry registry;
  TakeHeartbeat(registry, BeatOfStart(2000, 50), kStart);
  core::time_point now = kStart;
  uint64_t sequence = 0;
  while (Listed(registry) != IncarnationOf("a", 1000) && sequence < 100) {
    now += milliseconds(1200);
    TakeHeartbeat(registry, BeatOfStart(1000, ++sequence), now);
  }
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 1000));
  EXPECT_GE(now - kStart, 2 * registry.options.silent_after);
  EXPECT_LE(now - kStart, 3 * registry.options.silent_after);
}

// Repeats of one old heartbeat are no sign of life, however long they go on.
TEST(EndpointRegistryTest, RepeatedOldHeartbeatIsNoSignOfLife) {
  endpoint_registry registry;
  TakeHeartbeat(registry, BeatOfStart(2000, 1), kStart);
  for (int i = 0; i < 30; ++i) {
    TakeHeartbeat(registry, BeatOfStart(1000, 7), kStart + seconds(i));
  }
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
}

// An endpoint that does not say when it started leaves without saying it.
TEST(EndpointRegistryTest, LeaveWithoutAStartTakesOutTheNewest) {
  endpoint_registry registry;
  TakeHeartbeat(registry, BeatOfStart(2000, 1), kStart);
  EXPECT_TRUE(TakeLeave(registry, {"a"}, kStart));
  EXPECT_TRUE(registry.endpoints.empty());
}

// A new leader knows from the view which start is the newest.
TEST(EndpointRegistryTest, AdoptedStartsKeepOldNewsOut) {
  endpoint_registry before;
  TakeHeartbeat(before, BeatOfStart(2000, 1), kStart);
  endpoint_registry after;
  AdoptEndpoints(after, ListEndpoints(before), kStart);
  EXPECT_FALSE(TakeHeartbeat(after, BeatOfStart(1000, 9), kStart));
  EXPECT_EQ(Listed(after), IncarnationOf("a", 2000));
}

// A control instance tells in sums that endpoints go on. They are not thought
// silent, as if each heartbeat had come by itself.
TEST(EndpointRegistryTest, RefreshKeepsAnEndpoint) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("a", 1), kStart);
  for (int i = 1; i <= 10; ++i) {
    const core::time_point now = kStart + seconds(i);
    EXPECT_TRUE(Refresh(registry, {"a", static_cast<uint64_t>(i + 1)}, now));
    EXPECT_FALSE(ExpireEndpoints(registry, now));
  }
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kReady);
}

// A refresh that was held up says nothing of now.
TEST(EndpointRegistryTest, OlderRefreshIsNoSignOfLife) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("a", 9), kStart);
  EXPECT_TRUE(Refresh(registry, {"a", 8}, kStart + seconds(10)));
  EXPECT_TRUE(ExpireEndpoints(registry, kStart + seconds(10)));
}

// Endpoints that are gone, displaced or silent are heard whole again: a refresh
// tells neither their address nor that the list changes.
TEST(EndpointRegistryTest, RefreshBringsNobodyBack) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("a", 1), kStart);
  TakeHeartbeat(registry, Beat("b", 1), kStart);  // at the same address
  EXPECT_FALSE(Refresh(registry, {"a", 2}, kStart));
  ExpireEndpoints(registry, kStart + seconds(10));
  EXPECT_FALSE(Refresh(registry, {"b", 2}, kStart + seconds(10)));
  TakeLeave(registry, {"b"}, kStart);
  EXPECT_FALSE(Refresh(registry, {"b", 3}, kStart));
  EXPECT_TRUE(registry.endpoints.empty());
}

// An endpoint moves to an address that another one has.
TEST(EndpointRegistryTest, AMovedEndpointTakesItsNewPlace) {
  endpoint_registry registry;
  TakeHeartbeat(registry, Beat("a", 1, "10.0.0.1:80"), kStart);
  TakeHeartbeat(registry, Beat("b", 1, "10.0.0.2:80"), kStart);
  EXPECT_TRUE(TakeHeartbeat(registry, Beat("a", 2, "10.0.0.2:80"), kStart));
  ASSERT_EQ(registry.endpoints.size(), 1U);
  EXPECT_EQ(registry.endpoints.count("a"), 1U);
}

}  // namespace
}  // namespace hickorywood::fleet
