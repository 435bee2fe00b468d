#include "quarantine/crash_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace hickorywood::quarantine {
namespace {

using std::chrono::seconds;

class CrashLedgerTest : public ::testing::Test {
 protected:
  std::vector<quarantine_change> RecordOneCrash(
      const std::string& digest, const std::string& incarnation) {
    return RecordCrash(ledger_, {digest, "customer", incarnation}, now_);
  }

  void RecordCrashes(const std::string& digest,
                     const std::vector<std::string>& incarnations) {
    for (const std::string& item : incarnations) RecordOneCrash(digest, item);
  }

  quarantine_state State(const std::string& digest) const {
    return QuarantineStateOf(ledger_, digest, now_);
  }

  bool IsQuarantined(const std::string& digest) const {
    return State(digest) == quarantine_state::kQuarantined;
  }

  void AdvanceTime(seconds time) {
    now_ += time;
    Expire(ledger_, now_);
  }

  crash_ledger ledger_;
  core::time_point now_{seconds(1000)};
};

TEST_F(CrashLedgerTest, ThirdCrashQuarantines) {
  RecordOneCrash("cause", "a");
  EXPECT_EQ(State("cause"), quarantine_state::kClear);
  RecordOneCrash("cause", "b");
  EXPECT_EQ(State("cause"), quarantine_state::kSuspected);
  const auto changes = RecordOneCrash("cause", "c");
  EXPECT_TRUE(IsQuarantined("cause"));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].is_quarantined);
}

// Guards against batch work that is quarantined because endpoints crashed under
// it by chance, also by a process that learns of the crashes from a warning.
TEST_F(CrashLedgerTest, BatchWorkIsNotQuarantined) {
  for (const std::string incarnation : {"a", "b", "c", "d"}) {
    RecordCrash(ledger_, {"task", "customer", incarnation, true}, now_);
  }
  EXPECT_EQ(State("task"), quarantine_state::kSuspected);
  EXPECT_EQ(CountCrashes(ledger_, "task"), 4U);
  const auto warnings = ListWarnings(ledger_);
  ASSERT_EQ(warnings.size(), 1U);
  ledger_ = {};
  MergeWarning(ledger_, warnings[0], now_);
  RecordCrash(ledger_, {"task", "customer", "e", true}, now_);
  EXPECT_EQ(State("task"), quarantine_state::kSuspected);
  EXPECT_EQ(CountCrashes(ledger_, "task"), 5U);
}

// Guards against a plain request that crashes endpoints and is released because
// a task was running on the same endpoints.
TEST_F(CrashLedgerTest, BatchWorkExplainsNoCrashOfAnotherRequest) {
  for (const std::string incarnation : {"a", "b", "c", "d", "e"}) {
    RecordCrash(ledger_, {"task", "customer", incarnation, true}, now_);
  }
  RecordCrashes("cause", {"a", "b", "c"});
  EXPECT_TRUE(IsQuarantined("cause"));
}

// Guards against a quarantine that returns after a release or a served request:
// an instance that missed the clearing reports the old crashes to the next
// leader.
TEST_F(CrashLedgerTest, NextLeaderReceivesClearedCrashes) {
  for (const auto reason :
       {release_reason::kOperator, release_reason::kServed}) {
    ledger_ = {};
    RecordCrashes("cause", {"a", "b", "c"});
    Release(ledger_, "cause", reason, now_);
    crash_ledger next;
    for (const auto& item : ListWarnings(ledger_)) {
      MergeWarning(next, item, now_);
    }
    for (const char* end : {"a", "b", "c"}) {
      RecordCrash(next, {"cause", "customer", end}, now_);
    }
    EXPECT_EQ(QuarantineStateOf(next, "cause", now_), quarantine_state::kClear);
  }
}

// Guards against an instance that missed a release and keeps the request
// quarantined on its own.
TEST_F(CrashLedgerTest, InstanceThatMissedAReleaseAppliesIt) {
  RecordCrashes("cause", {"a", "b", "c"});
  crash_ledger other = ledger_;
  Release(ledger_, "cause", release_reason::kOperator, now_);
  for (const auto& item : ListWarnings(ledger_)) {
    MergeWarning(other, item, now_);
  }
  EXPECT_EQ(QuarantineStateOf(other, "cause", now_), quarantine_state::kClear);
  // Later crashes count.
  for (const char* end : {"d", "e", "f"}) {
    RecordCrash(other, {"cause", "customer", end}, now_);
  }
  EXPECT_EQ(QuarantineStateOf(other, "cause", now_),
            quarantine_state::kQuarantined);
}

// Instances report their crashes again when the leader changes.
TEST_F(CrashLedgerTest, RepeatedReportCountsOnce) {
  RecordCrashes("cause", {"a", "b", "a", "b", "a"});
  EXPECT_FALSE(IsQuarantined("cause"));
}

// A request that is sent often with the same bytes is running on many of the
// endpoints that crash. Its crashes do not add up, since it is served in
// between.
TEST_F(CrashLedgerTest, CrashesBeforeServingDoNotCount) {
  RecordCrashes("popular", {"a", "b"});
  Release(ledger_, "popular", release_reason::kServed, now_);
  RecordCrashes("popular", {"a", "b", "c", "d"});
  EXPECT_FALSE(IsQuarantined("popular"));
  RecordOneCrash("popular", "e");
  EXPECT_TRUE(IsQuarantined("popular"));
}

// Five requests fail with one endpoint and are sent again; then the other
// endpoints of the rack crash. Each request has two crashes, and is served at
// the next endpoint.
TEST_F(CrashLedgerTest, LostRackQuarantinesNoRequest) {
  for (int i = 0; i < 5; ++i) {
    RecordCrashes("victim-" + std::to_string(i), {"a", "b"});
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(IsQuarantined("victim-" + std::to_string(i)));
  }
}

TEST_F(CrashLedgerTest, QuarantinedCauseExplainsCrashes) {
  RecordCrashes("cause", {"a", "b", "c", "d"});
  RecordCrashes("victim", {"a", "b", "c"});
  EXPECT_FALSE(IsQuarantined("victim"));
}

// The report of the innocent request arrives first, when no other request
// explains its crashes.
TEST_F(CrashLedgerTest, RequestIsReleasedOnceTheCauseHasMoreCrashes) {
  RecordCrashes("victim", {"a", "b", "c"});
  EXPECT_TRUE(IsQuarantined("victim"));
  RecordCrashes("cause", {"a", "b", "c"});
  EXPECT_TRUE(IsQuarantined("cause"));
  const auto changes = RecordOneCrash("cause", "d");
  EXPECT_FALSE(IsQuarantined("victim"));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].reason, release_reason::kExplained);
  EXPECT_TRUE(IsQuarantined("cause"));
}

// A request that was running next to the cause at all three crashes cannot be
// distinguished from it. Neither is quarantined for long.
TEST_F(CrashLedgerTest, RequestsWithTheSameCrashesAreQuarantinedBriefly) {
  RecordCrashes("one", {"a", "b", "c"});
  RecordCrashes("other", {"a", "b", "c"});
  AdvanceTime(ledger_.options.short_duration);
  EXPECT_FALSE(IsQuarantined("one"));
  EXPECT_FALSE(IsQuarantined("other"));
  Release(ledger_, "one", release_reason::kServed, now_);
  RecordOneCrash("other", "d");
  EXPECT_TRUE(IsQuarantined("other"));
  AdvanceTime(ledger_.options.short_duration);
  EXPECT_TRUE(IsQuarantined("other"));
}

TEST_F(CrashLedgerTest, EachFurtherQuarantineIsLonger) {
  RecordCrashes("cause", {"a", "b", "c"});
  AdvanceTime(ledger_.options.base_duration);
  EXPECT_EQ(State("cause"), quarantine_state::kSuspected);
  RecordOneCrash("cause", "d");
  AdvanceTime(ledger_.options.base_duration);
  EXPECT_TRUE(IsQuarantined("cause"));
  AdvanceTime(ledger_.options.base_duration);
  EXPECT_FALSE(IsQuarantined("cause"));
}

TEST_F(CrashLedgerTest, OldCrashesAreRemoved) {
  RecordCrashes("cause", {"a", "b"});
  AdvanceTime(ledger_.options.retention);
  EXPECT_FALSE(HasCrashes(ledger_, "cause"));
  EXPECT_TRUE(ledger_.by_crash.empty());
}

TEST_F(CrashLedgerTest, NextLeaderQuarantinesTheSameRequests) {
  RecordCrashes("cause", {"a", "b", "c"});
  RecordCrashes("suspect", {"x", "y"});
  crash_ledger next_leader;
  for (const fleet::request_warning& item : ListWarnings(ledger_)) {
    MergeWarning(next_leader, item, now_);
  }
  EXPECT_EQ(QuarantineStateOf(next_leader, "cause", now_),
            quarantine_state::kQuarantined);
  EXPECT_EQ(QuarantineStateOf(next_leader, "suspect", now_),
            quarantine_state::kSuspected);
  EXPECT_TRUE(
      RecordCrash(next_leader, {"cause", "customer", "a"}, now_).empty());
  EXPECT_EQ(ListWarnings(next_leader), ListWarnings(ledger_));
}

// A new leader has received two of the crashes from one instance, and the
// others not yet. Its warning must not release a request for which this
// instance has more crashes.
TEST_F(CrashLedgerTest, LeaderWithFewerCrashesReleasesNothing) {
  RecordCrashes("cause", {"a", "b", "c"});
  MergeWarning(ledger_, {"cause", "customer", {"a", "b"}}, now_);
  EXPECT_TRUE(IsQuarantined("cause"));
  MergeWarning(ledger_, {"cause", "customer", {"a", "b", "c"}}, now_);
  EXPECT_FALSE(IsQuarantined("cause"));
}

// A customer keeps sending new requests that crash endpoints. The ledger stays
// within its limit, and the suspects of other customers stay in it.
TEST_F(CrashLedgerTest, HostileCustomerEvictsOnlyItsOwnRequests) {
  constexpr int kRequestCount = 100000;
  ledger_.options.max_requests = 256;
  RecordCrash(ledger_, {"known", "other", "a"}, now_);
  RecordCrash(ledger_, {"known", "other", "b"}, now_);
  RecordCrash(ledger_, {"known", "other", "c"}, now_);
  RecordCrash(ledger_, {"single", "other", "d"}, now_);
  for (int i = 0; i < kRequestCount; ++i) {
    RecordOneCrash("hostile-" + std::to_string(i), "e" + std::to_string(i));
    ASSERT_LE(ledger_.suspects.size(), ledger_.options.max_requests);
  }
  EXPECT_TRUE(IsQuarantined("known"));
  EXPECT_TRUE(HasCrashes(ledger_, "single"));
  EXPECT_LE(ledger_.by_crash.size(), ledger_.options.max_requests + 3);
}

// For any order of reports: a request that is never served is quarantined from
// its third crash that it shares with no other request, and the index by crash
// agrees with the suspects.
RC_GTEST_PROP(CrashLedgerProperty, IndexAgreesAndCausesAreQuarantined, ()) {
  crash_ledger ledger;
  ledger.options.max_requests = 8;
  core::time_point now{seconds(1000)};
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    const std::string digest = std::to_string(*rc::gen::inRange(0, 12));
    const std::string end = std::to_string(*rc::gen::inRange(0, 30));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        Release(ledger, digest, release_reason::kServed, now);
        break;
      case 1:
        now += seconds(*rc::gen::inRange(0, 900));
        Expire(ledger, now);
        break;
      default:
        RecordCrash(ledger, {digest, "c" + digest, end}, now);
        break;
    }
    RC_ASSERT(ledger.suspects.size() <= ledger.options.max_requests);
    size_t indexed = 0;
    for (const auto& [incarnation, digests] : ledger.by_crash) {
      RC_ASSERT(!digests.empty());
      indexed += digests.size();
    }
    size_t stored = 0;
    for (const auto& [name, item] : ledger.suspects) {
      stored += item.ends.size();
      for (const std::string& one : item.ends) {
        RC_ASSERT(ledger.by_crash.at(one).count(name) == 1U);
      }
    }
    RC_ASSERT(indexed == stored);
  }
  const std::string cause = "cause";
  for (const char* end : {"x", "y", "z"}) {
    RecordCrash(ledger, {cause, "customer", end}, now);
  }
  RC_ASSERT(QuarantineStateOf(ledger, cause, now) ==
            quarantine_state::kQuarantined);
}

}  // namespace
}  // namespace hickorywood::quarantine
