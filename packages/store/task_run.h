#ifndef HICKORYWOOD_STORE_TASK_RUN_H_
#define HICKORYWOOD_STORE_TASK_RUN_H_

// The messages between the leader and a runner about one run of a task at an
// engine: the order to start it, and the reports on its progress.

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"
#include "net/message.h"

namespace hickorywood::store {

enum class run_end {
  kComplete,
  kFailed,      // the engine answered that the attempt failed
  kImpossible,  // the task can never be done
  kNotRun,      // the engine did not accept it
  kBroken,      // connection broken, timeout or malformed response
  kUnusable,    // generated with weights that the step does not allow
  kMoved,       // cancelled, to continue on another engine or runner
};
NLOHMANN_JSON_SERIALIZE_ENUM(run_end, {{run_end::kBroken, 4},
                                       {run_end::kComplete, 0},
                                       {run_end::kFailed, 1},
                                       {run_end::kImpossible, 2},
                                       {run_end::kNotRun, 3},
                                       {run_end::kUnusable, 5},
                                       {run_end::kMoved, 6}})

// Returns the name of an outcome for logs.
const char* WordOf(run_end how);

struct run_order {
  uint64_t run = 0;         // id, unique among all leaders of the group
  std::string incarnation;  // of the engine
  std::string address;      // of the engine
  std::string target;
  net::header_list headers;
  std::string body;
  // Number of events and weights versions of the text before this run, and the
  // weights that further events may come from.
  uint64_t events = 0;
  std::vector<uint64_t> versions;
  uint64_t minimum_version = 0;
  bool is_single_version = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(run_order, run, incarnation,
                                                address, target, headers, body,
                                                events, versions,
                                                minimum_version,
                                                is_single_version)

// The progress of a run since its previous report.
struct run_report {
  uint64_t run = 0;
  bool has_head = false;          // the engine has sent the response head
  uint64_t weights_version = 0;   // from the response head; 0: none
  std::vector<std::string> data;  // of each new event
  // Sum of the times between events, and the number of events that ended them.
  int64_t span_ms = 0;
  uint64_t spanned = 0;
  std::vector<uint64_t> versions;  // of the text up to now
  bool is_over = false;
  run_end how = run_end::kBroken;  // set if `is_over`
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(run_report, run, has_head,
                                                weights_version, data, span_ms,
                                                spanned, versions, is_over, how)

// Adds a later report of the same run to an earlier one.
void Merge(run_report& earlier, run_report later);

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_TASK_RUN_H_
