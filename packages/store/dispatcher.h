#ifndef HICKORYWOOD_STORE_DISPATCHER_H_
#define HICKORYWOOD_STORE_DISPATCHER_H_

// Runs the tasks of all open steps on the engines, while this instance leads.
// One dispatcher for the whole deployment knows each engine's load from its own
// count, so that nothing is left to luck or to late reports. A successor goes
// on from the committed results.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/endpoint_registry.h"
#include "fleet/protocol.h"
#include "fleet/view.h"
#include "group/group_host.h"
#include "net/connection_pool.h"
#include "net/event.h"
#include "net/spawn.h"
#include "peering/messages.h"
#include "quarantine/crash_watch.h"
#include "steps/event_gap.h"
#include "steps/event_text.h"
#include "steps/pacing.h"
#include "steps/task_choice.h"
#include "store/reward_caller.h"
#include "store/runner_book.h"
#include "store/step_state.h"
#include "store/task_key.h"
#include "store/task_run.h"
#include "store/task_runner.h"

namespace hickorywood::store {

class dispatcher {
 public:
  dispatcher(boost::asio::io_context& loop, const core::runtime_clock& clock,
             group::group_host& group, const step_state& state,
             net::connection_pool& pool, routing::request_sender& sender,
             quarantine::crash_watch& crashes, const fleet::protocol& wire,
             const fleet::view& view);

  void Start();
  // This instance starts or stops leading. When it stops, all runs are
  // cancelled: their results could not be committed.
  void OnLeadership(bool is_leader);
  // The replicated state changed: steps were opened, ended or got results.
  void OnApplied();
  // The endpoints, their weights or the configuration changed.
  void OnView();
  // What other stores that run tasks ask and tell. kNotLeader while this
  // instance does not hold a live lease.
  boost::asio::awaitable<peering::envelope> HandleRunner(std::string method,
                                                         std::string payload);
  // Of the models whose tasks run here; empty while this instance does not
  // lead.
  std::vector<fleet::model_demand> Demands() const;

 private:
  enum class task_stage {
    kWaiting,
    kRunning,
    kScoring,  // its text is whole and wants its score
    kDone,
  };

  // Where a task stands, in this leader's memory.
  struct task_run {
    task_stage stage = task_stage::kWaiting;
    steps::generated_text text;
    int64_t failures = 0;  // answers that count as a failed attempt
    core::time_point not_before{};
    int moves = 0;                  // off slow engines
    std::string left;               // the engine of the last move
    uint64_t committed_events = 0;  // of the text, kept by the data group
    bool is_whole_committed = false;
    core::time_point whole_at{};
    std::string digest;  // of its request; empty: nobody has asked yet
    bool is_held_back = false;
  };
  struct step_run {
    std::vector<task_run> tasks;
    std::vector<int64_t> expected;  // length of each; 0: not known
    std::vector<uint32_t> order;    // in which they start
    core::time_point opened_at{};
    size_t open_tasks = 0;  // that have no result yet
    std::map<std::string, size_t> open_by_group;
  };
  struct weights_at_engine {
    uint64_t version = 0;
    bool is_loading = false;
  };
  // What is known of one engine beside its registration.
  struct engine_record {
    int64_t running = 0;
    steps::event_gap gap;
    core::time_point avoid_until{};
    int failures = 0;  // in a row
    // Groups whose prompt it has read, with the time of the last task.
    std::map<std::string, core::time_point> groups;
    std::map<std::string, weights_at_engine> weights;  // by model
  };
  struct run {
    uint64_t id = 0;
    task_key key;
    fleet::endpoint engine;
    std::string model;
    std::string runner;  // store that runs it; empty: this one
    uint64_t events_at_start = 0;
    core::time_point started_at{};
    bool has_head = false;        // the engine has answered
    core::time_point heard_at{};  // the last report, or the start
  };
  // The engines that may run the tasks of a step, and what is known of them.
  struct engine_pool {
    std::vector<steps::engine_load> loads;
    // Beside `loads`; valid as long as neither map nor view changes.
    std::vector<const engine_record*> records;
    std::vector<const fleet::endpoint*> endpoints;
  };
  // One task with its place and terms, as it waits for an engine.
  struct candidate {
    task_key key;
    bool is_long = true;
    const steps::step* step = nullptr;
    const steps::task_request* input = nullptr;
    const fleet::route* terms = nullptr;
  };

  boost::asio::awaitable<void> KeepWatching();
  boost::asio::awaitable<void> KeepCommitting();
  boost::asio::awaitable<void> KeepProgress();
  add_progress_command CollectProgress();
  bool IsWorthCommitting(const task_run& task) const;
  // One pass over the waiting tasks. What it knows of the engines is gathered
  // once for all of them: gathered for each task, it took most of the leader's
  // processor time with 48 engines.
  struct dispatch_pass;

  void SyncSteps();
  void StartStep(const std::string& id, const steps::step& where);
  void SchedulePump();
  void Pump();
  size_t Starting() const;
  void PumpStep(const std::string& id, step_run& where, dispatch_pass& pass);
  bool TryStart(const candidate& item, dispatch_pass& pass);
  int64_t PlacesFor(const candidate& item, const engine_pool& pool) const;
  engine_pool GatherEngines(const std::string& service,
                            const std::string& model, uint64_t minimum_version);
  // Where a run at an engine of `zone` may start: a store's peer address, or
  // empty for this one. No value: nowhere now.
  std::optional<std::string> RunnerFor(const std::string& zone,
                                       const dispatch_pass& pass) const;
  void StartRun(const candidate& item, const fleet::endpoint& engine,
                const std::string& runner);
  run_order MakeOrder(const candidate& item, const run& self) const;
  boost::asio::awaitable<peering::envelope> TakeOrdersRequest(
      std::string payload);
  peering::envelope TakeReportsRequest(const std::string& payload);
  void TakeReport(run_report report);
  void NoteHead(run& self, uint64_t weights_version);
  // Takes a run off the lists. What it still does is not heard.
  void Forget(const run& ended);
  void StopRun(const run& ending);
  void LoseRuns(const std::string& runner, const std::vector<uint64_t>& runs);
  void LoseSilentRunners();
  void EndRun(const std::shared_ptr<run>& ended, run_end how);
  void NoteEngine(const std::string& incarnation, run_end how);
  void NoteBroken(const run& ended);
  void NoteServed(const task_key& key);
  // Whether engines ended under the task, so that it must wait.
  bool IsHeldBack(const task_key& key, task_run& task);
  // The text of a task is whole: it is scored, or finished.
  void TakeWholeText(const task_key& key);
  void OnScored(const task_key& key, reward_end how, const std::string& score);
  size_t OpenInGroup(const task_key& key);
  void Finish(const task_key& key, bool is_complete, std::string score = "");
  void NoteDemands();
  void GiveUpOld();
  void ForgetOldGroups();
  static void ForgetPrompts(engine_record& record, const std::string& model);
  void EndRunsOfOlderStarts();
  void MoveStragglers();
  void CancelRuns(const std::string& step);
  void CancelAll();
  task_run* FindTask(const task_key& key);
  const steps::task_request* RequestOf(const task_key& key) const;
  std::optional<quarantine::request_identity> IdentityOf(
      const task_key& key) const;
  const fleet::route* RouteOf(const task_key& key) const;
  std::vector<std::string> StepsByAge() const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const step_state& state_;
  net::connection_pool& pool_;
  quarantine::crash_watch& crashes_;
  const fleet::protocol& wire_;
  const fleet::view& view_;
  bool is_leading_ = false;
  bool is_pump_scheduled_ = false;
  std::map<std::string, step_run> steps_;
  std::map<std::string, engine_record> engines_;  // by incarnation
  std::map<task_key, std::shared_ptr<run>> runs_;
  std::map<uint64_t, std::shared_ptr<run>> runs_by_id_;
  // Rises. Begins with the term, so that no two leaders name a run alike.
  uint64_t latest_run_ = 0;
  task_runner own_runs_;
  // Shared with the questions that wait: at the end of the process their frames
  // go after this object.
  std::shared_ptr<runner_book> runners_ = std::make_shared<runner_book>();
  net::event orders_filled_;
  std::vector<step_results> outbox_;
  net::event outbox_filled_;
  net::event wake_;
  std::map<std::string, steps::run_pace> paces_;  // by model
  std::map<std::string, double> demands_;         // streams at once, by model
  core::time_point demands_at_{};
  reward_caller rewards_;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_DISPATCHER_H_
