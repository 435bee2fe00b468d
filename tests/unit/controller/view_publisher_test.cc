#include "controller/view_publisher.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "core/binary.h"

namespace hickorywood::controller {
namespace {

using std::chrono::milliseconds;

class ViewPublisherTest : public ::testing::Test {
 protected:
  ViewPublisherTest() : publisher(loop, clock, Sources()) {
    publisher.Start();
    publisher.BeginTerm(1, clock.Now(), {});
  }

  view_sources Sources() {
    view_sources sources;
    sources.update_endpoints = [this](fleet::view_log& log) {
      return fleet::UpdateEndpoints(log, endpoints);
    };
    sources.update_weights = [this](fleet::view_log& log) {
      return fleet::UpdateWeights(log, weights);
    };
    sources.warnings = [this] { return warnings; };
    sources.members = [] { return fleet::view_members{}; };
    sources.config = [this]() -> const fleet::configuration& { return config; };
    sources.followers = [this] { return followers; };
    return sources;
  }

  // Requests an update for a process that has applied all updates so far.
  void RequestUpdate(std::optional<fleet::view_update>& answer,
                     bool wants_weights, bool has_no_view = false) {
    fleet::view_request input;
    input.wait_ms = 5000;
    input.wants_weights = wants_weights;
    input.takes_config_changes = true;
    if (!has_no_view) {
      input.held = held.version;
      input.held_weights = held.weights_count;
      input.held_config = held.config.version;
    }
    boost::asio::co_spawn(
        loop, publisher.Answer(input),
        [this, &answer](const std::exception_ptr& /*none*/,
                        const view_answer& update) {
          answer = core::DecodeBinary<fleet::view_update>(update.encoded);
          fleet::ApplyUpdate(held, *answer);
        });
  }

  void RunUntil(const std::optional<fleet::view_update>& answer) {
    while (!answer) loop.run_one();
  }

  // Requests the complete view and applies it.
  void CatchUp() {
    std::optional<fleet::view_update> answer;
    RequestUpdate(answer, true, true);
    RunUntil(answer);
  }

  boost::asio::io_context loop;
  core::runtime_clock clock;
  std::vector<fleet::endpoint> endpoints;
  std::vector<fleet::request_warning> warnings;
  std::vector<fleet::engine_weights_entry> weights;
  fleet::configuration config;
  size_t followers = 1;
  fleet::view held;
  view_publisher publisher;
};

// Engines load weights all the time, which only stores need to follow. Guards
// against a response to every entry at each load: with 200 entries and 40 loads
// a second the leader did nothing else.
TEST_F(ViewPublisherTest, WeightChangesAreSentToStoresOnly) {
  CatchUp();
  std::optional<fleet::view_update> store;
  std::optional<fleet::view_update> entry;
  RequestUpdate(entry, false);
  RequestUpdate(store, true);
  weights = {{"i-1", "m", 2, true}};
  publisher.OnWeightsChanged();
  RunUntil(store);
  loop.poll();
  EXPECT_EQ(store->weights_part, fleet::list_part::kChanges);
  ASSERT_EQ(store->weights.size(), 1U);
  EXPECT_FALSE(entry);
}

// A hundred endpoints join while an entry sends one request after the other.
// The first change is sent at once, and all others in one response when the
// time to collect them has passed.
TEST_F(ViewPublisherTest, ChangesAreCollectedForManyFollowers) {
  constexpr size_t kEndpoints = 100;
  CatchUp();
  clock.Pause();
  size_t answers = 0;
  std::optional<fleet::view_update> entry;
  RequestUpdate(entry, false);
  for (size_t i = 0; i < kEndpoints; ++i) {
    fleet::endpoint item;
    item.incarnation = "i-" + std::to_string(i);
    endpoints.push_back(item);
    publisher.OnEndpointsChanged(urgency::kLow);
    loop.poll();
    loop.restart();
    if (!entry) continue;
    ++answers;
    entry.reset();
    RequestUpdate(entry, false);
  }
  EXPECT_EQ(answers, 1U);
  EXPECT_EQ(held.endpoints.size(), 1U);
  clock.Advance(GatherTime(1, kEndpoints, urgency::kLow));
  RunUntil(entry);
  EXPECT_EQ(held.endpoints.size(), kEndpoints);
}

// Guards against an overloaded leader that publishes ever more often: the
// requests of its followers were still on the way, and each was answered at
// once with the changes of the last milliseconds.
TEST_F(ViewPublisherTest, ChangesAreCollectedForFollowersWithRequestsOnTheWay) {
  followers = 1000;
  CatchUp();
  clock.Pause();
  for (int i = 0; i < 2; ++i) {
    fleet::endpoint item;
    item.incarnation = "i-" + std::to_string(i);
    endpoints.push_back(item);
    publisher.OnEndpointsChanged(urgency::kLow);
    loop.poll();
    loop.restart();
  }
  std::optional<fleet::view_update> first;
  RequestUpdate(first, false);
  RunUntil(first);
  EXPECT_EQ(held.endpoints.size(), 1U);
  std::optional<fleet::view_update> second;
  RequestUpdate(second, false);
  loop.poll();
  EXPECT_FALSE(second);
  clock.Advance(GatherTime(followers, endpoints.size(), urgency::kLow));
  RunUntil(second);
  EXPECT_EQ(held.endpoints.size(), 2U);
}

// All processes restart at once while endpoints join. Guards against complete
// lists that are encoded again for each of them, which took longer than they
// waited.
TEST_F(ViewPublisherTest, CompleteListsAreSharedWhileEndpointsJoin) {
  constexpr int kProcesses = 10;
  clock.Pause();
  for (int i = 0; i < kProcesses; ++i) {
    fleet::endpoint item;
    item.incarnation = "i-" + std::to_string(i);
    endpoints.push_back(item);
    publisher.PublishEndpoints();
    held = {};
    std::optional<fleet::view_update> answer;
    RequestUpdate(answer, false, true);
    RunUntil(answer);
    EXPECT_EQ(held.endpoints.size(), 1U);
  }
  std::optional<fleet::view_update> next;
  RequestUpdate(next, false);
  RunUntil(next);
  EXPECT_EQ(held.endpoints.size(), static_cast<size_t>(kProcesses));
}

// Guards against a leader that sends complete lists to all stores at once after
// a restart: they shared its bandwidth, all were late, and each was requested
// again.
TEST_F(ViewPublisherTest, CompleteListsAreSentToFewProcessesAtOnce) {
  constexpr size_t kProcesses = 150;
  constexpr size_t kMaxAtOnce = 16;
  publisher.PublishEndpoints();
  fleet::view_request input;
  input.wait_ms = 5000;
  std::deque<view_answer> being_sent;
  size_t answered = 0;
  for (size_t i = 0; i < kProcesses; ++i) {
    boost::asio::co_spawn(
        loop, publisher.Answer(input),
        [&](const std::exception_ptr& /*none*/, view_answer answer) {
          being_sent.push_back(std::move(answer));
          ++answered;
        });
  }
  for (loop.poll(); !being_sent.empty(); loop.poll()) {
    EXPECT_LE(being_sent.size(), kMaxAtOnce);
    being_sent.pop_front();
  }
  EXPECT_EQ(answered, kProcesses);
}

// Guards against tasks that wait until all stores have complete lists: the
// members of the data group get them at once.
TEST_F(ViewPublisherTest, MembersOfTheDataGroupDoNotWaitForOthers) {
  constexpr size_t kProcesses = 150;
  publisher.PublishEndpoints();
  fleet::view_request input;
  input.wait_ms = 5000;
  std::vector<view_answer> being_sent;
  for (size_t i = 0; i < kProcesses; ++i) {
    boost::asio::co_spawn(
        loop, publisher.Answer(input),
        [&](const std::exception_ptr& /*none*/, view_answer answer) {
          being_sent.push_back(std::move(answer));
        });
  }
  loop.poll();
  ASSERT_LT(being_sent.size(), kProcesses);
  std::optional<fleet::view_update> member;
  RequestUpdate(member, true, true);
  loop.poll();
  EXPECT_TRUE(member);
}

// Guards against a process that starts after the departure of an endpoint was
// acknowledged, and sends requests to it by an older list.
TEST_F(ViewPublisherTest, SharedListsHaveAcknowledgedDepartures) {
  fleet::endpoint item;
  item.incarnation = "i-1";
  endpoints = {item};
  publisher.PublishEndpoints();
  clock.Pause();
  std::optional<fleet::view_update> before;
  RequestUpdate(before, false, true);
  RunUntil(before);
  ASSERT_EQ(before->endpoints.size(), 1U);
  endpoints.clear();
  publisher.PublishEndpoints();
  bool is_published = false;
  boost::asio::co_spawn(
      loop, publisher.AwaitPublished(clock.Now() + milliseconds(1000)),
      [&is_published](const std::exception_ptr& /*none*/,
                      std::optional<published_lists> published) {
        is_published = published.has_value();
      });
  while (!is_published) loop.run_one();
  std::optional<fleet::view_update> after;
  RequestUpdate(after, false, true);
  RunUntil(after);
  EXPECT_TRUE(after->endpoints.empty());
}

// A configuration is committed among many other changes. It is sent in the next
// turn of the loop and is not collected with them.
TEST_F(ViewPublisherTest, ConfigurationIsSentAtOnce) {
  CatchUp();
  std::optional<fleet::view_update> entry;
  RequestUpdate(entry, false);
  loop.poll();
  config.version = 7;
  publisher.OnConfigurationChanged();
  loop.poll();
  ASSERT_TRUE(entry);
  EXPECT_TRUE(entry->has_config);
  EXPECT_EQ(entry->config.version, 7U);
  EXPECT_EQ(entry->lists, fleet::list_part::kNone);
}

// A configuration with 1,400 routes and 10,000 keys changes in one route.
// Guards against a response with all of them to each process, which kept the
// leader busy for longer than its followers wait for a heartbeat.
TEST_F(ViewPublisherTest, OnlyChangesOfALargeConfigurationAreSent) {
  constexpr int kRoutes = 1400;
  constexpr int kKeys = 10000;
  constexpr size_t kMaxChangeBytes = 2000;
  config.version = 1;
  for (int i = 0; i < kRoutes; ++i) {
    fleet::route where;
    where.path_prefix = "/" + std::to_string(i) + "/";
    where.timeout_ms = 1;
    config.routes.push_back(where);
  }
  fleet::customer holder;
  holder.name = "a";
  for (int i = 0; i < kKeys; ++i) holder.keys.push_back(std::to_string(i));
  config.customers.push_back(holder);
  publisher.OnConfigurationChanged();
  CatchUp();
  ASSERT_EQ(held.config.routes.size(), static_cast<size_t>(kRoutes));
  config.version = 2;
  config.routes[7].timeout_ms = 2;
  publisher.OnConfigurationChanged();
  std::optional<fleet::view_update> change;
  RequestUpdate(change, false);
  RunUntil(change);
  EXPECT_FALSE(change->has_config);
  EXPECT_LT(core::EncodeBinary(*change).size(), kMaxChangeBytes);
  EXPECT_EQ(held.config.version, 2U);
  const fleet::route* changed = fleet::FindRoute(held.config, "", "/7/x");
  ASSERT_NE(changed, nullptr);
  EXPECT_EQ(changed->timeout_ms, 2);
  EXPECT_EQ(held.config.customers, config.customers);
}

// Guards against a process that starts at the same time as a new leader,
// receives an incomplete list of warnings, and sends a request that all others
// have quarantined.
TEST_F(ViewPublisherTest, ProcessWithoutViewWaitsForCompleteWarnings) {
  CatchUp();
  clock.Pause();
  publisher.BeginTerm(2, clock.Now() + milliseconds(300), {});
  std::optional<fleet::view_update> follower;
  RequestUpdate(follower, false);
  RunUntil(follower);
  std::optional<fleet::view_update> new_process;
  RequestUpdate(new_process, false, true);
  loop.poll();
  EXPECT_FALSE(new_process);
  warnings.push_back({});
  publisher.OnWarningsChanged();
  clock.Advance(milliseconds(300));
  RunUntil(new_process);
  EXPECT_EQ(new_process->warnings.size(), 1U);
}

// The leader loses its lease. Waiting processes get their responses at once.
TEST_F(ViewPublisherTest, InterruptionAnswersAtOnce) {
  CatchUp();
  std::optional<fleet::view_update> entry;
  RequestUpdate(entry, false);
  loop.poll();
  ASSERT_FALSE(entry);
  publisher.Interrupt();
  loop.poll();
  EXPECT_TRUE(entry);
}

// Guards against a departure that waits as long as the changes before it, which
// are collected for many followers.
TEST_F(ViewPublisherTest, DeparturesArePublishedBeforeCollectedChanges) {
  followers = 1000;
  CatchUp();
  clock.Pause();
  fleet::endpoint item;
  item.incarnation = "i-1";
  endpoints.push_back(item);
  publisher.OnEndpointsChanged(urgency::kLow);
  loop.poll();
  std::optional<fleet::view_update> joined;
  RequestUpdate(joined, false);
  RunUntil(joined);
  item.incarnation = "i-2";
  endpoints.push_back(item);
  publisher.OnEndpointsChanged(urgency::kLow);
  std::optional<fleet::view_update> entry;
  RequestUpdate(entry, false);
  clock.Advance(GatherTime(followers, endpoints.size(), urgency::kHigh));
  loop.poll();
  EXPECT_FALSE(entry);
  endpoints.front().state = fleet::endpoint_state::kDraining;
  publisher.OnEndpointsChanged(urgency::kHigh);
  loop.poll();
  EXPECT_TRUE(entry);
}

// For any number of followers, a leaving endpoint is published well within two
// seconds.
TEST(GatherTimeTest, UrgentChangesAreSoonPublishedForAnyNumber) {
  const auto level = urgency::kHigh;
  EXPECT_LE(GatherTime(14, 48, level), milliseconds(20));
  EXPECT_LT(GatherTime(14, 48, level), GatherTime(200, 48, level));
  EXPECT_LT(GatherTime(14, 48, level), GatherTime(14, 10000, level));
  EXPECT_LE(GatherTime(100000, 1000000, level), milliseconds(500));
}

// Guards against a leader whose updates take all of its time when there are
// many followers: at 985 it sent 2,500 answers a second.
TEST(GatherTimeTest, AnswersStayBelowAThousandASecond) {
  for (const size_t followers : {14, 300, 1000, 2000}) {
    const size_t endpoints = followers * 10;
    const auto time = GatherTime(followers, endpoints, urgency::kLow);
    EXPECT_LE(followers * 1000 / static_cast<size_t>(time.count()), 1000U);
    EXPECT_LE(time, milliseconds(2000));
  }
}

}  // namespace
}  // namespace hickorywood::controller
