#ifndef HICKORYWOOD_STORE_RUNNER_REGISTRY_H_
#define HICKORYWOOD_STORE_RUNNER_REGISTRY_H_

// The leader's registry of the other stores that run tasks, and of the runs
// that each of them has. A runner polls the leader for orders. The answers are
// numbered, so that the next poll shows whether an answer was lost. This file
// contains plain data and functions without I/O.
//
// The runner polls because orders that are pushed to it could be delayed by a
// broken link for seconds. They would then start tasks that other runners have
// already. A runner ignores an answer that arrives after its own deadline.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "store/task_run.h"

namespace hickorywood::store {

// A poll of a runner for orders.
struct orders_request {
  std::string runner;  // peer address
  std::string zone;
  std::string session;    // changes when the runner cancels all its runs
  uint64_t received = 0;  // number of the last answer that the runner received
  int64_t wait_ms = 0;    // maximum delay of the answer
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(orders_request, runner, zone,
                                                session, received, wait_ms)

struct orders_answer {
  uint64_t term = 0;    // of the leader
  uint64_t number = 0;  // increases by one within a session
  std::vector<run_order> orders;
  std::vector<uint64_t> cancelled;  // ids of runs
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(orders_answer, term, number,
                                                orders, cancelled)

// Progress and outcomes of the runs of a runner.
struct reports_request {
  std::string runner;
  std::string session;
  uint64_t term = 0;    // of the leader that ordered the runs
  uint64_t number = 0;  // increases by one; repeated if the answer was lost
  std::vector<run_report> reports;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(reports_request, runner,
                                                session, term, number, reports)

struct registered_runner {
  std::string zone;
  std::string session;
  core::time_point last_contact_at{};
  bool is_polling = false;   // a poll waits for its answer
  uint64_t last_answer = 0;  // number of the last answer
  uint64_t reports = 0;      // number of the last accepted reports
  std::set<uint64_t> runs;
  // To be sent in the next answer.
  std::vector<run_order> orders;
  std::vector<uint64_t> cancelled;
  // Runs whose orders were sent in the last answer, which may be lost.
  std::vector<uint64_t> unconfirmed_runs;
};

struct runner_registry {
  std::map<std::string, registered_runner> runners;  // by peer address
};

// Handles a poll. Returns the runs that it shows to be lost: those of an
// earlier session, and those whose orders did not arrive.
std::vector<uint64_t> ApplyPoll(runner_registry& registry,
                                const orders_request& input,
                                core::time_point now);
// Returns the answer to the runner's poll and clears the queued orders.
orders_answer MakeAnswer(runner_registry& registry, const std::string& runner,
                         uint64_t term, core::time_point now);
bool HasOrders(const runner_registry& registry, const std::string& runner);
// Whether the registry contains the session of a runner. It does not after the
// runner was removed or leadership was lost.
bool HasSession(const runner_registry& registry, const std::string& runner,
                const std::string& session);
// Whether a runner polls with a session that the registry has removed. The
// runner must begin a new one: it continues the numbers of its reports, which
// the registry does not know any more, and its runs were given to others.
bool HasLostSession(const runner_registry& registry,
                    const orders_request& input);
// Called when a runner closed its poll before the answer. Either the runner has
// terminated, or it polls again at once.
void OnPollClose(runner_registry& registry, const std::string& runner,
                 const std::string& session, core::time_point now);

// Returns whether reports are the next ones of a registered session, about runs
// that the leader of `term` ordered. Other reports must be ignored. Reports
// that were sent to a failed leader can reach its successor under the same
// session, where their number and run ids are not valid.
bool AcceptReports(runner_registry& registry, const reports_request& input,
                   uint64_t term, core::time_point now);

// Removes a runner and returns its runs.
std::vector<uint64_t> RemoveRunner(runner_registry& registry,
                                   const std::string& runner);
// Removes all runners that have not polled or reported within
// kRunnerContactTimeout, and returns the runs of each.
std::map<std::string, std::vector<uint64_t>> RemoveUnreachable(
    runner_registry& registry, core::time_point now);

// Chooses the runner for a task at an engine of `zone`. No value if none has
// room. Prefers runners in the engine's zone, which avoids traffic between
// zones for each event. Among these it prefers the one with the most runs,
// because a call can then carry the reports of many runs.
std::optional<std::string> ChooseRunner(const runner_registry& registry,
                                        const std::string& zone,
                                        core::time_point now);

void AddOrder(runner_registry& registry, const std::string& runner,
              run_order order);
// Cancels a run at its runner.
void CancelRun(runner_registry& registry, const std::string& runner,
               uint64_t run);
// Removes a run that has ended.
void RemoveEndedRun(runner_registry& registry, const std::string& runner,
                    uint64_t run);

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_RUNNER_REGISTRY_H_
