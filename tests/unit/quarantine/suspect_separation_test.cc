// A small model of endpoints that run innocent requests and one that crashes
// its endpoints: innocent requests must never be quarantined.

#include "quarantine/suspect_separation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "quarantine/crash_ledger.h"

namespace hickorywood::quarantine {
namespace {

constexpr uint64_t kEvents = 20;  // of an innocent request
constexpr uint64_t kDownTime = 12;

struct modelled_request {
  bool is_cause = false;
  crash_suspicion suspicion;
  int endpoint = -1;  // -1: waiting
  uint64_t events = 0;
  bool is_past = false;
  bool is_done = false;
};

struct modelled_endpoint {
  suspects_on_endpoint suspects;
  int running = 0;
  int starts = 0;
  uint64_t down_until = 0;
};

// Runs requests on endpoints in rounds; each running request makes one event a
// round.
class crash_model {
 public:
  crash_model(size_t endpoints, size_t innocents, uint64_t crash_after,
              uint64_t seed)
      : endpoints_(endpoints),
        requests_(innocents + 1),
        crash_after_(crash_after),
        random_(seed) {
    requests_[seed % requests_.size()].is_cause = true;
  }

  // Returns the number of rounds until all innocent requests were served, or
  // `limit`.
  uint64_t Run(uint64_t limit) {
    for (now_ = 0; now_ < limit && !IsServed(); ++now_) {
      Start();
      Advance();
    }
    return now_;
  }

  // Whether an innocent request was quarantined.
  bool HasWrongQuarantine() const { return has_wrong_quarantine_; }

 private:
  bool IsServed() const {
    return std::all_of(requests_.begin(), requests_.end(),
                       [](const modelled_request& item) {
                         return item.is_cause || item.is_done;
                       });
  }

  std::string DigestOf(const modelled_request& item) const {
    return "r" + std::to_string(&item - requests_.data());
  }

  // Places waiting requests on the endpoints with the fewest requests.
  void Start() {
    std::vector<size_t> order(requests_.size());
    for (size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), random_);
    for (const size_t i : order) {
      modelled_request& item = requests_[i];
      if (item.is_done || item.endpoint >= 0) continue;
      int best = -1;
      for (size_t e = 0; e < endpoints_.size(); ++e) {
        const modelled_endpoint& there = endpoints_[e];
        if (there.down_until > now_ || there.running >= 8) continue;
        if (!MayJoin(item.suspicion, there.suspects)) continue;
        if (best < 0 || there.running < endpoints_[best].running) {
          best = static_cast<int>(e);
        }
      }
      if (best < 0) continue;
      item.endpoint = best;
      item.events = 0;
      item.is_past = false;
      ++endpoints_[best].running;
      AddSuspect(endpoints_[best].suspects, item.suspicion);
    }
  }

  void Leave(modelled_request& item) {
    modelled_endpoint& there = endpoints_[item.endpoint];
    --there.running;
    RemoveSuspect(there.suspects, item.suspicion, item.is_past);
    item.endpoint = -1;
  }

  void Advance() {
    int crashed = -1;
    for (modelled_request& item : requests_) {
      if (item.endpoint < 0) continue;
      ++item.events;
      const bool gets_past =
          !item.is_past && IsPastCrash(item.suspicion, item.events);
      if (gets_past) {
        item.is_past = true;
        RecordPastCrash(endpoints_[item.endpoint].suspects, item.suspicion);
      }
      if (item.is_cause && item.events > crash_after_) crashed = item.endpoint;
    }
    if (crashed >= 0) Crash(crashed);
    for (modelled_request& item : requests_) {
      const bool is_complete = item.endpoint >= 0 && item.events >= kEvents;
      if (!is_complete) continue;
      Leave(item);
      item.is_done = true;
      Release(ledger_, DigestOf(item), release_reason::kServed, {});
    }
  }

  void Crash(int endpoint) {
    modelled_endpoint& there = endpoints_[endpoint];
    const std::string incarnation =
        std::to_string(endpoint) + "@" + std::to_string(there.starts++);
    there.down_until = now_ + kDownTime;
    for (modelled_request& item : requests_) {
      if (item.endpoint != endpoint) continue;
      Leave(item);
      ++item.suspicion.crashes;
      item.suspicion.events_at_crash =
          std::max(item.suspicion.events_at_crash, item.events);
      RecordCrash(ledger_, {DigestOf(item), "c", incarnation}, {});
    }
    for (modelled_request& item : requests_) {
      const bool is_quarantined =
          QuarantineStateOf(ledger_, DigestOf(item), {}) ==
          quarantine_state::kQuarantined;
      if (is_quarantined && item.is_cause) item.is_done = true;
      if (is_quarantined && !item.is_cause) has_wrong_quarantine_ = true;
    }
  }

  std::vector<modelled_endpoint> endpoints_;
  std::vector<modelled_request> requests_;
  const uint64_t crash_after_;
  std::mt19937_64 random_;
  crash_ledger ledger_;
  uint64_t now_ = 0;
  bool has_wrong_quarantine_ = false;
};

struct crash_pattern {
  size_t endpoints;
  size_t innocents;
};

// Guards against an innocent request that is quarantined because it ran on the
// same endpoint as the cause at each crash.
TEST(SuspectSeparationTest, CrashingRequestBesideInnocentOnes) {
  constexpr uint64_t kLimit = 1000;
  constexpr uint64_t kSeeds = 200;
  for (const crash_pattern pattern : {crash_pattern{3, 1},
                                      {3, 2},
                                      {3, 5},
                                      {3, 20},
                                      {2, 2},
                                      {2, 20},
                                      {9, 60}}) {
    for (const uint64_t crash_after : {0, 1, 10}) {
      for (uint64_t seed = 0; seed < kSeeds; ++seed) {
        crash_model model(pattern.endpoints, pattern.innocents, crash_after,
                          seed);
        const uint64_t rounds = model.Run(kLimit);
        const std::string name = std::to_string(pattern.endpoints) + " x " +
                                 std::to_string(pattern.innocents) + ", " +
                                 std::to_string(crash_after) +
                                 " events, seed " + std::to_string(seed);
        EXPECT_FALSE(model.HasWrongQuarantine()) << name;
        EXPECT_LT(rounds, kLimit) << name;
      }
    }
  }
}

// Guards against requests that wait for each other after a loss by chance.
TEST(SuspectSeparationTest, RequestsOfALostEndpointAreServedByTheOthers) {
  const crash_suspicion lost{1, 3};
  suspects_on_endpoint there;
  EXPECT_TRUE(MayJoin(lost, there));
  AddSuspect(there, lost);
  EXPECT_FALSE(MayJoin(lost, there));
  EXPECT_TRUE(MayJoin({}, there));
  EXPECT_FALSE(IsPastCrash(lost, 3));
  EXPECT_TRUE(IsPastCrash(lost, 4));
  RecordPastCrash(there, lost);
  EXPECT_TRUE(MayJoin(lost, there));
  EXPECT_FALSE(MayJoin({2, 3}, there));
  RemoveSuspect(there, lost, true);
  EXPECT_TRUE(MayJoin({2, 3}, there));
}

// Guards against a task that crashes one endpoint after the other without a
// pause, and against a pause after which it is not run for seconds.
TEST(PauseAfterCrashTest, BeginsWithTheThirdCrashAndIsBounded) {
  using core::milliseconds;
  EXPECT_EQ(PauseAfterCrash(0), milliseconds(0));
  EXPECT_EQ(PauseAfterCrash(2), milliseconds(0));
  EXPECT_EQ(PauseAfterCrash(3), milliseconds(250));
  EXPECT_EQ(PauseAfterCrash(4), milliseconds(500));
  EXPECT_EQ(PauseAfterCrash(6), milliseconds(2000));
  EXPECT_EQ(PauseAfterCrash(1000), milliseconds(2000));
}

}  // namespace
}  // namespace hickorywood::quarantine
