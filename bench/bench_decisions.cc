// Measures the decisions of single processes under load, without a network: the
// order and the placement of tasks, and the leases of shared places.

#include <string>
#include <vector>

#include "admission/place_ledger.h"
#include "figures.h"
#include "steps/placement.h"
#include "steps/step_order.h"

namespace hickorywood::bench {
namespace {

using steps::predicted_time;

constexpr double kMicros = 1000;  // per millisecond

// Four steps with this many waiting tasks together, in groups of eight. Their
// times differ in each round: the processor learns the branches of a short sort
// that is repeated with the same data.
std::vector<steps::open_step> MakeSteps(uint32_t tasks, uint64_t round) {
  constexpr uint32_t kSteps = 4;
  constexpr uint32_t kGroupSize = 8;
  std::vector<steps::open_step> all(kSteps);
  for (uint32_t i = 0; i < kSteps; ++i) {
    steps::open_step& step = all[i];
    step.trainer = "model-" + std::to_string(i);
    step.due = predicted_time(7.5);
    step.groups.resize(tasks / kSteps / kGroupSize);
    for (uint32_t task = 0; task < tasks / kSteps; ++task) {
      const uint64_t mixed = (task + round * 1000003) * 2654435761;
      const predicted_time time(
          static_cast<double>((mixed ^ (mixed >> 17)) % 144) * 0.05);
      step.tasks.push_back({task, time, task / kGroupSize});
    }
  }
  return all;
}

double MicrosToOrder(uint32_t tasks) {
  constexpr int kRounds = 20;
  std::vector<std::vector<steps::open_step>> rounds;
  for (int i = 0; i < kRounds; ++i) {
    rounds.push_back(MakeSteps(tasks, static_cast<uint64_t>(i)));
  }
  size_t ordered = 0;
  const auto start = std::chrono::steady_clock::now();
  for (const auto& all : rounds) ordered += OrderByUrgency(all).size();
  return ordered == 0 ? 0 : MillisSince(start) * kMicros / kRounds;
}

double MicrosToPlace(int count) {
  constexpr int kRounds = 2000;
  std::vector<steps::placement_engine> engines;
  for (int i = 0; i < count; ++i) {
    steps::placement_engine engine;
    engine.incarnation = "engine-" + std::to_string(i);
    engine.slots = 8;
    engine.running = i % 8;
    const predicted_time event_time(i % 4 == 0 ? 0.058 : 0.026);
    engine.pace = {event_time, event_time};
    engines.push_back(std::move(engine));
  }
  steps::placement_task task;
  task.events = 104;
  size_t placed = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    placed += Place(engines, task, 0.035).engine ? 1 : 0;
  }
  return placed == 0 ? 0 : MillisSince(start) * kMicros / kRounds;
}

// Requests that are granted and return their place, per second.
double LeasesPerSecond(int entries, int customers) {
  constexpr int kRounds = 20000;
  constexpr double kSecond = 1000;  // ms
  admission::place_ledger ledger;
  core::time_point now{std::chrono::seconds(1000)};
  admission::SetEndpoints(
      ledger, "s", {{"a", "za", 6}, {"b", "zb", 6}, {"c", "zc", 6}}, now);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    now += std::chrono::milliseconds(1);
    admission::place_request input;
    input.instance = "e" + std::to_string(i % entries);
    input.zone = "za";
    input.service = "s";
    input.customer = "c" + std::to_string(i % customers);
    input.time_left = std::chrono::milliseconds(800);
    input.run_limit = std::chrono::milliseconds(2000);
    const admission::place_answer answer = Borrow(ledger, input, now);
    Return(ledger, "s", answer.id, now + std::chrono::milliseconds(25));
  }
  return kRounds * kSecond / MillisSince(start);
}

}  // namespace

void MeasureDecisions(figures& out) {
  out.Add("order_of_1024_tasks", MicrosToOrder(1024), "us");
  out.Add("order_of_16384_tasks", MicrosToOrder(16384), "us");
  out.Add("placement_on_48_engines", MicrosToPlace(48), "us");
  out.Add("placement_on_3000_engines", MicrosToPlace(3000), "us");
  out.Add("leases_10_entries_10_customers", LeasesPerSecond(10, 10), "1/s");
  out.Add("leases_300_entries_10000_customers", LeasesPerSecond(300, 10000),
          "1/s");
}

}  // namespace hickorywood::bench
