#ifndef HICKORYWOOD_STORE_RUNNER_BOOK_H_
#define HICKORYWOOD_STORE_RUNNER_BOOK_H_

// The other stores that run tasks for the leader, and which runs each of them
// has. A runner asks for orders again and again; its answers are numbered, so
// that an answer that got lost is seen at the next question. Plain data and
// functions.
//
// Why the runner asks and isn't called: an order that a cut link delivers
// seconds late would start a task that has long been given to another one. An
// answer that comes after its asker's own deadline is not read.

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

// A runner asks for orders.
struct orders_request {
  std::string runner;  // peer address
  std::string zone;
  std::string session;    // new after all its runs were cancelled
  uint64_t received = 0;  // number of the last answer that it took
  int64_t wait_ms = 0;    // how long the answer may be held back
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(orders_request, runner, zone,
                                                session, received, wait_ms)

struct orders_answer {
  uint64_t term = 0;  // of the leader
  uint64_t number = 0;
  std::vector<run_order> orders;
  std::vector<uint64_t> cancelled;  // runs
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(orders_answer, term, number,
                                                orders, cancelled)

// A runner tells what has come of its runs.
struct reports_request {
  std::string runner;
  std::string session;
  uint64_t term = 0;    // of the leader that ordered the runs
  uint64_t number = 0;  // rises by one; the same again: the answer was lost
  std::vector<run_report> reports;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(reports_request, runner,
                                                session, term, number, reports)

struct known_runner {
  std::string zone;
  std::string session;
  core::time_point heard_at{};
  bool is_asking = false;  // its question waits for an answer
  uint64_t answers = 0;
  uint64_t reports = 0;  // number of the last ones that were taken
  std::set<uint64_t> runs;
  // Not handed over yet.
  std::vector<run_order> orders;
  std::vector<uint64_t> cancelled;
  // Handed over in the last answer, which may get lost.
  std::vector<uint64_t> unconfirmed;
};

struct runner_book {
  std::map<std::string, known_runner> runners;  // by peer address
};

// Takes a question. Returns the runs that are lost by it: those of an earlier
// session, and those whose orders did not arrive.
std::vector<uint64_t> TakeQuestion(runner_book& book,
                                   const orders_request& input,
                                   core::time_point now);
// What the runner is told now.
orders_answer MakeAnswer(runner_book& book, const std::string& runner,
                         uint64_t term, core::time_point now);
bool HasOrders(const runner_book& book, const std::string& runner);
// Whether the session of a runner is known: it is not after the runner was
// lost, or leadership was.
bool IsKnown(const runner_book& book, const std::string& runner,
             const std::string& session);
// The runner closed its question before it was answered: it is gone, or asks
// again at once.
void NoteAbandoned(runner_book& book, const std::string& runner,
                   const std::string& session, core::time_point now);

// Whether reports are the next ones of a session that is known, on runs of the
// leader of `term`. False: they are not to be taken. A set that was under way
// when the leader was lost reaches its successor under the same session, and
// its numbers mean nothing there.
bool TakeReports(runner_book& book, const reports_request& input, uint64_t term,
                 core::time_point now);

// Forgets a runner, and returns the runs that are lost with it.
std::vector<uint64_t> LoseRunner(runner_book& book, const std::string& runner);
// ... all that have not been heard for too long, with the runs of each.
std::map<std::string, std::vector<uint64_t>> LoseSilent(runner_book& book,
                                                        core::time_point now);

// The runner for a task at an engine of `zone`; empty: there is none with room.
// Few runners get many runs each: a call then carries the news of many. One in
// the engine's own zone saves the way of each event between zones.
std::optional<std::string> ChooseRunner(const runner_book& book,
                                        const std::string& zone,
                                        core::time_point now);

void AddOrder(runner_book& book, const std::string& runner, run_order order);
// The leader gives a run up.
void CancelRun(runner_book& book, const std::string& runner, uint64_t run);
// A run is over.
void NoteOver(runner_book& book, const std::string& runner, uint64_t run);

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_RUNNER_BOOK_H_
