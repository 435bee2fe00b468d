// Measures the latency that an instance adds to a call, and its behaviour above
// the engines' capacity.

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "figures.h"
#include "support/cluster.h"

namespace hickorywood::bench {
namespace {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using testing::cluster;
using transport::http_response;

std::vector<double> CallTimes(cluster& fleet, const std::string& address,
                              const std::string& path, int count) {
  std::vector<double> times;
  for (int i = 0; i < count; ++i) {
    const auto start = steady::now();
    if (fleet.Web().Get(address, path).status != 200) continue;
    times.push_back(MillisSince(start));
  }
  return times;
}

// Returns the requests per second with `width` requests in flight at any time.
double ClosedLoopRate(cluster& fleet, const std::string& address, int width,
                      int count) {
  const auto send = [&] {
    transport::http_request request;
    request.method = "GET";
    request.url = "http://" + address + "/v1/services/bookings/x";
    return fleet.Web().SendLater(std::move(request));
  };
  const auto start = steady::now();
  std::vector<std::future<http_response>> answers;
  for (int i = 0; i < width; ++i) answers.push_back(send());
  for (int i = 0; i < count; ++i) {
    std::future<http_response>& slot = answers[static_cast<size_t>(i % width)];
    slot.get();
    slot = send();
  }
  for (auto& answer : answers) answer.get();
  return (count + width) / (MillisSince(start) / 1000);
}

struct load_result {
  double offered = 0;    // requests per second
  double completed = 0;  // requests per second
  double rejected = 0;
  std::vector<double> rejection_times;  // milliseconds
};

// Sends generations at a fixed rate for `seconds`, independent of the
// responses.
load_result OpenLoop(cluster& fleet, double per_second, double seconds) {
  struct load_state {
    std::mutex mutex;
    load_result result;
    int open = 0;
  };
  const auto state = std::make_shared<load_state>();
  transport::http_client client;
  client.Start();
  const auto begin = steady::now();
  const int count = static_cast<int>(per_second * seconds);
  for (int i = 0; i < count; ++i) {
    std::this_thread::sleep_until(
        begin + std::chrono::duration_cast<steady::duration>(
                    std::chrono::duration<double>(i / per_second)));
    transport::http_request request;
    request.url = "http://" + fleet.Callers("n" + std::to_string(1 + i % 3)) +
                  "/v1/pools/pool-a/generate";
    request.body = json{
        {"prompt", "load " + std::to_string(i)},
        {"max_tokens",
         200}}.dump();
    request.total_timeout = std::chrono::milliseconds(20000);
    {
      const std::lock_guard<std::mutex> lock(state->mutex);
      ++state->open;
    }
    const auto start = steady::now();
    client.Send(std::move(request),
                [state, start](const http_response& response) {
                  const std::lock_guard<std::mutex> lock(state->mutex);
                  --state->open;
                  if (response.status == 200) state->result.completed += 1;
                  if (response.status != 503) return;
                  state->result.rejected += 1;
                  state->result.rejection_times.push_back(MillisSince(start));
                });
  }
  testing::WaitUntil([&] {
    const std::lock_guard<std::mutex> lock(state->mutex);
    return state->open == 0;
  });
  const double took = MillisSince(begin) / 1000;
  client.Stop();
  load_result result = state->result;
  result.offered = count / seconds;
  result.completed /= took;
  result.rejected /= took;
  return result;
}

}  // namespace

void MeasureEntry(figures& out) {
  cluster fleet(testing::ThreeNodes(), "", {}, true);
  if (!fleet.Start(testing::SmallConfiguration())) return;
  fleet.StartEndpoint({"b1", "service", "bookings"});
  if (!fleet.WaitForEndpoints(1)) return;
  const std::string direct = fleet.EndpointAddress("b1");
  CallTimes(fleet, fleet.Callers("n1"), "/v1/services/bookings/x", 300);
  std::vector<double> p50;
  std::vector<double> p99;
  for (int run = 0; run < 5; ++run) {
    const std::vector<double> without = CallTimes(fleet, direct, "/x", 600);
    const std::vector<double> with =
        CallTimes(fleet, fleet.Callers("n1"), "/v1/services/bookings/x", 600);
    p50.push_back(Percentile(with, 0.5) - Percentile(without, 0.5));
    p99.push_back(Percentile(with, 0.99) - Percentile(without, 0.99));
  }
  out.AddRuns("entry_added_p50_ms", p50, "ms");
  out.AddRuns("entry_added_p99_ms", p99, "ms");
  const double cpu_before = CpuSeconds(fleet.PidOf("n1"));
  const auto start = steady::now();
  constexpr int kCalls = 20000;
  const double rate = ClosedLoopRate(fleet, fleet.Callers("n1"), 32, kCalls);
  const double cpu = CpuSeconds(fleet.PidOf("n1")) - cpu_before;
  out.Add("entry_requests_per_s", rate, "1/s");
  out.Add("entry_requests_per_core_s",
          rate / (cpu / (MillisSince(start) / 1000)), "1/s");
  const double before = ResidentMegabytes(fleet.PidOf("n1"));
  fleet.StartEndpoint({"e1",
                       "engine",
                       "model-a",
                       "north",
                       "z1",
                       {"--slow_factor=20", "--most_running=400"}});
  if (!fleet.WaitForEndpoints(2)) return;
  constexpr int kStreams = 16;
  std::vector<std::future<http_response>> streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(
        fleet.Web().PostLater(fleet.Callers("n1"), "/v1/pools/pool-a/generate",
                              {{"prompt", "s" + std::to_string(i)},
                               {"max_tokens", 20},
                               {"stream", true}}));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const double during = ResidentMegabytes(fleet.PidOf("n1"));
  for (auto& stream : streams) stream.get();
  out.Add("entry_kb_per_open_stream", (during - before) * 1024 / kStreams,
          "kB");
}

void MeasureOverload(figures& out) {
  cluster fleet(testing::ThreeNodes(), "", {}, true);
  const std::string pool =
      "    engine_concurrency: 16\n    queue_wait: 500ms\n";
  if (!fleet.Start(testing::SmallConfiguration(pool))) return;
  for (const char* id : {"e1", "e2", "e3"}) {
    fleet.StartEndpoint({id,
                         "engine",
                         "model-a",
                         "north",
                         "z1",
                         {"--most_running=16", "--most_queued=16"}});
  }
  if (!fleet.WaitForEndpoints(3)) return;
  // Measures the capacity that the product itself reaches, then applies this
  // rate and 1.5 times this rate.
  const load_result probe = OpenLoop(fleet, 900, 3);
  const double capacity = probe.completed;
  std::vector<double> ratios;
  std::vector<double> refusals;
  double at_capacity = 0;
  double overloaded = 0;
  for (int run = 0; run < 5; ++run) {
    const load_result normal = OpenLoop(fleet, capacity, 3);
    const load_result overload = OpenLoop(fleet, capacity * 1.5, 3);
    at_capacity = normal.completed;
    overloaded = overload.completed;
    ratios.push_back(overload.completed / normal.completed);
    if (!overload.rejection_times.empty()) {
      refusals.push_back(Percentile(overload.rejection_times, 0.99));
    }
  }
  out.Add("overload_capacity_per_s", capacity, "1/s");
  out.Add("overload_goodput_1_0_per_s", at_capacity, "1/s");
  out.Add("overload_goodput_1_5_per_s", overloaded, "1/s");
  out.AddRuns("overload_goodput_ratio", ratios, "ratio");
  if (!refusals.empty()) out.AddRuns("refusal_p99_ms", refusals, "ms");
}

}  // namespace hickorywood::bench
