// Tests the tasks of a large submission as a stream that arrives in parts.

#include "steps/task_stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace hickorywood::steps {
namespace {

task TaskOf(const std::string& id, std::string body) {
  task output;
  output.id = id;
  output.group = "g";
  output.tokens = 7;
  task_request& request = output.request.emplace();
  request.path = "/run";
  request.headers = {{"name", "value"}};
  request.body = std::move(body);
  request.reward = {"reward-" + id, "host", "/score", "of " + id};
  return output;
}

std::string StreamOf(const std::vector<task>& tasks) {
  std::string stream;
  for (const task& item : tasks) {
    const encoded_task encoded = EncodeTask(item);
    stream += encoded.head + encoded.body + encoded.reward_body;
  }
  return stream;
}

// Guards against tasks that change with the places where the stream is cut.
RC_GTEST_PROP(TaskStreamTest, TasksDoNotDependOnTheParts, ()) {
  std::vector<task> tasks;
  const auto sizes = *rc::gen::container<std::vector<size_t>>(
      rc::gen::element<size_t>(0, 1, 5, 300, 5000));
  for (const size_t size : sizes) {
    tasks.push_back(TaskOf(std::to_string(tasks.size()),
                           std::string(size, static_cast<char>(size))));
  }
  const std::string bytes = StreamOf(tasks);
  task_stream stream;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const auto size = *rc::gen::inRange<size_t>(1, rest.size() + 1);
    AppendBytes(stream, rest.substr(0, size));
    rest.remove_prefix(size);
    RC_ASSERT(IsComplete(stream, bytes.size()) == rest.empty());
  }
  RC_ASSERT(stream.tasks.size() == tasks.size());
  RC_ASSERT(StreamOf(stream.tasks) == bytes);
}

// Guards against a stream without its last bytes that opens a step.
TEST(TaskStreamTest, IncompleteStreamsAreNoSubmission) {
  const std::string bytes = StreamOf({TaskOf("a", "body")});
  task_stream stream;
  const std::string_view all = bytes;
  AppendBytes(stream, all.substr(0, all.size() - 1));
  EXPECT_FALSE(IsComplete(stream, bytes.size()));
  EXPECT_FALSE(IsComplete(stream, bytes.size() - 1));
  EXPECT_TRUE(stream.tasks.empty());
}

// Guards against memory that is reserved by a stated length.
TEST(TaskStreamTest, MalformedStreamsAreDiscarded) {
  task_stream stream;
  AppendBytes(stream, std::string(100, '\xff'));
  EXPECT_TRUE(stream.is_malformed);
  EXPECT_TRUE(stream.pending.empty());
  AppendBytes(stream, StreamOf({TaskOf("a", "body")}));
  EXPECT_TRUE(stream.tasks.empty());
  EXPECT_FALSE(IsComplete(stream, stream.received));
}

}  // namespace
}  // namespace hickorywood::steps
