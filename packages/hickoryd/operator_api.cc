// The operator routes of the caller listener.

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/events.h"
#include "core/ids.h"
#include "hickoryd/api_bodies.h"
#include "hickoryd/caller_api.h"
#include "hickoryd/report.h"

namespace hickorywood::hickoryd {
namespace {

using core::event_id;
using core::LogEvent;
using core::milliseconds;

constexpr milliseconds kRetryAfter{1000};

}  // namespace

void caller_api::AddOperatorRoutes() {
  AddRoute("POST", "/v1/configuration", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts&) {
             SubmitConfiguration(exchange);
           });
  AddRoute("GET", "/v1/configuration", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts&) {
             ShowConfiguration(exchange);
           });
  AddRoute("POST", "/v1/sites/:site/exclude", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             ExcludeSite(exchange, names[0], true);
           });
  AddRoute("POST", "/v1/sites/:site/include", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             ExcludeSite(exchange, names[0], false);
           });
  AddRoute("POST", "/v1/group/bootstrap", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts&) {
             Bootstrap(exchange);
           });
  AddRoute("GET", "/v1/status", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts&) {
             ShowStatus(exchange);
           });
  AddRoute("GET", "/v1/report/burn", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts&) {
             ShowBurn(exchange);
           });
  AddRoute("GET", "/v1/explain/:id", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts& names) {
             Explain(exchange, names[0]);
           });
  AddRoute("GET", "/v1/snapshot", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts&) {
             ShowSnapshot(exchange);
           });
  AddRoute("POST", "/v1/drain", required_role::kOperators,
           [this](const exchange_ptr& exchange, const path_parts&) {
             ReplyJson(exchange, 202, R"({"draining":true})");
             begin_drain_();
           });
}

void caller_api::SubmitConfiguration(const exchange_ptr& exchange) {
  const auto body = DecodeBody<submission_body>(exchange);
  if (!body) return;
  control::command input;
  input.kind = control::command_kind::kSubmitConfiguration;
  input.change_id = body->change_id;
  input.scope = body->scope;
  input.file = body->file;
  input.text = body->text;
  input.based_on = body->based_on;
  const bool is_queued = parts_.leader.Submit(
      input, milliseconds(10000),
      [exchange](const control::proposal_answer& answer) {
        nlohmann::json tree = {{"status", answer.status},
                               {"revision", answer.result.revision},
                               {"reason", answer.result.reason},
                               {"findings", answer.findings},
                               {"winner", answer.result.winner}};
        switch (answer.status) {
          case control::proposal_status::kDone: {
            const bool is_accepted =
                answer.result.outcome == control::command_outcome::kAccepted;
            tree["status"] = control::CommandOutcomeName(answer.result.outcome);
            ReplyJson(exchange, is_accepted ? 200 : 409, tree.dump());
            return;
          }
          case control::proposal_status::kRefused:
            ReplyJson(exchange, 422, tree.dump());
            return;
          case control::proposal_status::kHeld:
            exchange->Reply(
                503, {{"Hickory-Outcome", "not_run"}, {"Retry-After", "2"}},
                kJsonType, tree.dump());
            return;
          case control::proposal_status::kNotLeader:
          case control::proposal_status::kLost:
            exchange->Reply(
                503, {{"Hickory-Outcome", "unknown"}, {"Retry-After", "1"}},
                kJsonType, tree.dump());
            return;
        }
      });
  if (!is_queued) {
    ReplyFailure(exchange, 503, request_outcome::kNotRun, "the queue is full",
                 kRetryAfter);
  }
}

void caller_api::ShowConfiguration(const exchange_ptr& exchange) {
  RunOn(parts_.context.control, exchange, [this, exchange] {
    const control::serving_view& view = parts_.membership.View();
    const nlohmann::json tree = {{"revision", view.revision},
                                 {"base", view.base},
                                 {"overlay", view.overlay},
                                 {"site", parts_.context.settings.site},
                                 {"weights", view.weights}};
    ReplyJson(exchange, 200, tree.dump());
  });
}

void caller_api::ExcludeSite(const exchange_ptr& exchange,
                             const std::string& site, bool is_excluded) {
  control::command input;
  input.kind = is_excluded ? control::command_kind::kExcludeSite
                           : control::command_kind::kIncludeSite;
  input.scope = site;
  const bool is_queued = parts_.leader.Propose(
      input, milliseconds(5000),
      [exchange, site, is_excluded](const control::proposal_answer& answer) {
        if (answer.status != control::proposal_status::kDone) {
          ReplyFailure(exchange, 503, request_outcome::kUnknown,
                       "the control group can't be reached", kRetryAfter);
          return;
        }
        LogEvent(
            event_id::kSiteExcluded,
            {{"site", site}, {"excluded", is_excluded ? "true" : "false"}});
        ReplyJson(exchange, 200, R"({"status":"accepted"})");
      });
  if (!is_queued) {
    ReplyFailure(exchange, 503, request_outcome::kNotRun, "the queue is full",
                 kRetryAfter);
  }
}

// Rejected if any control instance that responds is already in a group.
// Otherwise an operator who mistakes a replaced instance for a first start
// would bootstrap a second group next to the existing one.
void caller_api::Bootstrap(const exchange_ptr& exchange) {
  if (parts_.host == nullptr) {
    ReplyInvalid(exchange, "this instance has no control role");
    return;
  }
  CallAllPeers(parts_.context, "/peer/v1/status", "{}", milliseconds(1000),
               [this, exchange](const peer_answers& answers) {
                 for (const auto& [peer, answer] : answers) {
                   const auto status =
                       answer ? core::Decode<instance_status>(*answer)
                              : std::optional<instance_status>();
                   if (!status || status->replica.group.empty()) continue;
                   ReplyFailure(exchange, 409, request_outcome::kNotRun,
                                peer + " is in group " + status->replica.group,
                                milliseconds(0));
                   return;
                 }
                 RunOn(parts_.context.control, exchange, [this, exchange] {
                   if (parts_.host->Replica().Bootstrap(core::RandomId())) {
                     ReplyJson(exchange, 200, R"({"status":"accepted"})");
                     return;
                   }
                   ReplyFailure(exchange, 409, request_outcome::kNotRun,
                                core::LastReason().text, milliseconds(0));
                 });
               });
}

void caller_api::ShowStatus(const exchange_ptr& exchange) {
  RunOn(parts_.context.control, exchange, [this, exchange] {
    instance_status own = StatusFromView(parts_.context);
    own.has_replica = parts_.host != nullptr;
    if (parts_.host != nullptr) own.replica = parts_.host->Replica().Status();
    CallAllPeers(
        parts_.context, "/peer/v1/status", "{}", milliseconds(1000),
        [exchange, own](const peer_answers& answers) {
          nlohmann::json instances = nlohmann::json::array({own});
          nlohmann::json unreachable = nlohmann::json::array();
          for (const auto& [peer, answer] : answers) {
            const auto status = answer ? core::Decode<instance_status>(*answer)
                                       : std::optional<instance_status>();
            status ? instances.push_back(*status) : unreachable.push_back(peer);
          }
          const nlohmann::json tree = {{"instances", instances},
                                       {"silent", unreachable}};
          ReplyJson(exchange, 200, tree.dump());
        });
  });
}

void caller_api::ShowBurn(const exchange_ptr& exchange) {
  RunOn(parts_.context.traffic, exchange, [this, exchange] {
    const instance_burn own = MakeBurn(parts_.context, parts_.burn);
    CallAllPeers(
        parts_.context, "/peer/v1/burn", "{}", milliseconds(1000),
        [exchange, own](const peer_answers& answers) {
          nlohmann::json instances = nlohmann::json::array({own});
          nlohmann::json unreachable = nlohmann::json::array();
          for (const auto& [peer, answer] : answers) {
            const auto burn = answer ? core::Decode<instance_burn>(*answer)
                                     : std::optional<instance_burn>();
            burn ? instances.push_back(*burn) : unreachable.push_back(peer);
          }
          const nlohmann::json tree = {{"instances", instances},
                                       {"silent", unreachable}};
          ReplyJson(exchange, 200, tree.dump());
        });
  });
}

void caller_api::Explain(const exchange_ptr& exchange,
                         const std::string& request_id) {
  const std::vector<explain_line> own = parts_.explain.Find(request_id);
  CallAllPeers(
      parts_.context, "/peer/v1/explain", request_id, milliseconds(1000),
      [exchange, own](const peer_answers& answers) {
        nlohmann::json lines = own;
        nlohmann::json unreachable = nlohmann::json::array();
        for (const auto& [peer, answer] : answers) {
          const nlohmann::json found =
              answer ? nlohmann::json::parse(*answer, nullptr, false)
                     : nlohmann::json();
          if (!found.is_array()) {
            unreachable.push_back(peer);
            continue;
          }
          lines.insert(lines.end(), found.begin(), found.end());
        }
        const nlohmann::json tree = {{"lines", lines}, {"silent", unreachable}};
        ReplyJson(exchange, lines.empty() ? 404 : 200, tree.dump());
      });
}

void caller_api::ShowSnapshot(const exchange_ptr& exchange) {
  if (parts_.host == nullptr) {
    ReplyInvalid(exchange, "this instance has no control role");
    return;
  }
  RunOn(parts_.context.control, exchange, [this, exchange] {
    ReplyJson(exchange, 200, parts_.host->Replica().EncodeState());
  });
}

}  // namespace hickorywood::hickoryd
