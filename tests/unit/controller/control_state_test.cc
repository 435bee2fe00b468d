// Tests of the state that the control group replicates.

#include "controller/control_state.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/binary.h"

namespace hickorywood::controller {
namespace {

void Record(control_state& state,
            std::vector<fleet::leaving_endpoint> endpoints) {
  group::hosted_command input;
  input.name = kRecordLeavingCommand;
  input.payload =
      core::EncodeBinary(record_leaving_command{std::move(endpoints)});
  state.Apply(input);
}

// Guards against a departure that is only in the memory of one leader: a
// snapshot must contain it.
TEST(ControlStateTest, LeavingEndpointsAreInTheSnapshot) {
  control_state saved;
  Record(saved, {{"left", true}, {"draining"}});
  control_state restored;
  ASSERT_TRUE(restored.Restore(saved.Save(1).data));
  EXPECT_TRUE(restored.IsRecorded({"left", true}));
  EXPECT_TRUE(restored.IsRecorded({"draining"}));
  EXPECT_FALSE(restored.IsRecorded({"draining", true}));
  EXPECT_FALSE(restored.IsRecorded({"other"}));
}

// An endpoint first drains and then leaves. A delayed report that it drains
// must not replace its departure.
TEST(ControlStateTest, DepartureReplacesDrainingOnly) {
  control_state state;
  Record(state, {{"a"}});
  Record(state, {{"a", true}});
  Record(state, {{"a"}});
  ASSERT_EQ(state.Leaving().size(), 1U);
  EXPECT_TRUE(state.Leaving().begin()->second.has_left);
}

// The numbers of the records only rise, so that a leader can tell which ones it
// has, and the oldest ones are dropped.
TEST(ControlStateTest, OldRecordsOfLeavingEndpointsAreDropped) {
  constexpr size_t kRecords = 5000;
  control_state state;
  for (size_t i = 0; i < kRecords; ++i) {
    Record(state, {{"i" + std::to_string(i), true}});
  }
  EXPECT_LT(state.Leaving().size(), kRecords);
  EXPECT_EQ(state.Leaving().rbegin()->first, kRecords);
  EXPECT_FALSE(state.IsRecorded({"i0", true}));
  EXPECT_TRUE(state.IsRecorded({"i4999", true}));
}

// Guards against a number of servers that is ordered although the service may
// not be scaled any more, and against one that a restart forgets.
TEST(ControlStateTest, NumbersOfServersFollowTheConfiguration) {
  control_state state;
  const auto put = [&state](uint64_t version, bool has_scaling) {
    put_configuration_command command;
    command.config.version = version;
    command.config.services.resize(1);
    command.config.services[0].name = "s";
    command.config.services[0].has_scaling = has_scaling;
    group::hosted_command input;
    input.name = kPutConfigurationCommand;
    input.payload = core::EncodeBinary(command);
    state.Apply(input);
  };
  put(1, true);
  group::hosted_command input;
  input.name = kSetServersCommand;
  const auto set = [&](std::vector<server_target> targets) {
    input.payload = core::EncodeBinary(set_servers_command{std::move(targets)});
    state.Apply(input);
  };
  set({{"s", "za", false, 18}});
  // A number that moves to another zone is set in both with one command.
  set({{"s", "zb", false, 2}, {"s", "za", false, 16}});
  put(2, true);
  control_state restored;
  ASSERT_TRUE(restored.Restore(state.Save(1).data));
  EXPECT_EQ(restored.ServerTarget("s", "za", false), 16);
  EXPECT_EQ(restored.ServerTarget("s", "zb", false), 2);
  EXPECT_FALSE(restored.ServerTarget("s", "za", true));
  put(3, false);
  EXPECT_FALSE(state.ServerTarget("s", "za", false));
}

void Found(control_state& state, std::vector<consensus::member> voters) {
  group::hosted_command input;
  input.name = kFoundDataGroupCommand;
  input.payload =
      core::EncodeBinary(found_data_group_command{"", std::move(voters)});
  state.Apply(input);
}

// Guards against two data groups: the first choice of voters is final, also
// that of an earlier version.
TEST(ControlStateTest, DataGroupIsFoundedOnce) {
  const std::vector<consensus::member> voters = {{"s1", "a"}, {"s2", "b"}};
  control_state state;
  EXPECT_FALSE(state.IsDataGroupFounded());
  Found(state, voters);
  Found(state, {{"s1", "c"}, {"s2", "b"}});
  EXPECT_TRUE(state.IsDataGroupFounded());
  EXPECT_EQ(state.DataVoters(), voters);
  control_state earlier;
  group::hosted_command input;
  input.name = kFoundDataGroupCommand;
  input.payload = core::EncodeBinary(found_data_group_command{"s1"});
  earlier.Apply(input);
  Found(earlier, voters);
  EXPECT_TRUE(earlier.IsDataGroupFounded());
  EXPECT_TRUE(earlier.DataVoters().empty());
}

}  // namespace
}  // namespace hickorywood::controller
