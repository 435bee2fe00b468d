#include "fleet/configuration.h"

#include <gtest/gtest.h>

#include "fleet/view.h"

namespace hickorywood::fleet {
namespace {

route MakeRoute(const std::string& name, const std::string& prefix,
                const std::string& service) {
  route where;
  where.name = name;
  where.host = "host";
  where.path_prefix = prefix;
  where.timeout_ms = 1000;
  where.services = {{service, 1}};
  return where;
}

configuration MakeConfiguration(uint64_t version) {
  configuration config;
  config.version = version;
  config.services = {{"a"}, {"b"}};
  config.routes = {MakeRoute("short", "/x/", "a"),
                   MakeRoute("long", "/x/y/", "b")};
  return config;
}

TEST(ConfigurationTest, LongestPrefixOfTheHostWins) {
  const configuration config = MakeConfiguration(1);
  EXPECT_EQ(FindRoute(config, "host", "/x/y/1")->name, "long");
  EXPECT_EQ(FindRoute(config, "host", "/x/z")->name, "short");
  EXPECT_EQ(FindRoute(config, "host", "/x"), nullptr);
  EXPECT_EQ(FindRoute(config, "other", "/x/y/1"), nullptr);
  EXPECT_EQ(FindRoute(config, "host", "/xy/"), nullptr);
}

route MakeStepRoute(const std::string& name, const std::string& prefix,
                    const std::string& service) {
  route where = MakeRoute(name, prefix, service);
  where.kind = route_kind::kRollout;
  return where;
}

std::string RouteOfStep(const configuration& config,
                        const std::string& accepted_prefix) {
  const route* const found =
      FindRouteOfStep(config, "host", accepted_prefix, "/x/y/step");
  return found == nullptr ? "" : found->name;
}

// Guards against a step that follows the longest prefix of its path to a route
// that did not accept it.
TEST(ConfigurationTest, StepKeepsItsRouteBesideLongerPrefixes) {
  configuration config = MakeConfiguration(1);
  config.routes = {MakeStepRoute("outer", "/x/", "a")};
  EXPECT_EQ(RouteOfStep(config, "/x/"), "outer");
  config.routes.push_back(MakeStepRoute("inner", "/x/y/", "b"));
  EXPECT_EQ(RouteOfStep(config, "/x/"), "outer");
  EXPECT_EQ(RouteOfStep(config, "/x/y/"), "inner");
  config.routes[0].services = {{"b", 1}};
  EXPECT_EQ(
      FindRouteOfStep(config, "host", "/x/", "/x/y/step")->services[0].service,
      "b");
}

// Guards against a step that is sent to a route for other requests once its own
// route has ended.
TEST(ConfigurationTest, StepOfARemovedRouteOnlyMovesToAStepRoute) {
  configuration config = MakeConfiguration(1);
  config.routes = {MakeRoute("plain", "/x/y/", "b")};
  EXPECT_EQ(RouteOfStep(config, "/x/"), "");
  config.routes = {MakeRoute("plain", "/x/", "b")};
  EXPECT_EQ(RouteOfStep(config, "/x/"), "");
  config.routes = {MakeStepRoute("other", "/x/y/", "b")};
  EXPECT_EQ(RouteOfStep(config, "/x/"), "other");
  EXPECT_EQ(RouteOfStep(config, ""), "other");
}

TEST(ConfigurationTest, EachFaultIsReported) {
  EXPECT_TRUE(CheckConfiguration(MakeConfiguration(1)).empty());
  configuration unknown = MakeConfiguration(1);
  unknown.routes[0].services[0].service = "c";
  EXPECT_EQ(CheckConfiguration(unknown).size(), 1U);
  configuration same_place = MakeConfiguration(1);
  same_place.routes[1].path_prefix = "/x/";
  EXPECT_EQ(CheckConfiguration(same_place).size(), 1U);
  configuration no_weight = MakeConfiguration(1);
  no_weight.routes[0].services[0].weight = 0;
  EXPECT_EQ(CheckConfiguration(no_weight).size(), 1U);
  configuration no_time = MakeConfiguration(1);
  no_time.routes[1].timeout_ms = 0;
  EXPECT_EQ(CheckConfiguration(no_time).size(), 1U);
  configuration no_version = MakeConfiguration(0);
  EXPECT_EQ(CheckConfiguration(no_version).size(), 1U);
}

TEST(ConfigurationTest, KeyOfTwoCustomersIsReportedWithItsPlaces) {
  configuration config = MakeConfiguration(1);
  config.customers = {{"x", {"1", "2", "2"}}, {"y", {"3", "2"}}};
  const std::vector<std::string> findings = CheckConfiguration(config);
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0],
            "customer 'y': its key 1 is also key 1 of customer 'x'");
}

TEST(ConfigurationTest, ServicesAreChosenByWeight) {
  route where = MakeRoute("r", "/", "a");
  where.services = {{"a", 90}, {"b", 0}, {"c", 10}};
  EXPECT_EQ(DrawService(where, 0.0), "a");
  EXPECT_EQ(DrawService(where, 0.89), "a");
  EXPECT_EQ(DrawService(where, 0.91), "c");
  EXPECT_EQ(DrawService(where, 1.0), "c");
}

// A process receives an update of a new leader, and then a delayed one of the
// previous leader. Neither its list nor its configuration may return to an
// older version.
TEST(ConfigurationTest, ViewsNeverReturnToAnOlderVersion) {
  view held;
  view_update update;
  update.version = {2, 1};
  update.has_config = true;
  update.config = MakeConfiguration(5);
  update.lists = list_part::kAll;
  update.endpoints = {{"new"}};
  EXPECT_TRUE(ApplyUpdate(held, update));
  view_update late = update;
  late.version = {1, 9};
  late.config.version = 6;
  late.endpoints = {{"old"}};
  EXPECT_FALSE(ApplyUpdate(held, late));
  EXPECT_EQ(held.endpoints[0].incarnation, "new");
  view_update older_config = update;
  older_config.version = {2, 2};
  older_config.config.version = 4;
  older_config.lists = list_part::kNone;
  ApplyUpdate(held, older_config);
  EXPECT_EQ(held.config.version, 5U);
}

}  // namespace
}  // namespace hickorywood::fleet
