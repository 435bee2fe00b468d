#ifndef HICKORYWOOD_TESTS_SUPPORT_TRAINER_H_
#define HICKORYWOOD_TESTS_SUPPORT_TRAINER_H_

// A trainer for tests: opens steps and pulls their batches in the order of the
// cursors.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "support/cluster.h"

namespace hickorywood::testing {

nlohmann::json StepSpec(const std::string& step, int prompts, int group,
                        int max_tokens = 256);

struct pull_options {
  std::vector<std::string> nodes;  // polled in turn
  int64_t trainer_version = 1;
  int64_t max_samples = 8;
  std::function<void(size_t samples)> after_batch;
  // Called before each pull. It may change the trainer's version.
  std::function<void(int64_t& trainer_version)> before_pull;
};

struct pull_outcome {
  std::vector<nlohmann::json> samples;
  std::vector<int64_t>
      versions_at_pull;  // trainer's version at the pull of each sample
  bool is_done = false;
};

// Pulls a step until it is done. Retries with the same cursor if a pull fails.
pull_outcome PullAll(cluster& fleet, const std::string& step,
                     pull_options options);

// Fails the test unless each of `count` slots was delivered exactly once.
void ExpectEachSlotOnce(const pull_outcome& outcome, size_t count);

// Fails the test unless the version ranges of each sample cover all of its
// tokens.
void ExpectCompleteLabels(const pull_outcome& outcome);

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_TRAINER_H_
