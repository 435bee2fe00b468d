// Measures the CPU time that the leader of the data group needs per task: four
// concurrent steps on 45 engines, as in a deployment of some hundred processes.

#include <algorithm>
#include <string>
#include <vector>

#include "figures.h"
#include "support/deployment.h"

namespace hickorywood::bench {
namespace {

using testing::deployment;

constexpr int kEngines = 45;
constexpr int kSteps = 4;
constexpr int kTasks = 192;  // per step
// Time between two events of an engine with a short batch, as measured in a
// trainer's outputs.
constexpr std::chrono::milliseconds kEventTime{40};

std::vector<double> StoreSeconds(deployment& fleet) {
  std::vector<double> seconds;
  for (const std::string& store : fleet.Stores()) {
    seconds.push_back(CpuSeconds(fleet.Node(store).Pid()));
  }
  return seconds;
}

// Returns the CPU time of the store that used the most, which is the leader.
double MaxCpuSeconds(const std::vector<double>& before,
                     const std::vector<double>& after) {
  double max_seconds = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    max_seconds = std::max(max_seconds, after[i] - before[i]);
  }
  return max_seconds;
}

}  // namespace

void MeasureStore(figures& out) {
  deployment fleet;
  while (fleet.Endpoints().Incarnations().size() < kEngines) {
    fleet.Endpoints().Start("engines");
  }
  fleet.Endpoints().SetEventTime(kEventTime);
  if (!fleet.Start()) return;
  // After a step of this size, all engines are registered and have loaded their
  // weights.
  fleet.Submit("e1", "warm", kTasks);
  fleet.WaitForResults("e2", "warm", kTasks);
  const std::vector<double> before = StoreSeconds(fleet);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kSteps; ++i) {
    fleet.Submit("e1", "step-" + std::to_string(i), kTasks, true);
  }
  for (int i = 0; i < kSteps; ++i) {
    fleet.WaitForResults("e2", "step-" + std::to_string(i), kTasks);
  }
  const double millis = MillisSince(start);
  const double spent = MaxCpuSeconds(before, StoreSeconds(fleet));
  constexpr double kAll = kSteps * kTasks;
  constexpr double kMillis = 1000;
  out.Add("store_leader_ms_of_a_core_per_task", spent * kMillis / kAll, "ms");
  out.Add("store_tasks_per_second", kAll * kMillis / millis, "1/s");
}

}  // namespace hickorywood::bench
