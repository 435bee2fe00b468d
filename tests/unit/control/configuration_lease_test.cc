#include "control/configuration_lease.h"

#include <gtest/gtest.h>

namespace hickorywood::control {
namespace {

using core::milliseconds;
using core::time_point;

const time_point kStart{std::chrono::hours(1)};

lease_book Book() {
  lease_book book;
  StartLeaseTable(book, milliseconds(1000), kStart);
  return book;
}

// A new leader does not know whom its predecessor gave leases to: nothing
// counts as in force before the longest of them is over.
TEST(ConfigurationLeaseTest, NewLeaderWaitsOutOldLeases) {
  const lease_book book = Book();
  EXPECT_FALSE(IsInForceEverywhere(book, 1, kStart + milliseconds(1000)));
  EXPECT_TRUE(IsInForceEverywhere(book, 1, kStart + milliseconds(1100)));
}

TEST(ConfigurationLeaseTest, ChangeWaitsForEachLiveHolder) {
  lease_book book = Book();
  const time_point later = kStart + milliseconds(2000);
  RenewLease(book, "a", "north", 5, 1, later);
  RenewLease(book, "b", "north", 4, 1, later);
  EXPECT_FALSE(IsInForceEverywhere(book, 5, later));
  RenewLease(book, "b", "north", 5, 2, later);
  EXPECT_TRUE(IsInForceEverywhere(book, 5, later));
  RenewLease(book, "b", "north", 4, 1, later);
  EXPECT_TRUE(IsInForceEverywhere(
      book, 5, later + milliseconds(1100)));  // its lease ran out
}

TEST(ConfigurationLeaseTest, SiteWithoutAMajorityIsDark) {
  lease_book book = Book();
  const std::map<std::string, size_t> sizes = {{"north", 3}, {"south", 1}};
  const time_point later = kStart + milliseconds(2000);
  RenewLease(book, "a", "north", 5, 1, later);
  RenewLease(book, "b", "north", 5, 1, later);
  RenewLease(book, "s", "south", 4, 1, later);
  EXPECT_TRUE(DarkSites(book, sizes, 0, later).empty());
  EXPECT_EQ(DarkSites(book, sizes, 5, later),
            std::vector<std::string>{"south"});
  ReleaseLease(book, "b");
  EXPECT_EQ(DarkSites(book, sizes, 0, later),
            std::vector<std::string>{"north"});
}

// A whole site was cut off and went on serving the older revision. Two of its
// three instances are back; the third has not heard of it and still serves what
// it had. A change must not be called accepted before it has it too, or before
// it is taken for lost.
TEST(ConfigurationLeaseTest, LastInstanceOfADarkSiteIsWaitedFor) {
  lease_book book = Book();
  const std::map<std::string, size_t> sizes = {{"south", 3}};
  time_point now = kStart + milliseconds(2000);
  for (const char* name : {"s1", "s2", "s3"}) {
    RenewLease(book, name, "south", 4, 1, now);
  }
  now += milliseconds(1200);
  NoteDarkSites(book, sizes, now);
  RenewLease(book, "s1", "south", 5, 2, now);
  RenewLease(book, "s3", "south", 5, 2, now);
  NoteDarkSites(book, sizes, now);
  EXPECT_TRUE(DarkSites(book, sizes, 5, now).empty());
  EXPECT_FALSE(IsInForceEverywhere(book, 5, now));
  lease_book renewed = book;
  RenewLease(renewed, "s2", "south", 5, 2, now);
  EXPECT_TRUE(IsInForceEverywhere(renewed, 5, now));
  lease_book excluded = book;
  NoteDarkSites(excluded, {}, now);
  EXPECT_TRUE(IsInForceEverywhere(excluded, 5, now));
}

}  // namespace
}  // namespace hickorywood::control
