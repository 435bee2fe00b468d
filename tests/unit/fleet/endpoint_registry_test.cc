#include "fleet/endpoint_registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
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

bool ReportDeparture(endpoint_registry& registry, const departure& input,
                     core::time_point now) {
  return ApplyLeaving(registry, {DepartingIncarnation(registry, input), true},
                      now);
}

TEST(EndpointRegistryTest, OlderHeartbeatChangesNothing) {
  endpoint_registry registry;
  heartbeat draining = Beat("a", 5);
  draining.is_draining = true;
  EXPECT_TRUE(ApplyHeartbeat(registry, Beat("a", 4), kStart));
  EXPECT_TRUE(ApplyHeartbeat(registry, draining, kStart));
  EXPECT_FALSE(ApplyHeartbeat(registry, Beat("a", 3), kStart));
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kDraining);
}

// An endpoint reports that it is draining; a later heartbeat of a faulty
// process reports that it is ready. It must get no new work, since it may
// terminate at any moment.
TEST(EndpointRegistryTest, DrainingIsFinal) {
  endpoint_registry registry;
  heartbeat draining = Beat("a", 1);
  draining.is_draining = true;
  ApplyHeartbeat(registry, draining, kStart);
  ApplyHeartbeat(registry, Beat("a", 2), kStart);
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kDraining);
}

// An endpoint left, and a delayed heartbeat arrives afterwards. The endpoint
// must not be listed again: no process serves at its address any more.
TEST(EndpointRegistryTest, DelayedHeartbeatDoesNotRestoreADepartedEndpoint) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("a", 1), kStart);
  EXPECT_TRUE(ReportDeparture(registry, {"a"}, kStart));
  EXPECT_FALSE(ApplyHeartbeat(registry, Beat("a", 2), kStart + seconds(3)));
  EXPECT_TRUE(registry.endpoints.empty());
}

// An endpoint crashed and a new incarnation announced its address. A delayed
// heartbeat of the old one arrives: callers must continue to use the new one.
TEST(EndpointRegistryTest, DelayedHeartbeatDoesNotReclaimTheAddress) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("old", 7), kStart);
  ApplyHeartbeat(registry, Beat("new", 1), kStart + seconds(4));
  EXPECT_EQ(registry.endpoints.count("old"), 0U);
  EXPECT_FALSE(ApplyHeartbeat(registry, Beat("old", 8), kStart + seconds(5)));
  EXPECT_EQ(registry.endpoints.count("new"), 1U);
}

// A delayed first heartbeat of an incarnation that terminated long ago arrives
// and replaces the live incarnation at the address. The live one continues to
// send heartbeats and is listed again.
TEST(EndpointRegistryTest, LiveIncarnationReclaimsItsAddress) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("live", 10), kStart);
  ApplyHeartbeat(registry, Beat("ghost", 3), kStart + seconds(1));
  EXPECT_EQ(registry.endpoints.count("live"), 0U);
  ApplyHeartbeat(registry, Beat("live", 11), kStart + seconds(2));
  ApplyHeartbeat(registry, Beat("live", 12), kStart + seconds(3));
  EXPECT_EQ(registry.endpoints.count("live"), 1U);
  EXPECT_EQ(registry.endpoints.count("ghost"), 0U);
}

// The network between an endpoint and the control group is partitioned while
// callers can reach it. It is marked as unresponsive, and removed only after a
// long time.
TEST(EndpointRegistryTest, UnresponsiveEndpointIsMarkedAndRemovedMuchLater) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("a", 1), kStart);
  EXPECT_FALSE(ExpireEndpoints(registry, kStart + milliseconds(4599)));
  EXPECT_TRUE(ExpireEndpoints(registry, kStart + milliseconds(4600)));
  EXPECT_EQ(registry.endpoints.at("a").item.state,
            endpoint_state::kUnresponsive);
  EXPECT_TRUE(ApplyHeartbeat(registry, Beat("a", 2), kStart + seconds(10)));
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kReady);
  EXPECT_TRUE(ExpireEndpoints(registry, kStart + seconds(70)));
  EXPECT_TRUE(registry.endpoints.empty());
}

// A new leader has the endpoints only from the view that it followed. It must
// apply their next heartbeat, with any sequence.
TEST(EndpointRegistryTest, AdoptedEndpointsAcceptTheNextHeartbeat) {
  endpoint_registry before;
  ApplyHeartbeat(before, Beat("a", 41), kStart);
  endpoint_registry after;
  AdoptEndpoints(after, ListEndpoints(before), kStart);
  heartbeat draining = Beat("a", 42);
  draining.is_draining = true;
  EXPECT_TRUE(ApplyHeartbeat(after, draining, kStart));
  EXPECT_EQ(after.endpoints.at("a").item.state, endpoint_state::kDraining);
}

heartbeat BeatOfIncarnation(int64_t started_ms, uint64_t sequence) {
  heartbeat input = Beat("a", sequence);
  input.started_ms = started_ms;
  return input;
}

std::string Listed(const endpoint_registry& registry) {
  const std::vector<endpoint> list = ListEndpoints(registry);
  return list.size() == 1 ? list[0].incarnation : "";
}

// An endpoint crashes and restarts under its name, with a new sequence of
// heartbeats. It is another incarnation: it is listed from its first heartbeat
// on, and no record of the old one is attributed to it.
TEST(EndpointRegistryTest, RestartUnderTheSameNameIsAnotherIncarnation) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, BeatOfIncarnation(1000, 40), kStart);
  EXPECT_TRUE(ApplyHeartbeat(registry, BeatOfIncarnation(2000, 1),
                             kStart + seconds(1)));
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
  EXPECT_EQ(registry.endpoints.begin()->second.item.name, "a");
}

// The endpoint was draining, or had left, when it restarted. The new
// incarnation is ready: the state of the old one does not apply to it.
TEST(EndpointRegistryTest, RestartClearsDrainingAndLeaving) {
  endpoint_registry registry;
  heartbeat draining = BeatOfIncarnation(1000, 1);
  draining.is_draining = true;
  ApplyHeartbeat(registry, draining, kStart);
  ApplyHeartbeat(registry, BeatOfIncarnation(2000, 1), kStart);
  EXPECT_EQ(registry.endpoints.begin()->second.item.state,
            endpoint_state::kReady);
  EXPECT_TRUE(ReportDeparture(registry, {"a", 2000}, kStart));
  EXPECT_TRUE(ApplyHeartbeat(registry, BeatOfIncarnation(3000, 1), kStart));
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 3000));
}

// A network partition between an endpoint and the control group heals after the
// endpoint has restarted. Heartbeats of the old incarnation, out of order, and
// its departure arrive and change nothing.
TEST(EndpointRegistryTest, HeartbeatsOfAnOlderIncarnationChangeNothing) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, BeatOfIncarnation(1000, 4), kStart);
  ApplyHeartbeat(registry, BeatOfIncarnation(2000, 1), kStart);
  for (uint64_t sequence : {9, 7, 8, 12}) {
    EXPECT_FALSE(ApplyHeartbeat(registry, BeatOfIncarnation(1000, sequence),
                                kStart + seconds(1)));
  }
  EXPECT_FALSE(ReportDeparture(registry, {"a", 1000}, kStart + seconds(1)));
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
}

// The newer incarnation has crashed too and is unresponsive. Delayed heartbeats
// of the older one arrive in a burst, and must not list it again.
TEST(EndpointRegistryTest, BurstOfDelayedHeartbeatsRestoresNoEndpoint) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, BeatOfIncarnation(2000, 1), kStart);
  for (uint64_t sequence = 1; sequence < 20; ++sequence) {
    EXPECT_FALSE(ApplyHeartbeat(registry, BeatOfIncarnation(1000, sequence),
                                kStart + seconds(10)));
  }
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
}

// The clock of the machine was set back before the endpoint restarted, so that
// the new incarnation looks older. Only its continued heartbeats distinguish it
// from delayed messages: the new incarnation is accepted once the other one has
// been unresponsive, and the new one has sent heartbeats with increasing
// sequence for as long.
TEST(EndpointRegistryTest, RestartWithAClockSetBackIsAcceptedEventually) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, BeatOfIncarnation(2000, 50), kStart);
  core::time_point now = kStart;
  uint64_t sequence = 0;
  while (Listed(registry) != IncarnationOf("a", 1000) && sequence < 100) {
    now += milliseconds(1200);
    ApplyHeartbeat(registry, BeatOfIncarnation(1000, ++sequence), now);
  }
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 1000));
  EXPECT_GE(now - kStart, 2 * registry.options.unresponsive_after);
  EXPECT_LE(now - kStart, 3 * registry.options.unresponsive_after);
}

// Repetitions of one old heartbeat never prove that the older incarnation is
// alive.
TEST(EndpointRegistryTest, RepeatedOldHeartbeatIsIgnored) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, BeatOfIncarnation(2000, 1), kStart);
  for (int i = 0; i < 30; ++i) {
    ApplyHeartbeat(registry, BeatOfIncarnation(1000, 7), kStart + seconds(i));
  }
  EXPECT_EQ(Listed(registry), IncarnationOf("a", 2000));
}

// An endpoint that does not report its start time leaves without it.
TEST(EndpointRegistryTest, DepartureWithoutAStartTimeRemovesTheNewest) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, BeatOfIncarnation(2000, 1), kStart);
  EXPECT_TRUE(ReportDeparture(registry, {"a"}, kStart));
  EXPECT_TRUE(registry.endpoints.empty());
}

// A new leader has the newest incarnation of each name from the view.
TEST(EndpointRegistryTest, AdoptedIncarnationsRejectOlderOnes) {
  endpoint_registry before;
  ApplyHeartbeat(before, BeatOfIncarnation(2000, 1), kStart);
  endpoint_registry after;
  AdoptEndpoints(after, ListEndpoints(before), kStart);
  EXPECT_FALSE(ApplyHeartbeat(after, BeatOfIncarnation(1000, 9), kStart));
  EXPECT_EQ(Listed(after), IncarnationOf("a", 2000));
}

// Guards against a new leader that does not know which endpoints have left: a
// delayed heartbeat listed one of them again.
TEST(EndpointRegistryTest, RecordedDepartureHoldsWithoutTheEndpoint) {
  endpoint_registry registry;
  EXPECT_FALSE(ApplyLeaving(registry, {"a", true}, kStart));
  EXPECT_FALSE(ApplyHeartbeat(registry, Beat("a", 2), kStart + seconds(3)));
  EXPECT_TRUE(registry.endpoints.empty());
}

// Guards against a new leader whose view is older than the draining of an
// endpoint: it sent the endpoint new work.
TEST(EndpointRegistryTest, RecordedDrainingHoldsForAdoptedAndNewEndpoints) {
  endpoint_registry registry;
  endpoint ready;
  ready.incarnation = ready.name = "a";
  AdoptEndpoints(registry, {ready}, kStart);
  EXPECT_TRUE(ApplyLeaving(registry, {"a"}, kStart));
  EXPECT_FALSE(ApplyLeaving(registry, {"b"}, kStart));
  ApplyHeartbeat(registry, Beat("b", 1), kStart);
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kDraining);
  EXPECT_EQ(registry.endpoints.at("b").item.state, endpoint_state::kDraining);
}

// A control instance sends refreshes in place of heartbeats. The endpoint stays
// ready, as it does with complete heartbeats.
TEST(EndpointRegistryTest, RefreshKeepsAnEndpoint) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("a", 1), kStart);
  for (int i = 1; i <= 10; ++i) {
    const core::time_point now = kStart + seconds(i);
    EXPECT_TRUE(
        ApplyRefresh(registry, {"a", static_cast<uint64_t>(i + 1)}, now));
    EXPECT_FALSE(ExpireEndpoints(registry, now));
  }
  EXPECT_EQ(registry.endpoints.at("a").item.state, endpoint_state::kReady);
}

// A delayed refresh does not prove that the endpoint is alive now.
TEST(EndpointRegistryTest, DelayedRefreshIsIgnored) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("a", 9), kStart);
  EXPECT_TRUE(ApplyRefresh(registry, {"a", 8}, kStart + seconds(10)));
  EXPECT_TRUE(ExpireEndpoints(registry, kStart + seconds(10)));
}

// Endpoints that left, were replaced or are unresponsive must send a complete
// heartbeat: a refresh contains no address, and can't change the list.
TEST(EndpointRegistryTest, RefreshRestoresNoEndpoint) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("a", 1), kStart);
  ApplyHeartbeat(registry, Beat("b", 1), kStart);  // at the same address
  EXPECT_FALSE(ApplyRefresh(registry, {"a", 2}, kStart));
  ExpireEndpoints(registry, kStart + seconds(10));
  EXPECT_FALSE(ApplyRefresh(registry, {"b", 2}, kStart + seconds(10)));
  ReportDeparture(registry, {"b"}, kStart);
  EXPECT_FALSE(ApplyRefresh(registry, {"b", 3}, kStart));
  EXPECT_TRUE(registry.endpoints.empty());
}

// An endpoint changes its address to that of another one.
TEST(EndpointRegistryTest, EndpointWithANewAddressReplacesTheOther) {
  endpoint_registry registry;
  ApplyHeartbeat(registry, Beat("a", 1, "10.0.0.1:80"), kStart);
  ApplyHeartbeat(registry, Beat("b", 1, "10.0.0.2:80"), kStart);
  EXPECT_TRUE(ApplyHeartbeat(registry, Beat("a", 2, "10.0.0.2:80"), kStart));
  ASSERT_EQ(registry.endpoints.size(), 1U);
  EXPECT_EQ(registry.endpoints.count("a"), 1U);
}

// Guards against an index that keeps removed endpoints or lacks listed ones: an
// address would then belong to two endpoints.
RC_GTEST_PROP(EndpointRegistryTest, IndexesMatchTheEndpoints, ()) {
  endpoint_registry registry;
  core::time_point now = kStart;
  uint64_t sequence = 0;
  const int actions = *rc::gen::inRange(1, 60);
  for (int i = 0; i < actions; ++i) {
    heartbeat input =
        Beat("e" + std::to_string(*rc::gen::inRange(0, 5)), ++sequence,
             "10.0.0.1:" + std::to_string(*rc::gen::inRange(1, 5)));
    input.started_ms = *rc::gen::inRange(0, 3);
    input.is_draining = *rc::gen::inRange(0, 6) == 0;
    now += seconds(*rc::gen::inRange(0, 30));
    if (*rc::gen::inRange(0, 5) == 0) {
      ReportDeparture(registry, {input.name}, now);
    } else {
      ApplyHeartbeat(registry, input, now);
    }
    ExpireEndpoints(registry, now);
    std::map<std::string, std::set<std::string>> by_address;
    std::map<std::string, std::set<std::string>> by_name;
    for (const auto& [incarnation, entry] : registry.endpoints) {
      by_address[entry.item.address].insert(incarnation);
      by_name[entry.item.name].insert(incarnation);
    }
    RC_ASSERT(registry.by_address == by_address);
    RC_ASSERT(registry.by_name == by_name);
    for (const auto& item : by_address) RC_ASSERT(item.second.size() == 1U);
    for (const auto& item : by_name) RC_ASSERT(item.second.size() == 1U);
  }
}

RC_GTEST_PROP(EndpointTest, DecodesWhatWasEncoded, ()) {
  endpoint item;
  item.name = *rc::gen::arbitrary<std::string>();
  item.started_ms = *rc::gen::arbitrary<int64_t>();
  item.incarnation = IncarnationOf(item.name, item.started_ms);
  item.service = *rc::gen::arbitrary<std::string>();
  item.address = *rc::gen::arbitrary<std::string>();
  item.zone = *rc::gen::arbitrary<std::string>();
  item.slots = *rc::gen::arbitrary<int64_t>();
  item.state =
      *rc::gen::element(endpoint_state::kReady, endpoint_state::kDraining,
                        endpoint_state::kUnresponsive);
  item.is_spot = *rc::gen::arbitrary<bool>();
  const endpoint decoded = nlohmann::json(item).get<endpoint>();
  RC_ASSERT(decoded == item);
  RC_ASSERT(decoded.name == item.name);
  RC_ASSERT(decoded.started_ms == item.started_ms);
}

}  // namespace
}  // namespace hickorywood::fleet
