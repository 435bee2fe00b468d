#include "hickoryd/peer_api.h"

#include <chrono>
#include <future>
#include <utility>

#include "core/events.h"
#include "hickoryd/report.h"
#include "transport/access.h"

namespace hickorywood::hickoryd {
namespace {

using control::proposal_answer;

constexpr core::milliseconds kRpcWait{2000};

// Runs `work` on the control thread and waits for the value that it passes to
// its callback. A JSON-RPC handler has to return its response and so blocks a
// thread of the listener; the wait is bounded.
std::optional<std::string> WaitForControl(
    core::event_loop& loop,
    std::function<void(std::function<void(std::string)>)> work) {
  const auto promise = std::make_shared<std::promise<std::string>>();
  std::future<std::string> answer = promise->get_future();
  const bool is_queued = loop.Post([work = std::move(work), promise] {
    work([promise](std::string text) { promise->set_value(std::move(text)); });
  });
  if (!is_queued) {
    return core::Fail(core::reason_code::kUnavailable,
                      "the control queue is full");
  }
  if (answer.wait_for(kRpcWait) != std::future_status::ready) {
    return core::Fail(core::reason_code::kTimeout,
                      "the control thread did not answer");
  }
  return answer.get();
}

}  // namespace

peer_api::peer_api(instance_parts parts) : parts_(parts) {
  std::map<std::string, transport::rpc_method> methods;
  methods[kConsensusMethod] = [this](const std::string& payload) {
    return HandleConsensusMessage(payload);
  };
  methods["membership.exchange"] = [this](const std::string& payload) {
    return ExchangeTables(payload);
  };
  rpc_ = std::make_unique<transport::rpc_dispatcher>(methods);
  routes_["/peer/v1/rpc"] = [this](const exchange_ptr& exchange) {
    ReplyJson(exchange, 200, rpc_->Handle(exchange->Body()));
  };
  // Responds without accessing any state, to measure the minimum round trip of
  // the transport.
  routes_["/peer/v1/empty"] = [](const exchange_ptr& exchange) {
    ReplyJson(exchange, 200, "{}");
  };
  AddControlRoutes();
  AddTrafficRoutes();
}

void peer_api::Handle(const exchange_ptr& exchange) {
  const std::string& token = parts_.context.settings.tokens.peers;
  const transport::access_result access =
      transport::CheckBearer(exchange->Header("Authorization"), token);
  if (access != transport::access_result::kGranted) {
    core::LogEvent(
        core::event_id::kAccessDenied,
        {{"path", exchange->Path()}, {"from", exchange->RemoteAddress()}});
    const int status = access == transport::access_result::kMissing ? 401 : 403;
    ReplyFailure(exchange, status, request_outcome::kNotRun,
                 "a valid peer token is required", core::milliseconds(0));
    return;
  }
  const auto found = routes_.find(exchange->Path());
  if (found == routes_.end() || exchange->Method() != "POST") {
    ReplyFailure(exchange, 404, request_outcome::kNotRun, "no such route",
                 core::milliseconds(0));
    return;
  }
  found->second(exchange);
}

std::optional<std::string> peer_api::HandleConsensusMessage(
    const std::string& payload) {
  if (parts_.host == nullptr) {
    return core::Fail(core::reason_code::kNotFound, "no control role here");
  }
  const std::optional<consensus::message> input =
      core::Decode<consensus::message>(payload);
  if (!input) return std::nullopt;
  return WaitForControl(parts_.context.control,
                        [this, input](std::function<void(std::string)> reply) {
                          parts_.host->Receive(*input, std::move(reply));
                        });
}

std::optional<std::string> peer_api::ExchangeTables(
    const std::string& payload) {
  const std::optional<membership::exchange_message> request =
      core::Decode<membership::exchange_message>(payload);
  if (!request) return std::nullopt;
  return WaitForControl(
      parts_.context.control,
      [this, request](const std::function<void(std::string)>& reply) {
        reply(core::Encode(parts_.membership.AnswerExchange(*request)));
      });
}

void peer_api::AddControlRoutes() {
  core::event_loop& control = parts_.context.control;
  if (parts_.host == nullptr) return;
  const auto reply_proposal = [](const exchange_ptr& exchange) {
    return [exchange](const proposal_answer& answer) {
      ReplyJson(exchange, 200, core::Encode(answer));
    };
  };
  routes_[leader_client::kProposePath] =
      [this, &control, reply_proposal](const exchange_ptr& exchange) {
        const auto input = DecodeBody<control::command>(exchange);
        if (!input) return;
        RunOn(control, exchange, [this, input, exchange, reply_proposal] {
          parts_.host->Replica().Propose(*input, reply_proposal(exchange));
        });
      };
  routes_[leader_client::kSubmitPath] =
      [this, &control, reply_proposal](const exchange_ptr& exchange) {
        const auto input = DecodeBody<control::command>(exchange);
        if (!input) return;
        RunOn(control, exchange, [this, input, exchange, reply_proposal] {
          parts_.host->Replica().Submit(*input, reply_proposal(exchange));
        });
      };
  routes_[leader_client::kViewPath] = [this,
                                       &control](const exchange_ptr& exchange) {
    const auto request = DecodeBody<control::view_request>(exchange);
    if (!request) return;
    RunOn(control, exchange, [this, request, exchange] {
      parts_.host->Replica().RenewView(
          *request, [exchange](const control::view_reply& reply) {
            ReplyJson(exchange, 200, core::Encode(reply));
          });
    });
  };
  routes_[leader_client::kStepPath] = [this,
                                       &control](const exchange_ptr& exchange) {
    const auto request = DecodeBody<step_request>(exchange);
    if (!request) return;
    RunOn(control, exchange, [this, request, exchange] {
      control::replica& replica = parts_.host->Replica();
      step_answer answer;
      const std::optional<control::step_record> record =
          replica.ReadStep(request->pool, request->step);
      answer.is_leader = replica.IsServing();
      answer.leader = replica.LeaderNode();
      answer.is_found = record.has_value();
      if (record) answer.record = *record;
      ReplyJson(exchange, 200, core::Encode(answer));
    });
  };
}

void peer_api::AddTrafficRoutes() {
  core::event_loop& traffic = parts_.context.traffic;
  routes_[body_holder::kStorePath] = [this,
                                      &traffic](const exchange_ptr& exchange) {
    const auto bodies = DecodeBody<held_bodies>(exchange);
    if (!bodies) return;
    RunOn(traffic, exchange, [this, bodies, exchange] {
      const bool is_stored = parts_.bodies.Apply(*bodies);
      ReplyJson(exchange, is_stored ? 200 : 507, "{}");
    });
  };
  routes_[body_holder::kFetchPath] = [this,
                                      &traffic](const exchange_ptr& exchange) {
    const auto request = DecodeBody<held_bodies_request>(exchange);
    if (!request) return;
    RunOn(traffic, exchange, [this, request, exchange] {
      ReplyJson(exchange, 200,
                core::Encode(parts_.bodies.Get(request->step_key)));
    });
  };
  routes_[call_quarantine::kUpdatePath] =
      [this, &traffic](const exchange_ptr& exchange) {
        const auto update = DecodeBody<quarantine_update>(exchange);
        if (!update) return;
        RunOn(traffic, exchange, [this, update, exchange] {
          ReplyJson(exchange, 200,
                    core::Encode(parts_.quarantine.ApplyUpdate(*update)));
        });
      };
  routes_["/peer/v1/pull"] = [this, &traffic](const exchange_ptr& exchange) {
    const auto request = DecodeBody<pull_request>(exchange);
    if (!request) return;
    RunOn(traffic, exchange, [this, request, exchange] {
      parts_.steps.Pull(*request, [exchange](const step_reply& reply) {
        ReplyStep(exchange, reply);
      });
    });
  };
  routes_["/peer/v1/burn"] = [this, &traffic](const exchange_ptr& exchange) {
    RunOn(traffic, exchange, [this, exchange] {
      ReplyJson(exchange, 200,
                core::Encode(MakeBurn(parts_.context, parts_.burn)));
    });
  };
  routes_["/peer/v1/explain"] = [this](const exchange_ptr& exchange) {
    const nlohmann::json lines = parts_.explain.Find(exchange->Body());
    ReplyJson(exchange, 200, lines.dump());
  };
  routes_["/peer/v1/status"] = [this](const exchange_ptr& exchange) {
    RunOn(parts_.context.control, exchange, [this, exchange] {
      instance_status status = StatusFromView(parts_.context);
      status.has_replica = parts_.host != nullptr;
      if (parts_.host != nullptr) {
        status.replica = parts_.host->Replica().Status();
      }
      ReplyJson(exchange, 200, core::Encode(status));
    });
  };
}

}  // namespace hickorywood::hickoryd
