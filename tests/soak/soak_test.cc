// Runs a deployment of real processes under random faults in concurrent series,
// with endpoints of which some send two responses. Callers check each response
// meanwhile.

#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <list>
#include <shared_mutex>
#include <string>
#include <thread>

#include "soak/duplicate_response_endpoints.h"
#include "soak/fault_plan.h"
#include "soak/soak_callers.h"
#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kPlainCallers = 6;
constexpr int kStepCallers = 4;
constexpr milliseconds kStopTimeout{40000};

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

// Injects the faults of a plan. A power cut waits until the running faults are
// finished, and no other fault starts during a power cut.
class fault_injector {
 public:
  fault_injector(deployment& fleet, duplicate_response_endpoints& endpoints,
                 violation_log& errors)
      : fleet_(fleet), endpoints_(endpoints), errors_(errors) {}

  void Inject(const fault_series& series) {
    for (const fault& item : series.faults) {
      std::this_thread::sleep_for(item.pause);
      if (item.kind == fault_kind::kPowerCut) {
        const std::unique_lock<std::shared_mutex> exclusive(faults_);
        InjectOne(item);
      } else {
        const std::shared_lock<std::shared_mutex> shared(faults_);
        InjectOne(item);
      }
    }
  }

 private:
  void InjectOne(const fault& item) {
    switch (item.kind) {
      case fault_kind::kKill:
        fleet_.KillNode(item.node);
        std::this_thread::sleep_for(item.time);
        fleet_.StartNode(item.node);
        break;
      case fault_kind::kStop: {
        // Before it logs its start, a process may not have installed its
        // handler of SIGTERM yet.
        const bool is_up = fleet_.HasStarted(item.node);
        fleet_.Node(item.node).Signal(SIGTERM);
        const auto code = fleet_.Node(item.node).WaitForExit(kStopTimeout);
        const bool is_clean = code == 0 || (!is_up && code == -SIGTERM);
        if (!is_clean) {
          errors_.Add(item.node + " did not end with 0 when it was stopped");
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
        ExpectVoterAgain(item.node, identities);
        break;
      }
      case fault_kind::kReplace:
        endpoints_.Replace(item.node);
        break;
      case fault_kind::kPowerCut: {
        const size_t identities = fleet_.CountVoterIdentities(item.node);
        fleet_.CutPower(item.node);
        ExpectVoterAgain(item.node, identities);
        break;
      }
    }
  }

  // Waits until the node is a voter again. A second disk may be lost only after
  // that.
  void ExpectVoterAgain(const std::string& node, size_t identities) {
    const bool votes = WaitUntil(
        [&] { return fleet_.CountVoterIdentities(node) > identities; },
        kStopTimeout);
    if (!votes) errors_.Add(node + " does not vote again after a lost disk");
  }

  deployment& fleet_;
  duplicate_response_endpoints& endpoints_;
  violation_log& errors_;
  std::shared_mutex faults_;
};

// Checks that requests answered "not run" or sent by a removed route did not
// run, and that requests that may run at most once did so.
void CheckRuns(const std::list<plain_caller>& callers,
               const config_caller& config, deployment& fleet,
               duplicate_response_endpoints& endpoints, violation_log& errors) {
  const auto runs = [&](const std::string& id) {
    return fleet.Endpoints().RunsOf(id) + endpoints.RunsOf(id);
  };
  for (const plain_caller& caller : callers) {
    for (const std::string& id : caller.Rejected()) {
      if (runs(id) > 0) errors.Add(id + " was answered not run but ran");
    }
    for (const std::string& id : caller.Single()) {
      if (runs(id) > 1) errors.Add(id + " has run twice");
    }
  }
  for (const std::string& id : config.Removed()) {
    if (runs(id) > 0) errors.Add(id + " ran by a route that was removed");
  }
}

TEST(SoakTest, GuaranteesHoldUnderRandomFaults) {
  const uint64_t seed = FromEnvironment("SOAK_SEED", 1);
  const std::chrono::seconds length(FromEnvironment("SOAK_SECONDS", 30));
  const std::vector<fault_series> plan = GenerateFaults(seed, length);
  std::cout << "seed " << seed << ", " << length.count() << " s\n";
  for (const fault_series& series : plan) {
    for (const fault& item : series.faults) {
      std::cout << series.name << ": " << item << "\n";
    }
  }
  duplicate_response_endpoints endpoints(seed);
  deployment fleet;
  // Entries may obey an older version for no longer than they may be without
  // contact before the acknowledgement.
  fleet.extra_settings = "access: {apply_limit: 1ms}\n";
  fleet.extra_heartbeats = [&endpoints] { return endpoints.Heartbeats(); };
  for (const char* service : {"echo", "echo", "engines", "engines"}) {
    endpoints.Start(service);
  }
  ASSERT_TRUE(fleet.Start());
  violation_log errors;
  std::list<plain_caller> plain;
  std::list<step_caller> steps;
  config_caller config(fleet, errors);
  for (int i = 0; i < kPlainCallers; ++i) {
    plain.emplace_back(fleet, errors, "p" + std::to_string(i), seed + i);
  }
  for (int i = 0; i < kStepCallers; ++i) {
    steps.emplace_back(fleet, errors, "s" + std::to_string(i), seed + i);
  }
  fault_injector injector(fleet, endpoints, errors);
  std::vector<std::thread> series;
  for (const fault_series& item : plan) {
    series.emplace_back([&injector, &item] { injector.Inject(item); });
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
  CheckRuns(plain, config, fleet, endpoints, errors);
  int served = 0;
  int completed = 0;
  for (const plain_caller& one : plain) served += one.Served();
  for (const step_caller& one : steps) completed += one.Completed();
  std::cout << served << " requests served, " << completed
            << " steps complete, configuration " << config.Acknowledged()
            << "\n";
  EXPECT_GT(served, 0);
  EXPECT_GT(completed, 0);
  for (const std::string& item : errors.List()) ADD_FAILURE() << item;
}

}  // namespace
}  // namespace hickorywood::testing
