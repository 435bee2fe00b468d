// Measures what grows with a fleet, without a network: announcements, changes
// and complete lists of endpoints, plans of weight loads, and the choice of
// engines. Each figure is taken at three sizes; the exponent is that of the
// last two.

#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include "controller/weight_table.h"
#include "core/binary.h"
#include "figures.h"
#include "fleet/endpoint_registry.h"
#include "fleet/view_log.h"
#include "store/engine_ring.h"

namespace hickorywood::bench {
namespace {

constexpr double kMicros = 1000;  // per millisecond
const std::vector<int> kSizes = {1000, 10000, 20000};

fleet::heartbeat Announcement(int number, uint64_t sequence) {
  fleet::heartbeat input;
  input.name = "i-" + std::to_string(1000000 + number * 7919 % 1000003);
  input.service = number % 17 == 0 ? "plain" : "engines";
  input.address = "10.1." + std::to_string(number / 250) + "." +
                  std::to_string(number % 250) + ":8080";
  input.zone = "zone-" + std::to_string(number % 5);
  input.slots = 6;
  input.sequence = sequence;
  return input;
}

fleet::endpoint_registry AnnounceAll(int endpoints) {
  fleet::endpoint_registry registry;
  for (int i = 0; i < endpoints; ++i) {
    fleet::ApplyHeartbeat(registry, Announcement(i, 1), core::time_point{});
  }
  return registry;
}

double MillisToAnnounceAll(int endpoints) {
  const auto start = std::chrono::steady_clock::now();
  const fleet::endpoint_registry registry = AnnounceAll(endpoints);
  return registry.endpoints.empty() ? 0 : MillisSince(start);
}

fleet::view_request RequestOf(const fleet::view& held) {
  fleet::view_request input;
  input.held = held.version;
  return input;
}

// From the heartbeat of one endpoint to the list of one follower.
double MicrosPerChange(int endpoints) {
  constexpr int kRounds = 200;
  fleet::endpoint_registry registry = AnnounceAll(endpoints);
  fleet::view_log log;
  fleet::BeginTerm(log, 1);
  fleet::UpdateEndpoints(log, registry);
  fleet::view held;
  fleet::ApplyUpdate(held, fleet::MakeUpdate(log, RequestOf(held)));
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    fleet::heartbeat changed = Announcement(i, 2);
    changed.is_draining = true;
    fleet::ApplyHeartbeat(registry, changed, core::time_point{});
    fleet::UpdateEndpoints(log, registry);
    const std::string update =
        core::EncodeBinary(fleet::MakeUpdate(log, RequestOf(held)));
    fleet::ApplyUpdate(held, *core::DecodeBinary<fleet::view_update>(update));
  }
  return MillisSince(start) * kMicros / kRounds;
}

double MillisPerCompleteList(int endpoints) {
  constexpr int kRounds = 5;
  fleet::endpoint_registry registry = AnnounceAll(endpoints);
  fleet::view_log log;
  fleet::BeginTerm(log, 1);
  fleet::UpdateEndpoints(log, registry);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    fleet::view held;
    const std::string update =
        core::EncodeBinary(fleet::MakeUpdate(log, RequestOf(held)));
    fleet::ApplyUpdate(held, *core::DecodeBinary<fleet::view_update>(update));
  }
  return MillisSince(start) / kRounds;
}

double MillisPerPlan(int engines) {
  constexpr int kRounds = 10;
  controller::load_plan_input input;
  controller::weight_table table;
  for (const char* model : {"a", "b", "c", "d", "e", "f"}) {
    controller::plannable_model& terms = input.models[model];
    terms.newest = 2;
    terms.peak_tasks = 224;
  }
  for (int i = 0; i < engines; ++i) {
    controller::plannable_engine engine;
    engine.incarnation = Announcement(i, 1).name;
    engine.slots = 6;
    for (const auto& item : input.models) {
      controller::RecordVersion(table, engine.incarnation, item.first, 1);
    }
    input.engines.push_back(std::move(engine));
  }
  PlanLoads(table, input);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) PlanLoads(table, input);
  return MillisSince(start) / kRounds;
}

double MicrosPerEngineChoice(int engines) {
  constexpr int kRounds = 2000;
  constexpr size_t kLimit = 256;
  std::vector<std::string> names;
  for (int i = 0; i < engines; ++i) names.push_back(Announcement(i, 1).name);
  const auto ring = store::MakeRing({names.begin(), names.end()}, kLimit);
  size_t chosen = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    chosen += store::ChooseFromRing(ring, "model", kLimit, [](size_t) {
                return true;
              }).size();
  }
  return chosen == 0 ? 0 : MillisSince(start) * kMicros / kRounds;
}

void AddSizes(figures& out, const std::string& name, const std::string& unit,
              const std::function<double(int)>& measure) {
  std::vector<double> values;
  for (const int size : kSizes) {
    values.push_back(measure(size));
    out.Add(name + "_" + std::to_string(size), values.back(), unit);
  }
  const size_t last = kSizes.size() - 1;
  const double ratio = static_cast<double>(kSizes[last]) / kSizes[last - 1];
  out.Add(name + "_exponent",
          std::log(values[last] / values[last - 1]) / std::log(ratio), "");
}

}  // namespace

void MeasureFleet(figures& out) {
  AddSizes(out, "announce_all", "ms", MillisToAnnounceAll);
  AddSizes(out, "one_change", "us", MicrosPerChange);
  AddSizes(out, "complete_list", "ms", MillisPerCompleteList);
  AddSizes(out, "load_plan", "ms", MillisPerPlan);
  AddSizes(out, "engine_choice", "us", MicrosPerEngineChoice);
}

}  // namespace hickorywood::bench
