#include "consensus/group_health.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/events.h"
#include "core/json.h"

namespace hickorywood::consensus {
namespace {

using core::milliseconds;

// A replica of a group of four, and the events that it logs.
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

  // Ticks every 100 ms for `time`. All replicas but `unreachable` reply
  // meanwhile.
  void Pass(milliseconds time, const std::string& unreachable) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      now_ += milliseconds(100);
      for (auto& [who, progress] : state_.followers) {
        if (who.node != unreachable) progress.confirmed_at = now_;
      }
      health_.BeforeTick(state_, now_);
    }
  }

  raft_state state_;
  group_health_log health_;
  time_point now_{std::chrono::seconds(100)};
  std::vector<std::string> lines_;
};

// An operator must see the state before the next loss stops the group: three
// voters are reachable and three are needed. One line is logged when the voter
// becomes unreachable and one when it is back, none in between.
TEST_F(GroupHealthTest, UnreachableVoterIsLoggedOnce) {
  Pass(milliseconds(1900), "n2");
  EXPECT_TRUE(lines_.empty());
  Pass(milliseconds(60000), "n2");
  EXPECT_EQ(lines_, std::vector<std::string>{"2013  4 3 3 n2"});
  Pass(milliseconds(1000), "");
  ASSERT_EQ(lines_.size(), 2U);
  EXPECT_EQ(lines_[1], "2013  4 4 3 ");
}

// Two of four voters are left, and every election fails for a minute. The line
// lists the missing voters; it is logged after 2 s and then every 10 s.
TEST_F(GroupHealthTest, FailedElectionLogsMissingVoters) {
  state_.role = raft_role::kPreCandidate;
  state_.leader = member{};
  state_.votes = {state_.self, {"n1", "disk"}};
  state_.election_deadline = now_;
  Pass(milliseconds(60000), "");
  ASSERT_EQ(lines_.size(), 6U);
  EXPECT_EQ(lines_.front(), "2014  4 2 3 n2,n3");
  EXPECT_EQ(lines_.back(), lines_.front());
}

// A split vote is resolved in the next election: nothing is logged.
TEST_F(GroupHealthTest, ElectionWonSoonIsNotLogged) {
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
