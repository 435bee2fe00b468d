// Tests how an instance outside the group learns who leads.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

#include "group/group_host.h"
#include "group/leader_calls.h"
#include "net/connection_pool.h"
#include "peering/peer_interface.h"

namespace hickorywood::group {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::milliseconds;
using peering::envelope;

class empty_state : public hosted_state {
 public:
  void Apply(const hosted_command& /*input*/) override {}
  bool Restore(const std::string& /*data*/) override { return true; }
  consensus::saved_state Save(uint64_t /*applied*/) const override {
    return {};
  }
};

// An instance of the control group with its listener.
class instance {
 public:
  instance(asio::io_context& loop, const core::runtime_clock& clock,
           const std::string& folder, const std::string& address)
      : pool_(loop),
        group_(loop, clock, Settings(folder, address), pool_, state_),
        listener_(loop, peering::PeerListenerOptions(address),
                  [this](net::exchange& call) {
                    return peering::ServePeer(
                        call,
                        [this](std::string payload) {
                          return group_.Receive(std::move(payload));
                        },
                        [this](std::string method, std::string payload) {
                          return Handle(std::move(method), std::move(payload));
                        });
                  }) {}

  group_host& Group() { return group_; }
  bool Start() { return listener_.Start() && group_.Start(); }

 private:
  static group_settings Settings(const std::string& folder,
                                 const std::string& address) {
    group_settings settings;
    settings.name = "control";
    settings.own_address = address;
    settings.data_folder = folder + "/" + address;
    return settings;
  }

  awaitable<envelope> Handle(std::string method, std::string payload) {
    if (method == peering::kLeaderAnnouncementMethod) {
      co_return HandleAnnouncement(group_, payload);
    }
    co_return NotLeader(group_);
  }

  empty_state state_;
  net::connection_pool pool_;
  group_host group_;
  net::listener listener_;
};

class LeaderAnnouncementTest : public ::testing::Test {
 protected:
  LeaderAnnouncementTest() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "hickorywood-XXXXXX")
            .string();
    folder_ = mkdtemp(pattern.data());
  }
  ~LeaderAnnouncementTest() override { std::filesystem::remove_all(folder_); }

  bool RunUntil(const std::function<bool()>& is_done) {
    const auto limit = std::chrono::steady_clock::now() + milliseconds(10000);
    while (!is_done() && std::chrono::steady_clock::now() < limit) {
      loop_.run_one_for(milliseconds(10));
    }
    return is_done();
  }

  const core::runtime_clock clock_;
  asio::io_context loop_{1};
  std::string folder_;
};

// Guards against a deployment that nobody finds after a restart: all processes
// ask the seeds who leads, and these are not in the group any more.
TEST_F(LeaderAnnouncementTest, InstanceOutsideTheGroupNamesTheLeader) {
  const std::string leader_address = "127.0.0.1:7961";
  const std::string seed_address = "127.0.0.1:7962";
  instance leader(loop_, clock_, folder_, leader_address);
  instance seed(loop_, clock_, folder_, seed_address);
  ASSERT_TRUE(leader.Start());
  ASSERT_TRUE(seed.Start());
  leader.Group().SetAnnounced({leader_address, seed_address});
  leader.Group().Bootstrap();
  ASSERT_TRUE(RunUntil([&] { return leader.Group().IsServing(); }));
  EXPECT_TRUE(RunUntil(
      [&] { return NotLeader(seed.Group()).leader == leader_address; }));
}

// Guards against an instance that was removed from the group while it was cut
// off, stands for election in vain, and tells all others that nobody leads.
TEST_F(LeaderAnnouncementTest, RemovedVoterNamesTheLeader) {
  const std::string address = "127.0.0.1:7963";
  instance removed(loop_, clock_, folder_, address);
  ASSERT_TRUE(removed.Start());
  const consensus::member self = removed.Group().Self();
  removed.Group().Bootstrap(
      {self, {"127.0.0.1:7964", "b"}, {"127.0.0.1:7965", "c"}});
  ASSERT_TRUE(removed.Group().IsInGroup());
  EXPECT_EQ(NotLeader(removed.Group()).leader, "");
  peering::join_hint hint;
  hint.leader = "127.0.0.1:7966";
  hint.term = 100;
  removed.Group().OnLeaderAnnounced(hint);
  EXPECT_EQ(NotLeader(removed.Group()).leader, hint.leader);
  // An announcement of an earlier leader that arrives late.
  removed.Group().OnLeaderAnnounced({"127.0.0.1:7967", 99, 0});
  EXPECT_EQ(NotLeader(removed.Group()).leader, hint.leader);
}

}  // namespace
}  // namespace hickorywood::group
