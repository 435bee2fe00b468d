#ifndef HICKORYWOOD_STEPS_TASK_STREAM_H_
#define HICKORYWOOD_STEPS_TASK_STREAM_H_

// The tasks of a large submission as a stream of bytes. It is sent and
// replicated in parts, because a message takes several times its size while it
// is encoded, sent, stored and applied.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/json.h"
#include "steps/step.h"

namespace hickorywood::steps {

// A part of the stream. The parts of one submission are sent in order.
struct staged_part {
  std::string submission;  // random id of the stream
  uint64_t offset = 0;     // position of the first byte in the stream
  std::string bytes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(staged_part, submission, offset,
                                                bytes)

// A submission whose tasks were sent before.
struct staged_submission {
  submission input;    // without tasks
  std::string staged;  // id of the stream
  uint64_t bytes = 0;  // length of the stream
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(staged_submission, input,
                                                staged, bytes)

// One task of the stream, in the order in which its pieces are sent. Bodies are
// sent without further encoding.
struct encoded_task {
  std::string head;  // the lengths, and the task without its bodies
  std::string body;
  std::string reward_body;
};
encoded_task EncodeTask(task input);

// A stream that is being received.
struct task_stream {
  uint64_t received = 0;  // bytes
  std::string pending;    // the start of a task that is not complete
  std::vector<task> tasks;
  bool is_malformed = false;
};

// Decodes the tasks that `bytes` complete.
void AppendBytes(task_stream& stream, std::string_view bytes);

// Whether the stream has `bytes` bytes and ends with a complete task.
bool IsComplete(const task_stream& stream, uint64_t bytes);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_TASK_STREAM_H_
