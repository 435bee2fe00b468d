// Shared places of a small service: many entries, customers with very different
// shares, callers that all return at once, and entries that are lost.

#include "admission/place_ledger.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hickorywood::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kService[] = "auth";

class PlaceLedgerTest : public ::testing::Test {
 protected:
  PlaceLedgerTest() {
    SetEndpoints(ledger_, kService,
                 {{"a", "za", 6}, {"b", "zb", 6}, {"c", "zc", 6}}, now_);
  }
  place_request Request(const std::string& customer = "c",
                        milliseconds left = milliseconds(800)) const {
    place_request input;
    input.instance = "e1";
    input.zone = "za";
    input.service = kService;
    input.customer = customer;
    input.time_left = left;
    input.run_limit = seconds(2);
    return input;
  }
  place_answer Borrow(const place_request& input) {
    return admission::Borrow(ledger_, input, now_);
  }
  // Takes all 18 places.
  std::vector<uint64_t> Fill() {
    std::vector<uint64_t> leases;
    for (int i = 0; i < 18; ++i) leases.push_back(Borrow(Request("full")).id);
    return leases;
  }
  size_t InUse() { return ledger_.services[kService].leases.size(); }

  core::time_point now_{seconds(1000)};
  place_ledger ledger_;
};

// Guards against 300 entries that exceed the places together.
TEST_F(PlaceLedgerTest, ThreeHundredEntriesShareTheirPlaces) {
  std::map<std::string, int> used;
  int granted = 0;
  for (int i = 0; i < 300; ++i) {
    place_request input = Request("c" + std::to_string(i % 78));
    input.instance = "e" + std::to_string(i);
    input.zone = std::vector<std::string>{"za", "zb", "zc"}[i % 3];
    const place_answer answer = Borrow(input);
    if (answer.outcome != place_outcome::kGranted) continue;
    ++granted;
    ++used[answer.incarnation];
  }
  EXPECT_EQ(granted, 18);
  for (const auto& [endpoint, count] : used) EXPECT_EQ(count, 6) << endpoint;
}

TEST_F(PlaceLedgerTest, OwnZoneFirstWhileItIsHardlyUsed) {
  EXPECT_EQ(Borrow(Request()).incarnation, "a");
}

// Guards against requests that wait although they can't be served in time.
TEST_F(PlaceLedgerTest, RequestsWithoutTimeAreRefusedAtOnce) {
  Fill();
  const place_answer answer = Borrow(Request("c", milliseconds(5)));
  EXPECT_EQ(answer.outcome, place_outcome::kRefused);
  EXPECT_GT(answer.wait.count(), 0);
  EXPECT_EQ(Borrow(Request()).outcome, place_outcome::kQueued);
}

// Guards against a queue that grows without limit when all callers return in
// the same second.
TEST_F(PlaceLedgerTest, AllCallersAtOnceAreQueuedOrRefused) {
  Fill();
  int queued = 0;
  int refused = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto outcome = Borrow(Request("c" + std::to_string(i % 78))).outcome;
    queued += outcome == place_outcome::kQueued ? 1 : 0;
    refused += outcome == place_outcome::kRefused ? 1 : 0;
  }
  EXPECT_EQ(queued, 72);
  EXPECT_EQ(refused, 2000 - 72);
}

// Guards against a customer with a hundred times the requests of the others
// that takes all places.
TEST_F(PlaceLedgerTest, SmallCustomerIsServedBeforeTheLargeOne) {
  const std::vector<uint64_t> leases = Fill();
  std::vector<uint64_t> large;
  for (int i = 0; i < 50; ++i) large.push_back(Borrow(Request("large")).id);
  const uint64_t small = Borrow(Request("small")).id;
  Return(ledger_, kService, leases[0], now_);
  Return(ledger_, kService, leases[1], now_);
  EXPECT_EQ(Ask(ledger_, kService, small, now_).outcome,
            place_outcome::kGranted);
  EXPECT_EQ(Ask(ledger_, kService, large[0], now_).outcome,
            place_outcome::kGranted);
}

// Guards against places that are kept for small customers and used by nobody.
TEST_F(PlaceLedgerTest, LargeCustomerUsesAllFreePlaces) {
  EXPECT_EQ(Fill().size(), 18U);
  EXPECT_EQ(InUse(), 18U);
}

TEST_F(PlaceLedgerTest, PriorityGoesBeforeFairness) {
  const std::vector<uint64_t> leases = Fill();
  place_request relaxed = Request("relaxed");
  relaxed.priority = 2;
  const uint64_t later = Borrow(relaxed).id;
  const uint64_t urgent = Borrow(Request("full")).id;
  Return(ledger_, kService, leases[0], now_);
  EXPECT_EQ(Ask(ledger_, kService, urgent, now_).outcome,
            place_outcome::kGranted);
  EXPECT_EQ(Ask(ledger_, kService, later, now_).outcome,
            place_outcome::kQueued);
}

// Guards against refusals of requests in time after an endpoint has hung: a
// request that ran into its deadline says nothing about the others.
TEST_F(PlaceLedgerTest, RequestsPastTheirDeadlineDoNotCountAsUsual) {
  const auto usual = ledger_.services[kService].usual_use;
  for (const uint64_t lease : Fill()) {
    Return(ledger_, kService, lease, now_ + milliseconds(800));
  }
  EXPECT_EQ(ledger_.services[kService].usual_use, usual);
  Return(ledger_, kService, Borrow(Request()).id, now_ + milliseconds(799));
  EXPECT_GT(ledger_.services[kService].usual_use, usual);
}

// Guards against places that are lost with an entry, and against places that
// are leased again while its requests may still run.
TEST_F(PlaceLedgerTest, PlacesOfALostEntryReturnAfterTheirRequests) {
  Fill();
  now_ += milliseconds(1100);
  EXPECT_EQ(Expire(ledger_, now_), 18);
  EXPECT_EQ(Expire(ledger_, now_), 0);
  EXPECT_EQ(InUse(), 18U);
  now_ += seconds(1);
  Expire(ledger_, now_);
  EXPECT_EQ(InUse(), 0U);
}

// Guards against a lease that ends under a request which takes longer.
TEST_F(PlaceLedgerTest, RenewedLeasesStay) {
  const uint64_t lease = Borrow(Request()).id;
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(700);
    EXPECT_TRUE(Renew(ledger_, kService, lease, now_));
    EXPECT_EQ(Expire(ledger_, now_), 0);
  }
  Return(ledger_, kService, lease, now_);
  EXPECT_FALSE(Renew(ledger_, kService, lease, now_));
}

// Guards against a suspended entry that returns a lease twice, or returns one
// that has ended.
TEST_F(PlaceLedgerTest, LateAndRepeatedReturnsChangeNothing) {
  const std::vector<uint64_t> leases = Fill();
  Return(ledger_, kService, leases[0], now_);
  Return(ledger_, kService, leases[0], now_);
  EXPECT_EQ(InUse(), 17U);
  EXPECT_EQ(Borrow(Request()).outcome, place_outcome::kGranted);
  Return(ledger_, kService, leases[0], now_);
  EXPECT_EQ(InUse(), 18U);
}

// Guards against places that stay with a caller who has disconnected.
TEST_F(PlaceLedgerTest, WithdrawnAndForgottenTicketsFreeTheirPlaces) {
  const std::vector<uint64_t> leases = Fill();
  const uint64_t withdrawn = Borrow(Request()).id;
  const uint64_t forgotten = Borrow(Request()).id;
  Return(ledger_, kService, leases[0], now_);
  Return(ledger_, kService, leases[1], now_);
  EXPECT_EQ(InUse(), 18U);
  Withdraw(ledger_, kService, withdrawn, now_);
  EXPECT_EQ(InUse(), 17U);
  now_ += milliseconds(1001);
  Expire(ledger_, now_);
  EXPECT_EQ(Ask(ledger_, kService, forgotten, now_).outcome,
            place_outcome::kUnknown);
  EXPECT_EQ(InUse(), 16U);
}

// Guards against leases at endpoints that have left, and against queued
// requests that do not notice new endpoints.
TEST_F(PlaceLedgerTest, EndpointsAreLostAndAdded) {
  Fill();
  const uint64_t waiting = Borrow(Request()).id;
  SetEndpoints(ledger_, kService, {{"a", "za", 6}, {"d", "zd", 6}}, now_);
  const place_answer answer = Ask(ledger_, kService, waiting, now_);
  EXPECT_EQ(answer.outcome, place_outcome::kGranted);
  EXPECT_EQ(answer.incarnation, "d");
  SetEndpoints(ledger_, kService, {}, now_);
  EXPECT_EQ(Borrow(Request()).outcome, place_outcome::kUnknown);
}

// Guards against a ticket of an earlier holder that names the request of
// another entry at its successor.
TEST_F(PlaceLedgerTest, TicketsOfAnEarlierHolderAreUnknown) {
  const auto queue_one = [this](place_ledger& ledger) {
    SetEndpoints(ledger, kService, {{"a", "za", 1}}, now_);
    admission::Borrow(ledger, Request(), now_);
    return admission::Borrow(ledger, Request(), now_);
  };
  place_ledger earlier = MakeLedger(4);
  place_ledger next = MakeLedger(5);
  const place_answer old_answer = queue_one(earlier);
  ASSERT_EQ(old_answer.outcome, place_outcome::kQueued);
  ASSERT_EQ(queue_one(next).outcome, place_outcome::kQueued);
  EXPECT_EQ(Ask(next, kService, old_answer.id, now_).outcome,
            place_outcome::kUnknown);
  Withdraw(next, kService, old_answer.id, now_);
  EXPECT_EQ(next.services[kService].queue.size(), 1U);
}

}  // namespace
}  // namespace hickorywood::admission
