// Tests when the control leader acknowledges a change.

#include "controller/contact_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <vector>

#include "access/configuration_lease.h"

namespace hickorywood::controller {
namespace {

using core::milliseconds;

const core::time_point kStart = core::time_point(std::chrono::hours(1));
constexpr milliseconds kExpired = 2 * access::kContactLease;

// A table that knows all instances, one of which has version 1.
contact_table MakeTable() {
  contact_table contacts;
  StartContacts(contacts, kStart - kExpired);
  RecordContact(contacts, "e1", 1, kStart);
  return contacts;
}

TEST(ContactTableTest, ChangeIsKnownWhenEachInstanceHasIt) {
  contact_table contacts = MakeTable();
  EXPECT_FALSE(IsKnownEverywhere(contacts, 2, kStart, kStart));
  EXPECT_EQ(InstancesWithout(contacts, 2, kStart),
            std::vector<std::string>{"e1"});
  RecordContact(contacts, "e1", 2, kStart);
  EXPECT_TRUE(IsKnownEverywhere(contacts, 2, kStart, kStart));
}

// Guards against a change that is never acknowledged: the instance requests
// views, but no response arrives there.
TEST(ContactTableTest, InstanceThatReceivesNothingDelaysAChangeForOneLease) {
  contact_table contacts = MakeTable();
  for (milliseconds now{0}; now < kExpired; now += milliseconds(100)) {
    RecordContact(contacts, "e1", 1, kStart + now);
  }
  EXPECT_TRUE(IsKnownEverywhere(contacts, 2, kStart, kStart + kExpired));
}

// Guards against an acknowledgement for which a new leader asked nobody.
TEST(ContactTableTest, NewLeaderWaitsForInstancesThatItDoesNotKnow) {
  contact_table contacts;
  StartContacts(contacts, kStart);
  EXPECT_FALSE(IsKnownEverywhere(contacts, 2, kStart - kExpired, kStart));
  EXPECT_TRUE(
      IsKnownEverywhere(contacts, 2, kStart - kExpired, kStart + kExpired));
}

// One request for a view, in milliseconds.
struct view_round {
  int pause = 0;  // before the request is sent
  int to_leader = 0;
  int to_instance = 0;
  bool is_lost = false;  // the response
};

rc::Gen<view_round> AnyRound() {
  return rc::gen::build<view_round>(
      rc::gen::set(&view_round::pause, rc::gen::inRange(0, 4000)),
      rc::gen::set(&view_round::to_leader, rc::gen::inRange(0, 2000)),
      rc::gen::set(&view_round::to_instance, rc::gen::inRange(0, 2000)),
      rc::gen::set(&view_round::is_lost));
}

// Guards against an acknowledgement after which an instance acts on the older
// configuration for longer than the limit.
RC_GTEST_PROP(ContactTableTest, AcknowledgedChangesAreObeyedInTime, ()) {
  constexpr uint64_t kChanged = 2;
  constexpr milliseconds kEnd{12000};
  const auto rounds = *rc::gen::container<std::vector<view_round>>(AnyRound());
  const milliseconds changed_at(*rc::gen::inRange(0, 6000));
  access::lease_limits limits;
  limits.apply = milliseconds(*rc::gen::inRange(1, 3000));
  const core::time_point start{};
  const core::boot_time_point boot{};
  contact_table contacts;
  StartContacts(contacts, start);
  uint64_t held = 1;
  access::confirmation confirmed_at = boot;
  std::optional<milliseconds> acknowledged_at;
  size_t next = 0;
  milliseconds round_start{0};
  for (milliseconds now{0}; now < kEnd; ++now) {
    if (next < rounds.size()) {
      const view_round& round = rounds[next];
      const milliseconds sent = round_start + milliseconds(round.pause);
      const milliseconds arrival = sent + milliseconds(round.to_leader);
      if (now == arrival) {
        RecordContact(contacts, "e1", held, start + now);
      }
      if (now == arrival + milliseconds(round.to_instance)) {
        if (!round.is_lost) {
          confirmed_at = boot + sent;
          if (arrival >= changed_at) held = kChanged;
        }
        ++next;
        round_start = now + milliseconds(1);
      }
    }
    const bool is_in_force =
        now >= changed_at &&
        IsKnownEverywhere(contacts, kChanged, start + changed_at, start + now);
    if (is_in_force && !acknowledged_at) acknowledged_at = now;
    RC_ASSERT(acknowledged_at || now < changed_at + 2 * access::kContactLease);
    const bool is_due =
        acknowledged_at && now >= *acknowledged_at + limits.apply;
    const bool acts_on_old =
        held < kChanged && access::MayServe(confirmed_at, limits, boot + now);
    RC_ASSERT(!(is_due && acts_on_old));
  }
}

}  // namespace
}  // namespace hickorywood::controller
