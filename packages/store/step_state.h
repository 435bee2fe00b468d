#ifndef HICKORYWOOD_STORE_STEP_STATE_H_
#define HICKORYWOOD_STORE_STEP_STATE_H_

// The replicated state of a data group: the steps with their tasks and results,
// and the stores that are being retired.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/json.h"
#include "group/hosted_state.h"
#include "steps/step.h"
#include "steps/task_stream.h"

namespace hickorywood::store {

constexpr char kOpenStepCommand[] = "open_step";
// A part of the tasks of a later kOpenStagedStepCommand; a steps::staged_part.
constexpr char kStageTasksCommand[] = "stage_tasks";
// A steps::staged_submission.
constexpr char kOpenStagedStepCommand[] = "open_staged_step";
constexpr char kAddResultsCommand[] = "add_results";
constexpr char kAddProgressCommand[] = "add_progress";
constexpr char kEndStepCommand[] = "end_step";
// The text is the name of the command in existing logs.
constexpr char kRemoveStepsCommand[] = "forget_steps";
constexpr char kRetireCommand[] = "retire";

struct step_results {
  std::string step;
  std::vector<steps::task_result> results;
  std::vector<steps::failed_attempts> failures;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step_results, step, results,
                                                failures)

struct add_results_command {
  std::vector<step_results> steps;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(add_results_command, steps)

struct step_progress {
  std::string step;
  std::vector<steps::task_progress> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step_progress, step, tasks)

struct add_progress_command {
  std::vector<step_progress> steps;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(add_progress_command, steps)

struct end_step_command {
  std::string step;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(end_step_command, step)

// Both times are Unix times in milliseconds and are compared with the time at
// which a step was opened.
struct remove_steps_command {
  // Ended steps that were opened before this time are removed.
  int64_t ended_before_ms = 0;
  // Steps that have not ended and were opened before this time are removed.
  int64_t opened_before_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(remove_steps_command,
                                                ended_before_ms,
                                                opened_before_ms)

struct retire_command {
  std::string node;  // peer address
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(retire_command, node)

class step_state : public group::hosted_state {
 public:
  // `output_budget`: maximum bytes of outputs of ended steps in memory.
  explicit step_state(size_t output_budget) : output_budget_(output_budget) {}

  void Apply(const group::hosted_command& input) override;
  bool Restore(const std::string& data) override;
  // Returns a snapshot as of the log index before the oldest stored step, or as
  // of `applied` if there is no step. The snapshot contains no steps: they are
  // rebuilt from the later log entries on restart. The outputs are left out
  // because encoding those of two minutes took several times their memory.
  consensus::saved_state Save(uint64_t applied) const override;

  const steps::step_table& Steps() const { return content_.steps; }
  // Returns nullptr if there is no such step.
  const steps::step* Find(const std::string& id) const;
  // Peer addresses of the stores that are being retired.
  const std::set<std::string>& Retired() const { return content_.retired; }

  // The tasks of a submission that is being sent in parts.
  struct staged_tasks {
    steps::task_stream stream;
    uint64_t index = 0;        // of the log entry with the first part
    int64_t last_part_ms = 0;  // wall clock of the leader
  };
  // Memory of all tasks whose requests are stored, bytes.
  size_t TaskBytes() const;
  // Returns nullptr if there are no such tasks.
  const staged_tasks* FindStaged(const std::string& id) const;
  bool HasStaged() const { return !content_.staged.empty(); }

  struct content {
    steps::step_table steps;
    std::set<std::string> retired;
    // By the id of the stream. Like the steps, it is rebuilt from the log.
    std::map<std::string, staged_tasks> staged;
  };

 private:
  const size_t output_budget_;
  content content_;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step_state::content, steps,
                                                retired)

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_STEP_STATE_H_
