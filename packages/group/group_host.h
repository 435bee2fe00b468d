#ifndef HICKORYWOOD_GROUP_GROUP_HOST_H_
#define HICKORYWOOD_GROUP_GROUP_HOST_H_

// Runs the replica of a group on the I/O loop of this instance: its timer, its
// messages to the other replicas, bootstrapping and joining.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/file_storage.h"
#include "consensus/group_replica.h"
#include "core/clock.h"
#include "group/hosted_state.h"
#include "group/join_route.h"
#include "net/call.h"
#include "net/connection_pool.h"
#include "net/event.h"
#include "settings/node_settings.h"

namespace hickorywood::group {

// With fewer voters, the loss of one disk could destroy all copies.
constexpr size_t kMinSpreadVoters = 3;

struct group_settings {
  std::string name;         // of the group
  std::string own_address;  // peer address; identifies the instance
  std::string data_folder;
  consensus::raft_options raft;
  // Number of voters below which no command is acknowledged: with fewer, the
  // losses to tolerate could destroy all copies, or leave no quorum.
  size_t spread_voters = kMinSpreadVoters;
};

// Returns the settings of a group with `wanted_voters` voters from the settings
// of the process.
group_settings MakeGroupSettings(const settings::node_settings& node,
                                 std::string name, size_t wanted_voters);

class group_host : private consensus::replicated_machine,
                   private consensus::message_sender {
 public:
  group_host(boost::asio::io_context& loop, const core::runtime_clock& clock,
             group_settings settings, net::connection_pool& pool,
             hosted_state& state);

  // Returns false, and sets the reason, when the data folder is unusable.
  bool Start();
  // Makes this replica the only voter of the group, if it is in no group.
  // Exactly one instance may ever do this.
  void Bootstrap();
  // Makes this replica one of the first voters of the group, if it is in no
  // group. Only instances in the list may do this, with one list forever.
  void Bootstrap(const std::vector<consensus::member>& voters);
  // Sets other instances that may be members, to which requests to join are
  // sent.
  void SetContacts(std::vector<std::string> contacts);
  // Sets the nodes that are to be removed from the group.
  void SetLeaving(std::set<std::string> nodes);

  // Handles a message of another replica, and returns the replies once they may
  // be sent.
  boost::asio::awaitable<std::string> Receive(std::string payload);

  struct commit_result {
    bool was_proposed = false;  // false: this replica does not lead
    bool is_committed = false;  // false and proposed: the outcome is unknown
  };
  boost::asio::awaitable<commit_result> Commit(std::string name,
                                               std::string payload);

  // Returns the command of a log entry after the latest snapshot, read from
  // disk if necessary. Returns nothing, and sets the reason, when it can't be
  // read.
  std::optional<hosted_command> ReadCommand(uint64_t index);

  // Whether this replica may act as the leader now. Must be checked right
  // before each external effect, since a process may have been suspended in
  // between.
  bool IsServing() const { return replica_.IsServing(); }
  // Whether there are enough voters, so that the losses to tolerate can't
  // destroy acknowledged commands.
  bool HasEnoughVoters() const;
  bool HasFailed() const { return replica_.HasFailed(); }
  uint64_t Term() const { return replica_.Raft().hard.term; }
  core::boot_time_point ElectedAt() const { return replica_.Raft().elected_at; }
  // Since when this replica has led without another leader in between. It may
  // have lost and regained leadership.
  core::boot_time_point LedSince() const { return replica_.Raft().led_since; }
  // Peer address of the latest known leader; empty: none.
  const std::string& Leader() const { return replica_.Raft().leader.node; }
  // The same, or the announced leader if this replica is not in the group or
  // was removed from it while it was out of contact.
  const std::string& KnownLeader() const {
    return IsOutdated() ? join_.leader : Leader();
  }
  // Records which instance leads in `hint.term`.
  void OnLeaderAnnounced(const peering::join_hint& hint);
  // Sets the instances that others ask who leads. The leader announces itself
  // to those that are not in the group.
  void SetAnnounced(std::vector<std::string> addresses) {
    announced_ = std::move(addresses);
  }
  const std::string& OwnAddress() const { return settings_.own_address; }
  std::vector<std::string> Members() const;
  std::vector<std::string> Voters() const;
  bool IsMember() const;
  bool IsInGroup() const { return !replica_.Raft().group.empty(); }
  // This replica, by its instance and the storage id of its data folder.
  const consensus::member& Self() const { return replica_.Raft().self; }
  // Number of voters below which no command is acknowledged.
  size_t SpreadVoters() const { return settings_.spread_voters; }
  // Instances that requested to join lately.
  std::set<std::string> Applicants() const;
  bool TransferLeadership() { return replica_.TransferLeadership(); }

  // Set before Start(). `on_leadership` is called when this replica starts or
  // stops leading, `on_applied` after the state changed, `on_failure` when the
  // disk failed and the process must exit.
  std::function<void(bool)> on_leadership;
  std::function<void()> on_applied;
  std::function<void()> on_failure;

 private:
  void Apply(const consensus::log_entry& entry) override;
  void Restore(uint64_t index, const std::string& data) override;
  consensus::saved_state Save(uint64_t applied) const override;
  void OnLeadership(bool is_leader) override;
  void OnApplied() override;
  void OnStorageFailure() override;
  void Send(const consensus::message& output) override;

  boost::asio::awaitable<void> Deliver(consensus::message output);
  boost::asio::awaitable<void> RunTickLoop();
  boost::asio::awaitable<void> RunJoinLoop();
  void LogAnswer(const std::string& node, bool is_answered,
                 const net::call_result& result);
  void ScheduleFlush();
  void RequestToJoin();
  // Whether this replica is in no group, or knows of a later leader than its
  // group does.
  bool IsOutdated() const;
  boost::asio::awaitable<void> RunAnnounceLoop();
  boost::asio::awaitable<void> Announce(std::string address);
  peering::join_hint AnswerJoin(const consensus::message& input);

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group_settings settings_;
  net::connection_pool& pool_;
  consensus::file_storage storage_;
  hosted_state& state_;
  std::vector<std::string> contacts_;
  std::vector<std::string> announced_;  // see SetAnnounced()
  std::map<std::string, core::time_point> applicants_;
  join_route join_;
  std::set<std::string> silent_;  // instances whose last message failed
  consensus::group_replica replica_;
  bool is_flush_scheduled_ = false;
};

}  // namespace hickorywood::group

#endif  // HICKORYWOOD_GROUP_GROUP_HOST_H_
