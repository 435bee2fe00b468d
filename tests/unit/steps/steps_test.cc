#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "core/binary.h"
#include "steps/event_text.h"
#include "steps/reward_choice.h"
#include "steps/step.h"
#include "steps/task_choice.h"

namespace hickorywood::steps {
namespace {

submission MakeSubmission(const std::string& id, size_t tasks) {
  submission input;
  input.id = id;
  for (size_t i = 0; i < tasks; ++i) {
    task item;
    item.id = id + "-" + std::to_string(i);
    item.request.emplace();
    input.tasks.push_back(item);
  }
  return input;
}

task_result Result(uint32_t task, const std::string& output) {
  task_result result;
  result.task = task;
  result.is_complete = true;
  result.output = output;
  return result;
}

// Guards against texts that lose all but the first line of an event whose data
// contains line breaks.
TEST(EventTextTest, DataOfAnEventMayHaveSeveralLines) {
  generated_text text;
  std::optional<uint64_t> version;
  const version_reader read = [](const std::string&, const std::string&) {
    return std::optional<uint64_t>();
  };
  std::string buffer =
      "id: 1\ndata: a\ndata: b\n\nid: 2\ndata: \ndata: c\ndata\n\n";
  while (const auto fields = ExtractEvent(buffer)) {
    EXPECT_EQ(AddEvent(text, *fields, {}, read, version),
              event_check::kAccepted);
  }
  EXPECT_EQ(JoinText(text), "a\nb\n\nc\n");
}

// A trainer repeats a submission whose response was lost. The step is opened
// once, and its tasks and results stay.
TEST(StepTableTest, RepeatedSubmissionChangesNothing) {
  step_table table;
  EXPECT_TRUE(OpenStep(table, MakeSubmission("s", 2), 100, 1));
  AddResults(table, "s", {Result(1, "text")}, 0);
  EXPECT_FALSE(OpenStep(table, MakeSubmission("s", 5), 200, 1));
  EXPECT_EQ(table.at("s").input.tasks.size(), 2U);
  EXPECT_EQ(table.at("s").results.size(), 1U);
}

// Two leaders commit a result of the same task with different texts. The task
// keeps the position and the text of the first one.
TEST(StepTableTest, TaskHasOnePosition) {
  step_table table;
  OpenStep(table, MakeSubmission("s", 2), 0, 1);
  EXPECT_EQ(AddResults(table, "s", {Result(1, "first")}, 0), 1U);
  EXPECT_EQ(
      AddResults(table, "s", {Result(1, "second"), Result(0, "other")}, 0), 1U);
  EXPECT_EQ(AddResults(table, "s", {Result(7, "none such")}, 0), 0U);
  const result_page page = ReadPage(table.at("s"), 0, 1000);
  ASSERT_EQ(page.results.size(), 2U);
  EXPECT_EQ(page.results[0].output, "first");
  EXPECT_EQ(page.ids[0], "s-1");
  EXPECT_EQ(page.ids[1], "s-0");
}

// The leader is lost while complete texts wait for their scores. The next
// leader finds that they are complete, so it requests the score and does not
// run the task again. Once a task has its result, or its step has ended, its
// reward request is removed.
TEST(StepTableTest, CompleteTextIsStoredUntilItsScoreArrives) {
  step_table table;
  submission input = MakeSubmission("s", 2);
  for (task& item : input.tasks) {
    item.request->reward = {"r", "h", "/r/", "body"};
  }
  OpenStep(table, input, 0, 1);
  generated_text text;
  text.events = 2;
  text.data = {"a", "b"};
  AddProgress(table, "s", {{0, 0, text}});
  EXPECT_FALSE(table.at("s").progress.at(0).is_whole);
  generated_text rest;
  rest.events = 2;
  rest.is_whole = true;
  AddProgress(table, "s", {{0, 2, rest}});
  EXPECT_TRUE(table.at("s").progress.at(0).is_whole);
  EXPECT_EQ(table.at("s").progress.at(0).data, text.data);
  task_result scored = Result(0, "a\nb");
  scored.score = "mark";
  AddResults(table, "s", {scored}, 2);
  EXPECT_EQ(ReadPage(table.at("s"), 0, 1000).results[0].score, "mark");
  EXPECT_FALSE(table.at("s").input.tasks[0].request);
  EXPECT_TRUE(table.at("s").input.tasks[1].request->HasReward());
  EndStep(table, "s");
  EXPECT_FALSE(table.at("s").input.tasks[1].request);
}

// Guards against a removed request that is decoded as an empty one from a
// snapshot or a message, and against losing a request that an earlier release
// encoded.
TEST(StepTableTest, RemovedRequestDiffersFromAnEmptyOne) {
  task empty;
  empty.id = "t";
  empty.request.emplace();
  const auto decoded = core::DecodeBinary<task>(core::EncodeBinary(empty));
  ASSERT_TRUE(decoded && decoded->request);
  EXPECT_TRUE(decoded->request->body.empty());
  empty.request.reset();
  const auto removed = core::DecodeBinary<task>(core::EncodeBinary(empty));
  ASSERT_TRUE(removed);
  EXPECT_EQ(removed->id, "t");
  EXPECT_FALSE(removed->request);
  const nlohmann::json earlier = {{"id", "t"},
                                  {"path", "/s/"},
                                  {"headers", nlohmann::json::array()},
                                  {"body", "b"},
                                  {"group", "g"},
                                  {"tokens", 3},
                                  {"reward", nlohmann::json::object()}};
  const auto earlier_task =
      core::DecodeBinary<task>(core::EncodeBinary(earlier));
  ASSERT_TRUE(earlier_task && earlier_task->request);
  EXPECT_EQ(earlier_task->request->body, "b");
  EXPECT_EQ(earlier_task->group, "g");
}

// Trainers wait for complete groups: the reward request of the group with the
// fewest open tasks is sent first, then that of the older step, then in the
// order of the step.
TEST(RewardChoiceTest, CompletesGroupsFirst) {
  const core::time_point old{std::chrono::seconds(1)};
  const core::time_point young{std::chrono::seconds(2)};
  const std::vector<waiting_reward> waiting = {
      {3, old, 0}, {1, young, 7}, {1, young, 2}, {1, old, 9}};
  EXPECT_EQ(OrderRewards(waiting), (std::vector<size_t>{3, 2, 1, 0}));
  EXPECT_TRUE(OrderRewards({}).empty());
}

// A step has more tasks than the engines have slots, and a few texts are five
// times as long as the others. The long ones start first, wherever they are in
// the step; where the lengths are unknown, the order of the step is kept.
TEST(TaskOrderTest, LongestFirst) {
  EXPECT_EQ(OrderTasks({20, 110, 20, 0, 160}),
            (std::vector<uint32_t>{4, 1, 0, 2, 3}));
  EXPECT_EQ(OrderTasks({0, 0, 0}), (std::vector<uint32_t>{0, 1, 2}));
  EXPECT_TRUE(OrderTasks({}).empty());
}

// The leader of a step is lost in the middle of a long text. The next leader
// has the committed part; parts that do not continue it are ignored, and a
// result removes it.
TEST(StepTableTest, ProgressOfLongTasks) {
  step_table table;
  OpenStep(table, MakeSubmission("s", 2), 0, 1);
  task_progress first;
  first.task = 1;
  first.text = {2, {"a", "b"}, {3}};
  AddProgress(table, "s", {first});
  task_progress next = first;
  next.after = 2;
  next.text = {3, {"c"}, {3, 4}};
  AddProgress(table, "s", {next, next});
  const generated_text& stored = table.at("s").progress.at(1);
  EXPECT_EQ(JoinText(stored), "a\nb\nc");
  EXPECT_EQ(stored.events, 3U);
  EXPECT_EQ(stored.versions, std::vector<uint64_t>({3, 4}));
  AddResults(table, "s", {Result(1, "a")}, 0);
  AddProgress(table, "s", {first});
  EXPECT_TRUE(table.at("s").progress.empty());
}

TEST(StepTableTest, PagesHaveAResultAndALimit) {
  step_table table;
  OpenStep(table, MakeSubmission("s", 3), 0, 1);
  AddResults(
      table, "s",
      {Result(0, std::string(100, 'a')), Result(1, std::string(100, 'b')),
       Result(2, std::string(100, 'c'))},
      0);
  EXPECT_EQ(ReadPage(table.at("s"), 0, 10).results.size(), 1U);
  EXPECT_EQ(ReadPage(table.at("s"), 0, 250).results.size(), 2U);
  EXPECT_EQ(ReadPage(table.at("s"), 1, 1000).next, 3U);
  EXPECT_EQ(ReadPage(table.at("s"), 9, 1000).next, 9U);
}

TEST(StepTableTest, EndedStepsAreRemovedAfterTheirRetention) {
  step_table table;
  OpenStep(table, MakeSubmission("ended", 1), 100, 1);
  OpenStep(table, MakeSubmission("open", 1), 100, 1);
  EndStep(table, "ended");
  RemoveSteps(table, 100, 0);
  EXPECT_EQ(table.size(), 2U);
  RemoveSteps(table, 101, 0);
  EXPECT_EQ(table.count("ended"), 0U);
  EXPECT_EQ(table.count("open"), 1U);
}

const version_reader kRead =
    [](const std::string& field,
       const std::string& value) -> std::optional<uint64_t> {
  if (field != "version") return std::nullopt;
  return std::stoull(value);
};

event_check Add(generated_text& text, const std::string& frame,
                const text_rules& rules, std::optional<uint64_t>& version) {
  std::string buffer = frame + "\n\n";
  return AddEvent(text, *ExtractEvent(buffer), rules, kRead, version);
}

// An event is lost, arrives twice, or has no data. The text stays as it was, so
// that another run can continue after its last event.
TEST(EventTextTest, OnlyTheNextEventIsAccepted) {
  generated_text text;
  std::optional<uint64_t> version = 3;
  EXPECT_EQ(Add(text, "id: 1\ndata: a", {}, version), event_check::kAccepted);
  EXPECT_EQ(Add(text, "id: 3\ndata: c", {}, version), event_check::kMalformed);
  EXPECT_EQ(Add(text, "id: 1\ndata: a", {}, version), event_check::kMalformed);
  EXPECT_EQ(Add(text, "id: 2", {}, version), event_check::kMalformed);
  EXPECT_EQ(Add(text, "id: x\ndata: b", {}, version), event_check::kMalformed);
  EXPECT_EQ(Add(text, "id: 2\ndata: b", {}, version), event_check::kAccepted);
  EXPECT_EQ(JoinText(text), "a\nb");
  EXPECT_EQ(text.versions, std::vector<uint64_t>({3}));
}

// The engine swaps its weights in the middle of a run: the label lists both
// versions, and a step that allows only one rejects the event of the second.
TEST(EventTextTest, VersionsAreThoseOfTheEvents) {
  generated_text text;
  std::optional<uint64_t> version = 3;
  Add(text, "id: 1\ndata: a", {}, version);
  EXPECT_EQ(Add(text, "version: 4\nid: 2\ndata: b", {}, version),
            event_check::kAccepted);
  EXPECT_EQ(text.versions, std::vector<uint64_t>({3, 4}));
  generated_text single;
  text_rules rules;
  rules.is_single_version = true;
  version = 3;
  Add(single, "id: 1\ndata: a", rules, version);
  EXPECT_EQ(Add(single, "version: 4\nid: 2\ndata: b", rules, version),
            event_check::kMixed);
  rules = text_rules{};
  rules.minimum_version = 4;
  generated_text bounded;
  version = 3;
  EXPECT_EQ(Add(bounded, "id: 1\ndata: a", rules, version),
            event_check::kTooOld);
  EXPECT_FALSE(MayContinue(bounded, rules, 3));
  EXPECT_TRUE(MayContinue(bounded, rules, 4));
}

// The same events are read, however the network splits a stream.
RC_GTEST_PROP(EventTextTest, SplittingTheStreamDoesNotMatter, ()) {
  const std::string stream =
      "id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  std::string buffer;
  std::string joined;
  for (size_t at = 0; at < stream.size();) {
    const auto size = *rc::gen::inRange<size_t>(1, 12);
    buffer += stream.substr(at, size);
    at += size;
    while (const auto fields = ExtractEvent(buffer)) {
      joined += fields->back().second;
    }
  }
  RC_ASSERT(joined == "abc");
  RC_ASSERT(buffer.empty());
}

RC_GTEST_PROP(EventTextTest, AnyBytesAreHandled, (const std::string& bytes)) {
  std::string buffer = bytes;
  generated_text text;
  std::optional<uint64_t> version;
  const version_reader read_nothing = [](const std::string&,
                                         const std::string&) {
    return std::optional<uint64_t>();
  };
  while (const auto fields = ExtractEvent(buffer)) {
    AddEvent(text, *fields, {}, read_nothing, version);
  }
}

engine_load Engine(const std::string& name, int64_t running) {
  engine_load load;
  load.incarnation = name;
  load.slots = 4;
  load.running = running;
  return load;
}

TEST(TaskChoiceTest, ChoosesShortestBatchAndSkipsFullEngines) {
  std::vector<engine_load> engines = {Engine("a", 3), Engine("b", 1),
                                      Engine("c", 4)};
  EXPECT_EQ(ChooseEngine(engines), 1U);
  engines = {Engine("a", 4), Engine("b", 5)};
  EXPECT_FALSE(ChooseEngine(engines));
  engines[0].slots = 0;
  EXPECT_FALSE(ChooseEngine({engines[0]}));
}

// Guards against moving a task back to the engine that it was moved off. A text
// of 160 events was moved off a slow engine twice and returned both times,
// since that engine had no other work by then. Its moves were used up, and the
// step ended four seconds late.
TEST(TaskChoiceTest, TaskDoesNotReturnToTheExcludedEngine) {
  std::vector<engine_load> engines = {Engine("a", 3), Engine("b", 0)};
  engines[1].slowness = 2.3;
  EXPECT_EQ(ChooseEngine(engines), 1U);
  EXPECT_EQ(ChooseEngine(engines, 4, "b"), 0U);
  engines[0].running = 4;
  EXPECT_FALSE(ChooseEngine(engines, 4, "b"));
}

// The tasks of a group share a prompt: an engine that has cached it is worth
// one stream more in its batch, and no more than that.
TEST(TaskChoiceTest, CachedPromptCountsLikeOneStream) {
  std::vector<engine_load> engines = {Engine("a", 1), Engine("b", 1)};
  engines[1].has_prompt = true;
  EXPECT_EQ(ChooseEngine(engines), 1U);
  engines[1].running = 3;
  EXPECT_EQ(ChooseEngine(engines), 0U);
}

// Four engines of nine become slow at once. All four are detected, and no other
// one.
TEST(TaskChoiceTest, SeveralSlowEnginesAreAllDetected) {
  const std::vector<double> slowness =
      RelativeSlowness({30, 31, 110, 112, 29, 105, 30, 108, 33});
  for (const size_t slow : {2, 3, 5, 7}) EXPECT_GT(slowness[slow], 3);
  for (const size_t fast : {0, 1, 4, 6, 8}) EXPECT_LT(slowness[fast], 1.2);
}

// One engine of nine becomes slow: it is slow relative to its peers, and moving
// its runs pays off as long as another engine has a free slot.
TEST(TaskChoiceTest, SlowEngineIsDetectedAmongItsPeers) {
  std::vector<double> gaps(9, 30);
  gaps[4] = 110;
  gaps[7] = 0;  // unknown
  const std::vector<double> slowness = RelativeSlowness(gaps);
  EXPECT_NEAR(slowness[4], 110.0 / 30, 0.01);
  EXPECT_EQ(slowness[7], 1);
  std::vector<engine_load> engines;
  for (size_t i = 0; i < gaps.size(); ++i) {
    engines.push_back(Engine(std::to_string(i), 2));
    engines.back().slowness = slowness[i];
  }
  EXPECT_TRUE(IsMoveWorthwhile(engines[4], engines));
  EXPECT_FALSE(IsMoveWorthwhile(engines[3], engines));
  for (engine_load& engine : engines) engine.running = engine.slots;
  EXPECT_FALSE(IsMoveWorthwhile(engines[4], engines));
}

}  // namespace
}  // namespace hickorywood::steps
