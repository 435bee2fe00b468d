#include "settings/fleet_config.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "settings/yaml_document.h"

namespace hickorywood::settings {
namespace {

constexpr char kBase[] =
    "pools:\n"
    "  rigcoach: {model: rigcoach-7b, staleness_bound: 2}\n"
    "services:\n"
    "  slotdesk:\n"
    "    non_idempotent: [\"POST /holds\"]\n"
    "trainers:\n"
    "  scheduling: {pool: rigcoach, weight: 3}\n";

std::string Findings(const std::string& base,
                     const std::map<std::string, config_text>& overlays = {}) {
  std::vector<core::finding> findings;
  CheckFleet({"base.yaml", base}, overlays, findings);
  return core::FormatFindings(findings);
}

TEST(FleetConfigTest, OverlayWinsOverBase) {
  std::vector<core::finding> findings;
  const auto sites = CheckFleet(
      {"base.yaml", kBase},
      {{"north", {"north.yaml", "pools:\n  rigcoach: {staleness_bound: 1}\n"}},
       {"south", {"south.yaml", ""}}},
      findings);
  ASSERT_TRUE(sites) << core::FormatFindings(findings);
  EXPECT_EQ(sites->at("north").pools.at("rigcoach").staleness_bound, 1);
  EXPECT_EQ(sites->at("south").pools.at("rigcoach").staleness_bound, 2);
  EXPECT_EQ(sites->at("north").trainers.at("scheduling").weight, 3);
}

TEST(FleetConfigTest, PoolCanBeLimitedToSites) {
  std::vector<core::finding> findings;
  const std::string base = std::string(kBase) + "  other: {pool: rigcoach}\n";
  const auto sites = CheckFleet(
      {"base.yaml", base},
      {{"north", {"n", "pools:\n  rigcoach: {sites: [south]}\n"}}}, findings);
  ASSERT_TRUE(sites);
  EXPECT_EQ(sites->at("north").pools.count("rigcoach"), 0U);
}

// Every kind of error results in a finding with its location.
TEST(FleetConfigTest, FindingsHaveALocation) {
  EXPECT_EQ(Findings("pools:\n  p:\n    model: m\n    staleness_bound: 1\n    "
                     "colour: red\n"),
            "base.yaml:5:5: unknown key 'pools.p.colour'\n");
  EXPECT_EQ(Findings("pools:\n  p: {model: m, staleness_bound: two}\n"),
            "base.yaml:2:34: 'pools.p.staleness_bound': expected an integer, "
            "got 'two'\n"
            "base.yaml:0:0: 'pools.p.staleness_bound' is missing\n");
  EXPECT_EQ(Findings("services:\n  s: {timeout: 5 parsecs}\n"),
            "base.yaml:2:16: 'services.s.timeout': expected a duration with a "
            "unit: ms, s, m or h, got '5 parsecs'\n");
  EXPECT_EQ(Findings("services:\n  s: {timeout: 5s, timeout: 6s}\n"),
            "base.yaml:2:20: key 'timeout' occurs twice\n");
  EXPECT_EQ(Findings("routing: {retry_budget: .nan}\n"),
            "base.yaml:1:25: 'routing.retry_budget': expected a finite number, "
            "got '.nan'\n");
  EXPECT_EQ(Findings("routing: {retry_budget: 7}\n"),
            "base.yaml:1:25: 'routing.retry_budget': must lie between 0 and 1, "
            "got '7'\n");
  EXPECT_EQ(Findings("claims: {maximum: 99999999999999999999}\n"),
            "base.yaml:1:19: 'claims.maximum': expected an integer, got "
            "'99999999999999999999'\n");
  EXPECT_NE(Findings("trainers:\n  t: {pool: nowhere}\n")
                .find("base.yaml:2:13: 'trainers.t.pool' names the pool"),
            std::string::npos);
  EXPECT_NE(
      Findings(
          "services:\n  s: {non_idempotent: [\"POST /a\", \"POST /a/b\"]}\n")
          .find("routes overlap"),
      std::string::npos);
  EXPECT_NE(Findings("pools: [1, 2]\n").find("'pools' must be a map"),
            std::string::npos);
  EXPECT_NE(Findings("pools: {p: {model: [\n").find("base.yaml:"),
            std::string::npos);
  EXPECT_NE(Findings("- a\n").find("expected a map at the top"),
            std::string::npos);
}

TEST(FleetConfigTest, ErrorInTheBaseIsReportedOnce) {
  const std::string text =
      Findings("colour: red\n", {{"north", {"n", ""}}, {"south", {"s", ""}}});
  EXPECT_EQ(text, "base.yaml:1:1: unknown key 'colour'\n");
}

TEST(FleetConfigTest, Durations) {
  EXPECT_EQ(ParseDuration("250ms"), std::chrono::milliseconds(250));
  EXPECT_EQ(ParseDuration("2m"), std::chrono::minutes(2));
  EXPECT_EQ(ParseDuration("1.5s"), std::chrono::milliseconds(1500));
  for (const char* text : {"", "ms", "5", "-5s", "1.5.5s", ".s", "1e3s",
                           "9999999999999s", "5 s", "nans", "1.5"}) {
    EXPECT_FALSE(ParseDuration(text)) << text;
  }
}

// For any input of an operator the validation ends with findings or a
// configuration.
RC_GTEST_PROP(FleetConfigTest, AnyBytesAreChecked, (const std::string& text)) {
  Findings(text);
}

RC_GTEST_PROP(FleetConfigTest, AnyChangeOfOneByteIsChecked, ()) {
  std::string text = kBase;
  const auto place = *rc::gen::inRange<size_t>(0, text.size());
  text[place] = *rc::gen::arbitrary<char>();
  Findings(text);
}

}  // namespace
}  // namespace hickorywood::settings
