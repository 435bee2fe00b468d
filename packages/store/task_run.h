#ifndef HICKORYWOOD_STORE_TASK_RUN_H_
#define HICKORYWOOD_STORE_TASK_RUN_H_

// One run of a task at an engine, as the leader orders it and hears of it.

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
  kNotRun,      // the engine did not take it
  kBroken,      // cut, silent or spoiled midway
  kUnusable,    // made under weights that the step does not allow
  kMoved,       // given up here to go on elsewhere
};
NLOHMANN_JSON_SERIALIZE_ENUM(run_end, {{run_end::kBroken, 4},
                                       {run_end::kComplete, 0},
                                       {run_end::kFailed, 1},
                                       {run_end::kImpossible, 2},
                                       {run_end::kNotRun, 3},
                                       {run_end::kUnusable, 5},
                                       {run_end::kMoved, 6}})

// The word of an end, for logs.
const char* WordOf(run_end how);

struct run_order {
  uint64_t run = 0;         // names the run among those of its leader
  std::string incarnation;  // of the engine
  std::string address;      // of the engine
  std::string target;
  net::header_list headers;
  std::string body;
  // The text before this run, and what may be added to it.
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

// What has come of a run since the report before.
struct run_report {
  uint64_t run = 0;
  bool has_head = false;          // the engine has answered
  uint64_t weights_version = 0;   // that its answer names; 0: none
  std::vector<std::string> data;  // of each further event
  // Time in which events came after another one, and how many did.
  int64_t span_ms = 0;
  uint64_t spanned = 0;
  std::vector<uint64_t> versions;  // of the whole text
  bool is_over = false;
  run_end how = run_end::kBroken;  // of a run that is over
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(run_report, run, has_head,
                                                weights_version, data, span_ms,
                                                spanned, versions, is_over, how)

// Adds a later report of the same run to an earlier one.
void Merge(run_report& earlier, run_report later);

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_TASK_RUN_H_
