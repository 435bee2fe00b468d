#ifndef HICKORYWOOD_HICKORYD_REPLICA_HOST_H_
#define HICKORYWOOD_HICKORYD_REPLICA_HOST_H_

// Runs the replica of a control instance on the control thread and connects it
// to the other replicas.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "consensus/file_storage.h"
#include "control/replica.h"
#include "hickoryd/context.h"

namespace hickorywood::hickoryd {

class replica_host : public control::message_sender {
 public:
  // `on_failure` is called when the storage failed; the process must exit.
  replica_host(instance_context& context, std::function<void()> on_failure);

  // Loads the data folder and schedules the timers of the replica. Call before
  // the control loop starts.
  bool Start();

  control::replica& Replica() { return *replica_; }

  // Handles a consensus message on the control thread. `reply` receives the
  // encoded replies.
  void Receive(const consensus::message& input,
               std::function<void(std::string)> reply);

  void Send(const consensus::message& output) override;

 private:
  void RequestToJoin();
  void HandleReplies(const std::optional<std::string>& payload,
                     const consensus::member& peer);

  instance_context& context_;
  consensus::file_storage storage_;
  std::unique_ptr<control::replica> replica_;
};

// Several messages in one reply.
struct message_list {
  std::vector<consensus::message> messages;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(message_list, messages)

constexpr char kConsensusMethod[] = "consensus.step";

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_REPLICA_HOST_H_
