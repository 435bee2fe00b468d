// Measures rollout steps on 9 engines in 3 availability zones: the time of a
// step compared with the ideal time, with and without faults, and the
// scheduling policy compared with its baseline under the same load.

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_engine.h"
#include "figures.h"
#include "support/cluster.h"
#include "support/trainer.h"

namespace hickorywood::bench {
namespace {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using testing::cluster;
using testing::node_spec;

constexpr int kEngines = 9;
constexpr int kPrompts = 72;
constexpr int kGroup = 8;
constexpr int kMaxRunning = 32;
constexpr int64_t kMeanTokens = 64;
constexpr int64_t kMaxTokens = 512;
constexpr double kStepBaseMs = 4;
constexpr double kStepPerRequestMs = 0.1;
constexpr double kSlowFactor = 10;

enum class fault { kNone, kSlowEngine, kDeadEngine };

// Returns the time in which an engine decodes outputs of these lengths, longest
// first, with a batch that is always full.
double EngineMillis(std::vector<int64_t> lengths, double slow_factor) {
  std::sort(lengths.begin(), lengths.end());
  std::vector<int64_t> running;
  double millis = 0;
  while (!running.empty() || !lengths.empty()) {
    while (running.size() < kMaxRunning && !lengths.empty()) {
      running.push_back(lengths.back());
      lengths.pop_back();
    }
    const int64_t steps = *std::min_element(running.begin(), running.end());
    millis += static_cast<double>(steps) *
              (kStepBaseMs +
               kStepPerRequestMs * static_cast<double>(running.size())) *
              slow_factor;
    for (int64_t& remaining : running) remaining -= steps;
    running.erase(std::remove(running.begin(), running.end(), 0),
                  running.end());
  }
  return millis;
}

// Returns the time of the step if all lengths were known and the work was
// distributed optimally: longest first, each to the engine that finishes it
// first.
double IdealMillis(const std::string& step, fault what) {
  std::vector<int64_t> lengths;
  for (int slot = 0; slot < kPrompts * kGroup; ++slot) {
    const std::string id = step + "." + std::to_string(slot) + ".1.1-1";
    const std::string prompt =
        "prompt " + std::to_string(slot / kGroup) + " of " + step;
    lengths.push_back(fakes::LengthOf(id, prompt, kMeanTokens, kMaxTokens));
  }
  std::sort(lengths.rbegin(), lengths.rend());
  std::vector<double> factors(kEngines, 1.0);
  if (what == fault::kSlowEngine) factors[0] = kSlowFactor;
  if (what == fault::kDeadEngine) factors.pop_back();
  std::vector<std::vector<int64_t>> shares(factors.size());
  std::vector<double> tokens(factors.size(), 0);
  for (const int64_t length : lengths) {
    size_t best = 0;
    double best_end = 1e18;
    for (size_t i = 0; i < factors.size(); ++i) {
      const double end =
          std::max(tokens[i] + static_cast<double>(length),
                   static_cast<double>(length) * kMaxRunning / 2) *
          factors[i];
      if (end < best_end) {
        best_end = end;
        best = i;
      }
    }
    shares[best].push_back(length);
    tokens[best] += static_cast<double>(length);
  }
  double longest = 0;
  for (size_t i = 0; i < factors.size(); ++i) {
    longest = std::max(longest, EngineMillis(shares[i], factors[i]));
  }
  return longest;
}

struct step_result {
  double over_ideal = 0;
  double idle_share = 0;
  double staleness_p99 = 0;
};

std::vector<node_spec> SixNodes() {
  std::vector<node_spec> nodes;
  for (int i = 0; i < 6; ++i) {
    nodes.push_back({"n" + std::to_string(i + 1), "north",
                     "z" + std::to_string(i % 3 + 1), i < 3});
  }
  return nodes;
}

step_result RunStep(cluster& fleet, const std::string& name, fault what,
                    int64_t version) {
  const auto start = steady::now();
  const auto opened =
      fleet.Web().Post(fleet.Callers("n4"), "/v1/pools/pool-a/steps",
                       testing::StepSpec(name, kPrompts, kGroup, kMaxTokens));
  step_result result;
  if (opened.status != 200) return result;
  double working = 0;
  testing::pull_options options{{"n5"}};
  options.trainer_version = version;
  options.max_samples = 64;
  options.after_batch = [&](size_t /*samples*/) {
    const auto begin = steady::now();
    std::this_thread::sleep_for(
        std::chrono::milliseconds(20));  // processing time of a batch
    working += MillisSince(begin);
  };
  const testing::pull_outcome outcome = testing::PullAll(fleet, name, options);
  const double took = MillisSince(start);
  result.over_ideal = took / IdealMillis(name, what);
  result.idle_share = (took - working) / took;
  std::vector<double> ages;
  for (const json& sample : outcome.samples) {
    int64_t oldest = INT64_MAX;
    for (const json& range : sample["generated"]["ranges"]) {
      oldest = std::min(oldest, range["version"].get<int64_t>());
    }
    ages.push_back(static_cast<double>(version - oldest));
  }
  result.staleness_p99 = Percentile(ages, 0.99);
  return result;
}

void MeasureSteps(figures& out, fault what, const std::string& name,
                  bool is_baseline) {
  const std::vector<std::string> flags =
      is_baseline ? std::vector<std::string>{"--baseline=round_robin,no_hedging,no_resume,no_affinity"} : std::vector<std::string>{};
  cluster fleet(SixNodes(), "", flags, true);
  const std::string pool =
      "    engine_concurrency: " + std::to_string(kMaxRunning) + "\n";
  if (!fleet.Start(testing::SmallConfiguration(pool))) return;
  for (int i = 0; i < kEngines; ++i) {
    const double slow = what == fault::kSlowEngine && i == 0 ? kSlowFactor : 1;
    fleet.StartEndpoint(
        {"e" + std::to_string(i),
         "engine",
         "model-a",
         "north",
         "z" + std::to_string(i % 3 + 1),
         {"--step_base_ms=" + std::to_string(kStepBaseMs),
          "--step_per_request_ms=" + std::to_string(kStepPerRequestMs),
          "--mean_tokens=" + std::to_string(kMeanTokens),
          "--most_running=" + std::to_string(kMaxRunning),
          "--slow_factor=" + std::to_string(slow), "--swap_ms=100"}});
  }
  if (!fleet.WaitForEndpoints(kEngines)) return;
  std::vector<double> ratios;
  std::vector<double> idle;
  for (int run = 0; run < 5; ++run) {
    const std::string step = "bench" + std::to_string(run);
    std::thread killer;
    if (what == fault::kDeadEngine && run == 0) {
      // Is killed in the middle of the first step and not restarted.
      killer = std::thread([&fleet] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        fleet.Endpoint("e8").Kill();
      });
    }
    const step_result result = RunStep(fleet, step, what, 1);
    if (killer.joinable()) killer.join();
    ratios.push_back(result.over_ideal);
    idle.push_back(result.idle_share);
  }
  const std::string suffix = is_baseline ? "_baseline" : "";
  out.AddRuns("step_over_ideal_" + name + suffix, ratios, "ratio");
  if (what == fault::kNone) {
    out.AddRuns("trainer_idle_share" + suffix, idle, "share");
  }
  if (what != fault::kNone || is_baseline) return;
  // Publishes new weights before every step, while the engines still have the
  // previous step in memory.
  std::vector<double> ages;
  std::vector<double> swap_ratios;
  for (int64_t version = 2; version <= 6; ++version) {
    fleet.Web().Post(fleet.Callers("n6"), "/v1/pools/pool-a/weights",
                     {{"version", version}});
    const step_result result =
        RunStep(fleet, "swap" + std::to_string(version), fault::kNone, version);
    ages.push_back(result.staleness_p99);
    swap_ratios.push_back(result.over_ideal);
  }
  out.AddRuns("staleness_p99_versions", ages, "versions");
  out.AddRuns("step_over_ideal_weight_swap", swap_ratios, "ratio");
}

double MaxHedgeShare(const std::string& log) {
  std::ifstream stream(log);
  double max_share = 0;
  for (std::string line; std::getline(stream, line);) {
    const size_t position = line.find("hedge_share=");
    if (position != std::string::npos) {
      max_share = std::max(max_share, std::stod(line.substr(position + 12)));
    }
  }
  return max_share;
}

// Measures the tokens of discarded hedged copies, as logged by the coordinator
// when it closes a step.
void MeasureHedgeTokens(figures& out) {
  cluster fleet(SixNodes(), "", {}, true);
  if (!fleet.Start(
          testing::SmallConfiguration("    engine_concurrency: 32\n"))) {
    return;
  }
  for (int i = 0; i < kEngines; ++i) {
    fleet.StartEndpoint(
        {"e" + std::to_string(i),
         "engine",
         "model-a",
         "north",
         "z1",
         {"--slow_factor=" + std::to_string(i == 0 ? kSlowFactor : 1)}});
  }
  if (!fleet.WaitForEndpoints(kEngines)) return;
  for (int run = 0; run < 3; ++run) {
    RunStep(fleet, "hedge" + std::to_string(run), fault::kSlowEngine, 1);
  }
  out.Add("hedge_extra_tokens_ratio", MaxHedgeShare(fleet.LogOf("n4")),
          "ratio");
}

}  // namespace

void MeasureRollout(figures& out) {
  for (const bool is_baseline : {false, true}) {
    MeasureSteps(out, fault::kNone, "clean", is_baseline);
    MeasureSteps(out, fault::kSlowEngine, "slow_engine", is_baseline);
    MeasureSteps(out, fault::kDeadEngine, "dead_engine", is_baseline);
  }
  MeasureHedgeTokens(out);
}

}  // namespace hickorywood::bench
