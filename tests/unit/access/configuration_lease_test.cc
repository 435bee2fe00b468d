// Tests how long an instance may act on its copy of the configuration, and that
// the acknowledgement of a change by the control leader fits that limit.

#include "access/configuration_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <vector>

#include "control/configuration_lease.h"

namespace hickorywood::access {
namespace {

using core::milliseconds;

lease_limits ApplyWithin(milliseconds limit) {
  lease_limits limits;
  limits.apply = limit;
  return limits;
}

TEST(CopyAgeTest, ServesWhileConfirmed) {
  const lease_limits limits = ApplyWithin(milliseconds(2000));
  const core::boot_time_point confirmed_at{};
  const milliseconds limit = kContactLease + limits.apply;
  EXPECT_TRUE(MayServe(confirmed_at, limits, confirmed_at));
  EXPECT_TRUE(
      MayServe(confirmed_at, limits, confirmed_at + limit - milliseconds(1)));
  EXPECT_FALSE(MayServe(confirmed_at, limits, confirmed_at + limit));
  EXPECT_FALSE(MayServe(std::nullopt, limits, confirmed_at));
}

TEST(CopyAgeTest, ServesForAnyTimeWithoutALimit) {
  const core::boot_time_point start{};
  EXPECT_TRUE(MayServe(std::nullopt, {}, start + std::chrono::hours(1)));
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
RC_GTEST_PROP(CopyAgeTest, AcknowledgedChangesAreObeyedInTime, ()) {
  constexpr uint64_t kChanged = 2;
  constexpr milliseconds kEnd{12000};
  const auto rounds = *rc::gen::container<std::vector<view_round>>(AnyRound());
  const milliseconds changed_at(*rc::gen::inRange(0, 6000));
  const lease_limits limits =
      ApplyWithin(milliseconds(*rc::gen::inRange(1, 3000)));
  const core::time_point start{};
  const core::boot_time_point boot{};
  control::lease_table contacts;
  control::StartLeaseTable(contacts, kContactLease, start);
  uint64_t held = 1;
  confirmation confirmed_at = boot;
  std::optional<milliseconds> acknowledged_at;
  size_t next = 0;
  milliseconds round_start{0};
  for (milliseconds now{0}; now < kEnd; ++now) {
    if (next < rounds.size()) {
      const view_round& round = rounds[next];
      const milliseconds sent = round_start + milliseconds(round.pause);
      const milliseconds arrival = sent + milliseconds(round.to_leader);
      if (now == arrival) {
        control::RenewLease(contacts, "e1", "", held, 0, start + now);
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
        control::IsInForceEverywhere(contacts, kChanged, start + now);
    if (is_in_force && !acknowledged_at) acknowledged_at = now;
    const bool is_due =
        acknowledged_at && now >= *acknowledged_at + limits.apply;
    const bool acts_on_old =
        held < kChanged && MayServe(confirmed_at, limits, boot + now);
    RC_ASSERT(!(is_due && acts_on_old));
  }
}

}  // namespace
}  // namespace hickorywood::access
