#ifndef HICKORYWOOD_HICKORYD_LEADER_CLIENT_H_
#define HICKORYWOOD_HICKORYD_LEADER_CLIENT_H_

// Finds the leader of the control group and sends it commands and requests.
// Retries until a time limit, because all commands are idempotent. Runs on the
// control thread unless stated otherwise.

#include <functional>
#include <optional>
#include <string>

#include "control/replica.h"
#include "hickoryd/context.h"
#include "hickoryd/replica_host.h"

namespace hickorywood::hickoryd {

struct step_request {
  std::string pool;
  std::string step;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step_request, pool, step)

struct step_answer {
  bool is_leader = false;
  std::string leader;
  bool is_found = false;
  control::step_record record;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(step_answer, is_leader, leader,
                                                is_found, record)

class leader_client {
 public:
  // `host` is null on instances without the control role.
  leader_client(instance_context& context, replica_host* host);

  // Commits `input`. The answer is kNotLeader or kLost if `limit` passed
  // without a result; then it is unknown whether the command was committed.
  // Callable from any thread; `done` runs on the control thread. Returns false
  // without calling `done` when the control queue is full.
  bool Propose(control::command input, core::milliseconds limit,
               std::function<void(control::proposal_answer)> done);
  bool Submit(control::command input, core::milliseconds limit,
              std::function<void(control::proposal_answer)> done);

  // Requests a step record from the leader. `done` receives nothing if no
  // leader responded in time.
  bool ReadStep(const std::string& pool, const std::string& step,
                core::milliseconds limit,
                std::function<void(std::optional<step_answer>)> done);

  // Renews the configuration lease with a single attempt.
  void RenewView(const control::view_request& request,
                 std::function<void(std::optional<control::view_reply>)> done);

  // The instance assumed to be the leader; empty if unknown.
  const std::string& Leader() const { return leader_; }

  static constexpr char kProposePath[] = "/peer/v1/propose";
  static constexpr char kSubmitPath[] = "/peer/v1/submit";
  static constexpr char kStepPath[] = "/peer/v1/step";
  static constexpr char kViewPath[] = "/peer/v1/view";

 private:
  struct pending_call;
  void Attempt(const std::shared_ptr<pending_call>& call);
  void HandleProposalAnswer(const std::shared_ptr<pending_call>& call,
                            const control::proposal_answer& answer);
  void HandleStepAnswer(const std::shared_ptr<pending_call>& call,
                        const step_answer& answer);
  void ScheduleRetry(const std::shared_ptr<pending_call>& call);
  bool Begin(const std::shared_ptr<pending_call>& call);
  std::string NextTarget();
  void UpdateLeader(const std::string& target, const std::string& hint);

  instance_context& context_;
  replica_host* host_;
  std::string leader_;
  size_t next_target_ = 0;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_LEADER_CLIENT_H_
