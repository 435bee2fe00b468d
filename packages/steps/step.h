#ifndef HICKORYWOOD_STEPS_STEP_H_
#define HICKORYWOOD_STEPS_STEP_H_

// Steps as a data group replicates them: the submission of the trainer,
// and the results in the order in which they became readable.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "net/message.h"
#include "steps/event_text.h"

namespace hickorywood::steps {

// A plain request whose response is the score of a task's text. It is sent once
// the text is complete, and may be repeated.
struct reward_request {
  std::string id;  // request id; empty: the task has none
  std::string host;
  std::string path;
  std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(reward_request, id, host, path,
                                                body)

// The request that runs a task.
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
  std::string id;      // id of the request that runs it
  std::string group;   // tasks of one group share their prompt
  int64_t tokens = 0;  // prompt and maximum output together
  // Empty: removed, because the task has its result or its step has ended.
  std::optional<task_request> request;
};
// The fields of the request are encoded next to those of the task. If they are
// missing, the request was removed.
// NOLINTBEGIN(readability-identifier-naming): the library looks for these names
void to_json(nlohmann::json& tree, const task& input);
void from_json(const nlohmann::json& tree, task& output);
// NOLINTEND(readability-identifier-naming)

// Estimated memory of a task, bytes.
size_t MemoryOf(const task& input);

// The route that accepted a step. Its limits apply when the route has ended.
struct accepted_route {
  std::string prefix;  // empty: unknown
  int64_t max_attempts = 1;
  int64_t task_lifetime_ms = 0;  // 0: unlimited
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(accepted_route, prefix,
                                                max_attempts, task_lifetime_ms)

// A step as its trainer submits it.
struct submission {
  std::string id;
  std::string host;
  std::string path;
  accepted_route route;
  std::string customer;  // that submitted it; empty: none
  int64_t number = 0;    // of the step, from 0
  std::string model;
  uint64_t minimum_version = 0;  // oldest weights that may generate tokens
  int64_t wanted_groups = 0;     // complete groups that the trainer waits for
  std::vector<task> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(submission, id, host, path,
                                                route, customer, number, model,
                                                minimum_version, wanted_groups,
                                                tasks)

struct task_result {
  uint32_t task = 0;               // index in the submission
  bool is_complete = false;        // false: abandoned
  std::string output;              // data of all events, one per line
  std::vector<uint64_t> versions;  // weights that generated the output
  // Signature of the endpoint that scored exactly this output. Empty: the task
  // has no reward request, or was abandoned.
  std::string score;
  // Index of the log entry that contains the result, and size and hash of the
  // output while it is only on disk. Local to this process, not encoded; 0:
  // unknown.
  uint64_t index = 0;
  uint64_t bytes_on_disk = 0;
  uint64_t hash_on_disk = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_result, task, is_complete,
                                                output, versions, score)

// The failed attempts of one task.
struct failed_attempts {
  uint32_t task = 0;
  int64_t runs = 0;  // answers of engines that count as a failed attempt
  int64_t reward_calls = 0;  // the same of its reward request
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(failed_attempts, task, runs,
                                                reward_calls)

struct step {
  submission input;
  int64_t opened_ms = 0;      // wall clock of the leader that opened it
  uint64_t opened_index = 0;  // of the log entry; 0: unknown
  bool is_ended = false;
  std::vector<task_result> results;  // by position
  // Text so far of long tasks without a result, by task: the next leader
  // continues after it.
  std::map<uint32_t, generated_text> progress;
  // Of tasks without a result that have any, by task.
  std::map<uint32_t, failed_attempts> failures;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step, input, opened_ms,
                                                is_ended, results, progress,
                                                failures)

// Further text of one task, to be appended to the text that the step has.
struct task_progress {
  uint32_t task = 0;
  uint64_t after = 0;   // number of the events before this text
  generated_text text;  // `events` includes the events before it
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_progress, task, after,
                                                text)

// Steps by id.
using step_table = std::map<std::string, step>;

// Opens a step with the log entry `index`. Returns false and changes nothing if
// a step with this id is open already.
bool OpenStep(step_table& table, submission input, int64_t now_ms,
              uint64_t index);

// Assigns the next positions to the results of the log entry `index`. A task
// that has a result keeps it: further results of it are ignored. Returns the
// number of results that were added.
size_t AddResults(step_table& table, const std::string& id,
                  std::vector<task_result> results, uint64_t index);

// Adds text to tasks that have no result. Text with `after` 0 replaces the
// stored text. Other text is ignored if it does not continue the stored text.
void AddProgress(step_table& table, const std::string& id,
                 std::vector<task_progress> progress);

// Records the failed attempts of tasks that have no result, so that the next
// leader continues to count from them. The numbers never decrease.
void RecordFailures(step_table& table, const std::string& id,
                    const std::vector<failed_attempts>& failures);

// Returns false if there is no such step.
bool EndStep(step_table& table, const std::string& id);

// Releases the memory of outputs of ended steps beyond `budget` bytes; they
// stay on disk. The newest steps keep their outputs in memory. The trainers of
// ended steps have read the results that they need, and the texts of two
// minutes are most of what a store has in memory.
void EvictOldOutputs(step_table& table, size_t budget);

// Sets the output of a result that is about to be returned to the copy read
// from disk. Returns false with reason kCorrupt if the copy has another size or
// hash than the released output.
bool RestoreOutput(task_result& item, std::string output);

// Removes ended steps that were opened before `limit_ms`, and open steps that
// were opened before `oldest_ms`.
void RemoveSteps(step_table& table, int64_t limit_ms, int64_t oldest_ms);

// Whether callers of this customer may read and end a step. A step without a
// customer was submitted without a key.
bool MayAccess(const step& owner, const std::string& customer);

bool HasResult(const step& owner, uint32_t task);

// Results from a position on, as many as fit in a page.
struct result_page {
  uint64_t total = 0;            // tasks of the step
  uint64_t next = 0;             // first position after the page
  std::vector<std::string> ids;  // task id of each result
  std::vector<task_result> results;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(result_page, total, next, ids,
                                                results)

// Returns at least one result if there is one. Adds further ones as long as the
// outputs have at most `page_bytes` bytes in total.
result_page ReadPage(const step& owner, uint64_t after, size_t page_bytes);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_STEP_H_
