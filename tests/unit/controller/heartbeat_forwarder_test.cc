#include "controller/heartbeat_forwarder.h"

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

// Returns a cache whose leader of `term` accepted the first heartbeat of
// endpoint 1.
heartbeat_cache MakeCache(uint64_t term = 1) {
  heartbeat_cache cache;
  heartbeat_batch batch;
  batch.heartbeats = {MakeHeartbeat(1, 5)};
  heartbeat_batch_answer answer;
  answer.term = term;
  answer.refusals = {""};
  ApplyBatchAnswer(cache, batch, answer, kStart);
  return cache;
}

TEST(HeartbeatCacheTest, UnchangedHeartbeatIsAcceptedLocally) {
  heartbeat_cache cache = MakeCache();
  EXPECT_TRUE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 6), kStart));
  EXPECT_TRUE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 7), kStart));
  const auto refreshes = ExtractRefreshes(cache);
  ASSERT_EQ(refreshes.size(), 1U);
  EXPECT_EQ(refreshes[0].sequence, 7U);
  EXPECT_TRUE(ExtractRefreshes(cache).empty());
}

// Guards against acknowledging a draining endpoint before the leader has
// received the heartbeat: entries would still send requests to it.
TEST(HeartbeatCacheTest, ChangedHeartbeatIsSentToTheLeader) {
  heartbeat_cache cache = MakeCache();
  fleet::heartbeat leaving = MakeHeartbeat(1, 6);
  leaving.is_draining = true;
  EXPECT_FALSE(AcceptIfUnchanged(cache, leaving, kStart));
  fleet::heartbeat loaded = MakeHeartbeat(1, 6);
  loaded.models = {{"m", 2}};
  EXPECT_FALSE(AcceptIfUnchanged(cache, loaded, kStart));
  EXPECT_FALSE(AcceptIfUnchanged(cache, MakeHeartbeat(2, 1), kStart));
}

// A heartbeat was delayed in transit and arrives after later ones.
TEST(HeartbeatCacheTest, OlderHeartbeatIsSentToTheLeader) {
  heartbeat_cache cache = MakeCache();
  EXPECT_FALSE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 5), kStart));
  EXPECT_FALSE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 4), kStart));
}

// This instance is disconnected from the leader, or its process was suspended.
// Heartbeats that it acknowledged then would not reach the leader, which would
// mark a live endpoint as unresponsive.
TEST(HeartbeatCacheTest, NothingIsAcceptedWithoutLeaderContact) {
  heartbeat_cache cache = MakeCache();
  EXPECT_FALSE(
      AcceptIfUnchanged(cache, MakeHeartbeat(1, 6), kStart + seconds(2)));
}

// The leader crashes. Its successor has no weight versions of any engine until
// it receives complete heartbeats.
TEST(HeartbeatCacheTest, NewLeaderReceivesCompleteHeartbeats) {
  heartbeat_cache cache = MakeCache(1);
  ASSERT_TRUE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 6), kStart));
  heartbeat_batch_answer answer;
  answer.term = 2;
  ApplyBatchAnswer(cache, {}, answer, kStart);
  EXPECT_FALSE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 7), kStart));
  // A late reply of the previous leader is ignored.
  heartbeat_batch batch;
  batch.heartbeats = {MakeHeartbeat(1, 8)};
  answer.term = 1;
  answer.refusals = {""};
  ApplyBatchAnswer(cache, batch, answer, kStart);
  EXPECT_FALSE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 9), kStart));
}

// The leader has removed the endpoint, since another endpoint has its address
// now.
TEST(HeartbeatCacheTest, UnknownIncarnationIsSentCompletely) {
  heartbeat_cache cache = MakeCache();
  heartbeat_batch_answer answer;
  answer.term = 1;
  answer.unknown = {"i-1"};
  ApplyBatchAnswer(cache, {}, answer, kStart);
  EXPECT_FALSE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 6), kStart));
}

TEST(HeartbeatCacheTest, RejectedHeartbeatIsNotCached) {
  heartbeat_cache cache;
  heartbeat_batch batch;
  batch.heartbeats = {MakeHeartbeat(1, 1)};
  heartbeat_batch_answer answer;
  answer.term = 1;
  answer.refusals = {"no such service"};
  ApplyBatchAnswer(cache, batch, answer, kStart);
  EXPECT_FALSE(AcceptIfUnchanged(cache, MakeHeartbeat(1, 2), kStart));
}

TEST(HeartbeatCacheTest, EndpointsOfOtherInstancesAreEvicted) {
  heartbeat_cache cache = MakeCache();
  EvictExpired(cache, kStart + seconds(30));
  EXPECT_EQ(cache.accepted.size(), 1U);
  EvictExpired(cache, kStart + seconds(61));
  EXPECT_TRUE(cache.accepted.empty());
}

// Runs a local leader that counts the calls, heartbeats and refreshes that it
// receives.
class HeartbeatForwarderTest : public ::testing::Test {
 protected:
  HeartbeatForwarderTest()
      : pool(loop), caller(pool, {}), forwarder(loop, clock, caller) {
    caller.ServeLocally("here",
                        [this](std::string method, std::string payload)
                            -> boost::asio::awaitable<peering::envelope> {
                          peering::envelope done;
                          done.outcome = peering::call_outcome::kDone;
                          if (method == peering::kLeaderMethod) co_return done;
                          EXPECT_EQ(method, peering::kHeartbeatsMethod);
                          const auto batch =
                              core::DecodeBinary<heartbeat_batch>(payload);
                          ++calls;
                          heartbeats += batch->heartbeats.size();
                          refreshes += batch->refreshes.size();
                          heartbeat_batch_answer answer;
                          answer.term = 1;
                          answer.refusals.resize(batch->heartbeats.size());
                          done.payload = core::EncodeBinary(answer);
                          co_return done;
                        });
    forwarder.Start();
  }

  // Sends a heartbeat of each endpoint and waits until all are acknowledged.
  void Report(int endpoints, uint64_t sequence) {
    int answered = 0;
    for (int i = 0; i < endpoints; ++i) {
      boost::asio::co_spawn(loop, forwarder.Forward(MakeHeartbeat(i, sequence)),
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
  heartbeat_forwarder forwarder;
  size_t calls = 0;
  size_t heartbeats = 0;
  size_t refreshes = 0;
};

// A thousand endpoints send a first and a second heartbeat. The leader receives
// the first ones in a few calls, and the second ones as refreshes in a few
// calls.
TEST_F(HeartbeatForwarderTest, ManyHeartbeatsTakeFewCalls) {
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
