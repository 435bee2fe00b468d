#include "support/trainer.h"

#include <gtest/gtest.h>

#include <map>
#include <utility>

namespace hickorywood::testing {

using nlohmann::json;

json StepSpec(const std::string& step, int prompts, int group, int max_tokens) {
  json list = json::array();
  for (int i = 0; i < prompts; ++i) {
    list.push_back("prompt " + std::to_string(i) + " of " + step);
  }
  return {{"step", step},
          {"trainer", "trainer-1"},
          {"prompts", list},
          {"samples_per_prompt", group},
          {"max_tokens", max_tokens}};
}

pull_outcome PullAll(cluster& fleet, const std::string& step,
                     pull_options options) {
  constexpr std::chrono::milliseconds kLimit{60000};
  pull_outcome outcome;
  uint64_t cursor = 1;
  size_t turn = 0;
  const auto pull_once = [&] {
    if (options.before_pull) options.before_pull(options.trainer_version);
    const std::string& node = options.nodes[turn++ % options.nodes.size()];
    const json body = {{"cursor", cursor},
                       {"trainer_version", options.trainer_version},
                       {"max_samples", options.max_samples},
                       {"wait_ms", 500}};
    const auto response = fleet.Web().Post(
        fleet.Callers(node), "/v1/pools/pool-a/steps/" + step + "/pull", body);
    if (response.how != transport::delivery::kAnswered ||
        response.status != 200) {
      return false;
    }
    const json batch = BodyOf(response);
    if (!batch.is_object()) {
      ADD_FAILURE() << "a pull was answered 200 with '" << response.body << "'";
      return true;
    }
    outcome.is_done = batch.value("done", false);
    if (outcome.is_done || batch["samples"].empty()) return outcome.is_done;
    for (const json& sample : batch["samples"]) {
      outcome.samples.push_back(sample);
      outcome.versions_at_pull.push_back(options.trainer_version);
    }
    ++cursor;
    if (options.after_batch) options.after_batch(outcome.samples.size());
    return false;
  };
  WaitUntil(pull_once, kLimit);
  return outcome;
}

void ExpectEachSlotOnce(const pull_outcome& outcome, size_t count) {
  std::map<int64_t, int> seen;
  for (const json& sample : outcome.samples) {
    ++seen[sample["slot"].get<int64_t>()];
  }
  EXPECT_EQ(seen.size(), count);
  for (const auto& [slot, times] : seen) EXPECT_EQ(times, 1) << "slot " << slot;
}

void ExpectCompleteLabels(const pull_outcome& outcome) {
  for (const json& sample : outcome.samples) {
    int64_t next = 0;
    for (const json& range : sample["generated"]["ranges"]) {
      EXPECT_EQ(range["first_token"].get<int64_t>(), next);
      next += range["token_count"].get<int64_t>();
    }
    EXPECT_EQ(next, sample["generated"]["token_count"].get<int64_t>());
    EXPECT_GT(next, 0);
  }
}

}  // namespace hickorywood::testing
