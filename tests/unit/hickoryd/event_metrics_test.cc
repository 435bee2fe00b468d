#include "hickoryd/event_metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace hickorywood::hickoryd {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

const core::event_info& Info(core::event_id id) {
  for (const core::event_info& info : core::AllEvents()) {
    if (info.id == id) return info;
  }
  return core::AllEvents().front();
}

TEST(EventMetricsTest, CountsEventsAndRecordsDurations) {
  event_metrics metrics;
  const core::event_info& answered = Info(core::event_id::kRequestAnswered);
  metrics.Record(answered, {{"request", "a"}, {"ms", "30"}});
  metrics.Record(answered, {{"request", "b"}, {"ms", "200"}});
  metrics.Record(Info(core::event_id::kLeaderElected), {{"term", "3"}});
  const std::string text = metrics.Text();
  EXPECT_THAT(text, HasSubstr("hickory_events_total{event=\"HK5005\","
                              "level=\"info\",subsystem=\"routing\"} 2"));
  EXPECT_THAT(text, HasSubstr("hickory_event_duration_seconds_bucket{event="
                              "\"HK5005\",le=\"0.05\"} 1"));
  EXPECT_THAT(text, HasSubstr("hickory_event_duration_seconds_count{event="
                              "\"HK5005\"} 2"));
  EXPECT_THAT(text, HasSubstr("event=\"HK2005\""));
  EXPECT_THAT(text, Not(HasSubstr("duration_seconds_count{event=\"HK2005\"")));
}

// An event with a malformed duration is counted, but its duration is ignored.
TEST(EventMetricsTest, MalformedDurationIsIgnored) {
  event_metrics metrics;
  metrics.Record(Info(core::event_id::kRequestAnswered), {{"ms", "soon"}});
  EXPECT_THAT(metrics.Text(),
              HasSubstr("hickory_events_total{event=\"HK5005\""));
  EXPECT_THAT(metrics.Text(), Not(HasSubstr("duration_seconds_count")));
}

TEST(EventMetricsTest, PageListsAllFamilies) {
  std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/metrics.md");
  std::ostringstream page;
  page << file.rdbuf();
  EXPECT_THAT(page.str(), HasSubstr(std::string("`") + kEventFamily + "`"));
  EXPECT_THAT(page.str(), HasSubstr(std::string("`") + kDurationFamily + "`"));
}

}  // namespace
}  // namespace hickorywood::hickoryd
