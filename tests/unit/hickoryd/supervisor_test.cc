#include "hickoryd/supervisor.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "core/reason.h"

namespace hickorywood::hickoryd {
namespace {

using core::milliseconds;

// Records the starts and stops of its children.
class SupervisorTest : public ::testing::Test {
 protected:
  SupervisorTest() { clock_.Pause(); }

  child_spec Child(const std::string& name, bool* is_healthy) {
    child_spec child;
    child.name = name;
    child.start = [this, name, is_healthy] {
      history_ += "+" + name;
      if (is_healthy != nullptr) *is_healthy = true;
      return true;
    };
    child.stop = [this, name] { history_ += "-" + name; };
    if (is_healthy != nullptr) {
      child.is_healthy = [is_healthy] { return *is_healthy; };
    }
    return child;
  }

  core::runtime_clock clock_;
  std::string history_;
};

TEST_F(SupervisorTest, StopsInReverseOrder) {
  supervisor root("root", clock_);
  root.Add(Child("a", nullptr));
  root.Add(Child("b", nullptr));
  EXPECT_TRUE(root.Start());
  root.Stop();
  EXPECT_EQ(history_, "+a+b-b-a");
}

TEST_F(SupervisorTest, ChildThatCannotStartStopsTheOthers) {
  supervisor root("root", clock_);
  root.Add(Child("a", nullptr));
  child_spec broken = Child("b", nullptr);
  broken.start = [] {
    core::SetLastReason(core::reason_code::kIo, "no");
    return false;
  };
  root.Add(broken);
  EXPECT_FALSE(root.Start());
  EXPECT_EQ(history_, "+a-a");
}

// A child that fails repeatedly is restarted, together with the children after
// it, up to its limit. Then the supervisor fails, so that the process exits
// instead of running degraded.
TEST_F(SupervisorTest, RestartsUpToTheLimitOfTheWindow) {
  bool is_healthy = true;
  supervisor root("root", clock_);
  root.Add(Child("a", &is_healthy));
  root.Add(Child("b", nullptr));
  ASSERT_TRUE(root.Start());
  history_.clear();
  for (int i = 0; i < 3; ++i) {
    is_healthy = false;
    EXPECT_TRUE(root.Check());
  }
  EXPECT_EQ(history_, "-b-a+a+b-b-a+a+b-b-a+a+b");
  is_healthy = false;
  EXPECT_FALSE(root.Check());
  clock_.Advance(milliseconds(60001));
  EXPECT_TRUE(root.Check());
}

TEST_F(SupervisorTest, FailureOfTreeReachesParent) {
  bool is_healthy = true;
  const auto inner = std::make_shared<supervisor>("inner", clock_);
  child_spec child = Child("a", &is_healthy);
  child.restart_limit = 0;
  inner->Add(child);
  supervisor root("root", clock_);
  root.AddTree(inner, 1);
  ASSERT_TRUE(root.Start());
  is_healthy = false;
  EXPECT_TRUE(root.Check());  // the complete inner tree was restarted
  is_healthy = false;
  EXPECT_FALSE(root.Check());
}

}  // namespace
}  // namespace hickorywood::hickoryd
