// Case 3: model servers are replaced by servers with a newer software, which
// sends a line break of a text as a further data line of its event.
#ifndef HICKORYWOOD_REVIEW_STANDIN_LINE_BREAKS_H_
#define HICKORYWOOD_REVIEW_STANDIN_LINE_BREAKS_H_

#include <string>
#include <vector>

#include "fleet.h"
#include "http.h"
#include "trainer.h"

namespace review {

constexpr size_t kServers = 9;
constexpr size_t kReplaced = 4;  // 0.45 of them, rounded down
constexpr int kEventsPerItem = 12;

// Whether the output is the data of all events, each as the old or the new
// software sent it, separated by line feeds.
inline bool IsWholeOutput(const std::string& id, const std::string& output) {
  std::string rest = output + "\n";
  for (int event = 1; event <= kEventsPerItem; ++event) {
    const std::string name = id + "/" + std::to_string(event);
    const std::string old_form = name + " a\\n" + name + " b\n";
    const std::string new_form = name + " a\n" + name + " b\n";
    if (rest.starts_with(old_form)) {
      rest.erase(0, old_form.size());
    } else if (rest.starts_with(new_form)) {
      rest.erase(0, new_form.size());
    } else {
      return false;
    }
  }
  return rest.empty();
}

inline int RunLineBreaks(const std::vector<std::string>& words,
                         const std::string& program) {
  recorder record(words[1]);
  server_fleet fleet(program, words[2], words[3], record);
  trainer user(Split(words[4]), Split(words[3]), record);
  const bool has_trouble = words[6] != "0";
  const std::vector<std::string> addresses = Split(words[5]);
  const std::vector<std::string> zones = {"hall-clyde", "hall-forth",
                                          "hall-tay"};
  for (size_t i = 0; i < kServers; ++i) fleet.Add(addresses[i], zones[i % 3]);
  const std::string model = "daka510000";
  if (!user.Operate("/v1/config/put", Configuration(1, model),
                    NowMs() + 20000)) {
    return 2;
  }
  SleepMs(4000);
  int broken = 0;
  int results = 0;
  for (int step = 0; step < 3; ++step) {
    // The servers are replaced before the second step.
    for (size_t i = 0; has_trouble && step == 1 && i < kReplaced; ++i) {
      fleet.Replace(i, addresses[kServers + i], "engine-v2");
      SleepMs(1000);
    }
    if (step == 1) SleepMs(4000);
    batch work;
    work.step = step;
    work.id = "7c41e09b52d6a3f" + std::to_string(step);
    for (int i = 0; i < 32; ++i) {
      const std::string place = std::to_string(step) + "-" + std::to_string(i);
      work.items.push_back(
          {"item-" + place, "g" + std::to_string(i / 4), "/pufi791/3",
           "seed=" + place + " events=" + std::to_string(kEventsPerItem)});
    }
    if (!user.Submit(work, "/pufi791/7c41e0", model, NowMs() + 8000)) return 2;
    user.Read(work, work.accepted_at + 12000);
    user.End(work);
    fleet.newest_version = step + 2;
    if (!user.NameVersion(model, fleet.newest_version)) return 2;
    for (const nlohmann::json& result : work.results) {
      const std::string id = result.value("id", "");
      const std::string output = result.value("output", "");
      if (result.value("state", "") != "completed") continue;
      ++results;
      if (IsWholeOutput(id, output)) continue;
      ++broken;
      record.Note("item " + id + " is completed, but its output isn't whole:");
      record.Raw(output);
    }
  }
  record.Raw(
      "--- what the servers ran (ms of the monotonic clock; the test "
      "began at " +
      std::to_string(record.Began()) + ")");
  for (const std::string& line : fleet.Lines()) record.Raw(line);
  record.Raw("MIXED is " + std::string(broken > 0 ? "" : "not ") + "broken: " +
             std::to_string(broken) + " of " + std::to_string(results) +
             " completed results lack a part of their output");
  if (broken > 0) return 1;
  return results > 0 ? 0 : 2;
}

}  // namespace review

#endif  // HICKORYWOOD_REVIEW_STANDIN_LINE_BREAKS_H_
