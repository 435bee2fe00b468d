// Tests that a configuration and the changes since lead to the next one.

#include "fleet/configuration_changes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

#include "core/binary.h"

namespace hickorywood::fleet {
namespace {

// A configuration whose items are drawn from a few, so that two of them share
// some, differ in some, and lack some.
configuration DrawConfiguration(uint64_t version) {
  configuration config;
  config.version = version;
  config.needs_keys = *rc::gen::arbitrary<bool>();
  config.limits.body_bytes = *rc::gen::inRange(0, 3);
  for (int i = 0; i < 6; ++i) {
    const std::string name = std::to_string(i);
    if (*rc::gen::arbitrary<bool>()) {
      route where;
      where.name = name;
      where.host = i % 2 == 0 ? "a" : "b";
      where.path_prefix = "/" + name + "/";
      where.timeout_ms = *rc::gen::inRange(1, 3);
      config.routes.push_back(where);
    }
    if (*rc::gen::arbitrary<bool>()) {
      service item;
      item.name = name;
      item.max_connections = *rc::gen::inRange(0, 2);
      config.services.push_back(item);
    }
    if (*rc::gen::arbitrary<bool>()) {
      config.customers.push_back(
          {name, {"key-" + std::to_string(*rc::gen::inRange(0, 2))}});
    }
  }
  return config;
}

template <typename Item>
bool HasSameItems(const std::vector<Item>& left,
                  const std::vector<Item>& right) {
  return std::is_permutation(left.begin(), left.end(), right.begin(),
                             right.end());
}

RC_GTEST_PROP(ConfigurationChangesTest, ChangesLeadToTheNextVersion, ()) {
  const configuration before = DrawConfiguration(1);
  const configuration after = DrawConfiguration(2);
  const auto sent = core::DecodeBinary<configuration_changes>(
      core::EncodeBinary(ChangesBetween(before, after)));
  RC_ASSERT(sent.has_value());
  configuration held = before;
  RC_ASSERT(ApplyChanges(held, *sent));
  RC_ASSERT(held.version == after.version);
  RC_ASSERT(held.needs_keys == after.needs_keys);
  RC_ASSERT(held.limits.body_bytes == after.limits.body_bytes);
  RC_ASSERT(HasSameItems(held.routes, after.routes));
  RC_ASSERT(HasSameItems(held.services, after.services));
  RC_ASSERT(HasSameItems(held.customers, after.customers));
}

// Guards against changes that are applied to another version than theirs.
TEST(ConfigurationChangesTest, ChangesOfAnotherVersionAreRejected) {
  configuration held;
  held.version = 3;
  configuration_changes changes;
  changes.base = 2;
  changes.version = 4;
  EXPECT_FALSE(ApplyChanges(held, changes));
  EXPECT_EQ(held.version, 3U);
}

}  // namespace
}  // namespace hickorywood::fleet
