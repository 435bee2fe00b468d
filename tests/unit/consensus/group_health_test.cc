#include "consensus/group_health.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/events.h"
#include "core/json.h"

namespace hickorywood::consensus {
namespace {

using core::milliseconds;

// A replica of a group of four, and the events that its log writes.
class GroupHealthTest : public ::testing::Test {
 protected:
  GroupHealthTest() {
    group_members members;
    for (const char* node : {"n0", "n1", "n2", "n3"}) {
      members.voters.push_back({node, "disk"});
    }
    log_entry entry;
    entry.index = 1;
    entry.kind = entry_kind::kMembers;
    entry.data = core::Encode(members);
    state_.log.entries.push_back(entry);
    state_.self = members.voters[0];
    state_.leader = members.voters[0];
    state_.role = raft_role::kLeader;
    state_.elected_at = now_;
    for (size_t i = 1; i < 4; ++i) state_.followers[members.voters[i]] = {};
    core::SetEventObserver(
        [this](const core::event_info& info, const auto& fields) {
          std::string line = std::to_string(static_cast<int>(info.id));
          for (const auto& [key, value] : fields) line += " " + value;
          lines_.push_back(line);
        });
  }
  ~GroupHealthTest() override { core::SetEventObserver(nullptr); }

  // Ticks each 100 ms for `time`; all but `silent` answer meanwhile.
  void Pass(milliseconds time, const std::string& silent) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      now_ += milliseconds(100);
      for (auto& [who, progress] : state_.followers) {
        if (who.node != silent) progress.confirmed_at = now_;
      }
      health_.BeforeTick(state_, now_);
    }
  }

  raft_state state_;
  group_health_log health_;
  time_point now_{std::chrono::seconds(100)};
  std::vector<std::string> lines_;
};

// What an operator reads before the loss that stops the group: three are heard
// and three are needed. One line when the voter falls silent, one when it is
// back, none in between.
TEST_F(GroupHealthTest, SilentVoterIsToldOnce) {
  Pass(milliseconds(1900), "n2");
  EXPECT_TRUE(lines_.empty());
  Pass(milliseconds(60000), "n2");
  EXPECT_EQ(lines_, std::vector<std::string>{"2013  4 3 3 n2"});
  Pass(milliseconds(1000), "");
  ASSERT_EQ(lines_.size(), 2U);
  EXPECT_EQ(lines_[1], "2013  4 4 3 ");
}

// Two of four are left, and no election is won for a minute. The line names
// those that are missing; it comes after 2 s and each 10 s.
TEST_F(GroupHealthTest, GroupWithoutQuorumSaysWhoIsMissing) {
  state_.role = raft_role::kPreCandidate;
  state_.leader = member{};
  state_.votes = {state_.self, {"n1", "disk"}};
  state_.election_deadline = now_;
  Pass(milliseconds(60000), "");
  ASSERT_EQ(lines_.size(), 6U);
  EXPECT_EQ(lines_.front(), "2014  4 2 3 n2,n3");
  EXPECT_EQ(lines_.back(), lines_.front());
}

// A split vote is won in the next round: nothing is logged.
TEST_F(GroupHealthTest, ElectionThatIsWonSoonIsNoLine) {
  state_.role = raft_role::kCandidate;
  state_.leader = member{};
  state_.election_deadline = now_;
  Pass(milliseconds(1500), "");
  state_.role = raft_role::kFollower;
  state_.leader = {"n1", "disk"};
  Pass(milliseconds(1500), "");
  state_.role = raft_role::kCandidate;
  state_.leader = member{};
  Pass(milliseconds(1500), "");
  EXPECT_TRUE(lines_.empty());
}

}  // namespace
}  // namespace hickorywood::consensus
