#include "controller/heartbeat_relay.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/binary.h"
#include "net/connection_pool.h"

namespace hickorywood::controller {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::time_point kStart = core::time_point(std::chrono::hours(1));

fleet::heartbeat MakeHeartbeat(int number, uint64_t sequence) {
  fleet::heartbeat beat;
  beat.name = "i-" + std::to_string(number);
  beat.service = "s";
  beat.address = "10.0.0.1:" + std::to_string(number + 1);
  beat.slots = 6;
  beat.sequence = sequence;
  return beat;
}

// A memory whose leader of `term` took the first heartbeat of endpoint 1.
heartbeat_memory MakeMemory(uint64_t term = 1) {
  heartbeat_memory memory;
  heartbeat_batch batch;
  batch.heartbeats = {MakeHeartbeat(1, 5)};
  heartbeat_batch_answer answer;
  answer.term = term;
  answer.refusals = {""};
  NoteAnswer(memory, batch, answer, kStart);
  return memory;
}

TEST(HeartbeatMemoryTest, WhatSaysNothingNewIsTakenHere) {
  heartbeat_memory memory = MakeMemory();
  EXPECT_TRUE(TakeIfKnown(memory, MakeHeartbeat(1, 6), kStart));
  EXPECT_TRUE(TakeIfKnown(memory, MakeHeartbeat(1, 7), kStart));
  const auto refreshes = TakeRefreshes(memory);
  ASSERT_EQ(refreshes.size(), 1U);
  EXPECT_EQ(refreshes[0].sequence, 7U);
  EXPECT_TRUE(TakeRefreshes(memory).empty());
}

// An endpoint says that it is leaving. It is told so only once the leader has
// it, or entries would go on sending to it after the acknowledgement.
TEST(HeartbeatMemoryTest, NewsIsToldWhole) {
  heartbeat_memory memory = MakeMemory();
  fleet::heartbeat leaving = MakeHeartbeat(1, 6);
  leaving.is_draining = true;
  EXPECT_FALSE(TakeIfKnown(memory, leaving, kStart));
  fleet::heartbeat loaded = MakeHeartbeat(1, 6);
  loaded.models = {{"m", 2}};
  EXPECT_FALSE(TakeIfKnown(memory, loaded, kStart));
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(2, 1), kStart));
}

// A heartbeat was held up on the way and comes in after later ones.
TEST(HeartbeatMemoryTest, OlderOnesAreTheLeadersToJudge) {
  heartbeat_memory memory = MakeMemory();
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(1, 5), kStart));
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(1, 4), kStart));
}

// This instance is cut off from the leader, or was frozen. What it acknowledged
// then would reach nobody, and a live endpoint would be thought silent.
TEST(HeartbeatMemoryTest, NothingIsTakenOutOfTouch) {
  heartbeat_memory memory = MakeMemory();
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(1, 6), kStart + seconds(2)));
}

// The leader is lost. Its successor knows the weights of no engine until it has
// heard whole heartbeats.
TEST(HeartbeatMemoryTest, ANewLeaderHearsAllWhole) {
  heartbeat_memory memory = MakeMemory(1);
  ASSERT_TRUE(TakeIfKnown(memory, MakeHeartbeat(1, 6), kStart));
  heartbeat_batch_answer answer;
  answer.term = 2;
  NoteAnswer(memory, {}, answer, kStart);
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(1, 7), kStart));
  // A late answer of the old one changes nothing.
  heartbeat_batch batch;
  batch.heartbeats = {MakeHeartbeat(1, 8)};
  answer.term = 1;
  answer.refusals = {""};
  NoteAnswer(memory, batch, answer, kStart);
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(1, 9), kStart));
}

// The leader has taken the endpoint off its list, since another one has its
// address now.
TEST(HeartbeatMemoryTest, WhatTheLeaderDoesNotKnowIsToldWhole) {
  heartbeat_memory memory = MakeMemory();
  heartbeat_batch_answer answer;
  answer.term = 1;
  answer.unknown = {"i-1"};
  NoteAnswer(memory, {}, answer, kStart);
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(1, 6), kStart));
}

TEST(HeartbeatMemoryTest, RefusedOnesAreNotRemembered) {
  heartbeat_memory memory;
  heartbeat_batch batch;
  batch.heartbeats = {MakeHeartbeat(1, 1)};
  heartbeat_batch_answer answer;
  answer.term = 1;
  answer.refusals = {"no such service"};
  NoteAnswer(memory, batch, answer, kStart);
  EXPECT_FALSE(TakeIfKnown(memory, MakeHeartbeat(1, 2), kStart));
}

TEST(HeartbeatMemoryTest, EndpointsThatReportElsewhereAreForgotten) {
  heartbeat_memory memory = MakeMemory();
  ForgetOld(memory, kStart + seconds(30));
  EXPECT_EQ(memory.taken.size(), 1U);
  ForgetOld(memory, kStart + seconds(61));
  EXPECT_TRUE(memory.taken.empty());
}

// A leader that counts what reaches it.
class HeartbeatRelayTest : public ::testing::Test {
 protected:
  HeartbeatRelayTest()
      : pool(loop), caller(pool, {}), relay(loop, clock, caller) {
    caller.ServeLocally("here",
                        [this](std::string method, std::string payload)
                            -> boost::asio::awaitable<peering::envelope> {
                          EXPECT_EQ(method, peering::kHeartbeatsMethod);
                          const auto batch =
                              core::DecodeBinary<heartbeat_batch>(payload);
                          ++calls;
                          heartbeats += batch->heartbeats.size();
                          refreshes += batch->refreshes.size();
                          heartbeat_batch_answer answer;
                          answer.term = 1;
                          answer.refusals.resize(batch->heartbeats.size());
                          peering::envelope done;
                          done.outcome = peering::call_outcome::kDone;
                          done.payload = core::EncodeBinary(answer);
                          co_return done;
                        });
    relay.Start();
  }

  // Sends one of each endpoint and waits until all are answered.
  void Report(int endpoints, uint64_t sequence) {
    int answered = 0;
    for (int i = 0; i < endpoints; ++i) {
      boost::asio::co_spawn(loop, relay.Tell(MakeHeartbeat(i, sequence)),
                            [&answered](const std::exception_ptr& /*none*/,
                                        const peering::envelope& answer) {
                              EXPECT_EQ(answer.outcome,
                                        peering::call_outcome::kDone);
                              ++answered;
                            });
    }
    while (answered < endpoints) loop.run_one();
  }

  boost::asio::io_context loop;
  core::runtime_clock clock;
  net::connection_pool pool;
  peering::leader_caller caller;
  heartbeat_relay relay;
  size_t calls = 0;
  size_t heartbeats = 0;
  size_t refreshes = 0;
};

// A thousand endpoints report, and report again. The leader gets the first ones
// in a few calls, and the others as one sum.
TEST_F(HeartbeatRelayTest, ManyHeartbeatsAreFewCalls) {
  constexpr int kEndpoints = 1000;
  Report(kEndpoints, 1);
  EXPECT_EQ(heartbeats, static_cast<size_t>(kEndpoints));
  const size_t first_calls = calls;
  EXPECT_LE(first_calls, 3U);
  Report(kEndpoints, 2);
  EXPECT_EQ(heartbeats, static_cast<size_t>(kEndpoints));
  while (refreshes < kEndpoints) loop.run_one();
  EXPECT_LE(calls - first_calls, 3U);
}

}  // namespace
}  // namespace hickorywood::controller
