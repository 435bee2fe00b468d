// What counts as an endpoint's end, over real sockets.

#include "quarantine/crash_watch.h"

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

constexpr milliseconds kTurn{5};
constexpr milliseconds kLimit{10000};
constexpr char kCustomer[] = "camera.example";
const request_identity kRequest{kCustomer, "POST", "/clips/7", "clip"};

class CrashWatchTest : public ::testing::Test {
 protected:
  CrashWatchTest() {
    view_.version = {1, 1};
    view_.members.digest_key = "key";
    watch_.Start();
  }

  boost::asio::awaitable<bool> Tell(fleet::crash_news news) {
    if (!leader_answers_) co_return false;
    for (const auto& item : news.reports) reports_.push_back(item);
    for (const auto& item : news.served) served_.push_back(item);
    co_return true;
  }

  // Lists an endpoint; where it `listens`, connections to it are accepted.
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

  void NoteEnds(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      watch_.NoteBroken(kRequest, List(name, false));
    }
  }

  bool RunUntil(const std::function<bool()>& is_done) {
    const core::time_point limit = std::chrono::steady_clock::now() + kLimit;
    while (!is_done() && std::chrono::steady_clock::now() < limit) {
      loop_.restart();
      loop_.run_for(kTurn);
    }
    return is_done();
  }

  boost::asio::io_context loop_;
  core::runtime_clock clock_;
  net::connection_pool pool_{loop_};
  fleet::view view_;
  bool leader_answers_ = true;
  std::vector<fleet::crash_report> reports_;  // that the leader has heard
  std::vector<std::string> served_;
  std::vector<std::unique_ptr<net::listener>> listeners_;
  crash_watch watch_{
      loop_, clock_, pool_, view_,
      [this](fleet::crash_news news) { return Tell(std::move(news)); }};
};

TEST_F(CrashWatchTest, EndpointThatListensNoMoreHasEnded) {
  NoteEnds({"a"});
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  EXPECT_EQ(reports_[0].digest, watch_.DigestOf(kRequest));
  EXPECT_EQ(reports_[0].customer, kCustomer);
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// Connections that are reset take requests with them, and the endpoint goes on.
// One that has really ended comes after it, so that the loop has come past
// both.
TEST_F(CrashWatchTest, EndpointThatListensHasNotEnded) {
  watch_.NoteBroken(kRequest, List("sound", true));
  NoteEnds({"ended"});
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].incarnation, "ended");
}

// Connections are reset, and right after that the endpoint ends under another
// request: only that one was running there.
TEST_F(CrashWatchTest, EndRightAfterAResetNamesWhatRanThen) {
  const fleet::endpoint target = List("a", true);
  watch_.NoteBroken(kRequest, target);
  const request_identity later{kCustomer, "POST", "/clips/8", "clip"};
  const std::string digest = watch_.DigestOf(later);
  ASSERT_TRUE(RunUntil([this] { return watch_.Probing() == 0; }));
  listeners_.clear();
  watch_.NoteBroken(later, target);
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].digest, digest);
}

// An endpoint is back so soon that a probe finds its successor.
TEST_F(CrashWatchTest, EndpointWithASuccessorHasEnded) {
  const fleet::endpoint gone = List("a", true);
  watch_.NoteBroken(kRequest, gone);
  view_.endpoints[0].incarnation = "b";
  view_.endpoints[0].name = "b";
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// An address that answers nothing, as that of an endpoint without power: its
// queue of connections is full, and further ones are dropped.
class silent_address {
 public:
  silent_address() : silent_(Open()) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    const int bound = bind(silent_, reinterpret_cast<sockaddr*>(&where), size);
    EXPECT_EQ(bound, 0);
    EXPECT_EQ(listen(silent_, 0), 0);
    getsockname(silent_, reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    for (int& filler : fillers_) {
      filler = Open();
      const int failure =
          connect(filler, reinterpret_cast<sockaddr*>(&where), size);
      EXPECT_TRUE(failure == 0 || errno == EINPROGRESS);
    }
  }
  ~silent_address() {
    for (const int filler : fillers_) close(filler);
    close(silent_);
  }
  silent_address(const silent_address&) = delete;
  silent_address& operator=(const silent_address&) = delete;

  std::string Text() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static int Open() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0); }

  int silent_;
  int port_ = 0;
  std::array<int, 4> fillers_{};
};

// Guards against a request without a bound whose endpoints go dark: nothing
// answers there until the next start some seconds later.
TEST_F(CrashWatchTest, EndpointThatGoesDarkUntilItsNextStartHasEnded) {
  const silent_address dark;
  fleet::endpoint target = List("a", false);
  target.address = dark.Text();
  view_.endpoints[0].address = dark.Text();
  watch_.NoteBroken(kRequest, target);
  ASSERT_TRUE(RunUntil([this] { return watch_.Probing() == 0; }));
  clock_.Pause();
  clock_.Advance(milliseconds(6000));
  watch_.OnView();
  view_.endpoints[0].incarnation = "b";
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// Guards against requests whose callers leave, or whose time is up, before the
// end shows; and against blame for an end long after.
TEST_F(CrashWatchTest, RequestThatWasGivenUpCountsForAWhile) {
  clock_.Pause();
  const fleet::endpoint target = List("a", true);
  const request_identity early{kCustomer, "POST", "/clips/8", "clip"};
  watch_.NoteGivenUp(early, target);
  clock_.Advance(milliseconds(8000));
  watch_.NoteGivenUp(kRequest, target);
  clock_.Advance(milliseconds(4000));
  watch_.OnView();
  EXPECT_EQ(watch_.Probing(), 0U);
  view_.endpoints[0].incarnation = "b";
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].digest, watch_.DigestOf(kRequest));
  EXPECT_EQ(reports_[0].incarnation, "a");
}

// A planned end cuts what its endpoint did not finish; that blames nobody.
TEST_F(CrashWatchTest, EndpointThatLeavesDoesNotCount) {
  const fleet::endpoint draining = List("draining", false);
  view_.endpoints[0].state = fleet::endpoint_state::kDraining;
  watch_.NoteBroken(kRequest, draining);
  const fleet::endpoint left = List("left", false);
  view_.endpoints.pop_back();
  watch_.NoteBroken(kRequest, left);
  NoteEnds({"ended"});
  ASSERT_TRUE(RunUntil([this] { return !reports_.empty(); }));
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_[0].incarnation, "ended");
}

// Without a leader an instance holds back what it has seen itself, and tells it
// once there is one.
TEST_F(CrashWatchTest, HoldsBackWithoutALeader) {
  leader_answers_ = false;
  NoteEnds({"a", "b", "c"});
  ASSERT_TRUE(RunUntil([this] {
    return watch_.Check(kRequest).standing == request_standing::kQuarantined;
  }));
  EXPECT_TRUE(reports_.empty());
  leader_answers_ = true;
  EXPECT_TRUE(RunUntil([this] { return reports_.size() == 3; }));
}

TEST_F(CrashWatchTest, NewLeaderIsToldWhatItLacks) {
  NoteEnds({"a", "b", "c"});
  ASSERT_TRUE(RunUntil([this] { return reports_.size() == 3; }));
  fleet::request_warning warning;
  warning.digest = watch_.DigestOf(kRequest);
  warning.ends = {"a", "c"};
  view_.warnings = {warning};
  view_.version = {2, 1};
  watch_.OnView();
  ASSERT_TRUE(RunUntil([this] { return reports_.size() == 4; }));
  EXPECT_EQ(reports_[3].incarnation, "b");
  EXPECT_EQ(watch_.Check(kRequest).standing, request_standing::kQuarantined);
}

TEST_F(CrashWatchTest, ServedRequestIsClearedHereAndAtTheLeader) {
  NoteEnds({"a", "b"});
  ASSERT_TRUE(RunUntil([this] { return reports_.size() == 2; }));
  ASSERT_EQ(watch_.Check(kRequest).standing, request_standing::kSuspected);
  watch_.NoteServed(kRequest);
  EXPECT_EQ(watch_.Check(kRequest).standing, request_standing::kClear);
  ASSERT_TRUE(RunUntil([this] { return !served_.empty(); }));
  EXPECT_EQ(served_[0], watch_.DigestOf(kRequest));
}

// What other instances have seen counts with what this one has, and an
// operator's word reaches it as one that is no longer listed.
TEST_F(CrashWatchTest, FollowsTheLeadersList) {
  fleet::request_warning warning;
  warning.digest = watch_.DigestOf(kRequest);
  warning.ends = {"a", "b"};
  view_.warnings = {warning};
  watch_.OnView();
  EXPECT_EQ(watch_.Check(kRequest).standing, request_standing::kSuspected);
  NoteEnds({"c"});
  EXPECT_TRUE(RunUntil([this] {
    return watch_.Check(kRequest).standing == request_standing::kQuarantined;
  }));
  view_.warnings.clear();
  watch_.OnView();
  EXPECT_EQ(watch_.Check(kRequest).standing, request_standing::kClear);
}

}  // namespace
}  // namespace hickorywood::quarantine
