// Measures the cost of verifying that each response belongs to its request:
// connections, latency and CPU time of plain requests and of tasks, with
// endpoints that send one response to each request.

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "figures.h"
#include "support/deployment.h"

namespace hickorywood::bench {
namespace {

using testing::deployment;

constexpr int kRequests = 3000;
constexpr int kSteps = 4;
constexpr int kTasks = 96;  // per step
constexpr double kPerThousand = 1000;

// Returns the number of connections that processes of this machine have opened
// since boot.
double ConnectionsOpened() {
  std::ifstream counters("/proc/net/snmp");
  std::string names;
  std::string values;
  while (std::getline(counters, names) && std::getline(counters, values)) {
    if (!names.starts_with("Tcp:")) continue;
    std::istringstream name_list(names);
    std::istringstream value_list(values);
    std::string name;
    std::string value;
    while (name_list >> name && value_list >> value) {
      if (name == "ActiveOpens") return std::stod(value);
    }
  }
  return 0;
}

void MeasurePlain(deployment& fleet, figures& out) {
  std::vector<double> times;
  const double opened = ConnectionsOpened();
  const double spent = CpuSeconds(fleet.Node("e1").Pid());
  for (int i = 0; i < kRequests; ++i) {
    const auto start = std::chrono::steady_clock::now();
    if (fleet.Plain("e1", "r" + std::to_string(i)).status != 200) continue;
    times.push_back(MillisSince(start));
  }
  const double requests = kRequests / kPerThousand;
  out.Add("answers_plain_ms_median", Percentile(times, 0.5), "ms");
  out.Add("answers_plain_ms_p99", Percentile(times, 0.99), "ms");
  out.Add("answers_plain_connections_per_1000",
          (ConnectionsOpened() - opened) / requests, "1");
  out.Add(
      "answers_plain_entry_cpu_ms_per_1000",
      (CpuSeconds(fleet.Node("e1").Pid()) - spent) * kPerThousand / requests,
      "ms");
}

void MeasureTasks(deployment& fleet, figures& out) {
  const double opened = ConnectionsOpened();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kSteps; ++i) {
    const std::string step = "step-" + std::to_string(i);
    fleet.Submit("e1", step, kTasks);
    fleet.WaitForResults("e2", step, kTasks);
  }
  constexpr double kAll = kSteps * kTasks;
  out.Add("answers_tasks_per_second", kAll * kPerThousand / MillisSince(start),
          "1/s");
  out.Add("answers_tasks_connections_per_1000",
          (ConnectionsOpened() - opened) * kPerThousand / kAll, "1");
}

}  // namespace

void MeasureAnswers(figures& out) {
  deployment fleet;
  if (!fleet.Start()) return;
  // A step and some requests open all connections between the instances before
  // the measurement.
  fleet.Submit("e1", "warm", kTasks);
  fleet.WaitForResults("e2", "warm", kTasks);
  MeasurePlain(fleet, out);
  MeasureTasks(fleet, out);
}

}  // namespace hickorywood::bench
