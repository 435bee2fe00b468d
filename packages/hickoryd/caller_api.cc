#include "hickoryd/caller_api.h"

#include <algorithm>
#include <utility>

#include "core/events.h"
#include "core/ids.h"
#include "hickoryd/api_bodies.h"
#include "hickoryd/report.h"
#include "transport/access.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;
using core::milliseconds;

constexpr milliseconds kRetryAfter{1000};
constexpr char kServicePrefix[] = "/v1/services/";

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  size_t start = 1;
  while (start <= path.size()) {
    const size_t slash = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, slash - start));
    start = slash + 1;
  }
  return parts;
}

// Fills `names` with the path parts that match the ':' parts of the pattern.
// False when the path does not match.
bool MatchPattern(const std::vector<std::string>& pattern,
                  const std::vector<std::string>& path,
                  std::vector<std::string>& names) {
  names.clear();
  for (size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "**") return true;
    if (i >= path.size() || path[i].empty()) return false;
    if (pattern[i][0] == ':') {
      names.push_back(path[i]);
    } else if (pattern[i] != path[i]) {
      return false;
    }
  }
  return pattern.size() == path.size();
}

std::string RequestId(const exchange_ptr& exchange) {
  const std::string given = exchange->Header("X-Request-Id");
  constexpr size_t kMaxIdBytes = 128;
  return given.empty() || given.size() > kMaxIdBytes ? core::RandomId() : given;
}

// Excludes headers that apply to one connection and headers that this instance
// sets itself.
bool IsForwarded(const std::string& name) {
  static const std::vector<std::string> kForwardedHeaders = {
      "accept",   "accept-language", "content-type",    "user-agent",
      "if-match", "if-none-match",   "idempotency-key", "traceparent"};
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const bool is_custom = lower.rfind("x-", 0) == 0 && lower != "x-request-id";
  return is_custom ||
         std::find(kForwardedHeaders.begin(), kForwardedHeaders.end(), lower) !=
             kForwardedHeaders.end();
}

// Formats a piece of a generation as a server-sent event.
std::string StreamEvent(const std::string& id,
                        const rollout::generated_text& so_far,
                        const std::string& piece,
                        const std::string& finish_reason) {
  const rollout::version_range last =
      so_far.ranges.empty() ? rollout::version_range{} : so_far.ranges.back();
  nlohmann::json choice = {{"text", piece}, {"finish_reason", nullptr}};
  if (!finish_reason.empty()) choice["finish_reason"] = finish_reason;
  const nlohmann::json tree = {{"id", id},
                               {"choices", {choice}},
                               {"weights_version", last.version},
                               {"tokens", so_far.token_count}};
  return "data: " +
         tree.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n\n";
}

}  // namespace

caller_api::caller_api(instance_parts parts, std::function<void()> begin_drain)
    : parts_(parts), begin_drain_(std::move(begin_drain)) {
  AddPlatformRoutes();
  AddTrafficRoutes();
  AddOperatorRoutes();
}

void caller_api::AddRoute(
    const std::string& method, const std::string& pattern, required_role who,
    std::function<void(const exchange_ptr&, const path_parts&)> handle) {
  routes_.push_back({method, SplitPath(pattern), who, std::move(handle)});
}

void caller_api::AddPlatformRoutes() {
  AddRoute("GET", "/healthz", required_role::kAnyone,
           [](const exchange_ptr& exchange, const path_parts&) {
             ReplyJson(exchange, 200, R"({"alive":true})");
           });
  AddRoute("GET", "/readyz", required_role::kAnyone,
           [this](const exchange_ptr& exchange, const path_parts&) {
             const bool is_ready = StatusFromView(parts_.context).is_ready;
             ReplyJson(exchange, is_ready ? 200 : 503,
                       is_ready ? R"({"ready":true})" : R"({"ready":false})");
           });
  AddRoute("GET", "/metrics", required_role::kAnyone,
           [this](const exchange_ptr& exchange, const path_parts&) {
             parts_.context.counters.SetGauge(
                 "control_queue",
                 static_cast<double>(parts_.context.control.Depth()));
             parts_.context.counters.SetGauge(
                 "traffic_queue",
                 static_cast<double>(parts_.context.traffic.Depth()));
             parts_.context.counters.SetGauge(
                 "revision", static_cast<double>(
                                 parts_.context.view_holder.Get()->revision));
             exchange->Reply(200, {}, "text/plain; version=0.0.4",
                             parts_.context.counters.Text());
           });
  AddRoute("POST", "/v1/announcements", required_role::kEndpoints,
           [this](const exchange_ptr& exchange, const path_parts&) {
             Announce(exchange);
           });
}

void caller_api::AddTrafficRoutes() {
  AddRoute("*", "/v1/services/:service/**", required_role::kTrainers,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             CallService(exchange, names[0]);
           });
  AddRoute("POST", "/v1/pools/:pool/generate", required_role::kTrainers,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             Generate(exchange, names[0]);
           });
  AddRoute("POST", "/v1/pools/:pool/steps", required_role::kTrainers,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             OpenStep(exchange, names[0]);
           });
  AddRoute("POST", "/v1/pools/:pool/steps/:step/pull", required_role::kTrainers,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             Pull(exchange, names[0], names[1]);
           });
  AddRoute("POST", "/v1/pools/:pool/weights", required_role::kTrainers,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             PublishWeights(exchange, names[0]);
           });
}

void caller_api::Handle(const exchange_ptr& exchange) {
  const std::vector<std::string> path = SplitPath(exchange->Path());
  bool is_path_known = false;
  for (const route& candidate : routes_) {
    path_parts names;
    if (!MatchPattern(candidate.pattern, path, names)) continue;
    is_path_known = true;
    if (candidate.method != "*" && candidate.method != exchange->Method()) {
      continue;
    }
    if (CheckAccess(exchange, candidate.who)) candidate.handle(exchange, names);
    return;
  }
  ReplyFailure(exchange, is_path_known ? 405 : 404, request_outcome::kNotRun,
               "no such route", milliseconds(0));
}

bool caller_api::CheckAccess(const exchange_ptr& exchange, required_role who) {
  const settings::token_set& tokens = parts_.context.settings.tokens;
  const std::string none;
  const std::string& expected =
      who == required_role::kOperators   ? tokens.operators
      : who == required_role::kEndpoints ? tokens.endpoints
      : who == required_role::kTrainers  ? tokens.trainers
                                         : none;
  const transport::access_result access =
      transport::CheckBearer(exchange->Header("Authorization"), expected);
  if (access == transport::access_result::kGranted) return true;
  LogEvent(event_id::kAccessDenied,
           {{"path", exchange->Path()}, {"from", exchange->RemoteAddress()}});
  const bool is_missing = access == transport::access_result::kMissing;
  ReplyFailure(
      exchange, is_missing ? 401 : 403, request_outcome::kNotRun,
      is_missing ? "a bearer token is required" : "the bearer token is invalid",
      milliseconds(0));
  return false;
}

bool caller_api::RejectIfDraining(const exchange_ptr& exchange) {
  if (!parts_.context.is_draining) return false;
  ReplyFailure(exchange, 503, request_outcome::kNotRun,
               "the instance is stopping", kRetryAfter);
  return true;
}

void caller_api::Announce(const exchange_ptr& exchange) {
  const auto input = DecodeBody<membership::announcement>(exchange);
  if (!input) return;
  RunOn(parts_.context.control, exchange, [this, input, exchange] {
    if (parts_.membership.Announce(*input)) {
      ReplyJson(exchange, 200, "{}");
      return;
    }
    const bool is_conflict =
        core::LastReason().code == core::reason_code::kConflict;
    ReplyFailure(exchange, is_conflict ? 409 : 400, request_outcome::kNotRun,
                 core::LastReason().text, milliseconds(0));
  });
}

void caller_api::CallService(const exchange_ptr& exchange,
                             const std::string& service) {
  if (RejectIfDraining(exchange)) return;
  service_call call;
  call.id = RequestId(exchange);
  call.service = service;
  call.method = exchange->Method();
  call.target =
      exchange->Target().substr(sizeof(kServicePrefix) - 1 + service.size());
  call.body = exchange->Body();
  call.idempotency_key = exchange->Header("Idempotency-Key");
  call.caller_mark = exchange->Header("Hickory-Idempotent");
  for (const transport::http_header& header : exchange->Headers()) {
    if (IsForwarded(header.name)) call.headers.push_back(header);
  }
  const core::time_point arrived_at = parts_.context.clock.Now();
  RunOn(parts_.context.traffic, exchange, [this, call, exchange, arrived_at] {
    parts_.calls.Begin(call, [this, exchange, id = call.id,
                              service = call.service,
                              arrived_at](const service_answer& answer) {
      const auto took = parts_.context.clock.Now() - arrived_at;
      const auto view = parts_.context.view_holder.Get();
      const milliseconds objective =
          view->config ? view->config->objectives.acknowledgement_time
                       : milliseconds(0);
      const bool is_good = answer.is_answered && took <= objective;
      rollout::AddBurn(parts_.burn, rollout::objective::kAcknowledgement,
                       service, is_good ? 1 : 0, is_good ? 0 : 1,
                       answer.is_answered ? "slow" : "failure",
                       parts_.context.clock.WallNow());
      if (!answer.is_answered) {
        parts_.context.counters.CountRequest("service",
                                             OutcomeName(answer.outcome));
        ReplyFailure(exchange, answer.failure_status, answer.outcome,
                     answer.reason, answer.retry_after);
        return;
      }
      parts_.context.counters.CountRequest("service", "answered");
      std::vector<transport::http_header> headers = {{"X-Request-Id", id}};
      if (answer.is_recorded) headers.push_back({"Hickory-Recorded", "true"});
      exchange->Reply(answer.status, headers, answer.content_type, answer.body);
    });
  });
}

void caller_api::Generate(const exchange_ptr& exchange,
                          const std::string& pool) {
  if (RejectIfDraining(exchange)) return;
  const auto body = DecodeBody<generate_body>(exchange);
  if (!body) return;
  if (body->max_tokens < 1 || body->max_tokens > rollout::kMaxTokens ||
      body->deadline_ms < 0) {
    ReplyInvalid(exchange, "max_tokens or deadline_ms is out of range");
    return;
  }
  generation_request request;
  request.id = RequestId(exchange);
  request.pool = pool;
  request.prompt = body->prompt;
  request.max_tokens = body->max_tokens;
  request.kind = routing::traffic_class::kInteractive;
  if (body->deadline_ms > 0) {
    request.deadline =
        parts_.context.clock.Now() + milliseconds(body->deadline_ms);
  }
  RunOn(parts_.context.traffic, exchange,
        [this, exchange, request, is_stream = body->stream] {
          BeginGeneration(exchange, request, is_stream);
        });
}

void caller_api::BeginGeneration(const exchange_ptr& exchange,
                                 generation_request request, bool is_stream) {
  const std::string id = request.id;
  const auto has_begun = std::make_shared<bool>(false);
  generation_callbacks callbacks;
  if (is_stream) {
    callbacks.on_progress = [exchange, id, has_begun](
                                const rollout::generated_text& so_far,
                                const std::string& piece) {
      if (!*has_begun) {
        exchange->BeginStream(200, {{"X-Request-Id", id}}, "text/event-stream");
      }
      *has_begun = true;
      exchange->WriteStream(StreamEvent(id, so_far, piece, ""));
    };
  }
  callbacks.on_done = [this, exchange, id, has_begun,
                       is_stream](const generation_result& result) {
    parts_.context.counters.CountRequest(
        "generate",
        result.is_complete ? "complete" : OutcomeName(result.outcome));
    if (is_stream && *has_begun) {
      // A failed stream ends with an error event and without the end mark, so
      // that the caller can detect the failure.
      const nlohmann::json error = {{"error",
                                     {{"outcome", OutcomeName(result.outcome)},
                                      {"reason", result.reason}}}};
      exchange->WriteStream(
          result.is_complete
              ? StreamEvent(id, result.generated, "", result.finish_reason) +
                    "data: [DONE]\n\n"
              : "data: " + error.dump() + "\n\n");
      exchange->EndStream();
      return;
    }
    if (!result.is_complete) {
      const int status = result.outcome == request_outcome::kNotRun ? 503 : 502;
      ReplyFailure(exchange, status, result.outcome, result.reason,
                   result.retry_after);
      return;
    }
    const nlohmann::json tree = {{"id", id},
                                 {"choices",
                                  {{{"text", result.generated.text},
                                    {"finish_reason", result.finish_reason}}}},
                                 {"tokens", result.generated.token_count},
                                 {"weights_ranges", result.generated.ranges},
                                 {"engine", result.engine}};
    exchange->Reply(
        200, {{"X-Request-Id", id}}, kJsonType,
        tree.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  };
  const uint64_t generation =
      parts_.generations.Begin(std::move(request), std::move(callbacks));
  // When the caller disconnects, the engine stops generating.
  exchange->OnDisconnect([this, generation] {
    parts_.context.traffic.Post(
        [this, generation] { parts_.generations.Cancel(generation); });
  });
}

void caller_api::OpenStep(const exchange_ptr& exchange,
                          const std::string& pool) {
  if (RejectIfDraining(exchange)) return;
  auto spec = DecodeBody<rollout::step_spec>(exchange);
  if (!spec) return;
  spec->pool = pool;
  RunOn(parts_.context.traffic, exchange, [this, spec, exchange] {
    parts_.steps.Open(*spec, [this, exchange](const step_reply& reply) {
      parts_.context.counters.CountRequest("open_step",
                                           std::to_string(reply.status));
      ReplyStep(exchange, reply);
    });
  });
}

void caller_api::Pull(const exchange_ptr& exchange, const std::string& pool,
                      const std::string& step) {
  if (RejectIfDraining(exchange)) return;
  auto request = DecodeBody<pull_request>(exchange);
  if (!request) return;
  request->pool = pool;
  request->step = step;
  request->is_forwarded = false;
  RunOn(parts_.context.traffic, exchange, [this, request, exchange] {
    parts_.steps.Pull(*request, [this, exchange](const step_reply& reply) {
      parts_.context.counters.CountRequest("pull",
                                           std::to_string(reply.status));
      ReplyStep(exchange, reply);
    });
  });
}

void caller_api::PublishWeights(const exchange_ptr& exchange,
                                const std::string& pool) {
  const auto body = DecodeBody<weights_body>(exchange);
  if (!body) return;
  const auto view = parts_.context.view_holder.Get();
  // The pools are unknown before the first view.
  if (!view->config) {
    ReplyFailure(exchange, 503, request_outcome::kNotRun,
                 "this instance has no configuration yet", kRetryAfter);
    return;
  }
  if (FindPool(*view, pool) == nullptr) {
    ReplyFailure(exchange, 404, request_outcome::kNotRun,
                 "no pool '" + pool + "' at this site", milliseconds(0));
    return;
  }
  control::command input;
  input.kind = control::command_kind::kPublishWeights;
  input.pool = pool;
  input.version = body->version;
  const bool is_queued = parts_.leader.Propose(
      input, milliseconds(5000),
      [exchange, pool](const control::proposal_answer& answer) {
        if (answer.status != control::proposal_status::kDone) {
          ReplyFailure(exchange, 503, request_outcome::kUnknown,
                       "the control group can't be reached", kRetryAfter);
          return;
        }
        LogEvent(event_id::kWeightsPublished,
                 {{"pool", pool},
                  {"version", std::to_string(answer.result.version)}});
        const bool is_stale =
            answer.result.outcome == control::command_outcome::kStale;
        const nlohmann::json tree = {
            {"outcome", control::CommandOutcomeName(answer.result.outcome)},
            {"version", answer.result.version}};
        ReplyJson(exchange, is_stale ? 409 : 200, tree.dump());
      });
  if (!is_queued) {
    ReplyFailure(exchange, 503, request_outcome::kNotRun, "the queue is full",
                 kRetryAfter);
  }
}

}  // namespace hickorywood::hickoryd
