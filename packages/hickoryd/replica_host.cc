#include "hickoryd/replica_host.h"

#include <random>
#include <utility>

#include "consensus/members.h"

namespace hickorywood::hickoryd {
namespace {

constexpr core::milliseconds kTickPeriod{20};
constexpr core::milliseconds kJoinPeriod{200};
constexpr core::milliseconds kSnapshotTimeout{2000};

}  // namespace

replica_host::replica_host(instance_context& context,
                           std::function<void()> on_failure)
    : context_(context), storage_(context.settings.data_folder) {
  const settings::instance_settings& settings = context.settings;
  control::replica_settings options;
  options.node = settings.id;
  options.raft.election_timeout = settings.election_timeout;
  options.raft.heartbeat = settings.heartbeat;
  options.raft.leader_lease = settings.leader_lease;
  options.raft.reply_timeout = settings.leader_lease;
  options.snapshot_every = settings.snapshot_every;
  options.configuration_lease = settings.configuration_lease;
  options.site_sizes = context.links.SiteSizes();
  options.random_seed = std::random_device()();
  replica_ = std::make_unique<control::replica>(
      context.clock, options, storage_, *this, std::move(on_failure));
}

bool replica_host::Start() {
  if (!replica_->Load()) return false;
  context_.control.Every(kTickPeriod, [this] { replica_->Tick(); });
  context_.control.Every(kJoinPeriod, [this] { RequestToJoin(); });
  context_.control.OnIdle([this] { replica_->Flush(); });
  return true;
}

void replica_host::Receive(const consensus::message& input,
                           std::function<void(std::string)> reply) {
  replica_->Receive(input, [reply = std::move(reply)](
                               std::vector<consensus::message> answers) {
    reply(core::Encode(message_list{std::move(answers)}));
  });
}

void replica_host::Send(const consensus::message& output) {
  const bool is_large = output.kind == consensus::message_kind::kSnapshot;
  const core::milliseconds timeout =
      is_large ? kSnapshotTimeout : context_.settings.leader_lease;
  const consensus::member peer = output.to;
  context_.links.CallRpc(
      peer.node, kConsensusMethod, core::Encode(output), timeout,
      [this, peer](const std::optional<std::string>& payload) {
        context_.control.Post(
            [this, peer, payload] { HandleReplies(payload, peer); });
      });
}

void replica_host::HandleReplies(const std::optional<std::string>& payload,
                                 const consensus::member& peer) {
  const std::optional<message_list> answers =
      payload ? core::Decode<message_list>(*payload)
              : std::optional<message_list>();
  if (!answers) {
    replica_->ReportUnreachable(peer);
    return;
  }
  for (const consensus::message& answer : answers->messages) {
    replica_->Receive(answer,
                      [](const std::vector<consensus::message>& /*none*/) {});
  }
}

// Repeats until the leader has made this replica a voter.
void replica_host::RequestToJoin() {
  if (!replica_->NeedsToJoin()) return;
  const std::string& self_node = context_.settings.id;
  for (const std::string& node : context_.links.ControlInstances()) {
    if (node == self_node) continue;
    consensus::message join;
    join.kind = consensus::message_kind::kJoin;
    join.group = replica_->Group();
    join.from = replica_->Self();
    join.to.node = node;
    Send(join);
  }
}

}  // namespace hickorywood::hickoryd
