#include "hickoryd/membership_service.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>
#include <thread>

#include "core/clock.h"
#include "core/event_loop.h"
#include "hickoryd/leader_client.h"
#include "hickoryd/metrics.h"
#include "hickoryd/peer_links.h"
#include "hickoryd/replica_host.h"
#include "hickoryd/report.h"
#include "settings/instance_settings.h"

namespace hickorywood::hickoryd {
namespace {

using core::milliseconds;

constexpr size_t kQueue = 1000;
constexpr milliseconds kLease{1500};

settings::instance_settings OnlyInstance(const std::string& folder) {
  settings::instance_settings settings;
  settings.id = "n1";
  settings.site = "north";
  settings.data_folder = folder;
  settings.election_timeout = milliseconds(400);
  settings.heartbeat = milliseconds(80);
  settings.leader_lease = milliseconds(300);
  settings.snapshot_every = 1000;
  settings.configuration_lease = kLease;
  return settings;
}

std::string TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "hickorywood-XXXXXX").string();
  return mkdtemp(pattern.data());
}

// The control part of an instance that is the only member of its group.
class MembershipServiceTest : public ::testing::Test {
 protected:
  MembershipServiceTest() {
    clock_.Pause();
    EXPECT_TRUE(host_.Start());
    EXPECT_TRUE(host_.Replica().Bootstrap("g"));
    membership_.Start();
    control_.Start();
  }
  ~MembershipServiceTest() override {
    control_.Stop();
    std::filesystem::remove_all(folder_);
  }

  void SubmitConfiguration() {
    control::command input;
    input.change_id = "c1";
    input.scope = "base";
    input.file = "base.yaml";
    input.text = "services:\n  bookings:\n    timeout: 4s\n";
    ASSERT_TRUE(
        leader_.Submit(input, milliseconds(60000),
                       [](const control::proposal_answer& /*answer*/) {}));
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    constexpr milliseconds kStep{10};
    for (milliseconds passed{0}; passed < milliseconds(30000);
         passed += kStep) {
      if (condition()) return true;
      std::this_thread::sleep_for(kStep);
      clock_.Advance(kStep);
    }
    return false;
  }

  // Whether the instance serves under a lease.
  bool IsReady() const {
    const instance_status status = StatusFromView(context_);
    return status.is_ready && !status.is_site_dark;
  }

  const std::string folder_ = TemporaryFolder();
  const settings::instance_settings settings_ = OnlyInstance(folder_);
  core::runtime_clock clock_;
  core::event_loop control_{clock_, kQueue};
  core::event_loop traffic_{clock_, kQueue};
  transport::http_client client_;
  peer_links links_{clock_, settings_, client_};
  routing_view_holder view_holder_;
  metrics counters_;
  std::atomic<bool> is_draining_{false};
  instance_context context_{clock_,    settings_,   "boot", control_,
                            traffic_,  client_,     links_, view_holder_,
                            counters_, is_draining_};
  replica_host host_{context_, [] {}};
  leader_client leader_{context_, &host_};
  membership_service membership_{context_, leader_};
};

// Guards against an instance that runs requests under a configuration that was
// replaced while its machine was suspended: its lease was over for the leader,
// but not by its own clock, which had stood still.
TEST_F(MembershipServiceTest, ServesNothingAfterItsMachineWasSuspended) {
  SubmitConfiguration();
  ASSERT_TRUE(WaitUntil([this] { return IsReady(); }));
  // What follows happens before the control thread runs again.
  control_.Stop();
  ASSERT_TRUE(IsReady());
  clock_.Suspend(kLease);
  EXPECT_FALSE(IsReady());
}

}  // namespace
}  // namespace hickorywood::hickoryd
