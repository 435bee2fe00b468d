#ifndef HICKORYWOOD_STORE_TASK_RUN_H_
#define HICKORYWOOD_STORE_TASK_RUN_H_

// The messages between the leader and a runner about one run of a task at an
// engine: the order to start it, and the reports on its progress.

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"
#include "fleet/view.h"
#include "net/message.h"

namespace hickorywood::store {

enum class run_outcome {
  kComplete,
  kFailed,      // the engine answered that the attempt failed
  kImpossible,  // the task can never be done
  kNotRun,      // the engine did not accept it
  kBroken,      // connection broken, timeout or malformed response
  kUnusable,    // generated with weights that the step does not allow
  kMoved,       // cancelled, to continue on another engine or runner
  kUnexpected,  // an answer that is neither text nor a failed attempt
};
NLOHMANN_JSON_SERIALIZE_ENUM(run_outcome, {{run_outcome::kBroken, 4},
                                           {run_outcome::kComplete, 0},
                                           {run_outcome::kFailed, 1},
                                           {run_outcome::kImpossible, 2},
                                           {run_outcome::kNotRun, 3},
                                           {run_outcome::kUnusable, 5},
                                           {run_outcome::kMoved, 6},
                                           {run_outcome::kUnexpected, 7}})

// Returns the name of an outcome for logs.
const char* RunOutcomeName(run_outcome how);

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
  // The configuration and the lists by which the engine was chosen.
  uint64_t config = 0;
  fleet::view_version lists;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    run_order, run, incarnation, address, target, headers, body, events,
    versions, minimum_version, is_single_version, config, lists)

// Whether a change that is in this view was made after the order: a newer
// configuration, or the engine drains or has left. The leader has to choose
// again.
bool IsOutdated(const run_order& order, const fleet::view& held);

// The progress of a run since its previous report.
struct run_report {
  uint64_t run = 0;
  bool has_head = false;         // the engine has sent the response head
  uint64_t weights_version = 0;  // from the response head; 0: none
  int64_t pace = 0;  // from the response head, see fleet::load_hint; 0: none
  std::vector<std::string> data;  // of each new event
  // Sum of the times between events, and the number of events that ended them.
  int64_t span_ms = 0;
  uint64_t spanned = 0;
  std::vector<uint64_t> versions;  // of the text up to now
  bool is_over = false;
  run_outcome how = run_outcome::kBroken;  // set if `is_over`
  // If the run is broken: by bytes that are no valid response, so the engine is
  // running.
  bool has_invalid_response = false;
  // If the order was outdated and was not carried out: the configuration and
  // the lists of the runner. 0: it was carried out.
  uint64_t newer_config = 0;
  fleet::view_version newer_lists;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    run_report, run, has_head, weights_version, pace, data, span_ms, spanned,
    versions, is_over, how, has_invalid_response, newer_config, newer_lists)

// Adds a later report of the same run to an earlier one.
void Merge(run_report& earlier, run_report later);

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_TASK_RUN_H_
