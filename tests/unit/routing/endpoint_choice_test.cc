#include "routing/endpoint_choice.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "core/ids.h"

namespace hickorywood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EndpointChoiceTest : public ::testing::Test {
 protected:
  EndpointChoiceTest() {
    for (const char* zone : {"a", "b", "c"}) {
      fleet::endpoint item;
      item.incarnation = std::string("in-") + zone;
      item.service = "slots";
      item.zone = zone;
      item.slots = 6;
      endpoints_.push_back(item);
    }
  }

  std::string Choose() {
    choice_input input;
    input.endpoints = &endpoints_;
    input.service = "slots";
    input.own_zone = "b";
    input.excluded = &excluded_;
    input.now = now_;
    input.seed = seed_;
    const fleet::endpoint* chosen = ChooseEndpoint(loads_, input);
    return chosen == nullptr ? "" : chosen->incarnation;
  }

  std::vector<fleet::endpoint> endpoints_;
  std::set<std::string> excluded_;
  endpoint_load_table loads_;
  uint64_t seed_ = 0;
  core::time_point now_ = core::time_point(seconds(100));
};

TEST_F(EndpointChoiceTest, PrefersOwnZoneAndSpillsOver) {
  EXPECT_EQ(Choose(), "in-b");
  RecordSent(loads_, "in-b");
  EXPECT_NE(Choose(), "in-b");
  RecordFinished(loads_, "in-b");
  EXPECT_EQ(Choose(), "in-b");
}

TEST_F(EndpointChoiceTest, DrainingAndTriedEndpointsAreExcluded) {
  endpoints_[1].state = fleet::endpoint_state::kDraining;
  excluded_ = {"in-a"};
  EXPECT_EQ(Choose(), "in-c");
  excluded_ = {"in-a", "in-c"};
  EXPECT_EQ(Choose(), "");
}

// An endpoint crashed: the entry that observed the failure avoids the endpoint,
// but prefers it to rejecting a request when no other endpoint is left.
TEST_F(EndpointChoiceTest, FailedEndpointIsTheLastResort) {
  RecordFailure(loads_, "in-b", now_);
  EXPECT_NE(Choose(), "in-b");
  excluded_ = {"in-a", "in-c"};
  EXPECT_EQ(Choose(), "in-b");
  excluded_.clear();
  now_ += seconds(1);
  EXPECT_EQ(Choose(), "in-b");
}

// An endpoint answers more than three times as slowly as its peers. It receives
// requests again when its latency samples have expired.
TEST_F(EndpointChoiceTest, SlowEndpointIsAvoidedUntilSamplesExpire) {
  for (int i = 0; i < 8; ++i) {
    RecordAnswer(loads_, "in-a", milliseconds(25), {}, now_);
    RecordAnswer(loads_, "in-b", milliseconds(90), {}, now_);
    RecordAnswer(loads_, "in-c", milliseconds(25), {}, now_);
  }
  EXPECT_NE(Choose(), "in-b");
  now_ += seconds(5);
  EXPECT_EQ(Choose(), "in-b");
}

// Other entries send requests to the endpoint of this zone. The endpoint
// reports that load in its answers, and the weight of the report decreases with
// its age.
TEST_F(EndpointChoiceTest, LoadOfOtherEntriesCountsUntilItExpires) {
  RecordAnswer(loads_, "in-b", milliseconds(25), fleet::load_hint{5, 2, 6},
               now_);
  EXPECT_NE(Choose(), "in-b");
  now_ += milliseconds(1001);
  EXPECT_EQ(Choose(), "in-b");
}

// The control group receives no heartbeats of an endpoint that callers can
// still reach.
TEST_F(EndpointChoiceTest, UnresponsiveEndpointIsTheLastResort) {
  endpoints_[1].state = fleet::endpoint_state::kUnresponsive;
  EXPECT_NE(Choose(), "in-b");
  excluded_ = {"in-a", "in-c"};
  EXPECT_EQ(Choose(), "in-b");
}

// Hundreds of entries with a request every few seconds, so that none of them
// knows any load. Guards against the choice of one endpoint by all of them.
TEST_F(EndpointChoiceTest, EntriesWithoutLoadSpreadOverTheirZone) {
  constexpr int kEntries = 167;
  constexpr int kEndpoints = 116;
  constexpr int kMostPerEndpoint = 8;
  endpoints_.clear();
  for (int i = 0; i < kEndpoints; ++i) {
    fleet::endpoint item;
    item.incarnation = "in-" + std::to_string(i);
    item.service = "slots";
    item.zone = "b";
    endpoints_.push_back(item);
  }
  std::map<std::string, int> chosen;
  for (int entry = 0; entry < kEntries; ++entry) {
    seed_ = core::Hash64("entry-" + std::to_string(entry));
    const std::string first = Choose();
    EXPECT_EQ(Choose(), first);
    ++chosen[first];
  }
  for (const auto& [incarnation, count] : chosen) {
    EXPECT_LE(count, kMostPerEndpoint) << incarnation;
  }
}

}  // namespace
}  // namespace hickorywood::routing
