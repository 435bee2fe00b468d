#ifndef HICKORYWOOD_HICKORYD_CALL_SERVICE_H_
#define HICKORYWOOD_HICKORYD_CALL_SERVICE_H_

// Calls to plain services: routing, retries of calls that may be repeated, and
// claims for calls that may not. Runs on the traffic thread.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryd/call_quarantine.h"
#include "hickoryd/context.h"
#include "hickoryd/explain_log.h"
#include "hickoryd/generation_service.h"
#include "hickoryd/leader_client.h"
#include "routing/stale_connections.h"

namespace hickorywood::hickoryd {

// Whether the call may be sent again after it may have reached an endpoint.
enum class repeatability { kIdempotent, kUnmarked, kNonIdempotent };

struct service_call {
  std::string id;  // request id
  std::string service;
  std::string method;
  std::string target;  // path at the service, with the query
  std::vector<transport::http_header> headers;
  std::string body;
  std::string idempotency_key;  // empty: the caller sent none
  std::string caller_mark;      // value of the header Hickory-Idempotent
};

struct service_answer {
  // True if the service answered; otherwise the fields of a failure apply.
  bool is_answered = false;
  int status = 0;
  std::string content_type;
  std::vector<transport::http_header> headers;
  std::string body;
  bool is_recorded = false;  // recorded response of an earlier attempt

  request_outcome outcome = request_outcome::kNotRun;
  std::string reason;
  int failure_status = 503;
  core::milliseconds retry_after{0};
};

// Classifies the call by the configured routes, then by the caller's header. A
// call without a mark is classified by its method: one that is not idempotent
// in HTTP is not sent twice.
repeatability Classify(const settings::service_config& config,
                       const service_call& call);

class call_service {
 public:
  using completion = std::function<void(const service_answer&)>;

  call_service(instance_context& context, explain_log& explain,
               leader_client& leader, call_quarantine& quarantine);

  void Begin(service_call call, completion done);

  size_t Active() const { return active_; }

 private:
  struct running_call;
  using call_ptr = std::shared_ptr<running_call>;

  // The outcome of a call that no endpoint has answered.
  static request_outcome OutcomeWithoutAnswer(const running_call& call);
  void Claim(const call_ptr& call);
  void HandleClaimAnswer(const call_ptr& call,
                         const control::proposal_answer& answer);
  void Attempt(const call_ptr& call);
  // Fails a call that is quarantined because endpoints crashed while running
  // it; `left` is the remaining quarantine time.
  void FailAsQuarantined(const call_ptr& call, core::milliseconds left);
  std::optional<membership::announcement> Choose(const call_ptr& call);
  core::milliseconds AttemptTimeout(const running_call& call) const;
  void SendTo(const call_ptr& call, const membership::announcement& endpoint);
  void HandleResponse(const call_ptr& call,
                      const transport::http_response& response);
  void HandleFailure(const call_ptr& call,
                     const transport::http_response& response,
                     const std::string& reason);
  void Settle(const call_ptr& call, const service_answer& answer);
  void End(const call_ptr& call, const service_answer& answer);
  void Refuse(const call_ptr& call, int status, const std::string& reason,
              core::milliseconds retry_after);

  instance_context& context_;
  explain_log& explain_;
  leader_client& leader_;
  call_quarantine& quarantine_;
  routing::choice_state choice_;
  routing::stats_table stats_;
  routing::stale_connections stale_connections_;          // by endpoint
  std::map<std::string, routing::retry_budget> budgets_;  // by service
  size_t active_ = 0;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_CALL_SERVICE_H_
