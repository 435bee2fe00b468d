// What the store that leads the data group spends on a task: four steps at once
// before 45 engines, as a deployment of some hundred processes has them.

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
constexpr int kTasks = 192;  // of each step
// Of an engine with a short batch, as a trainer's texts see it.
constexpr std::chrono::milliseconds kEventTime{40};

std::vector<double> StoreSeconds(deployment& fleet) {
  std::vector<double> seconds;
  for (const std::string& store : fleet.Stores()) {
    seconds.push_back(CpuSeconds(fleet.Node(store).Pid()));
  }
  return seconds;
}

// The store that leads is the one that spent the most.
double MostSpent(const std::vector<double>& before,
                 const std::vector<double>& after) {
  double most = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    most = std::max(most, after[i] - before[i]);
  }
  return most;
}

}  // namespace

void MeasureStore(figures& out) {
  deployment fleet;
  while (fleet.Endpoints().Incarnations().size() < kEngines) {
    fleet.Endpoints().Start("engines");
  }
  fleet.Endpoints().SetEventTime(kEventTime);
  if (!fleet.Start()) return;
  // Each engine is known and has its weights once a step of this size is done.
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
  const double spent = MostSpent(before, StoreSeconds(fleet));
  constexpr double kAll = kSteps * kTasks;
  constexpr double kMillis = 1000;
  out.Add("store_leader_ms_of_a_core_per_task", spent * kMillis / kAll, "ms");
  out.Add("store_tasks_per_second", kAll * kMillis / millis, "1/s");
}

}  // namespace hickorywood::bench
