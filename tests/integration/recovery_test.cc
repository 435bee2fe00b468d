// Promise 10: accepted state survives crashes and lost or corrupted disks.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "support/cluster.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

// Returns the log file that is currently written: "log" in a new folder,
// "log-N" after a snapshot of the leader was installed or a file was full.
std::string NewestLogFile(const std::string& folder) {
  const std::string prefix = "log-";
  int64_t newest = 0;
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    const std::string name = item.path().filename().string();
    if (!name.starts_with(prefix)) continue;
    newest = std::max<int64_t>(newest, std::stoll(name.substr(prefix.size())));
  }
  return folder + "/" + (newest == 0 ? "log" : prefix + std::to_string(newest));
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Publishes a weights version, which is a small durable change. Returns whether
// it was accepted.
bool Publish(cluster& fleet, const std::string& node, int64_t version) {
  const auto response = fleet.Web().Post(
      fleet.Callers(node), "/v1/pools/pool-a/weights", {{"version", version}});
  return response.status == 200;
}

int64_t PublishedVersion(cluster& fleet, const std::string& node) {
  const json shown =
      fleet.Web().GetJson(fleet.Callers(node), "/v1/configuration");
  return shown.is_object() && shown["weights"].contains("pool-a")
             ? shown["weights"]["pool-a"].get<int64_t>()
             : 0;
}

bool IsAdmitted(cluster& fleet, const std::string& node) {
  const std::string leader = fleet.Leader();
  if (leader.empty()) return false;
  const json replica = fleet.Status(leader)["replica"];
  const std::string own =
      fleet.Status(node)["replica"].value("storage", "none");
  const std::string text = node + "/" + own.substr(0, 8);
  for (const json& voter : replica["voters"]) {
    if (voter == text) {
      return replica["voters"].size() == 3 && replica["learners"].empty();
    }
  }
  return false;
}

// All control instances are killed at once, several times, while changes are
// made. After each restart all accepted changes are present.
TEST(RecoveryTest, EntireGroupKilledAgainAndAgain) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  int64_t version = 0;
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 20; ++i) ASSERT_TRUE(Publish(fleet, "n1", ++version));
    for (const char* id : {"n1", "n2", "n3"}) fleet.Node(id).Signal(SIGKILL);
    for (const char* id : {"n1", "n2", "n3"}) fleet.KillNode(id);
    for (const char* id : {"n1", "n2", "n3"}) fleet.StartNode(id);
    ASSERT_TRUE(WaitUntil([&] {
      return fleet.IsReady("n1") && fleet.IsReady("n2") && fleet.IsReady("n3");
    }));
    EXPECT_EQ(PublishedVersion(fleet, "n2"), version);
  }
}

// An instance loses its disk. It restarts empty, may not vote under its old
// identity, gets the state from the others and is admitted under a new storage
// id. Right after that a second instance loses its disk, and then a third. At
// the end no original disk is left and no accepted change is missing.
TEST(RecoveryTest, DisksLostOneAfterTheOther) {
  cluster fleet(ThreeNodes(), "consensus: {snapshot_every: 50}\n");
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  int64_t version = 0;
  for (const char* failed : {"n1", "n2", "n3"}) {
    for (int i = 0; i < 40; ++i) {
      ASSERT_TRUE(Publish(fleet, "n2", ++version)) << failed << version;
    }
    fleet.KillNode(failed);
    fleet.LoseDisk(failed);
    fleet.StartNode(failed);
    // The instance may become ready later than it becomes a voter, because it
    // receives its view separately.
    ASSERT_TRUE(WaitUntil([&] {
      return IsAdmitted(fleet, failed) && fleet.IsReady(failed);
    })) << failed;
  }
  ASSERT_TRUE(WaitUntil([&] {
    return fleet.IsReady("n1") && fleet.IsReady("n2") && fleet.IsReady("n3");
  }));
  EXPECT_EQ(PublishedVersion(fleet, "n1"), version);
  EXPECT_TRUE(Publish(fleet, "n3", ++version));
}

// A byte in the middle of the log is flipped while the instance is down. The
// instance refuses to start with a clear message, because it would lose the
// records after the corruption. It recovers with an empty folder.
TEST(RecoveryTest, FlippedByteIsRefusedAndRepaired) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (int64_t i = 1; i <= 20; ++i) ASSERT_TRUE(Publish(fleet, "n1", i));
  const std::string failed = fleet.Leader() == "n3" ? "n2" : "n3";
  fleet.KillNode(failed);
  const std::string path = NewestLogFile(fleet.DataFolder(failed));
  std::string content = ReadFile(path);
  content[content.size() / 2] =
      static_cast<char>(content[content.size() / 2] ^ 1);
  std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
  fleet.StartNode(failed);
  EXPECT_EQ(fleet.Node(failed).WaitForExit(std::chrono::milliseconds(10000)),
            1);
  EXPECT_NE(ReadFile(fleet.LogOf(failed)).find("is damaged at byte"),
            std::string::npos);
  EXPECT_NE(ReadFile(fleet.LogOf(failed)).find("HK2002"), std::string::npos);
  fleet.LoseDisk(failed);
  fleet.StartNode(failed);
  EXPECT_TRUE(WaitUntil(
      [&] { return IsAdmitted(fleet, failed) && fleet.IsReady(failed); }));
  EXPECT_NE(ReadFile(fleet.LogOf(failed)).find("HK2004"), std::string::npos);
}

// A crash interrupted the last write. The instance removes the incomplete
// record, reports this, and catches up.
TEST(RecoveryTest, IncompleteTailIsRemovedAndReported) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  for (int64_t i = 1; i <= 5; ++i) ASSERT_TRUE(Publish(fleet, "n1", i));
  const std::string failed = fleet.Leader() == "n3" ? "n2" : "n3";
  fleet.KillNode(failed);
  const std::string path = NewestLogFile(fleet.DataFolder(failed));
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 3);
  fleet.StartNode(failed);
  EXPECT_TRUE(WaitUntil([&] {
    return fleet.IsReady(failed) && PublishedVersion(fleet, failed) == 5;
  }));
  EXPECT_NE(ReadFile(fleet.LogOf(failed)).find("HK2001"), std::string::npos);
}

// An operator bootstraps the group a second time by mistake, at an instance
// with an empty disk. The command is rejected.
TEST(RecoveryTest, SecondBootstrapIsRefused) {
  cluster fleet(ThreeNodes());
  ASSERT_TRUE(fleet.Start(SmallConfiguration()));
  fleet.KillNode("n3");
  fleet.LoseDisk("n3");
  fleet.StartNode("n3");
  const auto again = fleet.Web().Post(fleet.Callers("n3"),
                                      "/v1/group/bootstrap", json::object());
  EXPECT_EQ(again.status, 409) << again.body;
  EXPECT_TRUE(WaitUntil([&] { return IsAdmitted(fleet, "n3"); }));
}

}  // namespace
}  // namespace hickorywood::testing
