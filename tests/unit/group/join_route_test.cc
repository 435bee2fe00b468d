// Stores that ask to join their group: of 150 stores, five are members.

#include "group/join_route.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace hickorywood::group {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPeriod{200};
const core::time_point kStart = core::time_point(seconds(1000));

std::string Store(size_t number) { return "store-" + std::to_string(number); }

// Stores, of which the first `members` are in the group, and their requests.
struct group_of_stores {
  size_t stores = 0;
  size_t members = 5;
  std::string leader = Store(0);
  uint64_t term = 1;
  std::set<std::string> lost;
  std::set<std::string> known;
  std::map<std::string, join_route> routes;  // of the others
  size_t requests = 0;
  std::set<std::string> applicants;  // that reached the leader

  explicit group_of_stores(size_t count) : stores(count) {
    for (size_t i = 0; i < count; ++i) known.insert(Store(i));
    for (size_t i = members; i < count; ++i) routes[Store(i)];
  }
  bool IsMember(const std::string& store) const {
    return routes.count(store) == 0;
  }
  void Ask(const std::string& from, core::time_point now) {
    join_route& route = routes.at(from);
    if (now < route.next_at) return;
    std::set<std::string> others = known;
    others.erase(from);
    for (const std::string& to : JoinTargets(route, others)) {
      ++requests;
      if (lost.count(to) != 0) {
        OnJoinFailure(route, to, now);
        continue;
      }
      peering::join_hint hint;
      if (IsMember(to)) {
        hint = {leader, term, 0};
      } else {
        hint = {routes.at(to).leader, routes.at(to).term, 0};
      }
      if (to == leader) {
        applicants.insert(from);
        hint.retry_ms = JoinRetryTime(routes.size()).count();
      }
      OnJoinAnswer(route, to, hint, now);
    }
  }
  void Run(core::time_point from, milliseconds time) {
    for (auto now = from; now < from + time; now += kPeriod) {
      for (const auto& item : routes) Ask(item.first, now);
    }
  }
};

// Guards against requests that grow with the square of the number of stores:
// 150 stores sent 110,000 a second to each other.
TEST(JoinRouteTest, RequestsDoNotGrowWithTheSquareOfTheStores) {
  for (const size_t stores : {50U, 150U, 300U}) {
    group_of_stores group(stores);
    group.Run(kStart, seconds(10));
    EXPECT_EQ(group.applicants.size(), group.routes.size());
    group.requests = 0;
    group.Run(kStart + seconds(10), seconds(10));
    EXPECT_LE(group.requests, 1100U) << stores;
  }
}

// Guards against stores that keep naming a lost leader to each other.
TEST(JoinRouteTest, LostLeaderIsForgotten) {
  group_of_stores group(150);
  group.Run(kStart, seconds(10));
  group.lost.insert(group.leader);
  group.leader = Store(3);
  group.term = 2;
  group.applicants.clear();
  group.Run(kStart + seconds(10), seconds(10));
  EXPECT_EQ(group.applicants.size(), group.routes.size());
  for (const auto& [store, route] : group.routes) {
    EXPECT_EQ(route.leader, Store(3)) << store;
  }
}

// Guards against a leader that is not asked any more after one lost answer.
TEST(JoinRouteTest, LeaderThatAnswersAgainIsUsedAgain) {
  group_of_stores group(150);
  group.Run(kStart, seconds(5));
  group.lost.insert(group.leader);
  group.Run(kStart + seconds(5), seconds(2));
  group.lost.clear();
  group.applicants.clear();
  group.Run(kStart + seconds(7), seconds(10));
  EXPECT_EQ(group.applicants.size(), group.routes.size());
}

// Guards against applicants that are taken for lost between two requests.
TEST(JoinRouteTest, ApplicantsStayListedBetweenTheirRequests) {
  for (const size_t applicants : {1U, 10U, 145U, 1000U}) {
    EXPECT_GE(ApplicantLifetime(applicants), 2 * JoinRetryTime(applicants));
    EXPECT_GE(ApplicantLifetime(applicants), 2 * kPeriod);
  }
}

// Guards against other behavior in groups whose instances all know each other.
TEST(JoinRouteTest, SmallGroupIsAskedAsAWhole) {
  join_route route;
  const std::set<std::string> known = {"a", "b", "c", "d"};
  EXPECT_EQ(JoinTargets(route, known).size(), known.size());
}

}  // namespace
}  // namespace hickorywood::group
