// Measures the control group: commits, configuration changes, loss of the
// leader, catch-up and cost when idle.

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "figures.h"
#include "membership/endpoint_table.h"
#include "support/cluster.h"

namespace hickorywood::bench {
namespace {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using testing::cluster;
using testing::node_spec;
using testing::WaitUntil;

std::vector<node_spec> Nodes(int controls, int entries) {
  std::vector<node_spec> nodes;
  for (int i = 0; i < controls + entries; ++i) {
    nodes.push_back({"n" + std::to_string(i + 1), "north",
                     "z" + std::to_string(i % 3 + 1), i < controls});
  }
  return nodes;
}

// A command that does not change any instance's view, so that only the commit
// is measured.
json ClaimCommand(int64_t number) {
  constexpr int kClaim = 3;  // control::command_kind
  return {{"kind", kClaim},
          {"claim_key", "k" + std::to_string(number)},
          {"nonce", "n"}};
}

double SyncMillis(const std::string& folder) {
  const std::string path = folder + "/sync-probe";
  const int fd =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const std::string record(300, 'x');
  std::vector<double> times;
  for (int i = 0; i < 300; ++i) {
    const auto start = steady::now();
    if (write(fd, record.data(), record.size()) < 0 || fdatasync(fd) != 0) {
      break;
    }
    times.push_back(MillisSince(start));
  }
  close(fd);
  unlink(path.c_str());
  return Percentile(times, 0.5);
}

double EmptyRoundTripMillis(cluster& fleet, const std::string& node) {
  std::vector<double> times;
  for (int i = 0; i < 500; ++i) {
    const auto start = steady::now();
    fleet.Web().Post(fleet.Peers(node), "/peer/v1/empty", json::object());
    times.push_back(MillisSince(start));
  }
  return Percentile(times, 0.5);
}

// Measures commits one at a time and concurrently. The client's round trip to
// the leader is subtracted.
void MeasureCommits(figures& out, int voters, const std::string& suffix) {
  cluster fleet(Nodes(voters, 0), "", {}, true);
  if (!fleet.Start(testing::SmallConfiguration())) return;
  const std::string leader = fleet.Leader();
  const double round_trip = EmptyRoundTripMillis(fleet, leader);
  const double sync = SyncMillis(fleet.DataFolder(leader));
  int64_t version = 0;
  std::vector<double> times;
  const auto sequential_start = steady::now();
  constexpr int kSequential = 1000;
  for (int i = 0; i < kSequential; ++i) {
    const auto start = steady::now();
    fleet.Web().Post(fleet.Peers(leader), "/peer/v1/propose",
                     ClaimCommand(++version));
    times.push_back(std::max(0.0, MillisSince(start) - round_trip));
  }
  const double sequential_rate =
      kSequential / (MillisSince(sequential_start) / 1000);
  out.Add("commit_p50_ms" + suffix, Percentile(times, 0.5), "ms");
  out.Add("commit_p99_ms" + suffix, Percentile(times, 0.99), "ms");
  out.Add("sync_ms" + suffix, sync, "ms");
  out.Add("empty_round_trip_ms" + suffix, round_trip, "ms");
  out.Add("commit_p50_over_limit_ratio" + suffix,
          Percentile(times, 0.5) / (sync + round_trip), "ratio");

  constexpr int kAtOnce = 400;
  constexpr int kRounds = 30;
  const auto batch_start = steady::now();
  std::vector<std::future<transport::http_response>> answers;
  for (int i = 0; i < kAtOnce; ++i) {
    answers.push_back(fleet.Web().PostLater(
        fleet.Peers(leader), "/peer/v1/propose", ClaimCommand(++version)));
  }
  for (int i = 0; i < kAtOnce * (kRounds - 1); ++i) {
    answers[static_cast<size_t>(i % kAtOnce)].get();
    answers[static_cast<size_t>(i % kAtOnce)] = fleet.Web().PostLater(
        fleet.Peers(leader), "/peer/v1/propose", ClaimCommand(++version));
  }
  for (auto& answer : answers) answer.get();
  const double batch_rate =
      kAtOnce * kRounds / (MillisSince(batch_start) / 1000);
  out.Add("commits_per_s_one_at_a_time" + suffix, sequential_rate, "1/s");
  out.Add("commits_per_s_batched" + suffix, batch_rate, "1/s");
  out.Add("batch_commit_speedup" + suffix, batch_rate / sequential_rate,
          "ratio");
}

std::string Variant(int number) {
  return testing::SmallConfiguration() + "# " + std::to_string(number) + "\n";
}

void MeasureChanges(figures& out) {
  cluster fleet(Nodes(3, 5), "", {}, true);
  if (!fleet.Start(testing::SmallConfiguration())) return;
  std::vector<double> times;
  constexpr int kChanges = 200;
  for (int i = 1; i <= kChanges; ++i) {
    const auto start = steady::now();
    const json answer =
        fleet.Submit("n8", "base", Variant(i), "c" + std::to_string(i), i);
    if (answer["http_status"] != 200) continue;
    times.push_back(MillisSince(start));
  }
  out.Add("config_in_force_p50_ms", Percentile(times, 0.5), "ms");
  out.Add("config_in_force_p99_ms", Percentile(times, 0.99), "ms");
  int based_on = kChanges + 1;
  for (const int missed : {1, 100, 1000}) {
    fleet.KillNode("n7");
    for (int i = 0; i < missed; ++i, ++based_on) {
      fleet.Submit("n8", "base", Variant(based_on),
                   "d" + std::to_string(based_on), based_on);
    }
    const auto start = steady::now();
    fleet.StartNode("n7");
    WaitUntil([&] { return fleet.IsReady("n7"); });
    out.Add("catch_up_" + std::to_string(missed) + "_changes_ms",
            MillisSince(start), "ms");
  }
}

// Measures the time from the loss of the leader until a proposal through
// another instance is committed.
void MeasureLeaderless(figures& out, int signal_number,
                       const std::string& name) {
  std::vector<double> runs;
  int64_t version = 0;
  for (int run = 0; run < 5; ++run) {
    cluster fleet(Nodes(3, 0), "", {}, true);
    if (!fleet.Start(testing::SmallConfiguration())) return;
    const std::string leader = fleet.Leader();
    const std::string other = leader == "n1" ? "n2" : "n1";
    const std::string third = leader == "n3" ? "n2" : "n3";
    fleet.Node(leader).Signal(signal_number);
    const auto start = steady::now();
    ++version;
    WaitUntil([&] {
      for (const std::string& node : {other, third}) {
        const auto answer = fleet.Web().Post(
            fleet.Peers(node), "/peer/v1/propose", ClaimCommand(version));
        if (testing::BodyOf(answer).value("status", "") == "done") return true;
      }
      return false;
    });
    runs.push_back(MillisSince(start));
    fleet.Node(leader).Signal(SIGCONT);
  }
  out.AddRuns(name, runs, "ms");
}

// Announces `count` endpoints periodically, like real endpoints, until `stop`
// is set.
void AnnounceMany(cluster& fleet, int count, const std::atomic<bool>& stop) {
  membership::announcement announcement;
  announcement.kind = membership::endpoint_kind::kEngine;
  announcement.name = "model-a";
  announcement.site = "north";
  announcement.zone = "z1";
  announcement.boot = 1;
  announcement.lease_ms = 30000;
  constexpr int kWindow = 64;
  std::vector<std::future<transport::http_response>> answers(kWindow);
  while (!stop) {
    const auto start = steady::now();
    ++announcement.seq;
    for (int i = 0; i < count && !stop; ++i) {
      announcement.id = "e" + std::to_string(i);
      announcement.address = "127.0.0.1:" + std::to_string(1 + i);
      std::future<transport::http_response>& pending =
          answers[static_cast<size_t>(i % kWindow)];
      if (pending.valid()) pending.get();
      const std::string& node =
          fleet.Specs()[static_cast<size_t>(i) % fleet.Specs().size()].id;
      pending = fleet.Web().PostLater(fleet.Callers(node), "/v1/announcements",
                                      announcement);
    }
    // Engines with a lease of 30 s announce themselves every 10 s.
    while (!stop && MillisSince(start) < 10000) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
}

struct idle_cost {
  double cpu_percent = 0;  // percent of one core, mean per instance
  double megabytes = 0;
  double kilobytes_per_s = 0;  // sent data, mean per instance
};

idle_cost MeasureIdle(cluster& fleet, double seconds) {
  double cpu = 0;
  for (const node_spec& node : fleet.Specs()) {
    cpu -= CpuSeconds(fleet.PidOf(node.id));
  }
  double bytes = -LoopbackBytes();
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  bytes += LoopbackBytes();
  idle_cost cost;
  for (const node_spec& node : fleet.Specs()) {
    cpu += CpuSeconds(fleet.PidOf(node.id));
    cost.megabytes += ResidentMegabytes(fleet.PidOf(node.id));
  }
  const auto count = static_cast<double>(fleet.Specs().size());
  cost.cpu_percent = 100 * cpu / seconds / count;
  cost.megabytes /= count;
  cost.kilobytes_per_s = bytes / seconds / count / 1000;
  return cost;
}

void MeasureCosts(figures& out) {
  for (const int instances : {3, 8, 16, 32, 64}) {
    cluster fleet(Nodes(3, instances - 3), "", {}, true);
    if (!fleet.Start(testing::SmallConfiguration())) continue;
    const idle_cost cost = MeasureIdle(fleet, 5);
    const std::string suffix =
        instances == 8 ? "" : "_at_" + std::to_string(instances);
    out.Add("control_cpu_percent_per_instance" + suffix, cost.cpu_percent, "%");
    out.Add("control_rss_mb_per_instance" + suffix, cost.megabytes, "MB");
    out.Add("control_kb_per_s_per_instance" + suffix, cost.kilobytes_per_s,
            "kB/s");
  }
  for (const int endpoints : {100, 1000, 12000}) {
    cluster fleet(Nodes(3, 5), "", {}, true);
    if (!fleet.Start(testing::SmallConfiguration())) continue;
    std::atomic<bool> stop{false};
    std::thread announcer([&] { AnnounceMany(fleet, endpoints, stop); });
    const bool all_known = WaitUntil([&] {
      return fleet.Status("n8")["endpoints"].size() ==
             static_cast<size_t>(endpoints);
    });
    const idle_cost cost = MeasureIdle(fleet, 10);
    stop = true;
    announcer.join();
    const std::string suffix = "_" + std::to_string(endpoints) + "_endpoints";
    out.Add("endpoints_known" + suffix, all_known ? endpoints : 0, "endpoints");
    out.Add("control_cpu_percent_per_instance" + suffix, cost.cpu_percent, "%");
    out.Add("control_rss_mb_per_instance" + suffix, cost.megabytes, "MB");
    out.Add("control_kb_per_s_per_instance" + suffix, cost.kilobytes_per_s,
            "kB/s");
  }
}

}  // namespace

void MeasureControl(figures& out) {
  MeasureCosts(out);
  MeasureCommits(out, 3, "");
  MeasureCommits(out, 5, "_5_voters");
  MeasureChanges(out);
  MeasureLeaderless(out, SIGKILL, "leaderless_after_kill_ms");
  MeasureLeaderless(out, SIGSTOP, "leaderless_after_freeze_ms");
}

}  // namespace hickorywood::bench
