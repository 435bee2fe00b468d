// Which events count as a crash of an endpoint, tested over real sockets.

#include "quarantine/crash_detector.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.h"

namespace hickorywood::quarantine {
namespace {

using core::milliseconds;

constexpr milliseconds kLoopRunTime{5};
constexpr milliseconds kTestTimeout{10000};
constexpr char kCustomer[] = "camera.example";
const request_identity kRequest{kCustomer, "POST", "/clips/7", "clip"};

class CrashDetectorTest : public ::testing::Test {
 protected:
  CrashDetectorTest() {
    view_.version = {1, 1};
    view_.members.digest_key = "key";
    watch_.Start();
  }

  boost::asio::awaitable<bool> ReceiveUpdate(fleet::crash_update update) {
    if (!is_leader_reachable_) co_return false;
    for (const auto& item : update.reports) reports_.push_back(item);
    for (const auto& item : update.served) served_.push_back(item);
    co_return true;
  }

  // Adds an endpoint to the view. If `listens`, it accepts connections.
  fleet::endpoint List(const std::string& name, bool listens) {
    net::listener_options options;
    options.address = "127.0.0.1:0";
    options.limits = [] { return net::caller_limits{}; };
    auto listening = std::make_unique<net::listener>(
        loop_, options,
        [](net::exchange&) -> boost::asio::awaitable<void> { co_return; });
    EXPECT_TRUE(listening->Start());
    fleet::endpoint item;
    item.incarnation = name;
    item.name = name;
    item.address = "127.0.0.1:" + std::to_string(listening->Port());
    if (listens) listeners_.push_back(std::move(listening));
    view_.endpoints.push_back(item);
    std::sort(view_.endpoints.begin(), view_.endpoints.end(),
              [](const auto& left, const auto& right) {
                return left.incarnation < right.incarnation;
              });
    return item;
  }

  void CrashEndpoints(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      watch_.RecordBrokenConnection(kRequest, List(name, false));
    }
  }

  bool RunUntil(const std::function<bool()>& is_done) {
    const core::time_point limit =
        std::chrono::steady_clock::now() + kTestTimeout;
    while (!is_done() && std::chrono::steady_clock::now() < limit) {
      loop_.restart();
      loop_.run_for(kLoopRunTime);
    }
    return is_done();
  }

  boost::asio::io_context loop_;
  core::runtime_clock clock_;
  net::connection_pool pool_{loop_};
  fleet::view view_;
  bool is_leader_reachable_ = true;
  std::vector<fleet::crash_report> reports_;  // received by the leader
  std::vector<std::string> served_;
  std::vector<std::unique_ptr<net::listener>> listeners_;
  crash_detector watch_{loop_, clock_, pool_, view_,
                        [this](fleet::crash_update update) {
                          return ReceiveUpdate(std::move(update));
                        }};
};

TEST_F(CrashDetectorTest, RefusedConnectionIsACrash) {
  CrashEndpoints({"a"});
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  EXPECT_EQ(reports_[0].digest, watch_.DigestOf(kRequest));
  EXPECT_EQ(reports_[0].customer, kCustomer);
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// Reset connections fail their requests while the endpoint keeps running. An
// endpoint that has really crashed follows, so that both have been processed
// when its report arrives.
TEST_F(CrashDetectorTest, EndpointThatAcceptsConnectionsHasNotCrashed) {
  watch_.RecordBrokenConnection(kRequest, List("sound", true));
  CrashEndpoints({"ended"});
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].incarnation, "ended");
}

// Connections are reset, and right after that the endpoint crashes under
// another request. Only the later request was running there, so only it is
// reported.
TEST_F(CrashDetectorTest, CrashAfterAResetReportsOnlyTheLaterRequest) {
  const fleet::endpoint target = List("a", true);
  watch_.RecordBrokenConnection(kRequest, target);
  const request_identity later{kCustomer, "POST", "/clips/8", "clip"};
  const std::string digest = watch_.DigestOf(later);
  ASSERT_TRUE(RunUntil([this] { return watch_.ProbesInProgress() == 0; }));
  listeners_.clear();
  watch_.RecordBrokenConnection(later, target);
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].digest, digest);
}

// An endpoint restarts so quickly that a probe reaches its successor.
TEST_F(CrashDetectorTest, EndpointWithASuccessorHasCrashed) {
  const fleet::endpoint previous = List("a", true);
  watch_.RecordBrokenConnection(kRequest, previous);
  view_.endpoints[0].incarnation = "b";
  view_.endpoints[0].name = "b";
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// An address that does not respond, like that of an endpoint without power: its
// queue of connections is full, and further ones are dropped.
class unresponsive_address {
 public:
  unresponsive_address() : socket_(Open()) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const int bound =
        bind(socket_, reinterpret_cast<sockaddr*>(&address), size);
    EXPECT_EQ(bound, 0);
    EXPECT_EQ(listen(socket_, 0), 0);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    for (int& filler : fillers_) {
      filler = Open();
      const int failure =
          connect(filler, reinterpret_cast<sockaddr*>(&address), size);
      EXPECT_TRUE(failure == 0 || errno == EINPROGRESS);
    }
  }
  ~unresponsive_address() {
    for (const int filler : fillers_) close(filler);
    close(socket_);
  }
  unresponsive_address(const unresponsive_address&) = delete;
  unresponsive_address& operator=(const unresponsive_address&) = delete;

  std::string Text() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static int Open() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0); }

  int socket_;
  int port_ = 0;
  std::array<int, 4> fillers_{};
};

// Guards against a request that crashes endpoints without limit when these lose
// power: their addresses do not respond until the restart some seconds later.
TEST_F(CrashDetectorTest, UnresponsiveEndpointThatRestartsHasCrashed) {
  const unresponsive_address address;
  fleet::endpoint target = List("a", false);
  target.address = address.Text();
  view_.endpoints[0].address = address.Text();
  watch_.RecordBrokenConnection(kRequest, target);
  ASSERT_TRUE(RunUntil([this] { return watch_.ProbesInProgress() == 0; }));
  clock_.Pause();
  clock_.Advance(milliseconds(6000));
  watch_.OnView();
  view_.endpoints[0].incarnation = "b";
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// Guards against missing the requests whose callers disconnect, or whose
// deadline passes, before the crash is detected; and against attributing a
// crash to requests that ended long before.
TEST_F(CrashDetectorTest, AbandonedRequestIsReportedWithinTheRestartWindow) {
  clock_.Pause();
  const fleet::endpoint target = List("a", true);
  const request_identity early{kCustomer, "POST", "/clips/8", "clip"};
  watch_.RecordAbandoned(early, target);
  clock_.Advance(milliseconds(8000));
  watch_.RecordAbandoned(kRequest, target);
  clock_.Advance(milliseconds(4000));
  watch_.OnView();
  EXPECT_EQ(watch_.ProbesInProgress(), 0U);
  view_.endpoints[0].incarnation = "b";
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].digest, watch_.DigestOf(kRequest));
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// A planned shutdown aborts the requests that the endpoint did not finish. That
// is attributed to none of them.
TEST_F(CrashDetectorTest, DrainingOrDepartedEndpointIsNotACrash) {
  const fleet::endpoint draining = List("draining", false);
  view_.endpoints[0].state = fleet::endpoint_state::kDraining;
  watch_.RecordBrokenConnection(kRequest, draining);
  const fleet::endpoint left = List("left", false);
  view_.endpoints.pop_back();
  watch_.RecordBrokenConnection(kRequest, left);
  CrashEndpoints({"ended"});
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].incarnation, "ended");
}

// Without a leader an instance quarantines by its own observations, and reports
// them as soon as there is a leader.
TEST_F(CrashDetectorTest, QuarantinesWithoutALeader) {
  is_leader_reachable_ = false;
  CrashEndpoints({"a", "b", "c"});
  ASSERT_TRUE(RunUntil([this] {
    return watch_.Check(kRequest).state == quarantine_state::kQuarantined;
  }));
  EXPECT_TRUE(reports_.empty());
  is_leader_reachable_ = true;
  EXPECT_TRUE(RunUntil([this] { return reports_.size() == 3; }));
}

TEST_F(CrashDetectorTest, NewLeaderReceivesMissingReports) {
  CrashEndpoints({"a", "b", "c"});
  ASSERT_TRUE(RunUntil([this] { return reports_.size() == 3; }));
  fleet::request_warning warning;
  warning.digest = watch_.DigestOf(kRequest);
  warning.ends = {"a", "c"};
  view_.warnings = {warning};
  view_.version = {2, 1};
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return reports_.size() == 4; }));
  EXPECT_EQ(reports_[3].incarnation, "b");
  EXPECT_EQ(watch_.Check(kRequest).state, quarantine_state::kQuarantined);
}

TEST_F(CrashDetectorTest, ServedRequestIsClearedLocallyAndAtTheLeader) {
  CrashEndpoints({"a", "b"});
  ASSERT_TRUE(RunUntil([this] { return reports_.size() == 2; }));
  ASSERT_EQ(watch_.Check(kRequest).state, quarantine_state::kSuspected);
  watch_.RecordServed(kRequest);
  EXPECT_EQ(watch_.Check(kRequest).state, quarantine_state::kClear);
  ASSERT_TRUE(RunUntil([this] { return !served_.empty(); }));
  EXPECT_EQ(served_[0], watch_.DigestOf(kRequest));
}

// Crashes that other instances reported count together with those of this one.
// A release by an operator arrives as a warning that is no longer listed.
TEST_F(CrashDetectorTest, AppliesTheWarningsOfTheLeader) {
  fleet::request_warning warning;
  warning.digest = watch_.DigestOf(kRequest);
  warning.ends = {"a", "b"};
  view_.warnings = {warning};
  watch_.OnView();
  EXPECT_EQ(watch_.Check(kRequest).state, quarantine_state::kSuspected);
  CrashEndpoints({"c"});
  EXPECT_TRUE(RunUntil([this] {
    return watch_.Check(kRequest).state == quarantine_state::kQuarantined;
  }));
  view_.warnings.clear();
  watch_.OnView();
  EXPECT_EQ(watch_.Check(kRequest).state, quarantine_state::kClear);
}

}  // namespace
}  // namespace hickorywood::quarantine
