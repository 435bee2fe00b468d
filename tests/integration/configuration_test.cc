// Promise 9: an accepted configuration is in force at all instances within
// seconds and is never reverted.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <thread>

#include "support/cluster.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

// Returns a configuration that is identified by the timeout of its service.
std::string Variant(int number) {
  std::string text = SmallConfiguration();
  const std::string from = "timeout: 4s";
  return text.replace(text.find(from), from.size(),
                      "timeout: " + std::to_string(4000 + number) + "ms");
}

std::vector<node_spec> TwoSites() {
  return {{"n1", "north", "z1", true},  {"n2", "north", "z2", true},
          {"n3", "north", "z3", true},  {"s1", "south", "y1", false},
          {"s2", "south", "y2", false}, {"s3", "south", "y3", false}};
}

// Two operators submit changes based on the same revision. One change is
// accepted. The other gets "conflict" with the change id of the accepted one
// and is applied nowhere.
TEST(ConfigurationTest, EqualNumbersRaceAndOneWins) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (int round = 0; round < 5; ++round) {
    const int64_t base = static_cast<int64_t>(fleet.Revision("n1"));
    const std::string left_id = "left-" + std::to_string(round);
    const std::string right_id = "right-" + std::to_string(round);
    auto left = std::async(std::launch::async, [&] {
      return fleet.Submit("n1", "base", Variant(1), left_id, base);
    });
    auto right = std::async(std::launch::async, [&] {
      return fleet.Submit("n2", "base", Variant(2), right_id, base);
    });
    const json first = left.get();
    const json second = right.get();
    const bool left_won = first["http_status"] == 200;
    EXPECT_NE(left_won, second["http_status"] == 200) << first << second;
    const json& loser = left_won ? second : first;
    EXPECT_EQ(loser["status"], "conflict");
    EXPECT_EQ(loser["winner"], left_won ? left_id : right_id);
    EXPECT_EQ(fleet.Revision("n1"), static_cast<uint64_t>(base + 1));
  }
}

// The response to an operator is lost and the same change is submitted again,
// also after other changes: it gets the same response and is not applied twice.
TEST(ConfigurationTest, ResentChangeGetsTheSameAnswer) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  const json first = fleet.Submit("n1", "base", Variant(1), "change-a", 1);
  ASSERT_EQ(first["http_status"], 200) << first;
  ASSERT_EQ(
      fleet.Submit("n2", "base", Variant(2), "change-b", 2)["http_status"],
      200);
  const json again = fleet.Submit("n3", "base", Variant(1), "change-a", 1);
  EXPECT_EQ(again["http_status"], 200) << again;
  EXPECT_EQ(again["revision"], first["revision"]);
  EXPECT_EQ(fleet.Revision("n1"), 3U);
}

// A faulty file is rejected with all findings and their positions, and nothing
// changes.
TEST(ConfigurationTest, FaultyFileIsRefusedWithAllFindings) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  const std::string faulty =
      "pools:\n  pool-a:\n    model: model-a\n    staleness_bound: many\n    "
      "colour: red\n";
  const json answer = fleet.Submit("n1", "base", faulty, "bad", 1);
  EXPECT_EQ(answer["http_status"], 422) << answer;
  const std::string findings = answer["findings"];
  EXPECT_NE(findings.find("base.yaml:4:22:"), std::string::npos) << findings;
  EXPECT_NE(findings.find("base.yaml:5:5: unknown key"), std::string::npos)
      << findings;
  EXPECT_EQ(fleet.Revision("n2"), 1U);
}

// Once the operator receives "accepted", the change is in force at every
// instance: each status request shows the new revision.
TEST(ConfigurationTest, AcceptedMeansInForceAtEveryInstance) {
  cluster fleet(TwoSites());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (int i = 1; i <= 5; ++i) {
    const json answer =
        fleet.Submit("s1", "base", Variant(i), "c" + std::to_string(i), i);
    ASSERT_EQ(answer["http_status"], 200) << answer;
    for (const node_spec& node : fleet.Specs()) {
      EXPECT_EQ(fleet.Revision(node.id), static_cast<uint64_t>(i + 1))
          << node.id;
    }
  }
}

// A leader is cut off from the other instances and still considers itself the
// leader. A new leader is elected and accepts changes. The old leader accepts
// none, and none of its state returns when the connection is restored.
TEST(ConfigurationTest, IsolatedLeaderAcceptsNothingAndRevertsNothing) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  const std::string old_leader = fleet.Leader();
  fleet.Isolate(old_leader, link_fault::kBlackhole);
  ASSERT_TRUE(fleet.WaitForLeader(old_leader));
  const std::string new_leader = fleet.Leader(old_leader);
  auto at_old = std::async(std::launch::async, [&] {
    return fleet.Submit(old_leader, "base", Variant(7), "from-old", 1);
  });
  const json at_new =
      fleet.Submit(new_leader, "base", Variant(8), "from-new", 1);
  EXPECT_EQ(at_new["http_status"], 200) << at_new;
  EXPECT_NE(at_old.get()["http_status"], 200);
  // An isolated instance also stops serving, because it can't verify that its
  // configuration is still in force.
  EXPECT_FALSE(fleet.IsReady(old_leader));
  fleet.Isolate(old_leader, link_fault::kNone);
  EXPECT_TRUE(WaitUntil([&] {
    return fleet.Revision(old_leader) == 2 && fleet.IsReady(old_leader);
  }));
  const json shown =
      fleet.Web().GetJson(fleet.Callers(old_leader), "/v1/configuration");
  EXPECT_EQ(shown["base"]["text"], Variant(8));
}

// An instance is down during hundreds of changes. When it is ready again it has
// the latest one. While catching up, it never reports an older revision after a
// newer one.
TEST(ConfigurationTest, RestartAfterHundredsOfChanges) {
  cluster fleet(ThreeNodes(), "consensus: {snapshot_every: 60}\n");
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  const std::string follower = fleet.Leader() == "n3" ? "n2" : "n3";
  fleet.KillNode(follower);
  constexpr int kChanges = 300;
  for (int i = 1; i <= kChanges; ++i) {
    const json answer =
        fleet.Submit("n1", "base", Variant(i), "c" + std::to_string(i), i);
    ASSERT_EQ(answer["http_status"], 200) << answer;
  }
  fleet.StartNode(follower);
  uint64_t last = 0;
  EXPECT_TRUE(WaitUntil([&] {
    const uint64_t seen = fleet.Revision(follower);
    EXPECT_GE(seen, last);
    last = seen;
    return fleet.IsReady(follower);
  }));
  EXPECT_EQ(fleet.Revision(follower), static_cast<uint64_t>(kChanges + 1));
}

// An instance freezes, and changes are accepted without it after its lease has
// expired. After it resumes, it serves nothing under the old revision: its
// first responses are rejections or use the new revision.
TEST(ConfigurationTest, FrozenInstanceResumesWithoutServingTheOldRevision) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  const std::string frozen = fleet.Leader() == "n3" ? "n2" : "n3";
  fleet.Node(frozen).Signal(SIGSTOP);
  const std::string other = frozen == "n3" ? "n2" : "n3";
  const std::string text = SmallConfiguration("", "").replace(
      SmallConfiguration().find("bookings"), 8, "bookings2");
  json answer;
  ASSERT_TRUE(WaitUntil([&] {
    answer = fleet.Submit(other, "base", text, "without-frozen", 1);
    return answer["http_status"] == 200;
  })) << answer;
  fleet.Node(frozen).Signal(SIGCONT);
  // The service of the old revision was removed: the call must be rejected with
  // 503 (no lease) or 404 (new revision).
  const auto call =
      fleet.Web().Get(fleet.Callers(frozen), "/v1/services/bookings/x");
  EXPECT_TRUE(call.status == 503 || call.status == 404)
      << call.status << call.body;
  EXPECT_EQ(call.Header("Hickory-Outcome"), "not_run");
  EXPECT_TRUE(WaitUntil(
      [&] { return fleet.IsReady(frozen) && fleet.Revision(frozen) == 2; }));
}

// A site temporarily can't reach the control instances. It continues to serve
// its last revision and reports that it is cut off. Changes are rejected with
// the name of the site until an operator excludes it. After the connection is
// restored, the site catches up.
TEST(ConfigurationTest, IsolatedSiteKeepsServingAndChangesAreBlocked) {
  cluster fleet(TwoSites());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  fleet.StartEndpoint({"b1", "service", "bookings", "south", "y1"});
  ASSERT_TRUE(WaitUntil([&] {
    return fleet.Web()
               .Get(fleet.Callers("s1"), "/v1/services/bookings/x")
               .status == 200;
  }));
  for (const char* north : {"n1", "n2", "n3"}) {
    for (const char* south : {"s1", "s2", "s3"}) {
      fleet.SetLink(north, south, link_fault::kCut);
      fleet.SetLink(south, north, link_fault::kCut);
    }
  }
  EXPECT_TRUE(WaitUntil(
      [&] { return fleet.Status("s1").value("is_site_dark", false); }));
  EXPECT_EQ(
      fleet.Web().Get(fleet.Callers("s1"), "/v1/services/bookings/x").status,
      200);
  ASSERT_TRUE(WaitUntil([&] {
    const std::string leader = fleet.Leader();
    return !leader.empty() &&
           !fleet.Status(leader)["replica"]["dark_sites"].empty();
  }));
  json answer = fleet.Submit("n1", "base", Variant(1), "held", 1);
  EXPECT_EQ(answer["status"], "held") << answer;
  EXPECT_NE(answer["findings"].get<std::string>().find("south"),
            std::string::npos);
  EXPECT_EQ(fleet.Revision("n2"), 1U);
  EXPECT_EQ(
      fleet.Web()
          .Post(fleet.Callers("n1"), "/v1/sites/south/exclude", json::object())
          .status,
      200);
  answer = fleet.Submit("n1", "base", Variant(1), "held", 1);
  EXPECT_EQ(answer["http_status"], 200) << answer;
  for (const char* north : {"n1", "n2", "n3"}) {
    for (const char* south : {"s1", "s2", "s3"}) {
      fleet.SetLink(north, south, link_fault::kNone);
      fleet.SetLink(south, north, link_fault::kNone);
    }
  }
  EXPECT_TRUE(WaitUntil(
      [&] { return fleet.Revision("s1") == 2 && fleet.IsReady("s1"); }));
}

// A site is cut off at the moment when a change is submitted, while the leader
// still counts the site's leases as valid. The change is committed but the site
// serves the older revision, so the change must not be reported as accepted
// until the site is reachable again.
TEST(ConfigurationTest, SiteIsolatedRightBeforeAChange) {
  cluster fleet(TwoSites());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (const char* south : {"s1", "s2", "s3"}) {
    for (const char* north : {"n1", "n2", "n3"}) {
      fleet.SetLink(south, north, link_fault::kCut);
      fleet.SetLink(north, south, link_fault::kCut);
    }
  }
  json answer = fleet.Submit("n1", "base", Variant(1), "at-the-cut", 1);
  EXPECT_EQ(answer["status"], "held") << answer;
  for (const char* south : {"s1", "s2", "s3"}) {
    for (const char* north : {"n1", "n2", "n3"}) {
      fleet.SetLink(south, north, link_fault::kNone);
      fleet.SetLink(north, south, link_fault::kNone);
    }
  }
  EXPECT_TRUE(WaitUntil([&] {
    answer = fleet.Submit("n1", "base", Variant(1), "at-the-cut", 1);
    return answer["http_status"] == 200;
  })) << answer;
  EXPECT_EQ(fleet.Revision("s2"), 2U);
}

}  // namespace
}  // namespace hickorywood::testing
