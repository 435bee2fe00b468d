// A deployment of real processes under drawn faults that come in series and
// overlap, before endpoints of which some answer twice. Callers check each
// answer while it runs.

#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <list>
#include <shared_mutex>
#include <string>
#include <thread>

#include "soak/fault_plan.h"
#include "soak/soak_callers.h"
#include "soak/stuttering_fleet.h"
#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kPlainCallers = 6;
constexpr int kStepCallers = 4;
constexpr milliseconds kStopLimit{40000};

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoull(text);
}

// Plays a plan. A power cut waits for the faults under way, and none begins
// while one is played.
class fault_player {
 public:
  fault_player(deployment& fleet, stuttering_fleet& endpoints,
               violations& wrong)
      : fleet_(fleet), endpoints_(endpoints), wrong_(wrong) {}

  void Play(const fault_series& series) {
    for (const fault& item : series.faults) {
      std::this_thread::sleep_for(item.pause);
      if (item.kind == fault_kind::kPowerCut) {
        const std::unique_lock<std::shared_mutex> alone(faults_);
        PlayOne(item);
      } else {
        const std::shared_lock<std::shared_mutex> beside(faults_);
        PlayOne(item);
      }
    }
  }

 private:
  void PlayOne(const fault& item) {
    switch (item.kind) {
      case fault_kind::kKill:
        fleet_.KillNode(item.node);
        std::this_thread::sleep_for(item.time);
        fleet_.StartNode(item.node);
        break;
      case fault_kind::kStop: {
        // Before its first line a process has nothing by which to take it.
        const bool is_up = fleet_.HasStarted(item.node);
        fleet_.Node(item.node).Signal(SIGTERM);
        const auto code = fleet_.Node(item.node).WaitForExit(kStopLimit);
        const bool is_planned = code == 0 || (!is_up && code == -SIGTERM);
        if (!is_planned) {
          wrong_.Add(item.node + " did not end with 0 when it was stopped");
        }
        std::this_thread::sleep_for(item.time);
        fleet_.StartNode(item.node);
        break;
      }
      case fault_kind::kFreeze:
        fleet_.Node(item.node).Signal(SIGSTOP);
        std::this_thread::sleep_for(item.time);
        fleet_.Node(item.node).Signal(SIGCONT);
        break;
      case fault_kind::kLoseDisk: {
        const size_t identities = fleet_.CountVoterIdentities(item.node);
        fleet_.KillNode(item.node);
        fleet_.LoseDisk(item.node);
        std::this_thread::sleep_for(item.time);
        fleet_.StartNode(item.node);
        ExpectVote(item.node, identities);
        break;
      }
      case fault_kind::kReplace:
        endpoints_.Replace(item.node);
        break;
      case fault_kind::kPowerCut: {
        const size_t identities = fleet_.CountVoterIdentities(item.node);
        fleet_.CutPower(item.node);
        ExpectVote(item.node, identities);
        break;
      }
    }
  }

  // A second disk may be lost only once this one is borne.
  void ExpectVote(const std::string& node, size_t identities) {
    const bool votes = WaitUntil(
        [&] { return fleet_.CountVoterIdentities(node) > identities; },
        kStopLimit);
    if (!votes) wrong_.Add(node + " does not vote again after a lost disk");
  }

  deployment& fleet_;
  stuttering_fleet& endpoints_;
  violations& wrong_;
  std::shared_mutex faults_;
};

// What was said not to run has not, and what may run once has at most once.
void CheckRuns(const std::list<plain_caller>& callers, deployment& fleet,
               stuttering_fleet& endpoints, violations& wrong) {
  const auto runs = [&](const std::string& id) {
    return fleet.Endpoints().RunsOf(id) + endpoints.RunsOf(id);
  };
  for (const plain_caller& caller : callers) {
    for (const std::string& id : caller.Refused()) {
      if (runs(id) > 0) wrong.Add(id + " was said not to run, and has run");
    }
    for (const std::string& id : caller.Single()) {
      if (runs(id) > 1) wrong.Add(id + " has run twice");
    }
  }
}

TEST(SoakTest, PromisesHoldUnderDrawnFaults) {
  const uint64_t seed = FromEnvironment("SOAK_SEED", 1);
  const std::chrono::seconds length(FromEnvironment("SOAK_SECONDS", 30));
  const std::vector<fault_series> plan = DrawFaults(seed, length);
  std::cout << "seed " << seed << ", " << length.count() << " s\n";
  for (const fault_series& series : plan) {
    for (const fault& item : series.faults) {
      std::cout << series.name << ": " << item << "\n";
    }
  }
  stuttering_fleet endpoints(seed);
  deployment fleet;
  fleet.extra_heartbeats = [&endpoints] { return endpoints.Heartbeats(); };
  for (const char* service : {"echo", "echo", "engines", "engines"}) {
    endpoints.Start(service);
  }
  ASSERT_TRUE(fleet.Start());
  violations wrong;
  std::list<plain_caller> plain;
  std::list<step_caller> steps;
  config_caller config(fleet, wrong);
  for (int i = 0; i < kPlainCallers; ++i) {
    plain.emplace_back(fleet, wrong, "p" + std::to_string(i), seed + i);
  }
  for (int i = 0; i < kStepCallers; ++i) {
    steps.emplace_back(fleet, wrong, "s" + std::to_string(i), seed + i);
  }
  fault_player player(fleet, endpoints, wrong);
  std::vector<std::thread> series;
  for (const fault_series& item : plan) {
    series.emplace_back([&player, &item] { player.Play(item); });
  }
  for (std::thread& one : series) one.join();
  for (plain_caller& one : plain) one.Stop();
  for (step_caller& one : steps) one.Stop();
  config.Stop();
  for (plain_caller& one : plain) one.Join();
  for (step_caller& one : steps) one.Join();
  config.Join();
  for (step_caller& one : steps) one.CheckAll();
  config.CheckAll();
  CheckRuns(plain, fleet, endpoints, wrong);
  int served = 0;
  int completed = 0;
  for (const plain_caller& one : plain) served += one.Served();
  for (const step_caller& one : steps) completed += one.Completed();
  std::cout << served << " requests served, " << completed
            << " steps complete, configuration " << config.Acknowledged()
            << "\n";
  EXPECT_GT(served, 0);
  EXPECT_GT(completed, 0);
  for (const std::string& item : wrong.List()) ADD_FAILURE() << item;
}

}  // namespace
}  // namespace hickorywood::testing
