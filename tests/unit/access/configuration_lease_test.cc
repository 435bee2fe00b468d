// Tests how long an instance may act on its copy of the configuration.

#include "access/configuration_lease.h"

#include <gtest/gtest.h>

#include <optional>

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

}  // namespace
}  // namespace hickorywood::access
