#include "control/configuration_lease.h"

#include <gtest/gtest.h>

namespace hickorywood::control {
namespace {

using core::milliseconds;
using core::time_point;

const time_point kStart{std::chrono::hours(1)};

lease_table MakeLeases() {
  lease_table leases;
  StartLeaseTable(leases, milliseconds(1000), kStart);
  return leases;
}

// A new leader has no record of the leases that earlier leaders granted:
// nothing counts as in force before the longest of them has expired.
TEST(ConfigurationLeaseTest, NewLeaderWaitsForOldLeasesToExpire) {
  const lease_table leases = MakeLeases();
  EXPECT_FALSE(IsInForceEverywhere(leases, 1, kStart + milliseconds(1000)));
  EXPECT_TRUE(IsInForceEverywhere(leases, 1, kStart + milliseconds(1100)));
}

TEST(ConfigurationLeaseTest, ChangeWaitsForEachLiveHolder) {
  lease_table leases = MakeLeases();
  const time_point later = kStart + milliseconds(2000);
  RenewLease(leases, "a", "north", 5, 1, later);
  RenewLease(leases, "b", "north", 4, 1, later);
  EXPECT_FALSE(IsInForceEverywhere(leases, 5, later));
  RenewLease(leases, "b", "north", 5, 2, later);
  EXPECT_TRUE(IsInForceEverywhere(leases, 5, later));
  RenewLease(leases, "b", "north", 4, 1, later);
  EXPECT_TRUE(IsInForceEverywhere(
      leases, 5, later + milliseconds(1100)));  // the lease of "b" has expired
}

TEST(ConfigurationLeaseTest, SiteWithoutAMajorityIsUnreachable) {
  lease_table leases = MakeLeases();
  const std::map<std::string, size_t> sizes = {{"north", 3}, {"south", 1}};
  const time_point later = kStart + milliseconds(2000);
  RenewLease(leases, "a", "north", 5, 1, later);
  RenewLease(leases, "b", "north", 5, 1, later);
  RenewLease(leases, "s", "south", 4, 1, later);
  EXPECT_TRUE(UnreachableSites(leases, sizes, 0, later).empty());
  EXPECT_EQ(UnreachableSites(leases, sizes, 5, later),
            std::vector<std::string>{"south"});
  ReleaseLease(leases, "b");
  EXPECT_EQ(UnreachableSites(leases, sizes, 0, later),
            std::vector<std::string>{"north"});
}

// An entire site was disconnected and continued to serve the older revision.
// Two of its three instances are connected again; the third is still
// disconnected and serves the old revision. A change must not be accepted
// before the third instance has it too, or before the instance is considered
// terminated.
TEST(ConfigurationLeaseTest, ChangeWaitsForTheLastInstanceOfAnUnreachableSite) {
  lease_table leases = MakeLeases();
  const std::map<std::string, size_t> sizes = {{"south", 3}};
  time_point now = kStart + milliseconds(2000);
  for (const char* name : {"s1", "s2", "s3"}) {
    RenewLease(leases, name, "south", 4, 1, now);
  }
  now += milliseconds(1200);
  MarkUnreachableSites(leases, sizes, now);
  RenewLease(leases, "s1", "south", 5, 2, now);
  RenewLease(leases, "s3", "south", 5, 2, now);
  MarkUnreachableSites(leases, sizes, now);
  EXPECT_TRUE(UnreachableSites(leases, sizes, 5, now).empty());
  EXPECT_FALSE(IsInForceEverywhere(leases, 5, now));
  lease_table renewed = leases;
  RenewLease(renewed, "s2", "south", 5, 2, now);
  EXPECT_TRUE(IsInForceEverywhere(renewed, 5, now));
  lease_table excluded = leases;
  MarkUnreachableSites(excluded, {}, now);
  EXPECT_TRUE(IsInForceEverywhere(excluded, 5, now));
}

}  // namespace
}  // namespace hickorywood::control
