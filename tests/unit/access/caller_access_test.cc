// Tests which callers are served, on whose behalf, and how long a withdrawn key
// may be accepted.

#include "access/caller_access.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace hickorywood::access {
namespace {

using core::milliseconds;

constexpr milliseconds kRevocation{5000};

fleet::configuration MakeConfiguration(uint64_t version) {
  fleet::configuration config;
  config.version = version;
  config.needs_keys = true;
  config.customers = {{"first", {"key-a", "key-b"}}, {"second", {"key-c"}, 2}};
  return config;
}

class CallerAccessTest : public ::testing::Test {
 protected:
  CallerAccessTest() {
    clock_.Pause();
    confirmed_at_ = clock_.BootNow();
  }

  access_decision Decide(const std::string& key, bool is_public = false) {
    const key_directory keys = MakeKeyDirectory(config_, "secret");
    access_input input;
    input.config = &config_;
    input.keys = &keys;
    input.key = key;
    input.is_public = is_public;
    input.confirmed_at = confirmed_at_;
    input.limits.revocation = kRevocation;
    input.now = clock_.BootNow();
    return DecideAccess(input);
  }

  core::runtime_clock clock_;
  fleet::configuration config_ = MakeConfiguration(1);
  confirmation confirmed_at_;
};

TEST_F(CallerAccessTest, KeyNamesItsCustomer) {
  EXPECT_EQ(Decide("key-a").customer, "first");
  EXPECT_EQ(Decide("key-b").customer, "first");
  EXPECT_EQ(Decide("key-c").customer, "second");
}

TEST_F(CallerAccessTest, UnknownOrMissingKeyIsRefused) {
  EXPECT_EQ(Decide("key-d").outcome, access_outcome::kUnknownKey);
  EXPECT_EQ(Decide("").outcome, access_outcome::kUnknownKey);
  EXPECT_EQ(Decide("key-").outcome, access_outcome::kUnknownKey);
}

TEST_F(CallerAccessTest, PublicRouteNeedsNoKey) {
  EXPECT_EQ(Decide("", true).customer, "");
  EXPECT_EQ(Decide("key-d", true).customer, "");
  EXPECT_EQ(Decide("key-c", true).customer, "second");
}

TEST_F(CallerAccessTest, WithoutKeysInTheConfigurationNobodyIsIdentified) {
  config_ = {};
  const access_decision decision = Decide("key-a");
  EXPECT_EQ(decision.outcome, access_outcome::kGranted);
  EXPECT_FALSE(decision.customer.has_value());
}

// Guards against a withdrawn key that an instance out of contact accepts.
TEST_F(CallerAccessTest, KeyIsAcceptedOnlyWithinTheRevocationLimit) {
  clock_.Advance(kRevocation - milliseconds(1));
  EXPECT_EQ(Decide("key-a").outcome, access_outcome::kGranted);
  clock_.Advance(milliseconds(1));
  EXPECT_EQ(Decide("key-a").outcome, access_outcome::kUnconfirmed);
}

// Guards against a lease on the steady clock, which stands still meanwhile.
TEST_F(CallerAccessTest, LeaseEndsWhileTheMachineIsSuspended) {
  clock_.Suspend(kRevocation);
  EXPECT_EQ(Decide("key-a").outcome, access_outcome::kUnconfirmed);
}

// Guards against a 401 for a key that a newer configuration contains.
TEST_F(CallerAccessTest, InstanceOutOfContactDeniesNoKey) {
  clock_.Advance(lease_limits{}.denial);
  EXPECT_EQ(Decide("key-d").outcome, access_outcome::kUnconfirmed);
  confirmed_at_.reset();
  EXPECT_EQ(Decide("key-d").outcome, access_outcome::kUnconfirmed);
  EXPECT_EQ(Decide("key-a").outcome, access_outcome::kUnconfirmed);
}

// A control leader and an instance that follows it, through a schedule of
// lost responses, delays, freezes, suspensions and restarts.
struct follower_model {
  core::runtime_clock clock;
  confirmation confirmed_at;
  fleet::configuration held;

  bool Accepts(const std::string& key) const {
    if (held.version == 0) return false;
    const key_directory keys = MakeKeyDirectory(held, "secret");
    access_input input;
    input.config = &held;
    input.keys = &keys;
    input.key = key;
    input.confirmed_at = confirmed_at;
    input.limits.revocation = kRevocation;
    input.now = clock.BootNow();
    return DecideAccess(input).outcome == access_outcome::kGranted;
  }
};

enum class happening { kPoll, kLostPoll, kWait, kSuspend, kRestart, kWithdraw };

// Guards against any schedule in which a request that arrives later than the
// limit after the withdrawal of its key was acknowledged is granted.
RC_GTEST_PROP(CallerAccessPropertyTest, NoScheduleKeepsAWithdrawnKeyAlive, ()) {
  const auto happenings = *rc::gen::container<std::vector<happening>>(
      rc::gen::weightedElement<happening>({{6, happening::kPoll},
                                           {3, happening::kLostPoll},
                                           {6, happening::kWait},
                                           {2, happening::kSuspend},
                                           {1, happening::kRestart},
                                           {1, happening::kWithdraw}}));
  follower_model follower;
  follower.clock.Pause();
  fleet::configuration acknowledged = MakeConfiguration(1);
  confirmation withdrawn_at;
  for (const happening what : happenings) {
    const milliseconds step(*rc::gen::inRange(0, 3000));
    const core::boot_time_point requested_at = follower.clock.BootNow();
    switch (what) {
      case happening::kPoll:
        // The leader reads its state at some time between the request and the
        // response.
        follower.held = acknowledged;
        follower.clock.Advance(step);
        follower.confirmed_at = requested_at;
        break;
      case happening::kLostPoll:
      case happening::kWait:
        follower.clock.Advance(step);
        break;
      case happening::kSuspend:
        follower.clock.Suspend(step);
        break;
      case happening::kRestart:
        follower.held = {};
        follower.confirmed_at.reset();
        break;
      case happening::kWithdraw:
        acknowledged.customers[0].keys = {"key-b"};
        ++acknowledged.version;
        if (!withdrawn_at) withdrawn_at = requested_at;
        break;
    }
    const bool is_over =
        withdrawn_at && follower.clock.BootNow() - *withdrawn_at >= kRevocation;
    if (is_over) RC_ASSERT(!follower.Accepts("key-a"));
  }
}

}  // namespace
}  // namespace hickorywood::access
