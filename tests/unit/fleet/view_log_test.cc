#include "fleet/view_log.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "core/binary.h"

namespace hickorywood::fleet {
namespace {

endpoint MakeEndpoint(int number, const std::string& address) {
  endpoint item;
  item.incarnation = "i-" + std::to_string(number);
  item.name = item.incarnation;
  item.service = "s";
  item.address = address;
  return item;
}

std::vector<endpoint> MakeEndpoints(int count) {
  std::vector<endpoint> list;
  for (int i = 0; i < count; ++i) list.push_back(MakeEndpoint(i, "a:1"));
  return list;
}

view_request RequestOf(const view& held) {
  view_request input;
  input.held = held.version;
  input.wants_weights = true;
  input.held_weights = held.weights_count;
  return input;
}

void Follow(view& held, const view_log& log) {
  ApplyUpdate(held, MakeUpdate(log, RequestOf(held)));
}

std::vector<endpoint> Sorted(std::vector<endpoint> list) {
  std::sort(list.begin(), list.end(), [](const auto& left, const auto& right) {
    return left.incarnation < right.incarnation;
  });
  return list;
}

// A process that follows a thousand endpoints and lacks two changes gets only
// these, because the leader sends them to every process.
TEST(ViewLogTest, OnlyChangesAreSent) {
  view_log log;
  BeginTerm(log, 3);
  std::vector<endpoint> list = MakeEndpoints(1000);
  ASSERT_TRUE(UpdateEndpoints(log, list));
  view held;
  Follow(held, log);
  ASSERT_EQ(held.endpoints.size(), 1000U);
  list[17].state = endpoint_state::kDraining;
  list.pop_back();
  ASSERT_TRUE(UpdateEndpoints(log, list));
  const view_update update = MakeUpdate(log, RequestOf(held));
  EXPECT_EQ(update.lists, list_part::kChanges);
  ASSERT_EQ(update.endpoints.size(), 1U);
  EXPECT_EQ(update.endpoints[0].state, endpoint_state::kDraining);
  EXPECT_EQ(update.gone, std::vector<std::string>{"i-999"});
  EXPECT_TRUE(ApplyUpdate(held, update));
  EXPECT_EQ(held.endpoints.size(), 999U);
  EXPECT_FALSE(HasChangesFor(log, RequestOf(held)));
}

TEST(ViewLogTest, UnchangedItemsAreNoChange) {
  view_log log;
  BeginTerm(log, 1);
  EXPECT_TRUE(UpdateEndpoints(log, MakeEndpoints(2)));
  EXPECT_FALSE(UpdateEndpoints(log, MakeEndpoints(2)));
  EXPECT_TRUE(UpdateWeights(log, {{"i-0", "m", 4, false}}));
  EXPECT_FALSE(UpdateWeights(log, {{"i-0", "m", 4, false}}));
  EXPECT_TRUE(UpdateWeights(log, {{"i-0", "m", 4, true}}));
}

// A warning about a request is sent to all processes, and removed again,
// without sending the list of endpoints.
TEST(ViewLogTest, WarningsAreAddedAndRemovedAlone) {
  view_log log;
  BeginTerm(log, 1);
  UpdateEndpoints(log, MakeEndpoints(3));
  view held;
  Follow(held, log);
  request_warning first{"d1", "customer", {"a", "b", "c"}, true, 600, 1};
  request_warning second{"d2", "customer", {"a", "b"}};
  ASSERT_TRUE(UpdateWarnings(log, {first, second}));
  EXPECT_FALSE(UpdateWarnings(log, {first, second}));
  const view_update update = MakeUpdate(log, RequestOf(held));
  EXPECT_TRUE(update.endpoints.empty());
  ASSERT_TRUE(ApplyUpdate(held, update));
  EXPECT_EQ(held.warnings, (std::vector<request_warning>{first, second}));
  second.ends.push_back("d");
  ASSERT_TRUE(UpdateWarnings(log, {second}));
  Follow(held, log);
  EXPECT_EQ(held.warnings, std::vector<request_warning>{second});
  EXPECT_EQ(held.endpoints.size(), 3U);
}

// A process has a version of a leader that crashed. Its successor counts from
// the beginning, so an equal count means nothing: the process gets the complete
// lists.
TEST(ViewLogTest, AnotherTermGetsCompleteLists) {
  view_log log;
  BeginTerm(log, 1);
  UpdateEndpoints(log, MakeEndpoints(3));
  view held;
  Follow(held, log);
  BeginTerm(log, 2);
  UpdateEndpoints(log, MakeEndpoints(2));
  ASSERT_EQ(held.version.count, log.count);
  const view_update update = MakeUpdate(log, RequestOf(held));
  EXPECT_EQ(update.lists, list_part::kAll);
  EXPECT_TRUE(ApplyUpdate(held, update));
  EXPECT_EQ(held.endpoints.size(), 2U);
}

// A process was suspended while more endpoints were removed than are recorded.
// A leader is lost before 3,000 endpoints, and 300 processes follow the next
// one. Guards against complete lists to all of them at once, 117 MB, which kept
// the new leader busy for seconds.
TEST(ViewLogTest, NewLeaderSendsChangesToProcessesWithItsLists) {
  constexpr int kEndpoints = 3000;
  constexpr size_t kProcesses = 300;
  constexpr size_t kMaxBytes = 300000;
  view_log first;
  BeginTerm(first, 3);
  std::vector<endpoint> list = MakeEndpoints(kEndpoints);
  ASSERT_TRUE(UpdateEndpoints(first, list));
  view held;
  Follow(held, first);
  view_log next;
  BeginTerm(next, 4);
  InheritLists(next, held);
  list[17].state = endpoint_state::kUnresponsive;
  list.erase(list.begin() + 20);
  ASSERT_TRUE(UpdateEndpoints(next, list));
  const view_update update = MakeUpdate(next, RequestOf(held));
  EXPECT_EQ(update.lists, list_part::kChanges);
  EXPECT_LT(core::EncodeBinary(update).size() * kProcesses, kMaxBytes);
  ASSERT_TRUE(ApplyUpdate(held, update));
  EXPECT_EQ(held.endpoints, Sorted(list));
  view outdated;
  outdated.version = {3, 1};
  Follow(outdated, next);
  EXPECT_EQ(outdated.endpoints, Sorted(list));
}

// Guards against processes that keep another list than their leader, over any
// series of changes, lost contact and new leaders.
RC_GTEST_PROP(ViewLogTest, FollowersConvergeOverLeaderChanges, ()) {
  constexpr size_t kFollowers = 4;
  std::vector<view> followers(kFollowers);
  view_log log;
  uint64_t term = 1;
  BeginTerm(log, term);
  std::vector<endpoint> list = MakeEndpoints(5);
  UpdateEndpoints(log, list);
  const auto actions = *rc::gen::container<std::vector<int>>(
      rc::gen::inRange<int>(0, 3 * static_cast<int>(kFollowers)));
  for (const int action : actions) {
    view& follower = followers[static_cast<size_t>(action) % kFollowers];
    const int kind = action / static_cast<int>(kFollowers);
    if (kind == 0) {
      Follow(follower, log);
    } else if (kind == 1) {
      const int number = *rc::gen::inRange(0, 8);
      std::erase_if(list, [number](const endpoint& item) {
        return item.incarnation == "i-" + std::to_string(number);
      });
      const bool is_added = *rc::gen::arbitrary<bool>();
      if (is_added) list.push_back(MakeEndpoint(number, "b:2"));
      UpdateEndpoints(log, list);
    } else {
      BeginTerm(log, ++term);
      InheritLists(log, follower);
      list = follower.endpoints;
      UpdateEndpoints(log, list);
    }
  }
  for (view& follower : followers) {
    Follow(follower, log);
    RC_ASSERT(follower.endpoints == Sorted(list));
  }
}

TEST(ViewLogTest, OutdatedFollowerGetsCompleteLists) {
  view_log log;
  BeginTerm(log, 1);
  UpdateEndpoints(log, MakeEndpoints(1));
  view held;
  Follow(held, log);
  for (int round = 0; round < 6; ++round) {
    UpdateEndpoints(log, MakeEndpoints(1000));
    UpdateEndpoints(log, MakeEndpoints(1));
  }
  const view_update update = MakeUpdate(log, RequestOf(held));
  EXPECT_EQ(update.lists, list_part::kAll);
  EXPECT_LT(log.gone.size(), 6000U);
}

// Changes are relative to the version of the requester. A process that has
// another version by then must reject them.
TEST(ViewLogTest, ChangesOfAnotherBaseAreRejected) {
  view_log log;
  BeginTerm(log, 1);
  UpdateEndpoints(log, MakeEndpoints(2));
  view held;
  Follow(held, log);
  UpdateEndpoints(log, MakeEndpoints(3));
  view_update update = MakeUpdate(log, RequestOf(held));
  update.base.count -= 1;
  EXPECT_FALSE(ApplyUpdate(held, update));
  EXPECT_EQ(held.endpoints.size(), 2U);
}

// For any changes and any times of its requests, a process finally has exactly
// the lists that the leader recorded last.
RC_GTEST_PROP(ViewLogTest, FollowersConvergeToTheListsOfTheLeader, ()) {
  constexpr int kEndpoints = 6;
  view_log log;
  BeginTerm(log, 1);
  view held;
  std::map<int, std::string> present;
  std::map<int, uint64_t> versions;
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const int number = *rc::gen::inRange(0, kEndpoints);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        present[number] = "a:" + std::to_string(step);
        break;
      case 1:
        present.erase(number);
        break;
      case 2:
        ++versions[number];
        break;
      case 3:
        Follow(held, log);
        break;
      default:
        if (*rc::gen::inRange(0, 10) == 0) BeginTerm(log, log.term + 1);
        break;
    }
    std::vector<endpoint> list;
    for (const auto& [key, address] : present) {
      list.push_back(MakeEndpoint(key, address));
    }
    std::vector<engine_weights_entry> weights;
    for (const auto& [key, version] : versions) {
      weights.push_back({"i-" + std::to_string(key), "m", version, false});
    }
    UpdateEndpoints(log, list);
    UpdateWeights(log, weights);
  }
  Follow(held, log);
  std::vector<endpoint> expected;
  for (const auto& [key, address] : present) {
    expected.push_back(MakeEndpoint(key, address));
  }
  RC_ASSERT(held.endpoints == Sorted(expected));
  RC_ASSERT(held.weights.size() == versions.size());
  for (const engine_weights_entry& item : held.weights) {
    RC_ASSERT(item.version ==
              versions.at(std::stoi(item.incarnation.substr(2))));
  }
}

configuration ConfigWith(const std::string& plain) {
  configuration config;
  config.version = 1;
  route to_plain;
  to_plain.kind = route_kind::kIdempotent;
  to_plain.services = {{plain, 1}};
  route to_engines;
  to_engines.kind = route_kind::kRollout;
  to_engines.services = {{"engines", 1}};
  config.routes = {to_plain, to_engines};
  return config;
}

view_request PlainRequestOf(const view& held) {
  view_request input;
  input.held = held.version;
  input.scope = view_scope::kPlain;
  input.held_scope = held.scope_digest;
  return input;
}

void FollowPlain(view& held, const view_log& log) {
  if (!HasChangesFor(log, PlainRequestOf(held))) return;
  ApplyUpdate(held, MakeUpdate(log, PlainRequestOf(held)));
}

std::vector<endpoint> MakeFleet(int engines, int plain) {
  std::vector<endpoint> list = MakeEndpoints(engines + plain);
  for (int i = 0; i < engines; ++i) list[i].service = "engines";
  return list;
}

// Guards against an entry whose cost grows with engines that it never calls:
// 835 entries followed 9,417 of them.
TEST(ViewLogTest, EnginesAreNotSentToEntries) {
  size_t bytes = 0;
  for (const int engines : {1000, 10000}) {
    view_log log;
    BeginTerm(log, 1);
    UpdateScope(log, ConfigWith("s"));
    std::vector<endpoint> list = MakeFleet(engines, 50);
    UpdateEndpoints(log, list);
    view held;
    const view_update first = MakeUpdate(log, PlainRequestOf(held));
    ASSERT_TRUE(ApplyUpdate(held, first));
    EXPECT_EQ(held.endpoints.size(), 50U);
    list.front().state = endpoint_state::kUnresponsive;
    ASSERT_TRUE(UpdateEndpoints(log, list));
    EXPECT_FALSE(HasChangesFor(log, PlainRequestOf(held)));
    const size_t size = core::EncodeBinary(first).size();
    EXPECT_LE(size, bytes == 0 ? size : bytes + 100);
    bytes = size;
  }
}

// A complete list is sent to each store after a cold start. Guards against
// field names that take most of it.
TEST(ViewLogTest, CompleteListTakesFewBytesPerEndpoint) {
  constexpr int kEndpoints = 1000;
  constexpr size_t kMaxBytes = 70;
  view_log log;
  BeginTerm(log, 1);
  std::vector<endpoint> list = MakeEndpoints(kEndpoints);
  for (endpoint& item : list) {
    item.service = "rollout-engines";
    item.address = "10.128.200.109:8080";
    item.zone = "zone-north";
    item.slots = 12;
  }
  UpdateEndpoints(log, list);
  const std::string update = core::EncodeBinary(MakeUpdate(log, RequestOf({})));
  EXPECT_LE(update.size(), kEndpoints * kMaxBytes);
}

// Guards against a new leader that encodes the weights of all engines for each
// member of the data group at once, for longer than its followers wait for its
// next message, so that it is replaced and the next one does the same.
TEST(ViewLogTest, WeightsAreSentInParts) {
  constexpr size_t kEngines = 3000;
  constexpr size_t kMaxPart = 3000;
  view_log log;
  BeginTerm(log, 2);
  std::vector<engine_weights_entry> weights;
  for (size_t i = 0; i < kEngines; ++i) {
    for (const char* model : {"m", "n", "o"}) {
      weights.push_back({"i-" + std::to_string(i), model, 1, false});
    }
  }
  ASSERT_TRUE(UpdateWeights(log, weights));
  view held;
  size_t responses = 0;
  while (HasChangesFor(log, RequestOf(held))) {
    const view_update update = MakeUpdate(log, RequestOf(held));
    EXPECT_LE(update.weights.size(), kMaxPart);
    ASSERT_TRUE(ApplyUpdate(held, update));
    ++responses;
    // A change between two parts arrives as well.
    if (responses == 1) {
      ASSERT_TRUE(UpdateWeights(log, {{"i-0", "m", 2, true}}));
    }
  }
  EXPECT_EQ(held.weights.size(), weights.size());
  const auto changed =
      std::find_if(held.weights.begin(), held.weights.end(),
                   [](const auto& item) { return item.is_loading; });
  ASSERT_NE(changed, held.weights.end());
  EXPECT_EQ(changed->version, 2U);
}

// A configuration sends requests to another service. Guards against an entry
// that lacks its endpoints, or that counts as knowing that one of them leaves.
TEST(ViewLogTest, AnotherScopeGetsCompleteLists) {
  view_log log;
  BeginTerm(log, 1);
  UpdateScope(log, ConfigWith("s"));
  UpdateEndpoints(log, MakeFleet(3, 2));
  view held;
  FollowPlain(held, log);
  ASSERT_EQ(held.endpoints.size(), 2U);
  UpdateScope(log, ConfigWith("engines"));
  EXPECT_EQ(KnownCount(log, PlainRequestOf(held)), 0U);
  ASSERT_TRUE(HasChangesFor(log, PlainRequestOf(held)));
  FollowPlain(held, log);
  EXPECT_EQ(held.endpoints.size(), 3U);
  EXPECT_EQ(KnownCount(log, PlainRequestOf(held)), log.count);
}

// Guards against the acknowledgement that an endpoint may leave while an entry
// still has it as ready: a process that is known to have the count of the last
// change in its scope has exactly the endpoints of its scope.
RC_GTEST_PROP(ViewLogTest, KnownCountMeansPresentListsInEachScope, ()) {
  constexpr int kEndpoints = 6;
  view_log log;
  uint64_t term = 1;
  BeginTerm(log, term);
  std::string plain = "s";
  UpdateScope(log, ConfigWith(plain));
  std::map<int, endpoint> present;
  view held;
  view leader;
  const int actions = *rc::gen::inRange(1, 60);
  for (int i = 0; i < actions; ++i) {
    const int number = *rc::gen::inRange(0, kEndpoints);
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        present[number] = MakeEndpoint(number, "a:1");
        present[number].service =
            *rc::gen::element<std::string>("s", "engines");
        break;
      case 1:
        present.erase(number);
        break;
      case 2:
        if (present.count(number) != 0) {
          present[number].state = endpoint_state::kDraining;
        }
        break;
      case 3:
        FollowPlain(held, log);
        break;
      case 4:
        Follow(leader, log);
        break;
      case 5:
        plain = *rc::gen::element<std::string>("s", "engines");
        UpdateScope(log, ConfigWith(plain));
        break;
      default:
        if (*rc::gen::inRange(0, 4) != 0) break;
        BeginTerm(log, ++term);
        UpdateScope(log, ConfigWith(plain));
        InheritLists(log, leader);
        break;
    }
    std::vector<endpoint> list;
    std::vector<endpoint> in_scope;
    for (const auto& [key, item] : present) {
      list.push_back(item);
      if (item.service == plain) in_scope.push_back(item);
    }
    UpdateEndpoints(log, list);
    const uint64_t known = KnownCount(log, PlainRequestOf(held));
    const bool is_known = known != 0 && known >= log.plain_changed_at;
    if (is_known) RC_ASSERT(held.endpoints == Sorted(in_scope));
  }
  FollowPlain(held, log);
  for (const endpoint& item : held.endpoints) RC_ASSERT(item.service == plain);
}

}  // namespace
}  // namespace hickorywood::fleet
