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
  std::vector<standing_change> End(const std::string& digest,
                                   const std::string& incarnation) {
    return NoteEnd(ledger_, {digest, "customer", incarnation}, now_);
  }

  void EndAll(const std::string& digest,
              const std::vector<std::string>& incarnations) {
    for (const std::string& item : incarnations) End(digest, item);
  }

  request_standing Standing(const std::string& digest) const {
    return StandingOf(ledger_, digest, now_);
  }

  bool IsQuarantined(const std::string& digest) const {
    return Standing(digest) == request_standing::kQuarantined;
  }

  void Pass(seconds time) {
    now_ += time;
    Expire(ledger_, now_);
  }

  crash_ledger ledger_;
  core::time_point now_{seconds(1000)};
};

TEST_F(CrashLedgerTest, ThirdEndQuarantines) {
  End("cause", "a");
  EXPECT_EQ(Standing("cause"), request_standing::kClear);
  End("cause", "b");
  EXPECT_EQ(Standing("cause"), request_standing::kSuspected);
  const auto changes = End("cause", "c");
  EXPECT_TRUE(IsQuarantined("cause"));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].is_quarantined);
}

// Guards against a quarantine that was lifted, or cleared by an answer, and
// comes back: an instance that did not hear of it tells the next leader the old
// ends.
TEST_F(CrashLedgerTest, WhatWasForgivenIsToldToTheNextLeader) {
  for (const auto reason :
       {release_reason::kOperator, release_reason::kServed}) {
    ledger_ = {};
    EndAll("cause", {"a", "b", "c"});
    Release(ledger_, "cause", reason, now_);
    crash_ledger next;
    for (const auto& item : ListWarnings(ledger_)) Adopt(next, item, now_);
    for (const char* end : {"a", "b", "c"}) {
      NoteEnd(next, {"cause", "customer", end}, now_);
    }
    EXPECT_EQ(StandingOf(next, "cause", now_), request_standing::kClear);
  }
}

// Guards against an instance that goes on holding a request back alone.
TEST_F(CrashLedgerTest, InstanceThatDidNotHearOfALiftFollowsIt) {
  EndAll("cause", {"a", "b", "c"});
  crash_ledger away = ledger_;
  Release(ledger_, "cause", release_reason::kOperator, now_);
  for (const auto& item : ListWarnings(ledger_)) Adopt(away, item, now_);
  EXPECT_EQ(StandingOf(away, "cause", now_), request_standing::kClear);
  // What has ended since counts.
  for (const char* end : {"d", "e", "f"}) {
    NoteEnd(away, {"cause", "customer", end}, now_);
  }
  EXPECT_EQ(StandingOf(away, "cause", now_), request_standing::kQuarantined);
}

// Entries tell again what they know when the leader changes.
TEST_F(CrashLedgerTest, EndThatIsToldAgainCountsOnce) {
  EndAll("cause", {"a", "b", "a", "b", "a"});
  EXPECT_FALSE(IsQuarantined("cause"));
}

// A request that is sent often, always with the same bytes, is running at many
// an endpoint that ends.
TEST_F(CrashLedgerTest, RequestThatIsServedStartsAnew) {
  EndAll("popular", {"a", "b"});
  Release(ledger_, "popular", release_reason::kServed, now_);
  EndAll("popular", {"a", "b", "c", "d"});
  EXPECT_FALSE(IsQuarantined("popular"));
  End("popular", "e");
  EXPECT_TRUE(IsQuarantined("popular"));
}

// Five requests die with one endpoint and are sent again; the rack's other
// endpoints follow. Each has met two ends, and is served at the next one.
TEST_F(CrashLedgerTest, VictimsOfALostRackAreNotHeldBack) {
  for (int i = 0; i < 5; ++i) {
    EndAll("victim-" + std::to_string(i), {"a", "b"});
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(IsQuarantined("victim-" + std::to_string(i)));
  }
}

TEST_F(CrashLedgerTest, VictimOfAKnownCauseIsNotHeldBack) {
  EndAll("cause", {"a", "b", "c", "d"});
  EndAll("victim", {"a", "b", "c"});
  EXPECT_FALSE(IsQuarantined("victim"));
}

// The victim's report comes in first, before anything explains its ends.
TEST_F(CrashLedgerTest, VictimIsReleasedOnceTheCauseHasSeenMore) {
  EndAll("victim", {"a", "b", "c"});
  EXPECT_TRUE(IsQuarantined("victim"));
  EndAll("cause", {"a", "b", "c"});
  EXPECT_TRUE(IsQuarantined("cause"));
  const auto changes = End("cause", "d");
  EXPECT_FALSE(IsQuarantined("victim"));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].reason, release_reason::kExplained);
  EXPECT_TRUE(IsQuarantined("cause"));
}

// A victim that followed the cause to all three endpoints can't be told from
// it. Neither is lost for long.
TEST_F(CrashLedgerTest, RequestsWithTheSameEndsAreHeldBackForAShortTime) {
  EndAll("one", {"a", "b", "c"});
  EndAll("other", {"a", "b", "c"});
  Pass(ledger_.options.short_duration);
  EXPECT_FALSE(IsQuarantined("one"));
  EXPECT_FALSE(IsQuarantined("other"));
  Release(ledger_, "one", release_reason::kServed, now_);
  End("other", "d");
  EXPECT_TRUE(IsQuarantined("other"));
  Pass(ledger_.options.short_duration);
  EXPECT_TRUE(IsQuarantined("other"));
}

TEST_F(CrashLedgerTest, EachFurtherQuarantineIsLonger) {
  EndAll("cause", {"a", "b", "c"});
  Pass(ledger_.options.base_duration);
  EXPECT_EQ(Standing("cause"), request_standing::kSuspected);
  End("cause", "d");
  Pass(ledger_.options.base_duration);
  EXPECT_TRUE(IsQuarantined("cause"));
  Pass(ledger_.options.base_duration);
  EXPECT_FALSE(IsQuarantined("cause"));
}

TEST_F(CrashLedgerTest, OldEndsAreForgotten) {
  EndAll("cause", {"a", "b"});
  Pass(ledger_.options.retention);
  EXPECT_FALSE(HasEnds(ledger_, "cause"));
  EXPECT_TRUE(ledger_.by_crash.empty());
}

TEST_F(CrashLedgerTest, SuccessorOfTheLeaderHoldsTheSameBack) {
  EndAll("cause", {"a", "b", "c"});
  EndAll("suspect", {"x", "y"});
  crash_ledger successor;
  for (const fleet::request_warning& item : ListWarnings(ledger_)) {
    Adopt(successor, item, now_);
  }
  EXPECT_EQ(StandingOf(successor, "cause", now_),
            request_standing::kQuarantined);
  EXPECT_EQ(StandingOf(successor, "suspect", now_),
            request_standing::kSuspected);
  EXPECT_TRUE(NoteEnd(successor, {"cause", "customer", "a"}, now_).empty());
  EXPECT_EQ(ListWarnings(successor), ListWarnings(ledger_));
}

// A new leader has heard of two ends from one entry and not yet of the others.
// Its word must not free what this instance knows better.
TEST_F(CrashLedgerTest, LeaderThatKnowsLessFreesNothing) {
  EndAll("cause", {"a", "b", "c"});
  Adopt(ledger_, {"cause", "customer", {"a", "b"}}, now_);
  EXPECT_TRUE(IsQuarantined("cause"));
  Adopt(ledger_, {"cause", "customer", {"a", "b", "c"}}, now_);
  EXPECT_FALSE(IsQuarantined("cause"));
}

// A customer sends ever new requests that end endpoints. The book stays within
// its bound, and what others are held back for stays in it.
TEST_F(CrashLedgerTest, HostileCustomerPushesOutOnlyItsOwn) {
  constexpr int kRequests = 100000;
  ledger_.options.max_requests = 256;
  NoteEnd(ledger_, {"known", "other", "a"}, now_);
  NoteEnd(ledger_, {"known", "other", "b"}, now_);
  NoteEnd(ledger_, {"known", "other", "c"}, now_);
  NoteEnd(ledger_, {"single", "other", "d"}, now_);
  for (int i = 0; i < kRequests; ++i) {
    End("hostile-" + std::to_string(i), "e" + std::to_string(i));
    ASSERT_LE(ledger_.suspects.size(), ledger_.options.max_requests);
  }
  EXPECT_TRUE(IsQuarantined("known"));
  EXPECT_TRUE(HasEnds(ledger_, "single"));
  EXPECT_LE(ledger_.by_crash.size(), ledger_.options.max_requests + 3);
}

// Whatever comes in whichever order: a request that nothing serves is held back
// from its third end that no other request shares, and the index of ends agrees
// with the suspects.
RC_GTEST_PROP(CrashLedgerProperty, IndexAgreesAndCausesAreFound, ()) {
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
        NoteEnd(ledger, {digest, "c" + digest, end}, now);
        break;
    }
    RC_ASSERT(ledger.suspects.size() <= ledger.options.max_requests);
    size_t indexed = 0;
    for (const auto& [incarnation, digests] : ledger.by_crash) {
      RC_ASSERT(!digests.empty());
      indexed += digests.size();
    }
    size_t held = 0;
    for (const auto& [name, item] : ledger.suspects) {
      held += item.ends.size();
      for (const std::string& one : item.ends) {
        RC_ASSERT(ledger.by_crash.at(one).count(name) == 1U);
      }
    }
    RC_ASSERT(indexed == held);
  }
  const std::string cause = "cause";
  for (const char* end : {"x", "y", "z"}) {
    NoteEnd(ledger, {cause, "customer", end}, now);
  }
  RC_ASSERT(StandingOf(ledger, cause, now) == request_standing::kQuarantined);
}

}  // namespace
}  // namespace hickorywood::quarantine
