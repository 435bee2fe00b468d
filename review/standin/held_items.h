// Case 1: servers crash in turn while they run a batch submission. Later,
// without any disruption, the trainer samples the same prompts once more.
#ifndef HICKORYWOOD_REVIEW_STANDIN_HELD_ITEMS_H_
#define HICKORYWOOD_REVIEW_STANDIN_HELD_ITEMS_H_

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "http.h"
#include "trainer.h"

namespace review {

constexpr int kGroups = 9;
constexpr int kSamplesPerGroup = 4;
constexpr int64_t kTimeBudgetMs = 12000;
constexpr int64_t kUnservedMs = 5000;
constexpr int64_t kContactMs = 3000;
constexpr int kSlots = 12;
// Each of the nine servers crashes once, a second apart; one is down at a time.
constexpr int kCrashes = 9;
constexpr int64_t kCrashPeriodMs = 1000;
constexpr int64_t kDownMs = 750;

// The samples of one pass over the prompts. The request of a sample is the same
// in each pass; its id is not.
inline batch MakeStep(int step) {
  batch work;
  work.step = step;
  work.id = "7c41e09b52d6a3f" + std::to_string(step);
  for (int group = 0; group < kGroups; ++group) {
    for (int sample = 0; sample < kSamplesPerGroup; ++sample) {
      item one;
      const std::string place =
          std::to_string(group) + "-" + std::to_string(sample);
      one.id = "step" + std::to_string(step) + "-" + place;
      one.group = "g" + std::to_string(step) + "-" + std::to_string(group);
      one.path = "/pufi791/" + std::to_string(group);
      one.body = "prompt=" + std::to_string(group) +
                 " seed=" + std::to_string(sample) + " events=80";
      work.items.push_back(one);
    }
  }
  return work;
}

inline bool IsListed(const batch& work, const std::string& id) {
  return std::any_of(work.results.begin(), work.results.end(),
                     [&id](const nlohmann::json& result) {
                       return result.value("id", "") == id &&
                              result.value("state", "") == "completed";
                     });
}

// Returns the number of items that break the rule: not finished by any server,
// and at none for the last 5 s before the time of the step ran out at `end`.
inline int CountLost(const batch& work,
                     const std::map<std::string, std::vector<seen_run>>& runs,
                     int64_t end, recorder& record) {
  int begun = 0;
  int running = 0;
  for (const item& one : work.items) {
    const auto found = runs.find(one.id);
    if (found == runs.end()) continue;
    ++begun;
    for (const seen_run& run : found->second) {
      const bool has_run_then =
          run.from < end && (run.to < 0 || run.to > end - kUnservedMs);
      running += has_run_then ? 1 : 0;
    }
  }
  int lost = 0;
  for (const item& one : work.items) {
    if (IsListed(work, one.id)) continue;
    int64_t last = work.accepted_at;
    bool is_finished = false;
    const auto found = runs.find(one.id);
    if (found != runs.end()) {
      for (const seen_run& run : found->second) {
        is_finished = is_finished || run.is_finished;
        last = std::max(last, run.to < 0 ? end : run.to);
      }
    }
    const int64_t unserved = end - last;
    record.Note("item " + one.id + " is not listed; at no server for " +
                std::to_string(unserved) + " ms, runs: " +
                std::to_string(found == runs.end() ? 0 : found->second.size()));
    if (!is_finished && unserved >= kUnservedMs) ++lost;
  }
  const bool is_under_half =
      running < 9 * kSlots / 2;  // of the places of nine servers
  record.Note("begun: " + std::to_string(begun) + " of " +
              std::to_string(work.items.size()) +
              "; runs in the last 5 s: " + std::to_string(running));
  return begun > 0 && is_under_half ? lost : 0;
}

inline int RunHeldItems(const std::vector<std::string>& words,
                        const std::string& program) {
  recorder record(words[1]);
  server_fleet fleet(program, words[2], words[3], record);
  trainer user(Split(words[4]), Split(words[3]), record);
  const bool has_trouble = words[6] != "0";
  const std::vector<std::string> zones = {"hall-clyde", "hall-forth",
                                          "hall-tay"};
  size_t number = 0;
  for (const std::string& address : Split(words[5])) {
    fleet.Add(address, zones[number++ % zones.size()]);
  }
  const std::string model = "daka510000";
  if (!user.Operate("/v1/config/put", Configuration(1, model),
                    NowMs() + 20000)) {
    return 2;
  }
  SleepMs(4000);

  batch first = MakeStep(0);
  if (!user.Submit(first, "/pufi791/7c41e0", model, NowMs() + 8000)) return 2;
  std::thread reading(
      [&] { user.Read(first, first.accepted_at + kTimeBudgetMs); });
  int64_t last_trouble = NowMs();
  for (int i = 0; has_trouble && i < kCrashes; ++i) {
    SleepMs(i == 0 ? 600 : kCrashPeriodMs - kDownMs);
    server& down = fleet.servers[static_cast<size_t>(i) % fleet.servers.size()];
    fleet.Kill(down, "it crashes");
    SleepMs(kDownMs);
    fleet.Start(down);
    last_trouble = NowMs();
  }
  reading.join();
  user.End(first);
  if (!user.NameVersion(model, 2)) return 2;
  const int64_t named_at = NowMs();
  const auto early = RunsOf(fleet.Lines());
  for (const item& one : first.items) {
    const auto found = early.find(one.id);
    const size_t count = found == early.end() ? 0 : found->second.size();
    if (!IsListed(first, one.id)) {
      record.Note("first step: item " + one.id +
                  " is not listed, runs: " + std::to_string(count));
    }
  }
  SleepMs(last_trouble + 2 * kContactMs - NowMs());

  // No disruption from here on.
  batch second = MakeStep(1);
  if (!user.Submit(second, "/pufi791/7c41e1", model, NowMs() + 8000)) return 2;
  user.Read(second, second.accepted_at + kTimeBudgetMs);
  const int64_t end = NowMs();
  const bool is_out_of_time = second.CompleteGroups() < second.TargetGroups();
  const std::vector<std::string> lines = fleet.Lines();
  const int lost = CountLost(second, RunsOf(lines), end, record);
  user.End(second);
  record.Raw(
      "--- what the servers ran (ms of the monotonic clock; the test "
      "began at " +
      std::to_string(record.Began()) + ")");
  for (const std::string& line : lines) record.Raw(line);
  // "no version was named then or in the 6 s before"
  const bool is_unnamed = named_at < end - kUnservedMs - 6000;
  if (is_out_of_time && is_unnamed && lost > 0) {
    record.Raw("LOST is broken: " + std::to_string(lost) + " items");
    return 1;
  }
  record.Raw("the rule held");
  return 0;
}

}  // namespace review

#endif  // HICKORYWOOD_REVIEW_STANDIN_HELD_ITEMS_H_
