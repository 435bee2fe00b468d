#ifndef HICKORYWOOD_HICKORYD_GENERATION_SERVICE_H_
#define HICKORYWOOD_HICKORYD_GENERATION_SERVICE_H_

// Runs generations on model engines: queues them by fair shares, chooses an
// engine, monitors the stream, and when an engine fails resumes on another
// engine after the last received token. Runs on the traffic thread.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hickoryd/call_quarantine.h"
#include "hickoryd/context.h"
#include "hickoryd/explain_log.h"
#include "rollout/label.h"
#include "routing/admission.h"
#include "routing/choice.h"
#include "routing/endpoint_health.h"
#include "routing/retry_budget.h"
#include "routing/stale_connections.h"
#include "transport/engine_protocol.h"

namespace hickorywood::hickoryd {

// Whether a request that failed had an effect.
enum class request_outcome { kNotRun, kUnknown, kRan };

const char* OutcomeName(request_outcome outcome);

struct generation_request {
  std::string id;  // unique; engines return it
  std::string pool;
  std::string prompt;
  int64_t max_tokens = 0;
  // The trainer whose share is charged; empty for interactive requests.
  std::string trainer;
  routing::traffic_class kind = routing::traffic_class::kRollout;
  core::time_point deadline{};     // time_point{}: none
  rollout::generated_text resume;  // text to continue from
  int64_t oldest_version = 0;      // engines with older weights are not used
  std::string avoid_engine;        // used only if there is no other engine
  int64_t sample = 0;  // distinguishes requests with the same prompt
};

struct generation_result {
  bool is_complete = false;
  rollout::generated_text generated;
  std::string finish_reason;
  std::string engine;  // that completed the generation
  // The fields below apply when the generation is not complete.
  request_outcome outcome = request_outcome::kNotRun;
  std::string reason;
  core::milliseconds retry_after{0};  // 0: a retry does not help
  // Minimum time until the next attempt because engines crashed under it; 0:
  // none.
  core::milliseconds crash_pause{0};
};

struct generation_callbacks {
  // Called after each piece; `piece` is the new text.
  std::function<void(const rollout::generated_text& so_far,
                     const std::string& piece)>
      on_progress;
  std::function<void(const generation_result& result)> on_done;  // called once
};

// Alternatives to the default behavior, enabled for baseline measurements.
struct generation_policy {
  routing::choice_policy choice;
  bool resumes = true;  // false: restarts from the beginning after a failure
};

class generation_service {
 public:
  generation_service(instance_context& context, explain_log& explain,
                     call_quarantine& quarantine, generation_policy policy);

  // Schedules the timers. Call before the traffic loop starts.
  void Start();

  // Queues a generation. If it is rejected immediately, `on_done` is called
  // before this function returns.
  uint64_t Begin(generation_request request, generation_callbacks callbacks);

  // Cancels a generation and closes the connection to its engine. `on_done` is
  // not called.
  void Cancel(uint64_t id);

  // The engine that currently runs the generation; empty if there is none.
  std::string EngineOf(uint64_t id) const;

  size_t Active() const { return active_.size(); }
  // The number of requests that this instance may run on the engines of a pool
  // at once.
  int64_t Capacity(const std::string& pool) const;

 private:
  struct generation;
  struct pool_state {
    routing::fair_queue queue;
    routing::completion_rate rate;
    routing::retry_budget budget;
  };

  void Pump(const std::string& pool);
  bool Dispatch(const std::string& pool, generation& item);
  std::vector<routing::candidate> Candidates(
      const routing_view& view, const settings::pool_config& pool,
      const generation& item, std::vector<endpoint_view>& endpoints);
  void SendTo(generation& item, const endpoint_view& endpoint,
              const settings::pool_config& pool);
  void HandleBytes(uint64_t id, uint64_t attempt, const std::string& bytes);
  bool AppendToGeneration(generation& item,
                          const rollout::generation_chunk& chunk);
  void HandleStreamEnd(uint64_t id, uint64_t attempt,
                       const transport::http_response& response);
  void FinishAttempt(generation& item);
  void HandleFailure(generation& item, const std::string& reason,
                     bool is_engine_fault);
  void Requeue(generation& item, core::milliseconds pause);
  static quarantine::request_identity IdentityOf(const generation& item);
  // Fails the request and returns true if it is quarantined because engines
  // crashed while running it.
  bool FailIfQuarantined(generation& item);
  void Complete(generation& item);
  void Fail(generation& item, const std::string& reason,
            core::milliseconds retry_after);
  void End(generation& item, const generation_result& result);
  void CheckTimers();
  std::vector<std::string> EngineIds(const std::string& pool) const;

  instance_context& context_;
  explain_log& explain_;
  call_quarantine& quarantine_;
  const generation_policy policy_;
  routing::choice_state choice_;
  routing::stats_table stats_;
  routing::stale_connections stale_connections_;  // by engine
  // The `seq` of the latest report, by engine.
  std::map<std::string, uint64_t> latest_report_seq_;
  std::map<std::string, pool_state> pools_;
  std::map<uint64_t, std::shared_ptr<generation>> active_;
  uint64_t next_id_ = 1;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_GENERATION_SERVICE_H_
