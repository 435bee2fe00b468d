// Tests the replica with mocks of its interfaces: storage and message sender.

#include "control/replica.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/json.h"

namespace hickorywood::control {
namespace {

using core::milliseconds;
using ::testing::_;
using ::testing::InSequence;
using ::testing::NiceMock;
using ::testing::Return;

class mock_storage : public consensus::log_storage {
 public:
  MOCK_METHOD(std::optional<consensus::stored_state>, Load, (), (override));
  MOCK_METHOD(bool, Write, (const consensus::storage_write&), (override));
  MOCK_METHOD(bool, WriteSnapshot,
              (const consensus::raft_log&, const consensus::hard_state&),
              (override));
  MOCK_METHOD(void, SetReplay, (consensus::log_replay), (override));
  MOCK_METHOD(bool, WriteCompaction, (const consensus::raft_log&), (override));
  MOCK_METHOD(std::optional<std::string>, ReadData, (uint64_t), (override));
};

class mock_sender : public message_sender {
 public:
  MOCK_METHOD(void, Send, (const consensus::message&), (override));
};

class ReplicaTest : public ::testing::Test {
 protected:
  ReplicaTest() {
    clock_.Pause();
    consensus::stored_state empty;
    empty.storage_id = "disk";
    ON_CALL(storage_, Load).WillByDefault(Return(empty));
    ON_CALL(storage_, Write).WillByDefault(Return(true));
    ON_CALL(storage_, WriteSnapshot).WillByDefault(Return(true));
    ON_CALL(storage_, WriteCompaction).WillByDefault(Return(true));
    replica_settings settings;
    settings.node = "n1";
    settings.site_sizes = {{"north", 1}};
    replica_ = std::make_unique<replica>(clock_, settings, storage_, sender_,
                                         [this] { has_failed_ = true; });
  }

  void Lead() {
    ASSERT_TRUE(replica_->Load());
    ASSERT_TRUE(replica_->Bootstrap("group"));
    replica_->Tick();
    replica_->Flush();
    ASSERT_TRUE(replica_->IsServing());
  }

  static command Publish(int64_t version) {
    command input;
    input.kind = command_kind::kPublishWeights;
    input.pool = "p";
    input.version = version;
    return input;
  }

  core::runtime_clock clock_;
  NiceMock<mock_storage> storage_;
  NiceMock<mock_sender> sender_;
  std::unique_ptr<replica> replica_;
  bool has_failed_ = false;
};

// Guards against treating a state that can't be read as an empty one: the
// instance would report that there are no steps, no claims and no
// configuration.
TEST_F(ReplicaTest, UnreadableSnapshotIsNotAnEmptyState) {
  consensus::stored_state damaged;
  damaged.storage_id = "disk";
  damaged.log.snap.index = 5;
  damaged.log.snap.data = "{\"steps\": 7}";
  EXPECT_CALL(storage_, Load).WillOnce(Return(damaged));
  replica_->Load();
  EXPECT_TRUE(has_failed_);
}

// Many proposals of one batch are made durable with one sync, and their
// callbacks are called after it.
TEST_F(ReplicaTest, BatchIsOneWrite) {
  Lead();
  int answered = 0;
  EXPECT_CALL(storage_, Write(_))
      .Times(1)
      .WillOnce([&](const consensus::storage_write& write) {
        EXPECT_EQ(write.entries.size(), 50U);
        EXPECT_EQ(answered, 0);
        return true;
      });
  for (int64_t i = 1; i <= 50; ++i) {
    replica_->Propose(Publish(i), [&](const proposal_answer& answer) {
      answered += answer.status == proposal_status::kDone ? 1 : 0;
    });
  }
  replica_->Flush();
  EXPECT_EQ(answered, 50);
}

// The disk is full and the write fails. No proposal may be reported as done,
// and the process must exit, because the state on disk is undefined.
TEST_F(ReplicaTest, FailedWriteAnswersNoProposal) {
  Lead();
  EXPECT_CALL(storage_, Write(_)).WillOnce(Return(false));
  bool is_answered = false;
  replica_->Propose(Publish(1), [&](const proposal_answer& /*answer*/) {
    is_answered = true;
  });
  replica_->Flush();
  EXPECT_TRUE(has_failed_);
  EXPECT_FALSE(is_answered);
  EXPECT_FALSE(replica_->IsServing());
}

TEST_F(ReplicaTest, SecondBootstrapIsRefused) {
  Lead();
  EXPECT_FALSE(replica_->Bootstrap("another"));
}

// An instance that renews its lease with an old view receives the new view at
// once. With the current view the reply is delayed until a change.
TEST_F(ReplicaTest, ViewIsSentWhenItChanges) {
  Lead();
  view_reply last;
  int replies = 0;
  const auto record_reply = [&](const view_reply& reply) {
    last = reply;
    ++replies;
  };
  replica_->RenewView({"e1", "boot", "north", 0, 0, false, true}, record_reply);
  replica_->Flush();
  ASSERT_EQ(replies, 1);
  ASSERT_TRUE(last.is_granted);
  replica_->RenewView(
      {"e1", "boot", "north", last.view.version, 0, false, false},
      record_reply);
  replica_->Flush();
  const int before = replies;
  replica_->Propose(Publish(7), [](const proposal_answer& /*answer*/) {});
  replica_->Flush();
  EXPECT_EQ(replies, before + 1);
  EXPECT_EQ(last.view.weights.at("p"), 7);
}

}  // namespace
}  // namespace hickorywood::control
