#ifndef HICKORYWOOD_STEPS_STEP_H_
#define HICKORYWOOD_STEPS_STEP_H_

// Steps as the control group replicates them: what a trainer submitted, and the
// results in the order in which they became readable.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "net/message.h"
#include "steps/event_text.h"

namespace hickorywood::steps {

// A plain request whose answer scores the text of a task. It is sent once the
// text is whole, and may be repeated.
struct reward_request {
  std::string id;  // of the request; empty: the task has none
  std::string host;
  std::string path;
  std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(reward_request, id, host, path,
                                                body)

// What runs a task.
struct task_request {
  std::string path;
  net::header_list headers;
  std::string body;
  reward_request reward;

  bool HasReward() const { return !reward.id.empty(); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_request, path, headers,
                                                body, reward)

// One generation of a step.
struct task {
  std::string id;      // of the request that runs it
  std::string group;   // tasks of one group share their prompt
  int64_t tokens = 0;  // of the prompt and the longest output together
  // Empty: it was dropped, since the task has its result or its step is ended.
  std::optional<task_request> request;
};
// The fields of the request stand beside those of the task. Without them it was
// dropped.
// NOLINTBEGIN(readability-identifier-naming): the library looks for these names
void to_json(nlohmann::json& tree, const task& input);
void from_json(const nlohmann::json& tree, task& output);
// NOLINTEND(readability-identifier-naming)

// What a trainer submits.
struct submission {
  std::string id;
  std::string host;
  std::string path;
  int64_t number = 0;  // of the step, from 0
  std::string model;
  uint64_t minimum_version = 0;  // oldest weights that may generate its tokens
  int64_t wanted_groups = 0;     // complete groups that the trainer waits for
  std::vector<task> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(submission, id, host, path,
                                                number, model, minimum_version,
                                                wanted_groups, tasks)

struct task_result {
  uint32_t task = 0;               // index in the submission
  bool is_complete = false;        // false: given up
  std::string output;              // data of all events, one a line
  std::vector<uint64_t> versions;  // that generated an event of the output
  // The mark of the endpoint that scored exactly this output; empty: the task
  // has no reward request, or was given up.
  std::string score;
  // Where the result stands in the log, and the size and the hash of the output
  // while it is only there. Of this process only, not encoded; 0: not known.
  uint64_t index = 0;
  uint64_t bytes_on_disk = 0;
  uint64_t hash_on_disk = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_result, task, is_complete,
                                                output, versions, score)

struct step {
  submission input;
  int64_t opened_ms = 0;      // wall clock of the leader that took it
  uint64_t opened_index = 0;  // of the log entry; 0: not known
  bool is_ended = false;
  std::vector<task_result> results;  // by position
  // Text so far of long tasks without a result, by task: a successor of the
  // leader goes on after it.
  std::map<uint32_t, generated_text> progress;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step, input, opened_ms,
                                                is_ended, results, progress)

// More text of one task, to be put behind what is known of it.
struct task_progress {
  uint32_t task = 0;
  uint64_t after = 0;   // events that it goes on from
  generated_text text;  // `events` counts those before it too
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_progress, task, after,
                                                text)

// Steps by id.
using step_book = std::map<std::string, step>;

// Opens a step by the log entry `index`. False when one of that id is open
// already: then nothing changes.
bool OpenStep(step_book& book, submission input, int64_t now_ms,
              uint64_t index);

// Gives the results of the log entry `index` the next positions. A task that
// has a position keeps it: results that are no news are passed over. Returns
// how many were taken.
size_t AddResults(step_book& book, const std::string& id,
                  std::vector<task_result> results, uint64_t index);

// Adds text to tasks that have no result. What does not fit to what is known is
// passed over.
void AddProgress(step_book& book, const std::string& id,
                 std::vector<task_progress> progress);

// False when there is no such step.
bool EndStep(step_book& book, const std::string& id);

// Leaves outputs of ended steps on disk beyond `budget` bytes, those of the
// newest steps last: their trainers have read what they want, and the texts of
// two minutes are most of what a store holds.
void LeaveOldOutputs(step_book& book, size_t budget);

// Puts an output that was left on disk back into a result that is handed out.
// False with reason kCorrupt when it is not the one that was left.
bool TakeOutput(task_result& item, std::string output);

// Drops the steps that were opened before `limit_ms` and are ended or older
// than `oldest_ms`.
void ForgetSteps(step_book& book, int64_t limit_ms, int64_t oldest_ms);

bool HasResult(const step& where, uint32_t task);

// Results from a position on, as many as fit.
struct result_page {
  uint64_t total = 0;            // tasks of the step
  uint64_t next = 0;             // first position after the page
  std::vector<std::string> ids;  // of the tasks, beside `results`
  std::vector<task_result> results;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(result_page, total, next, ids,
                                                results)

// At least one result if there is one, and no more bytes of output than
// `page_bytes`.
result_page ReadPage(const step& where, uint64_t after, size_t page_bytes);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_STEP_H_
