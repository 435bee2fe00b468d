#ifndef HICKORYWOOD_STORE_DISPATCHER_H_
#define HICKORYWOOD_STORE_DISPATCHER_H_

// Runs the tasks of all open steps on the engines while this instance leads its
// data group. There is one dispatcher in the deployment, so it counts the load
// of each engine itself and does not depend on delayed load reports. After a
// change of the leader, the new dispatcher continues from the committed
// results.

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
#include <tuple>
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
#include "quarantine/crash_detector.h"
#include "quarantine/suspect_separation.h"
#include "settings/node_settings.h"
#include "steps/engine_model.h"
#include "steps/event_gap.h"
#include "steps/event_text.h"
#include "steps/pacing.h"
#include "steps/placement.h"
#include "steps/step_order.h"
#include "steps/task_choice.h"
#include "store/engine_ring.h"
#include "store/newer_views.h"
#include "store/reward_caller.h"
#include "store/runner_registry.h"
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
             quarantine::crash_detector& crashes, const fleet::protocol& wire,
             const fleet::view& view);

  void Start();
  // Called when this instance starts or stops leading. When it stops, all runs
  // are cancelled, because their results could not be committed.
  void OnLeadership(bool is_leader);
  // Called after a change of the replicated state: steps were opened, ended or
  // got results.
  void OnApplied();
  // Called after a change of the endpoints, their weights or the configuration.
  void OnView(const fleet::view_update& update);
  // Set before Start(): whether requests may be sent by the routes of the view.
  std::function<bool()> may_use_routes;
  // Set before Start(): how the engine of a task is chosen.
  settings::task_placement placement = settings::task_placement::kAuto;
  // Handles the polls and reports of other stores that run tasks. Returns
  // kNotLeader while this instance does not hold a live lease.
  boost::asio::awaitable<peering::envelope> HandleRunner(std::string method,
                                                         std::string payload);
  // Mean number of streams of each model whose tasks run here. Empty while this
  // instance does not lead.
  std::vector<fleet::model_demand> Demands() const;
  // The tasks that are running or waiting, of each service whose servers may be
  // ordered. Empty while this instance does not lead.
  std::vector<fleet::service_demand> ServiceDemands() const;

 private:
  enum class task_stage {
    kWaiting,
    kRunning,
    kScoring,  // the text is complete and waits for its score
    kDone,
  };

  // The state of a task in the memory of this leader; only the text is
  // committed.
  struct tracked_task {
    task_stage stage = task_stage::kWaiting;
    steps::generated_text text;
    steps::failed_attempts failures;
    core::time_point not_before{};
    int moves = 0;                  // away from slow engines
    std::string left_engine;        // engine of the run that was moved last
    uint64_t committed_events = 0;  // events of `text` that are committed
    bool is_complete_text_committed = false;
    core::time_point completed_at{};
    std::string digest;  // of the request; computed when first needed
    // Crashes of engines under its runs.
    quarantine::crash_suspicion suspicion;
    core::time_point broken_at{};  // end of the last run that broke
    int paused_crashes = 0;        // crashes for which a pause was logged
  };
  struct tracked_step {
    std::vector<tracked_task> tasks;
    std::vector<int64_t> expected_tokens;  // tokens of each task; 0: unknown
    std::vector<uint32_t> order;  // task indexes in the order of starting
    core::time_point opened_at{};
    size_t open_tasks = 0;  // tasks without a result at the start
    std::map<std::string, size_t> open_by_group;
    std::vector<int64_t> largest_tokens;  // of each task's output; 0: unknown
    std::vector<uint32_t> group_indexes;  // of each task
    // Whether an earlier step of the trainer has begun each group.
    std::vector<bool> carried_groups;
    // The route in the configuration with this version; none: it has ended.
    uint64_t route_version = 0;
    std::optional<fleet::route> route;
    std::vector<std::string> services;  // of the route
    core::milliseconds due{0};          // after the submission
  };
  struct peak_count {
    int64_t count = 0;
    core::time_point at{};
  };
  struct engine_weights {
    uint64_t version = 0;
    bool is_loading = false;
  };
  // State of one engine that is not part of its registration.
  struct engine_record {
    int64_t running = 0;
    steps::event_gap gap;
    steps::engine_model model;
    core::time_point avoid_until{};
    int failures = 0;  // in a row
    // Groups whose prompt the engine has processed, with the start of the last
    // task of each.
    std::map<std::string, core::time_point> groups;
    std::map<std::string, engine_weights> weights;  // by model
    quarantine::suspects_on_endpoint suspects;
  };
  struct run {
    uint64_t id = 0;
    task_key key;
    fleet::endpoint engine;
    std::string model;
    std::string runner;  // peer address of its store; empty: this store
    uint64_t events_at_start = 0;
    core::time_point started_at{};
    bool has_head = false;              // the engine has sent the response head
    bool has_invalid_response = false;  // see run_report
    core::time_point last_report_at{};  // or the start
    quarantine::crash_suspicion suspicion;  // of the task, at the start
    bool is_past_crash = false;
    bool is_long = false;  // for its step
    int64_t tokens = 0;    // of the prompt and the expected output
  };
  // The engines that may run the tasks of a step, with their state.
  struct engine_pool {
    size_t limit = 0;  // number of engines from which on no more are added
    std::vector<steps::engine_load> loads;
    // Same indexes as `loads`. `slots` are those of the task's weights. The
    // pointers are valid until the list of endpoints changes.
    std::vector<int64_t> slots;
    std::vector<const engine_record*> records;
    std::vector<const fleet::endpoint*> endpoints;
  };
  // The engines of a service that are not draining.
  struct service_engines {
    std::vector<const fleet::endpoint*> endpoints;
    std::vector<const engine_record*> records;  // same indexes
    std::vector<ring_engine> ring;
  };
  // By service, model and minimum weights version.
  using pool_key = std::tuple<std::string, std::string, uint64_t>;
  // A waiting task with its step, its request and its route.
  struct candidate {
    task_key key;
    bool is_long = true;
    const steps::step* step = nullptr;
    const steps::task_request* input = nullptr;
    const fleet::route* terms = nullptr;
  };

  // The runs on one engine, as the placement of further tasks needs them.
  struct engine_use {
    int64_t runs = 0;
    int64_t long_runs = 0;
    int64_t tokens = 0;
    steps::predicted_time next_free{0};  // until the first run ends
  };

  boost::asio::awaitable<void> RunDispatchLoop();
  boost::asio::awaitable<void> RunResultCommitLoop();
  boost::asio::awaitable<void> RunProgressCommitLoop();
  add_progress_command CollectProgress();
  bool NeedsProgressCommit(const tracked_task& task) const;
  // One pass over the waiting tasks. The state of the engines is collected once
  // per pass. Collecting it for each task took most of the leader's CPU time
  // with 48 engines.
  struct dispatch_pass {
    size_t starting = 0;  // runs that this store is starting
    std::map<pool_key, engine_pool*> pools;
    std::map<std::string, engine_use> use;                     // by incarnation
    std::map<std::string, steps::predicted_time> event_times;  // by service
    // Pools without a place that a further task could use.
    std::set<pool_key> full_pools;
    // Tasks that wait for a place on a faster engine, by pool.
    std::map<pool_key, int> waiting;
  };
  enum class start_outcome {
    kDone,      // started, or not startable now for a reason of its own
    kNoRunner,  // no store can start a run
  };
  // One pass over the runs, some of which may be moved.
  struct move_pass {
    dispatch_pass figures;
    // By step and service; updated with the planned moves.
    std::map<std::pair<std::string, std::string>,
             std::vector<steps::placement_engine>>
        engines;
  };
  struct planned_move {
    std::shared_ptr<run> moved;
    steps::predicted_time here{0};   // remaining time
    steps::predicted_time there{0};  // remaining time, with the move
  };
  // What the expected length of the texts of one step depends on.
  struct length_terms {
    steps::length_scale scale;
    int64_t tokens_per_event = 0;  // 0: unknown
  };

  void SyncSteps();
  void TrackStep(const std::string& id, const steps::step& step);
  static void MergeFailures(const steps::step& step, tracked_step& tracked);
  void ScheduleDispatch();
  void DispatchTasks();
  size_t CountStartingRuns() const;
  void DispatchStep(const std::string& id, tracked_step& tracked,
                    dispatch_pass& pass);
  bool TryStart(const candidate& item, dispatch_pass& pass);
  int64_t MaxStreamsFor(const candidate& item, const engine_pool& pool) const;
  // Returns the engines that may run tasks of a model, with their present load.
  engine_pool& CollectEngines(const pool_key& key);
  engine_pool FindEngines(const pool_key& key, size_t limit);
  // Number of engines among which the tasks of a model find enough places.
  size_t PoolLimit(const std::string& model) const;
  const service_engines& EnginesOf(const std::string& service);
  void ApplyEndpoints(const fleet::view_update& update);
  void ApplyWeights(const std::vector<fleet::engine_weights_entry>& weights);
  // Chooses the store for a run at an engine of `zone`: its peer address, or an
  // empty string for this store. No value if no store can start a run now.
  std::optional<std::string> ChooseRunnerFor(const std::string& zone,
                                             const dispatch_pass& pass) const;
  void StartRun(const candidate& item, const fleet::endpoint& engine,
                const std::string& runner);
  engine_pool& FindPool(dispatch_pass& pass, const std::string& service,
                        const steps::submission& input);
  // The prompt of a task: its model and its group.
  static std::string PromptOf(const candidate& item);
  // Updates the loads of a pool for one task.
  void UpdateLoads(engine_pool& pool, const candidate& item) const;
  // Admits engines that the task should not share with other suspected tasks.
  // Used when no other engine has a free slot.
  static void AdmitExcluded(engine_pool& pool);
  std::optional<candidate> FindCandidate(const task_key& key);
  bool MayStart(const task_key& key, tracked_task& task);

  // Choice by prediction, see steps/placement.h.
  // Indexes the groups of a step, and finds those that an earlier step has.
  static void IndexGroups(const steps::step& step,
                          const steps::step_table& known,
                          tracked_step& tracked);
  // Updates the route of a step if the configuration has changed.
  void UpdateRoute(const std::string& id, tracked_step& tracked);
  bool UsesPrediction(const std::string& service) const;
  bool UsesPrediction(const tracked_step& tracked) const;
  void DispatchByUrgency(const std::vector<std::string>& ids,
                         dispatch_pass& pass);
  steps::open_step DescribeStep(const std::string& id, tracked_step& tracked,
                                dispatch_pass& pass);
  length_terms LengthTermsOf(const std::string& id,
                             const tracked_step& tracked) const;
  steps::placement_task DescribeTask(const task_key& key,
                                     const tracked_step& tracked,
                                     const length_terms& terms) const;
  steps::placement_task DescribeTask(const task_key& key) const;
  // Usual time of an event, computed once per pass.
  steps::predicted_time EventTimeOf(const std::string& service,
                                    dispatch_pass& pass) const;
  void CollectUse(dispatch_pass& pass) const;
  steps::batch_effect EffectOf(const std::string& service) const;
  std::vector<steps::placement_engine> DescribeEngines(
      const engine_pool& pool, const std::string& service,
      dispatch_pass& pass) const;
  start_outcome StartByPrediction(const task_key& key, dispatch_pass& pass);
  // Moves runs that end clearly earlier on another engine.
  void MoveByPrediction();
  std::optional<planned_move> PlanMove(const std::shared_ptr<run>& active,
                                       move_pass& pass);
  std::vector<steps::placement_engine>& EnginesToMoveTo(const run& active,
                                                        move_pass& pass);
  bool MayMove(const run& active);
  void MoveRun(const std::shared_ptr<run>& moved);
  run_order MakeOrder(const candidate& item, const run& self) const;
  boost::asio::awaitable<peering::envelope> HandleOrdersRequest(
      std::string payload);
  peering::envelope HandleReportsRequest(const std::string& payload);
  void ApplyReport(run_report report);
  void RecordReturnedOrder(const run_report& report,
                           const std::string& incarnation);
  void RecordResponseHead(run& self, uint64_t weights_version);
  // Removes a run from the maps. Its later reports are ignored.
  void RemoveRun(const run& ended);
  void StopRun(const run& ending);
  void RescheduleLostRuns(const std::string& runner,
                          const std::vector<uint64_t>& runs);
  void HandleUnreachableRunners();
  void EndRun(const std::shared_ptr<run>& ended, run_outcome how);
  void RecordEngineOutcome(const std::string& incarnation, run_outcome how);
  void RecordBrokenConnection(const run& ended);
  void RecordServed(const task_key& key);
  // Whether the task must wait because engines crashed while they ran it, see
  // quarantine::PauseAfterCrash().
  bool IsPausedAfterCrash(const task_key& key, tracked_task& task);
  // Updates how many engines are known to have crashed under the task.
  void UpdateSuspicion(const task_key& key, tracked_task& task);
  void UpdatePastCrash(run& self, const tracked_task& task);
  // Called when the text of a task is complete. Requests the score, or finishes
  // the task if it has no reward request.
  void HandleCompleteText(const task_key& key);
  void OnScored(const task_key& key, reward_outcome how,
                const std::string& score);
  size_t OpenInGroup(const task_key& key);
  // Commits the failed attempts of a task, so that the next leader continues to
  // count from them.
  void CommitFailures(const task_key& key);
  void Finish(const task_key& key, bool is_complete, std::string score = "");
  void UpdateDemands();
  void UpdatePeaks();
  static void UpdatePeaks(std::map<std::string, peak_count>& peaks,
                          const std::map<std::string, int64_t>& counts,
                          std::chrono::seconds window, core::time_point now);
  void FailExpiredTasks();
  void RemoveExpiredPrompts();
  static void ClearPrompts(engine_record& record, const std::string& model);
  void EndRunsOfOldIncarnations();
  void MoveStragglers();
  void CancelRuns(const std::string& step);
  void CancelAll();
  tracked_task* FindTask(const task_key& key);
  const steps::task_request* RequestOf(const task_key& key) const;
  std::optional<quarantine::request_identity> IdentityOf(
      const task_key& key) const;
  // Returns the route of a step in the current configuration, or nullptr if it
  // has ended.
  const fleet::route* RouteOf(const std::string& step);
  // Limits of the tasks of a step: those of its route, or those of the route
  // that accepted it if that has ended.
  int64_t MaxAttemptsOf(const std::string& step);
  core::milliseconds TaskLifetimeOf(const std::string& step);
  std::vector<std::string> StepsByAge() const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const step_state& state_;
  net::connection_pool& pool_;
  quarantine::crash_detector& crashes_;
  const fleet::protocol& wire_;
  const fleet::view& view_;
  bool is_leading_ = false;
  bool is_dispatch_scheduled_ = false;
  std::map<std::string, tracked_step> steps_;
  std::map<std::string, engine_record> engines_;  // by incarnation
  // Both are made when they are needed, and cleared when the list of endpoints
  // changes. A change of weights clears the pools of its model.
  std::map<std::string, service_engines> service_engines_;  // by service
  std::map<pool_key, engine_pool> pools_;
  newer_views newer_;
  core::time_point prompts_expired_at_{};
  std::map<task_key, std::shared_ptr<run>> runs_;
  std::map<uint64_t, std::shared_ptr<run>> runs_by_id_;
  // Id of the latest run. The upper bits are the term, so that the ids of
  // different leaders differ.
  uint64_t latest_run_ = 0;
  task_runner own_runs_;
  // Shared with the coroutines of waiting polls. When the process ends, their
  // frames are destroyed after this object.
  std::shared_ptr<runner_registry> runners_ =
      std::make_shared<runner_registry>();
  // Wakes the poll of a store, by its peer address.
  std::map<std::string, net::event> new_orders_;
  std::vector<step_results> uncommitted_results_;
  net::event has_uncommitted_results_;
  net::event step_added_;
  std::map<std::string, steps::run_pace> paces_;        // by model
  std::map<std::string, steps::length_scale> lengths_;  // by model
  std::map<std::string, steps::batch_effect> effects_;  // by service
  // Services whose engines report their current speed.
  std::set<std::string> paced_services_;
  std::map<std::string, double> demands_;  // mean number of streams, by model
  // Highest number of open tasks of each model in the last seconds.
  std::map<std::string, peak_count> task_peaks_;
  // Highest number of streams of each service in the last seconds.
  std::map<std::string, peak_count> peaks_;
  core::time_point demands_at_{};
  reward_caller rewards_;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_DISPATCHER_H_
