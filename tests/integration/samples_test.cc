// Promises 1, 2 and 3: labels with the true weights versions, the staleness
// bound, exactly-once delivery.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/cluster.h"
#include "support/trainer.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;
using transport::http_response;

class SamplesTest : public ::testing::Test {
 protected:
  SamplesTest() : fleet_(ThreeNodes()) {}

  void StartWith(const std::vector<endpoint_spec>& engines,
                 const std::string& configuration = SmallConfiguration()) {
    ASSERT_TRUE(fleet_.Start(configuration));
    for (const endpoint_spec& engine : engines) fleet_.StartEndpoint(engine);
    ASSERT_TRUE(fleet_.WaitForEndpoints(engines.size()));
  }

  void Behave(const std::string& engine, const json& behaviour) {
    ASSERT_EQ(
        fleet_.Web()
            .Post(fleet_.EndpointAddress(engine), "/fake/behaviour", behaviour)
            .status,
        200);
  }

  json EngineState(const std::string& engine) {
    return fleet_.Web().GetJson(fleet_.EndpointAddress(engine), "/fake/state");
  }

  void Open(const std::string& node, const json& spec) {
    const http_response opened =
        fleet_.Web().Post(fleet_.Callers(node), "/v1/pools/pool-a/steps", spec);
    ASSERT_EQ(opened.status, 200) << opened.body;
  }

  bool Publish(int64_t version) {
    return fleet_.Web()
               .Post(fleet_.Callers("n1"), "/v1/pools/pool-a/weights",
                     {{"version", version}})
               .status == 200;
  }

  cluster fleet_;
};

int64_t OldestVersion(const json& sample) {
  int64_t oldest = INT64_MAX;
  for (const json& range : sample["generated"]["ranges"]) {
    oldest = std::min(oldest, range["version"].get<int64_t>());
  }
  return oldest;
}

// New weights are published while samples are generated. Samples that continued
// under the new weights are labelled with both versions and their token ranges.
// No label contains a version that no engine loaded.
TEST_F(SamplesTest, SwapInMidStreamGivesSeveralRanges) {
  StartWith({{"e1",
              "engine",
              "model-a",
              "north",
              "z1",
              {"--mean_tokens=200", "--swap_ms=50"}},
             {"e2",
              "engine",
              "model-a",
              "north",
              "z2",
              {"--mean_tokens=200", "--swap_ms=50"}}});
  Open("n1", StepSpec("swap", 16, 4, 400));
  ASSERT_TRUE(
      WaitUntil([&] { return EngineState("e1").value("tokens", 0) > 300; }));
  ASSERT_TRUE(Publish(2));
  const pull_outcome outcome = PullAll(fleet_, "swap", {{"n1", "n2", "n3"}});
  ASSERT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 64);
  ExpectCompleteLabels(outcome);
  size_t mixed = 0;
  for (const json& sample : outcome.samples) {
    mixed += sample["generated"]["ranges"].size() > 1 ? 1 : 0;
    for (const json& range : sample["generated"]["ranges"]) {
      EXPECT_TRUE(range["version"] == 1 || range["version"] == 2);
    }
  }
  EXPECT_GT(mixed, 0U);
  EXPECT_TRUE(WaitUntil([&] {
    return EngineState("e1")["version"] == 2 &&
           EngineState("e2")["version"] == 2;
  }));
}

// A swap fails at one engine: it takes its normal time, the engine continues
// with the old weights, and its announcements report the new ones. The labels
// follow the versions of the chunks, not the announcements.
TEST_F(SamplesTest, FailedSwapAndFalseAnnouncement) {
  StartWith({{"e1"}});
  Behave("e1", {{"swap_fails", true}, {"announced_version", 2}});
  ASSERT_TRUE(Publish(2));
  ASSERT_TRUE(WaitUntil(
      [&] { return fleet_.Status("n1")["endpoints"][0]["version"] == 2; }));
  Open("n1", StepSpec("lie", 4, 2));
  const pull_outcome outcome = PullAll(fleet_, "lie", {{"n2"}});
  ASSERT_TRUE(outcome.is_done);
  for (const json& sample : outcome.samples) {
    EXPECT_EQ(OldestVersion(sample), 1);
  }
}

// Guards against a sample without a fault that is not generated for minutes,
// because engines crashed while they ran it.
TEST_F(SamplesTest, SampleIsGeneratedAfterManyEnginesCrashedUnderIt) {
  constexpr int kCrashes = 5;
  std::vector<endpoint_spec> engines = {{"e1"}, {"e2"}};
  for (endpoint_spec& spec : engines) spec.flags = {"--ends_on=crash"};
  StartWith(engines);
  json spec = StepSpec("unlucky", 2, 1);
  spec["prompts"][0] = "crash";
  Open("n1", spec);
  int crashes = 0;
  ASSERT_TRUE(WaitUntil([&] {
    for (const endpoint_spec& engine : engines) {
      const auto exit_code =
          fleet_.Endpoint(engine.id).WaitForExit(std::chrono::milliseconds(0));
      if (!exit_code) continue;
      ++crashes;
      endpoint_spec next = engine;
      if (crashes >= kCrashes) next.flags.clear();
      fleet_.StartEndpoint(next);
    }
    return crashes >= kCrashes;
  }));
  // One engine may still have the flag, and crash once more.
  const auto started = std::chrono::steady_clock::now();
  const pull_outcome outcome = PullAll(fleet_, "unlucky", {{"n1", "n2"}});
  ASSERT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 2);
  EXPECT_LE(std::chrono::steady_clock::now() - started,
            std::chrono::seconds(20));
}

// An engine streams chunks without a version, or with the id of another
// request. Its text is not used in any sample; the other engine generates all
// samples.
TEST_F(SamplesTest, UnlabelledAndForeignChunksAreNotUsed) {
  StartWith({{"e1"}, {"e2"}});
  Behave("e1", {{"omits_version", true}});
  Open("n1", StepSpec("unlabelled", 8, 2));
  pull_outcome outcome = PullAll(fleet_, "unlabelled", {{"n2"}});
  ASSERT_TRUE(outcome.is_done);
  ExpectCompleteLabels(outcome);
  for (const json& sample : outcome.samples) EXPECT_EQ(sample["engine"], "e2");
  Behave("e1", {{"echoes_wrong_id", true}});
  Open("n1", StepSpec("foreign", 8, 2));
  outcome = PullAll(fleet_, "foreign", {{"n2"}});
  ASSERT_TRUE(outcome.is_done);
  for (const json& sample : outcome.samples) EXPECT_EQ(sample["engine"], "e2");
}

// One engine interrupts its streams after some tokens and another one stops
// sending. The samples are resumed on other engines from the last token, are
// complete, and are delivered once.
TEST_F(SamplesTest, InterruptedAndStalledStreamsAreResumed) {
  StartWith({{"e1"}, {"e2"}, {"e3"}});
  Behave("e1", {{"cut_after_tokens", 20}});
  Open("n2", StepSpec("cut", 12, 2));
  pull_outcome outcome = PullAll(fleet_, "cut", {{"n1"}});
  ASSERT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 24);
  ExpectCompleteLabels(outcome);
  Behave("e2", {{"goes_silent", true}});
  Open("n2", StepSpec("silent", 12, 2));
  outcome = PullAll(fleet_, "silent", {{"n1"}});
  ASSERT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 24);
}

// Guards against samples that wait without a limit for an engine which sends
// comments all the time, but no text.
TEST_F(SamplesTest, StreamsOfCommentsCountAsStalled) {
  StartWith({{"e1"}, {"e2"}});
  Behave("e1", {{"only_comments", true}});
  Open("n2", StepSpec("comments", 6, 2));
  const pull_outcome outcome = PullAll(fleet_, "comments", {{"n1"}});
  ASSERT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 12);
}

// The trainer publishes versions faster than it pulls the samples of the step,
// also between the completion of a sample and its delivery. Samples beyond the
// staleness bound are discarded and generated again, and none is delivered.
TEST_F(SamplesTest, NothingBeyondTheStalenessBoundIsDelivered) {
  StartWith({{"e1", "engine", "model-a", "north", "z1", {"--swap_ms=20"}},
             {"e2", "engine", "model-a", "north", "z2", {"--swap_ms=20"}}});
  Open("n1", StepSpec("stale", 16, 2));
  int64_t version = 1;
  pull_options options{{"n1", "n2", "n3"}};
  options.max_samples = 4;
  options.before_pull = [&](int64_t& trainer_version) {
    if (version < 9) {
      EXPECT_TRUE(Publish(++version));
    }
    trainer_version = version;
  };
  const pull_outcome outcome = PullAll(fleet_, "stale", options);
  ASSERT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 32);
  for (size_t i = 0; i < outcome.samples.size(); ++i) {
    EXPECT_LE(outcome.versions_at_pull[i] - OldestVersion(outcome.samples[i]),
              2)
        << outcome.samples[i];
  }
}

// The response to a pull is lost. The trainer pulls again with the same cursor
// through each instance and gets the same bytes. An acknowledged cursor is no
// longer available.
TEST_F(SamplesTest, SameCursorGivesTheSameBytes) {
  StartWith({{"e1"}});
  Open("n1", StepSpec("again", 4, 2));
  const json body = {{"cursor", 1},
                     {"trainer_version", 1},
                     {"max_samples", 4},
                     {"wait_ms", 2000}};
  http_response first;
  ASSERT_TRUE(WaitUntil([&] {
    first = fleet_.Web().Post(fleet_.Callers("n1"),
                              "/v1/pools/pool-a/steps/again/pull", body);
    return first.status == 200 && !BodyOf(first)["samples"].empty();
  }));
  for (const char* node : {"n2", "n3", "n1"}) {
    const http_response again = fleet_.Web().Post(
        fleet_.Callers(node), "/v1/pools/pool-a/steps/again/pull", body);
    EXPECT_EQ(again.body, first.body);
  }
  json next = body;
  next["cursor"] = 2;
  ASSERT_TRUE(WaitUntil([&] {
    const http_response more = fleet_.Web().Post(
        fleet_.Callers("n2"), "/v1/pools/pool-a/steps/again/pull", next);
    return more.status == 200 && !BodyOf(more)["samples"].empty();
  }));
  const http_response old = fleet_.Web().Post(
      fleet_.Callers("n3"), "/v1/pools/pool-a/steps/again/pull", body);
  EXPECT_EQ(old.status, 410) << old.body;
}

// The coordinator is killed right after a pull was answered, so the batch is
// committed but may not have arrived. The trainer repeats the cursor at another
// instance: the same bytes are delivered from the second zone.
TEST_F(SamplesTest, CommittedBatchSurvivesItsCoordinator) {
  StartWith({{"e1"}, {"e2"}});
  Open("n3", StepSpec("survive", 6, 2));
  const json body = {{"cursor", 1},
                     {"trainer_version", 1},
                     {"max_samples", 4},
                     {"wait_ms", 2000}};
  http_response first;
  ASSERT_TRUE(WaitUntil([&] {
    first = fleet_.Web().Post(fleet_.Callers("n3"),
                              "/v1/pools/pool-a/steps/survive/pull", body);
    return first.status == 200 && !BodyOf(first)["samples"].empty();
  }));
  fleet_.KillNode("n3");
  http_response again;
  ASSERT_TRUE(WaitUntil([&] {
    again = fleet_.Web().Post(fleet_.Callers("n1"),
                              "/v1/pools/pool-a/steps/survive/pull", body);
    return again.status == 200;
  })) << again.body;
  EXPECT_EQ(again.body, first.body);
}

// The coordinator freezes and another instance takes over the step. When the
// old coordinator resumes, it can't commit a batch any more, and no sample is
// delivered twice.
TEST_F(SamplesTest, FrozenCoordinatorIsReplacedAndRefused) {
  StartWith({{"e1"}, {"e2"}});
  const std::string frozen = fleet_.Leader() == "n3" ? "n2" : "n3";
  const std::string other = frozen == "n3" ? "n2" : "n3";
  Open(frozen, StepSpec("frozen", 16, 4));
  bool is_frozen = false;
  size_t after = 0;
  pull_options options{{"n1", other}};
  options.after_batch = [&](size_t samples) {
    if (!is_frozen && samples >= 8) {
      fleet_.Node(frozen).Signal(SIGSTOP);
      is_frozen = true;
      return;
    }
    if (is_frozen && ++after == 2) fleet_.Node(frozen).Signal(SIGCONT);
  };
  const pull_outcome outcome = PullAll(fleet_, "frozen", options);
  fleet_.Node(frozen).Signal(SIGCONT);
  EXPECT_TRUE(is_frozen);
  EXPECT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 64);
}

// Simulates an instance that no longer coordinates a step but continues to send
// its own bodies of all slots, which differ each time, to `node`.
class deposed_coordinator {
 public:
  deposed_coordinator(cluster& fleet, const std::string& node,
                      std::vector<json> copies)
      : address_(fleet.Peers(node)),
        copies_(std::move(copies)),
        thread_([this] { Run(); }) {}
  ~deposed_coordinator() {
    is_stopping_ = true;
    thread_.join();
  }
  deposed_coordinator(const deposed_coordinator&) = delete;
  deposed_coordinator& operator=(const deposed_coordinator&) = delete;

 private:
  void Run() {
    for (size_t i = 0; !is_stopping_; ++i) {
      const http_response stored =
          web_.Post(address_, "/peer/v1/bodies", copies_[i % copies_.size()]);
      EXPECT_EQ(stored.status, 200) << stored.body;
    }
  }

  const std::string address_;
  const std::vector<json> copies_;
  web web_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;  // declared last because it uses the members above
};

class DeposedCoordinatorTest : public SamplesTest {
 protected:
  // Creates bodies of 64 slots of the step "main", as from other runs.
  std::vector<json> MakeCopies() {
    std::vector<json> copies;
    for (const char* other : {"first", "second"}) {
      Open("n1", StepSpec(other, 16, 4));
      json bodies = json::array();
      for (const json& sample : PullAll(fleet_, other, {{"n1"}}).samples) {
        bodies.push_back({{"slot", sample["slot"]}, {"body", sample.dump()}});
      }
      copies.push_back({{"step_key", "pool-a/main"}, {"samples", bodies}});
    }
    return copies;
  }
};

// Guards against a pull that is answered 200 without a body: a deposed
// coordinator sends its own bodies for the slots of a batch that is being
// committed.
TEST_F(DeposedCoordinatorTest, ItsBodiesEmptyNoBatch) {
  StartWith({{"e1"}, {"e2"}});
  const deposed_coordinator deposed(fleet_, "n1", MakeCopies());
  Open("n1", StepSpec("main", 16, 4));
  pull_options options{{"n1"}};
  options.max_samples = 4;
  const pull_outcome outcome = PullAll(fleet_, "main", options);
  EXPECT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 64);
}

// Guards against a repeated pull that does not return the bytes of its batch
// because a deposed coordinator has replaced them with its own bodies.
TEST_F(DeposedCoordinatorTest, RepeatedPullGetsTheSameBytes) {
  StartWith({{"e1"}, {"e2"}});
  const std::vector<json> copies = MakeCopies();
  Open("n1", StepSpec("main", 16, 4));
  const json pull = {{"cursor", 1},
                     {"trainer_version", 1},
                     {"max_samples", 4},
                     {"wait_ms", 500}};
  const auto pull_first = [this, &pull] {
    return fleet_.Web().Post(fleet_.Callers("n1"),
                             "/v1/pools/pool-a/steps/main/pull", pull);
  };
  http_response first;
  ASSERT_TRUE(WaitUntil([&] {
    first = pull_first();
    return first.status == 200 && !BodyOf(first)["samples"].empty();
  }));
  const deposed_coordinator deposed(fleet_, "n1", copies);
  for (int i = 0; i < 20; ++i) {
    const http_response again = pull_first();
    EXPECT_EQ(again.status, 200) << again.body;
    EXPECT_EQ(again.body, first.body);
  }
}

// One engine is ten times slower than the others. Hedged copies of its samples
// run concurrently with the originals; each slot is still delivered once.
TEST_F(SamplesTest, HedgedCopiesDeliverOneSampleEach) {
  StartWith(
      {{"e1"},
       {"e2"},
       {"e3", "engine", "model-a", "north", "z3", {"--slow_factor=20"}}},
      SmallConfiguration("    hedge_after: 1.5\n    hedge_token_budget: 1\n"));
  Open("n1", StepSpec("hedge", 24, 4));
  const pull_outcome outcome = PullAll(fleet_, "hedge", {{"n1", "n2"}});
  EXPECT_TRUE(outcome.is_done);
  ExpectEachSlotOnce(outcome, 96);
  ExpectCompleteLabels(outcome);
}

// The deadline of a step expires. A trainer that allows partial results gets
// the complete groups and a flag; another trainer gets an error.
TEST_F(SamplesTest, DeadlinePasses) {
  StartWith({{"e1",
              "engine",
              "model-a",
              "north",
              "z1",
              {"--slow_factor=5", "--most_running=2"}}});
  json partial = StepSpec("partial", 40, 1);
  partial["deadline_ms"] = 1500;
  partial["allow_partial"] = true;
  Open("n1", partial);
  const pull_outcome outcome = PullAll(fleet_, "partial", {{"n1"}});
  EXPECT_TRUE(outcome.is_done);
  EXPECT_LT(outcome.samples.size(), 40U);
  json strict = StepSpec("strict", 40, 1);
  strict["deadline_ms"] = 300;
  Open("n1", strict);
  uint64_t cursor = 1;
  const auto pull = [&](const char* node) {
    const json body = {{"cursor", cursor},
                       {"trainer_version", 1},
                       {"max_samples", 40},
                       {"wait_ms", 1000}};
    return fleet_.Web().Post(fleet_.Callers(node),
                             "/v1/pools/pool-a/steps/strict/pull", body);
  };
  EXPECT_TRUE(WaitUntil([&] {
    const http_response answer = pull("n1");
    if (answer.status == 200 && !BodyOf(answer)["samples"].empty()) ++cursor;
    return answer.status == 504;
  }));
  // The response was lost and the trainer pulls again: a step that missed its
  // deadline must not be reported as done.
  for (const char* node : {"n1", "n2"}) EXPECT_EQ(pull(node).status, 504);
}

}  // namespace
}  // namespace hickorywood::testing
