// Reports of usage by a deployment of real processes to a simulated provider.

#include <gtest/gtest.h>
#include <signal.h>

#include <string>

#include "support/deployment.h"
#include "support/simulated_provider.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

class UsageReportTest : public ::testing::Test {
 protected:
  bool Start() {
    fleet_.customers = json::array({{{"name", "first"}, {"api_keys", {"k1"}}}});
    fleet_.caller_key = "k1";
    fleet_.extra_settings =
        "usage: {window: 1s, due: 8s}\nprovider: {address: \"" +
        provider_.Address() + "\", duties: [usage]}\n";
    return fleet_.Start();
  }

  void Send(const std::string& entry) {
    fleet_.Plain(entry, "request-" + std::to_string(++sent_));
  }

  // Number of requests that began to run, as the endpoints saw them.
  uint64_t Begun() {
    // Start() repeats its requests under the same ids.
    int begun = fleet_.Endpoints().RunsOf("warm-1") +
                fleet_.Endpoints().RunsOf("warm-2");
    for (int i = 1; i <= sent_; ++i) {
      const std::string id = "request-" + std::to_string(i);
      if (fleet_.Endpoints().RunsOf(id) > 0) ++begun;
    }
    return static_cast<uint64_t>(begun);
  }

  // The sum over all windows, each as it was first reported.
  uint64_t Reported() {
    uint64_t total = 0;
    for (const auto& [window, reports] : provider_.Reports()) {
      const auto found = reports.front().find("first");
      if (found != reports.front().end()) total += found->second;
    }
    return total;
  }

  void ExpectEqualReports() {
    for (const auto& [window, reports] : provider_.Reports()) {
      for (const auto& counts : reports) {
        EXPECT_EQ(counts, reports.front()) << "window " << window;
      }
    }
  }

  simulated_provider provider_;
  deployment fleet_;
  int sent_ = 0;
};

// Guards against reports that differ because a response was lost.
TEST_F(UsageReportTest, EachRequestIsReportedOnce) {
  provider_.LoseResponses(2);
  ASSERT_TRUE(Start());
  for (int i = 0; i < 20; ++i) Send(i % 2 == 0 ? "e1" : "e2");
  EXPECT_TRUE(WaitUntil([this] { return Reported() >= Begun(); }));
  EXPECT_EQ(Reported(), Begun());
  ExpectEqualReports();
}

// Guards against counts that die with the control leader, and against a second
// leader that reports a window with other counts.
TEST_F(UsageReportTest, ReportsOutliveEveryControlInstance) {
  ASSERT_TRUE(Start());
  for (const std::string& control : fleet_.Controls()) {
    for (int i = 0; i < 5; ++i) Send("e1");
    fleet_.KillNode(control);
    for (int i = 0; i < 5; ++i) Send("e2");
    fleet_.StartNode(control);
    ASSERT_TRUE(WaitUntil([&] { return fleet_.HasStarted(control); }));
    ASSERT_TRUE(WaitUntil([&] { return fleet_.VersionAt(control) == 1; }));
  }
  EXPECT_TRUE(WaitUntil([this] { return Reported() >= Begun(); }));
  EXPECT_EQ(Reported(), Begun());
  ExpectEqualReports();
}

}  // namespace
}  // namespace hickorywood::testing
