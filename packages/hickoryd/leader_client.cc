#include "hickoryd/leader_client.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace hickorywood::hickoryd {
namespace {

using control::proposal_answer;
using control::proposal_status;

constexpr core::milliseconds kRetryPause{30};
// Timeout of one attempt of a proposal, so that an unreachable leader does not
// use up the time limit.
constexpr core::milliseconds kProposalAttemptTimeout{1000};
// A submission is answered only once it is in force on all instances, which
// takes up to a lease time.
constexpr core::milliseconds kSubmitAttemptTimeout{8000};

}  // namespace

struct leader_client::pending_call {
  std::string path;
  std::string body;
  control::command input;
  step_request step_to_read;
  core::time_point retry_until{};
  core::milliseconds attempt_timeout{kProposalAttemptTimeout};
  std::function<void(proposal_answer)> on_proposal;
  std::function<void(std::optional<step_answer>)> on_step;
  std::string target;
};

leader_client::leader_client(instance_context& context, replica_host* host)
    : context_(context), host_(host) {}

bool leader_client::Begin(const std::shared_ptr<pending_call>& call) {
  return context_.control.Post([this, call] { Attempt(call); });
}

bool leader_client::Propose(control::command input, core::milliseconds limit,
                            std::function<void(proposal_answer)> done) {
  auto call = std::make_shared<pending_call>();
  call->path = kProposePath;
  call->body = core::Encode(input);
  call->input = std::move(input);
  call->retry_until = context_.clock.Now() + limit;
  call->on_proposal = std::move(done);
  return Begin(call);
}

bool leader_client::Submit(control::command input, core::milliseconds limit,
                           std::function<void(proposal_answer)> done) {
  auto call = std::make_shared<pending_call>();
  call->path = kSubmitPath;
  call->body = core::Encode(input);
  call->input = std::move(input);
  call->retry_until = context_.clock.Now() + limit;
  call->attempt_timeout = kSubmitAttemptTimeout;
  call->on_proposal = std::move(done);
  return Begin(call);
}

bool leader_client::ReadStep(
    const std::string& pool, const std::string& step, core::milliseconds limit,
    std::function<void(std::optional<step_answer>)> done) {
  auto call = std::make_shared<pending_call>();
  call->path = kStepPath;
  call->step_to_read = {pool, step};
  call->body = core::Encode(call->step_to_read);
  call->retry_until = context_.clock.Now() + limit;
  call->on_step = std::move(done);
  return Begin(call);
}

std::string leader_client::NextTarget() {
  if (host_ != nullptr && host_->Replica().IsServing()) {
    leader_ = context_.settings.id;
  }
  if (!leader_.empty()) return leader_;
  const std::vector<std::string>& all = context_.links.ControlInstances();
  if (all.empty()) return "";
  return all[next_target_++ % all.size()];
}

void leader_client::UpdateLeader(const std::string& target,
                                 const std::string& hint) {
  if (leader_ == target) leader_.clear();
  if (!hint.empty()) leader_ = hint;
}

void leader_client::Attempt(const std::shared_ptr<pending_call>& call) {
  call->target = NextTarget();
  // The replica in this process is called directly.
  if (host_ != nullptr && call->target == context_.settings.id) {
    control::replica& replica = host_->Replica();
    if (call->on_step) {
      step_answer answer;
      const std::optional<control::step_record> record =
          replica.ReadStep(call->step_to_read.pool, call->step_to_read.step);
      answer.is_leader = replica.IsServing();
      answer.leader = replica.LeaderNode();
      answer.is_found = record.has_value();
      if (record) answer.record = *record;
      HandleStepAnswer(call, answer);
      return;
    }
    const auto done = [this, call](const proposal_answer& answer) {
      HandleProposalAnswer(call, answer);
    };
    if (call->path == kSubmitPath) {
      replica.Submit(call->input, done);
    } else {
      replica.Propose(call->input, done);
    }
    return;
  }
  const auto left = std::chrono::duration_cast<core::milliseconds>(
      call->retry_until - context_.clock.Now());
  const core::milliseconds timeout =
      std::clamp(left, core::milliseconds(1), call->attempt_timeout);
  context_.links.Call(
      call->target, call->path, call->body, timeout,
      [this, call](const transport::http_response& response) {
        context_.control.Post([this, call, response] {
          const bool is_answer =
              response.how == transport::delivery::kAnswered &&
              response.status == 200;
          if (call->on_step) {
            HandleStepAnswer(
                call, is_answer ? core::Decode<step_answer>(response.body)
                                      .value_or(step_answer{})
                                : step_answer{});
            return;
          }
          proposal_answer lost;
          lost.status = proposal_status::kLost;
          HandleProposalAnswer(
              call,
              is_answer
                  ? core::Decode<proposal_answer>(response.body).value_or(lost)
                  : lost);
        });
      });
}

void leader_client::HandleProposalAnswer(
    const std::shared_ptr<pending_call>& call, const proposal_answer& answer) {
  const bool is_final = answer.status != proposal_status::kNotLeader &&
                        answer.status != proposal_status::kLost;
  if (is_final) {
    leader_ = call->target;
    call->on_proposal(answer);
    return;
  }
  UpdateLeader(call->target, answer.leader);
  if (context_.clock.Now() >= call->retry_until) {
    call->on_proposal(answer);
    return;
  }
  ScheduleRetry(call);
}

void leader_client::HandleStepAnswer(const std::shared_ptr<pending_call>& call,
                                     const step_answer& answer) {
  if (answer.is_leader) {
    leader_ = call->target;
    call->on_step(answer);
    return;
  }
  UpdateLeader(call->target, answer.leader);
  if (context_.clock.Now() >= call->retry_until) {
    call->on_step(std::nullopt);
    return;
  }
  ScheduleRetry(call);
}

void leader_client::ScheduleRetry(const std::shared_ptr<pending_call>& call) {
  context_.control.After(kRetryPause, [this, call] { Attempt(call); });
}

void leader_client::RenewView(
    const control::view_request& request,
    std::function<void(std::optional<control::view_reply>)> done) {
  const std::string target = NextTarget();
  const auto handle_reply =
      [this, target, done = std::move(done)](
          const std::optional<control::view_reply>& reply) {
        if (reply && reply->is_granted) {
          leader_ = target;
        } else {
          UpdateLeader(target, reply ? reply->leader : "");
        }
        done(reply);
      };
  if (host_ != nullptr && target == context_.settings.id) {
    host_->Replica().RenewView(request, handle_reply);
    return;
  }
  context_.links.Call(
      target, kViewPath, core::Encode(request),
      context_.settings.configuration_lease * 2 / 3,
      [this, handle_reply](const transport::http_response& response) {
        std::optional<control::view_reply> reply;
        if (response.how == transport::delivery::kAnswered &&
            response.status == 200) {
          reply = core::Decode<control::view_reply>(response.body);
        }
        context_.control.Post([handle_reply, reply] { handle_reply(reply); });
      });
}

}  // namespace hickorywood::hickoryd
