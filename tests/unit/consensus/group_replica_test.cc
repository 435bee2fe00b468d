#include "consensus/group_replica.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace hickorywood::consensus {
namespace {

using core::milliseconds;

// The storage of a replica that is never restarted.
class volatile_storage : public log_storage {
 public:
  explicit volatile_storage(std::string id) : id_(std::move(id)) {}

  void SetReplay(log_replay /*replay*/) override {}
  std::optional<stored_state> Load() override {
    stored_state state;
    state.storage_id = id_;
    state.is_new = true;
    return state;
  }
  bool Write(const storage_write& /*write*/) override { return true; }
  bool WriteCompaction(const raft_log& /*log*/) override { return true; }
  bool WriteSnapshot(const raft_log& /*log*/,
                     const hard_state& /*hard*/) override {
    return true;
  }
  std::optional<std::string> ReadData(uint64_t /*index*/) override {
    return std::nullopt;
  }

 private:
  const std::string id_;
};

class idle_machine : public replicated_machine {
 public:
  void Apply(const log_entry& /*entry*/) override {}
  void Restore(uint64_t /*index*/, const std::string& /*data*/) override {}
  saved_state Save(uint64_t applied) const override { return {applied, ""}; }
  void OnLeadership(bool /*is_leader*/) override {}
  void OnApplied() override {}
  void OnStorageFailure() override {}
};

class message_queue : public message_sender {
 public:
  explicit message_queue(std::deque<message>& network) : network_(network) {}
  void Send(const message& output) override { network_.push_back(output); }

 private:
  std::deque<message>& network_;
};

// One replica and the clock of its machine.
struct host {
  host(const std::string& node, uint64_t seed, std::deque<message>& network)
      : storage("disk of " + node), sender(network) {
    clock.Pause();
    group_replica_settings settings;
    settings.node = node;
    settings.random_seed = seed;
    replica = std::make_unique<group_replica>(clock, settings, storage, sender,
                                              machine);
  }

  core::runtime_clock clock;
  volatile_storage storage;
  idle_machine machine;
  message_queue sender;
  std::unique_ptr<group_replica> replica;
  bool is_suspended = false;
};

// A group of three, each on a machine of its own.
class GroupReplicaTest : public ::testing::Test {
 protected:
  GroupReplicaTest() {
    uint64_t seed = 1;
    for (const char* node : {"n0", "n1", "n2"}) {
      hosts_.push_back(std::make_unique<host>(node, seed++, network_));
      EXPECT_TRUE(hosts_.back()->replica->Load());
    }
    EXPECT_TRUE(hosts_[0]->replica->Bootstrap("g"));
    Pass(milliseconds(15000));
  }

  // Lets `time` pass. A suspended machine does nothing, and what is sent to it
  // is lost.
  void Pass(milliseconds time) {
    constexpr milliseconds kStep{15};
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      for (const auto& item : hosts_) {
        if (item->is_suspended) {
          item->clock.Suspend(kStep);
          continue;
        }
        item->clock.Advance(kStep);
        item->replica->Tick();
        item->replica->Flush();
        if (item->replica->NeedsToJoin()) Join(*item);
      }
      DeliverAll();
    }
  }

  // The replica that serves on a machine that runs; null: none.
  host* Serving() const {
    for (const auto& item : hosts_) {
      if (!item->is_suspended && item->replica->IsServing()) return item.get();
    }
    return nullptr;
  }

 private:
  void Join(const host& from) {
    for (const auto& item : hosts_) {
      if (item.get() == &from) continue;
      message join;
      join.kind = message_kind::kJoin;
      join.group = from.replica->Raft().group;
      join.from = from.replica->Raft().self;
      join.to = item->replica->Raft().self;
      network_.push_back(join);
    }
  }

  void DeliverAll() {
    while (!network_.empty()) {
      const message input = network_.front();
      network_.pop_front();
      for (const auto& item : hosts_) {
        if (item->is_suspended || item->replica->Raft().self != input.to) {
          continue;
        }
        item->replica->Receive(input, [this](std::vector<message> replies) {
          network_.insert(network_.end(), replies.begin(), replies.end());
        });
        item->replica->Flush();
      }
    }
  }

 protected:
  std::deque<message> network_;
  std::vector<std::unique_ptr<host>> hosts_;
};

// Guards against a read of an older configuration. While the machine of the
// leader was suspended another leader was elected and accepted a change; the
// lease of the first one, by a clock that stood still, was valid when it woke.
TEST_F(GroupReplicaTest, LeaseExpiresWhileTheMachineIsSuspended) {
  host* const leader = Serving();
  ASSERT_NE(leader, nullptr);
  ASSERT_TRUE(std::all_of(hosts_.begin(), hosts_.end(), [](const auto& item) {
    return item->replica->IsVoter();
  }));
  leader->is_suspended = true;
  Pass(milliseconds(2000));
  host* const successor = Serving();
  ASSERT_NE(successor, nullptr);
  bool is_accepted = false;
  ASSERT_TRUE(successor->replica->Propose(
      "change", [&is_accepted](proposal_outcome outcome) {
        is_accepted = outcome == proposal_outcome::kCommitted;
      }));
  Pass(milliseconds(300));
  ASSERT_TRUE(is_accepted);
  leader->is_suspended = false;
  EXPECT_FALSE(leader->replica->IsServing());
  EXPECT_TRUE(successor->replica->IsServing());
}

// Guards against a group without a leader after all of its machines were
// suspended together: the lease is over then, and the promises are too.
TEST_F(GroupReplicaTest, GroupServesAgainAfterAllMachinesWereSuspended) {
  for (const auto& item : hosts_) item->is_suspended = true;
  Pass(milliseconds(3000));
  for (const auto& item : hosts_) item->is_suspended = false;
  EXPECT_EQ(Serving(), nullptr);
  Pass(milliseconds(2000));
  EXPECT_NE(Serving(), nullptr);
}

}  // namespace
}  // namespace hickorywood::consensus
