#include "hickoryd/call_service.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "core/events.h"
#include "core/ids.h"
#include "hickoryd/api_reply.h"

namespace hickorywood::hickoryd {
namespace {

using control::command_outcome;
using control::proposal_answer;
using control::proposal_status;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using transport::delivery;
using transport::http_response;

constexpr int kMaxAttempts = 4;
constexpr milliseconds kClaimLimit{3000};
constexpr milliseconds kRetryAfter{1000};
constexpr milliseconds kInProgressRetryAfter{500};
constexpr int kStatusTooMany = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;
constexpr char kNotRunOutcome[] = "not_run";
constexpr char kRequestIdHeader[] = "X-Request-Id";

bool ReportsNotRun(const http_response& response) {
  return response.how == delivery::kAnswered &&
         response.Header(kOutcomeHeader) == kNotRunOutcome;
}

// An endpoint that sent an invalid response is running.
bool MayHaveCrashed(const http_response& response) {
  return response.how == delivery::kMaybeSent && !response.is_invalid;
}

// Whether the end of the response is verifiable. Without a length or chunked
// encoding a truncated response looks like a complete one.
bool HasVerifiableEnd(const http_response& response) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (response.status == kNoContent || response.status == kNotModified) {
    return true;
  }
  return !response.Header("Content-Length").empty() ||
         !response.Header("Transfer-Encoding").empty();
}

quarantine::request_identity IdentityOf(const service_call& call) {
  return {call.service, call.method, call.target, call.body};
}

}  // namespace

repeatability Classify(const settings::service_config& config,
                       const service_call& call) {
  static const auto* const kIdempotentMethods =
      new std::set<std::string>{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
  for (const settings::route_rule& rule : config.non_idempotent) {
    const bool matches = rule.method == call.method &&
                         call.target.rfind(rule.path_prefix, 0) == 0;
    if (matches) return repeatability::kNonIdempotent;
  }
  if (call.caller_mark == "false") return repeatability::kNonIdempotent;
  if (call.caller_mark == "true") return repeatability::kIdempotent;
  return kIdempotentMethods->count(call.method) != 0
             ? repeatability::kIdempotent
             : repeatability::kUnmarked;
}

struct call_service::running_call {
  service_call call;
  completion done;
  settings::service_config config;
  settings::routing_config routing;
  repeatability kind = repeatability::kIdempotent;
  core::time_point call_deadline{};
  int attempts = 0;
  membership::announcement endpoint;  // of the current attempt
  std::string attempt_id;
  std::string nonce;  // of the claim; empty: the call has no claim
  std::string claim_key;
  std::set<std::string> tried;
  bool was_maybe_sent = false;
};

request_outcome call_service::OutcomeWithoutAnswer(const running_call& call) {
  return call.was_maybe_sent ? request_outcome::kUnknown
                             : request_outcome::kNotRun;
}

call_service::call_service(instance_context& context, explain_log& explain,
                           leader_client& leader, call_quarantine& quarantine)
    : context_(context),
      explain_(explain),
      leader_(leader),
      quarantine_(quarantine) {
  choice_.random.seed(std::random_device()());
}

void call_service::Begin(service_call call, completion done) {
  auto running = std::make_shared<running_call>();
  running->call = std::move(call);
  running->done = std::move(done);
  ++active_;
  const core::time_point now = context_.clock.Now();
  const auto view = context_.view_holder.Get();
  if (!MayServe(*view, context_.clock.BootNow())) {
    Refuse(running, kStatusUnavailable,
           "this instance has no valid configuration lease", kRetryAfter);
    return;
  }
  const auto service = view->config->services.find(running->call.service);
  if (service == view->config->services.end()) {
    Refuse(running, 404,
           "no service '" + running->call.service + "' at this site",
           milliseconds(0));
    return;
  }
  running->config = service->second;
  running->routing = view->config->routing;
  running->kind = Classify(service->second, running->call);
  running->call_deadline = now + service->second.timeout;
  budgets_[running->call.service].share = running->routing.retry_budget;
  const bool needs_claim = running->kind == repeatability::kNonIdempotent &&
                           !running->call.idempotency_key.empty();
  if (needs_claim) {
    Claim(running);
    return;
  }
  Attempt(running);
}

void call_service::Claim(const call_ptr& call) {
  const service_call& request = call->call;
  call->nonce = core::RandomId();
  call->claim_key = request.service + "/" + request.idempotency_key;
  control::command input;
  input.kind = control::command_kind::kClaim;
  input.instance = context_.settings.id;
  input.boot = context_.boot;
  input.claim_key = call->claim_key;
  input.nonce = call->nonce;
  input.request_digest = core::DigestHex(request.method + '\n' +
                                         request.target + '\n' + request.body);
  const bool is_queued = leader_.Propose(
      input, kClaimLimit, [this, call](const proposal_answer& answer) {
        context_.traffic.Post(
            [this, call, answer] { HandleClaimAnswer(call, answer); });
      });
  if (!is_queued) {
    call->nonce.clear();
    Refuse(call, kStatusUnavailable, "the control queue is full", kRetryAfter);
  }
}

void call_service::HandleClaimAnswer(const call_ptr& call,
                                     const proposal_answer& answer) {
  if (answer.status != proposal_status::kDone) {
    // The claim may still be committed later, but no request was sent and none
    // will be sent under this nonce.
    service_answer failure;
    failure.reason = "the control group can't be reached";
    failure.retry_after = kRetryAfter;
    Settle(call, failure);
    return;
  }
  const control::command_result& result = answer.result;
  explain_.Add(call->call.id, std::string("claim: ") +
                                  control::CommandOutcomeName(result.outcome) +
                                  " " + result.reason);
  service_answer failure;
  failure.reason = result.reason;
  switch (result.outcome) {
    case command_outcome::kAccepted:
      Attempt(call);
      return;
    case command_outcome::kExists: {
      service_answer recorded;
      recorded.is_answered = true;
      recorded.is_recorded = true;
      recorded.status = result.status;
      recorded.body = result.body;
      recorded.content_type = result.content_type;
      End(call, recorded);
      return;
    }
    case command_outcome::kInProgress:
      failure.outcome = request_outcome::kUnknown;
      failure.failure_status = 409;
      failure.retry_after = kInProgressRetryAfter;
      break;
    case command_outcome::kUnknown:
      failure.outcome = request_outcome::kUnknown;
      failure.failure_status = kStatusBadGateway;
      break;
    case command_outcome::kConflict:
      failure.failure_status = 422;
      break;
    default:
      failure.retry_after = kRetryAfter;
      break;
  }
  End(call, failure);
}

void call_service::Attempt(const call_ptr& call) {
  const core::time_point now = context_.clock.Now();
  // A process that was suspended while its claim was decided resumes here. By
  // then the caller has received another outcome, and the claim may have
  // expired.
  if (now >= call->call_deadline) {
    service_answer failure;
    failure.outcome = OutcomeWithoutAnswer(*call);
    failure.reason = "the timeout of the call has expired";
    failure.failure_status = kStatusTimeout;
    Settle(call, failure);
    return;
  }
  const quarantine::quarantine_decision decision =
      quarantine_.Check(IdentityOf(call->call));
  if (decision.state == quarantine::quarantine_state::kQuarantined) {
    FailAsQuarantined(call, decision.remaining);
    return;
  }
  const std::optional<membership::announcement> chosen = Choose(call);
  if (!chosen) {
    service_answer failure;
    failure.outcome = OutcomeWithoutAnswer(*call);
    failure.reason = "no endpoint of the service has room";
    failure.retry_after = kRetryAfter;
    Settle(call, failure);
    return;
  }
  SendTo(call, *chosen);
}

void call_service::FailAsQuarantined(const call_ptr& call, milliseconds left) {
  service_answer failure;
  failure.outcome = OutcomeWithoutAnswer(*call);
  failure.reason =
      "endpoints crashed while running this request; it is held back";
  failure.failure_status = failure.outcome == request_outcome::kNotRun
                               ? kStatusTooMany
                               : kStatusBadGateway;
  failure.retry_after = left;
  Settle(call, failure);
}

// Prefers endpoints that this call has not tried. When all were tried, they may
// be tried again.
std::optional<membership::announcement> call_service::Choose(
    const call_ptr& call) {
  const core::time_point now = context_.clock.Now();
  const auto view = context_.view_holder.Get();
  const auto endpoints = view->services.find(call->call.service);
  if (endpoints == view->services.end()) return std::nullopt;
  std::vector<routing::candidate> candidates;
  std::vector<membership::announcement> announced;
  bool has_untried = false;
  for (const endpoint_view& endpoint : endpoints->second) {
    const membership::announcement& latest = endpoint.latest;
    routing::endpoint_stats& stats = stats_[latest.id];
    if (endpoint.expires_at <= now || !routing::IsAvailable(stats, now)) {
      continue;
    }
    routing::candidate next;
    next.id = latest.id;
    next.is_same_zone = latest.zone == context_.settings.zone;
    next.reported_load = latest.running + latest.queued;
    next.outstanding = stats.outstanding;
    next.outstanding_at_report = stats.outstanding;
    next.allowed = routing::AllowedConcurrency(
        stats, call->config.endpoint_concurrency, now);
    has_untried = has_untried || call->tried.count(latest.id) == 0;
    candidates.push_back(next);
    announced.push_back(latest);
  }
  for (routing::candidate& item : candidates) {
    if (has_untried && call->tried.count(item.id) != 0) item.allowed = 0;
  }
  routing::choice_policy policy;
  policy.uses_affinity = false;
  const std::optional<size_t> chosen =
      routing::ChooseEndpoint(policy, choice_, candidates, 0);
  if (!chosen) return std::nullopt;
  return announced[*chosen];
}

// An attempt of a repeatable call gets half of the remaining time, which leaves
// time for a retry when an endpoint or a connection becomes unresponsive.
milliseconds call_service::AttemptTimeout(const running_call& call) const {
  const auto left = std::chrono::duration_cast<milliseconds>(
      call.call_deadline - context_.clock.Now());
  const bool may_retry =
      call.kind == repeatability::kIdempotent && call.attempts < kMaxAttempts;
  return std::max(milliseconds(1), may_retry ? left / 2 : left);
}

void call_service::SendTo(const call_ptr& call,
                          const membership::announcement& endpoint) {
  ++call->attempts;
  call->endpoint = endpoint;
  call->tried.insert(endpoint.id);
  call->attempt_id = call->call.id + "-" + std::to_string(call->attempts);
  explain_.Add(call->call.id, "sent to " + endpoint.id);
  ++stats_[endpoint.id].outstanding;

  transport::http_request request;
  request.method = call->call.method;
  request.url = "http://" + endpoint.address + call->call.target;
  request.headers = call->call.headers;
  request.name = {kRequestIdHeader, call->attempt_id};
  request.body = call->call.body;
  request.connect_timeout = call->routing.connect_timeout;
  request.total_timeout = AttemptTimeout(*call);
  request.is_single_shot = call->kind != repeatability::kIdempotent;
  request.needs_fresh_connection = routing::NeedsNewConnection(
      stale_connections_, endpoint.id, context_.clock.Now());
  context_.client.Send(
      std::move(request), [this, call](const http_response& response) {
        context_.traffic.Post(
            [this, call, response] { HandleResponse(call, response); });
      });
}

void call_service::HandleResponse(const call_ptr& call,
                                  const http_response& response) {
  --stats_[call->endpoint.id].outstanding;
  if (response.is_timeout) {
    routing::RecordTimeout(stale_connections_, call->endpoint.id,
                           context_.clock.Now());
  }
  if (ReportsNotRun(response)) {
    HandleFailure(call, response,
                  "the endpoint reported that the request did not run");
    return;
  }
  if (response.how != delivery::kNotSent) call->was_maybe_sent = true;
  if (MayHaveCrashed(response) && response.is_timeout) {
    quarantine_.RecordAbandoned(IdentityOf(call->call), call->endpoint);
  } else if (MayHaveCrashed(response)) {
    quarantine_.RecordBrokenConnection(IdentityOf(call->call), call->endpoint);
  }
  if (response.how != delivery::kAnswered) {
    HandleFailure(call, response, response.error);
    return;
  }
  if (!HasVerifiableEnd(response)) {
    HandleFailure(call, response,
                  "the response has neither a length nor chunked encoding");
    return;
  }
  const bool is_gateway_error =
      response.status >= kStatusBadGateway && response.status <= kStatusTimeout;
  if (is_gateway_error && call->kind == repeatability::kIdempotent) {
    HandleFailure(call, response, "status " + std::to_string(response.status));
    return;
  }
  quarantine_.RecordServed(IdentityOf(call->call));
  routing::RecordSuccess(stats_[call->endpoint.id], 0, milliseconds(0));
  routing::RecordSuccess(budgets_[call->call.service]);
  service_answer answer;
  answer.is_answered = true;
  answer.status = response.status;
  answer.content_type = response.Header("Content-Type");
  answer.body = response.body;
  Settle(call, answer);
}

void call_service::HandleFailure(const call_ptr& call,
                                 const http_response& response,
                                 const std::string& reason) {
  const core::time_point now = context_.clock.Now();
  explain_.Add(call->call.id, call->endpoint.id + " failed: " + reason);
  const auto view = context_.view_holder.Get();
  std::vector<std::string> ids;
  const auto endpoints = view->services.find(call->call.service);
  if (endpoints != view->services.end()) {
    for (const endpoint_view& endpoint : endpoints->second) {
      ids.push_back(endpoint.latest.id);
    }
  }
  const routing::ejection_policy ejection{call->routing.ejection_failures,
                                          call->routing.ejection_time,
                                          call->routing.ejection_floor};
  if (routing::RecordFailure(stats_, call->endpoint.id, ids, ejection, now)) {
    LogEvent(event_id::kEndpointEjected,
             {{"endpoint", call->endpoint.id}, {"reason", reason}});
  }
  const bool did_not_run =
      response.how == delivery::kNotSent || ReportsNotRun(response);
  // The endpoint may have crashed, which is confirmed only later. One more
  // crash would quarantine a suspected call, so it is not repeated now.
  const bool must_wait = MayHaveCrashed(response) &&
                         quarantine_.Check(IdentityOf(call->call)).state !=
                             quarantine::quarantine_state::kClear;
  const bool may_repeat =
      did_not_run || (call->kind == repeatability::kIdempotent && !must_wait);
  const bool has_time =
      now < call->call_deadline && call->attempts < kMaxAttempts;
  if (may_repeat && has_time &&
      routing::ConsumeRetry(budgets_[call->call.service])) {
    context_.counters.CountRetry(call->call.service);
    Attempt(call);
    return;
  }
  service_answer failure;
  const bool did_run = response.how == delivery::kAnswered && !did_not_run;
  failure.outcome =
      did_run ? request_outcome::kRan : OutcomeWithoutAnswer(*call);
  failure.reason = reason;
  failure.failure_status =
      response.is_timeout ? kStatusTimeout : kStatusBadGateway;
  if (failure.outcome == request_outcome::kNotRun) {
    failure.retry_after = kRetryAfter;
  }
  Settle(call, failure);
}

// Records the outcome of a claimed call before its caller receives the
// response: a repeated call right after the response, through any instance,
// must find the record.
void call_service::Settle(const call_ptr& call, const service_answer& answer) {
  if (call->nonce.empty()) {
    End(call, answer);
    return;
  }
  control::command input;
  input.kind = control::command_kind::kFinishClaim;
  input.instance = context_.settings.id;
  input.boot = context_.boot;
  input.claim_key = call->claim_key;
  input.nonce = call->nonce;
  input.is_known = answer.is_answered;
  input.is_not_run =
      !answer.is_answered && answer.outcome == request_outcome::kNotRun;
  input.status = answer.status;
  input.body = answer.body;
  input.content_type = answer.content_type;
  const bool is_queued = leader_.Propose(
      input, kClaimLimit,
      [this, call, answer](const proposal_answer& /*done*/) {
        context_.traffic.Post([this, call, answer] { End(call, answer); });
      });
  if (!is_queued) End(call, answer);
}

void call_service::Refuse(const call_ptr& call, int status,
                          const std::string& reason, milliseconds retry_after) {
  service_answer failure;
  failure.reason = reason;
  failure.failure_status = status;
  failure.retry_after = retry_after;
  End(call, failure);
}

void call_service::End(const call_ptr& call, const service_answer& answer) {
  --active_;
  if (!answer.is_answered) {
    const bool is_refusal = answer.outcome == request_outcome::kNotRun;
    LogEvent(is_refusal ? event_id::kRequestRefused : event_id::kRequestFailed,
             {{"request", call->call.id},
              {"service", call->call.service},
              {"reason", answer.reason}});
    explain_.Add(call->call.id, std::string("ended, ") +
                                    OutcomeName(answer.outcome) + ": " +
                                    answer.reason);
  }
  call->done(answer);
}

}  // namespace hickorywood::hickoryd
