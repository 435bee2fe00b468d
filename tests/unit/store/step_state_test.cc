#include "store/step_state.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/binary.h"

namespace hickorywood::store {
namespace {

constexpr size_t kOutputBudgetBytes = 15000;

group::hosted_command Command(uint64_t index, const std::string& name,
                              std::string payload) {
  group::hosted_command input;
  input.name = name;
  input.index = index;
  input.now_ms = static_cast<int64_t>(index) * 1000;
  input.payload = std::move(payload);
  return input;
}

group::hosted_command Open(uint64_t index, const std::string& id) {
  steps::submission input;
  input.id = id;
  input.tasks.resize(1);
  return Command(index, kOpenStepCommand, core::EncodeBinary(input));
}

group::hosted_command Result(uint64_t index, const std::string& id,
                             const std::string& output) {
  steps::task_result result;
  result.is_complete = true;
  result.output = output;
  add_results_command input;
  input.steps.push_back({id, {result}, {}});
  return Command(index, kAddResultsCommand, core::EncodeBinary(input));
}

group::hosted_command End(uint64_t index, const std::string& id) {
  end_step_command input;
  input.step = id;
  return Command(index, kEndStepCommand, core::EncodeBinary(input));
}

group::hosted_command RemoveOld(uint64_t index, int64_t ended_before_ms) {
  remove_steps_command input;
  input.ended_before_ms = ended_before_ms;
  return Command(index, kRemoveStepsCommand, core::EncodeBinary(input));
}

group::hosted_command Part(uint64_t index, const std::string& submission,
                           uint64_t offset, std::string bytes) {
  const steps::staged_part part{submission, offset, std::move(bytes)};
  return Command(index, kStageTasksCommand, core::EncodeBinary(part));
}

group::hosted_command OpenStaged(uint64_t index, const std::string& id,
                                 const std::string& submission,
                                 uint64_t bytes) {
  steps::staged_submission opening;
  opening.input.id = id;
  opening.staged = submission;
  opening.bytes = bytes;
  return Command(index, kOpenStagedStepCommand, core::EncodeBinary(opening));
}

std::string StreamOfOneTask() {
  steps::task item;
  item.id = "t";
  item.request.emplace().body = "body";
  const steps::encoded_task encoded = steps::EncodeTask(std::move(item));
  return encoded.head + encoded.body + encoded.reward_body;
}

// Guards against a step that lacks tasks, or has them twice, when parts of its
// submission are repeated or lost.
TEST(StepStateTest, StagedTasksOpenAStepOnce) {
  const std::string bytes = StreamOfOneTask();
  const std::string first = bytes.substr(0, 5);
  const std::string rest = bytes.substr(5);
  step_state state(kOutputBudgetBytes);
  state.Apply(Part(1, "s", 0, first));
  state.Apply(Part(2, "s", 0, first));
  state.Apply(OpenStaged(3, "early", "s", bytes.size()));
  EXPECT_EQ(state.Find("early"), nullptr);
  state.Apply(Part(4, "s", 0, first));
  state.Apply(Part(5, "s", 9, rest));
  state.Apply(Part(6, "s", 5, rest));
  EXPECT_GT(state.TaskBytes(), 0U);
  state.Apply(OpenStaged(7, "a", "s", bytes.size()));
  state.Apply(OpenStaged(8, "b", "s", bytes.size()));
  ASSERT_NE(state.Find("a"), nullptr);
  ASSERT_EQ(state.Find("a")->input.tasks.size(), 1U);
  EXPECT_EQ(state.Find("a")->input.tasks[0].request->body, "body");
  EXPECT_EQ(state.Find("b"), nullptr);
  EXPECT_FALSE(state.HasStaged());
}

// Guards against a restart that loses the tasks of a step whose parts are older
// than the command that opened it.
TEST(StepStateTest, LogIsKeptFromTheFirstPartOn) {
  const std::string bytes = StreamOfOneTask();
  step_state state(kOutputBudgetBytes);
  state.Apply(Open(1, "x"));
  state.Apply(End(2, "x"));
  state.Apply(Part(3, "s", 0, bytes));
  state.Apply(RemoveOld(4, 3000));
  EXPECT_EQ(state.Save(4).index, 2U);
  state.Apply(OpenStaged(5, "a", "s", bytes.size()));
  EXPECT_EQ(state.Save(5).index, 2U);
}

// Guards against the memory of submissions whose sender has stopped.
TEST(StepStateTest, AbandonedPartsAreRemoved) {
  step_state state(kOutputBudgetBytes);
  state.Apply(Part(1, "s", 0, "abc"));
  state.Apply(RemoveOld(30, 0));
  EXPECT_TRUE(state.HasStaged());
  state.Apply(RemoveOld(32, 0));
  EXPECT_FALSE(state.HasStaged());
}

// Guards against a task that gets all of its attempts again from a new leader,
// and against failures that outlive their task.
TEST(StepStateTest, FailedAttemptsAreKeptUntilTheResult) {
  step_state state(kOutputBudgetBytes);
  state.Apply(Open(1, "a"));
  const auto apply_failures = [&state](uint64_t index, int64_t runs) {
    steps::failed_attempts failures;
    failures.runs = runs;
    add_results_command input;
    input.steps.push_back({"a", {}, {failures}});
    state.Apply(Command(index, kAddResultsCommand, core::EncodeBinary(input)));
  };
  apply_failures(2, 2);
  apply_failures(3, 1);
  EXPECT_EQ(state.Find("a")->failures.at(0).runs, 2);
  state.Apply(Result(4, "a", "text"));
  apply_failures(5, 3);
  EXPECT_TRUE(state.Find("a")->failures.empty());
}

// Steps are opened, and the oldest is removed. The snapshot is small, because
// its index is before the oldest stored step. Another replica gets the same
// state from the snapshot and the entries after it, also if these entries
// contain results of removed steps.
TEST(StepStateTest, SnapshotAndLaterEntriesGiveTheSameState) {
  retire_command retired;
  retired.node = "10.0.0.1:7300";
  const std::vector<group::hosted_command> log = {
      Open(1, "a"),
      Command(2, kRetireCommand, core::EncodeBinary(retired)),
      Open(3, "b"),
      Result(4, "a", std::string(10000, 'a')),
      End(5, "a"),
      Open(6, "c"),
      Result(7, "b", std::string(10000, 'b')),
      RemoveOld(8, 2500)};
  step_state original(kOutputBudgetBytes);
  for (const group::hosted_command& entry : log) original.Apply(entry);
  ASSERT_EQ(original.Find("a"), nullptr);
  const consensus::saved_state saved = original.Save(log.back().index);
  EXPECT_EQ(saved.index, 2U);
  EXPECT_LT(saved.data.size(), 200U);
  step_state copy(kOutputBudgetBytes);
  ASSERT_TRUE(copy.Restore(saved.data));
  for (const group::hosted_command& entry : log) {
    if (entry.index > saved.index) copy.Apply(entry);
  }
  EXPECT_EQ(copy.Retired(), original.Retired());
  ASSERT_EQ(copy.Steps().size(), 2U);
  EXPECT_EQ(copy.Find("b")->results[0].output, std::string(10000, 'b'));
  EXPECT_TRUE(copy.Find("c")->results.empty());
}

// Outputs of ended steps beyond the budget are evicted from memory, the oldest
// first. A result then contains the index of its log entry and the size of its
// output. Outputs of open steps stay in memory, whatever their size.
TEST(StepStateTest, OldOutputsOfEndedStepsAreEvicted) {
  step_state state(kOutputBudgetBytes);
  uint64_t index = 0;
  for (const char* id : {"open", "old", "new"}) {
    state.Apply(Open(++index, id));
    state.Apply(Result(++index, id, std::string(10000, 'a')));
  }
  state.Apply(End(++index, "old"));
  EXPECT_EQ(state.Find("old")->results[0].output.size(), 10000U);
  state.Apply(End(++index, "new"));
  const steps::task_result& result = state.Find("old")->results[0];
  EXPECT_LT(result.output.capacity(), 100U);
  EXPECT_EQ(result.bytes_on_disk, 10000U);
  EXPECT_EQ(result.index, 4U);
  EXPECT_EQ(state.Find("new")->results[0].output.size(), 10000U);
  EXPECT_EQ(state.Find("open")->results[0].output.size(), 10000U);
}

// Guards against returning another text of the same size for an output that is
// only on disk.
TEST(StepStateTest, OnlyTheOutputOnDiskIsRestored) {
  step_state state(0);
  state.Apply(Open(1, "s"));
  state.Apply(Result(2, "s", "one text"));
  state.Apply(End(3, "s"));
  steps::result_page page =
      steps::ReadPage(*state.Find("s"), 0, kOutputBudgetBytes);
  ASSERT_EQ(page.results.size(), 1U);
  steps::task_result& item = page.results[0];
  EXPECT_FALSE(steps::RestoreOutput(item, ""));
  EXPECT_FALSE(steps::RestoreOutput(item, "two text"));
  EXPECT_TRUE(item.output.empty());
  EXPECT_TRUE(steps::RestoreOutput(item, "one text"));
  EXPECT_EQ(item.output, "one text");
}

// Without steps the index of the snapshot is the last applied entry.
TEST(StepStateTest, SnapshotWithoutStepsIsAtTheLastEntry) {
  step_state state(kOutputBudgetBytes);
  state.Apply(Open(1, "a"));
  EXPECT_EQ(state.Save(4).index, 0U);
  state.Apply(End(2, "a"));
  state.Apply(RemoveOld(3, 5000));
  EXPECT_EQ(state.Save(4).index, 4U);
}

}  // namespace
}  // namespace hickorywood::store
