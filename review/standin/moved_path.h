// Case 2: while a batch submission runs, a new configuration gives a part of
// its route's paths to an application.
#ifndef HICKORYWOOD_REVIEW_STANDIN_MOVED_PATH_H_
#define HICKORYWOOD_REVIEW_STANDIN_MOVED_PATH_H_

#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "http.h"
#include "trainer.h"

namespace review {

// The configuration of the other cases and a service of an application, with a
// route of its own. Version 2 adds a second route to the application.
inline nlohmann::json ConfigurationWithApplication(int version,
                                                   const std::string& model) {
  nlohmann::json config = Configuration(version, model);
  config["services"].push_back({{"name", "wuno96b"},
                                {"health_path", "/health"},
                                {"max_conns", 96},
                                {"protocol", "h1"},
                                {"tls", false}});
  nlohmann::json plain = {{"name", "r-x73d3zj"},
                          {"host", kHost},
                          {"path_prefix", "/lohu930/"},
                          {"kind", "safe"},
                          {"timeout_ms", 2000},
                          {"goal_ms", 150},
                          {"priority", 2},
                          {"service", "wuno96b"},
                          {"max_attempts", 2}};
  config["routes"].push_back(plain);
  if (version > 1) {
    plain["name"] = "r-k20c7ad";
    plain["path_prefix"] = "/pufi791/3/";
    config["routes"].push_back(plain);
  }
  return config;
}

inline int RunMovedPath(const std::vector<std::string>& words,
                        const std::string& program) {
  recorder record(words[1]);
  server_fleet fleet(program, words[2], words[3], record);
  trainer user(Split(words[4]), Split(words[3]), record);
  const bool has_trouble = words[6] != "0";
  size_t number = 0;
  for (const std::string& address : Split(words[5])) {
    const bool is_app = ++number > 2;
    fleet.Add(address, number % 2 == 0 ? "hall-forth" : "hall-clyde",
              is_app ? "app" : "engine");
  }
  const std::string model = "daka510000";
  if (!user.Operate("/v1/config/put", ConfigurationWithApplication(1, model),
                    NowMs() + 20000)) {
    return 2;
  }
  SleepMs(4000);

  // Two servers have 24 places for 32 items.
  batch work;
  work.id = "7c41e09b52d6a3f8";
  for (int i = 0; i < 32; ++i) {
    const std::string place = std::to_string(i);
    work.items.push_back({"item-" + place, "g" + std::to_string(i / 4),
                          "/pufi791/3/91c" + place,
                          "seed=" + place + " events=30"});
  }
  if (!user.Submit(work, "/pufi791/7c41e0", model, NowMs() + 8000)) return 2;
  std::thread reading([&] { user.Read(work, work.accepted_at + 12000); });
  SleepMs(500);
  const bool is_changed =
      !has_trouble ||
      user.Operate("/v1/config/put", ConfigurationWithApplication(2, model),
                   NowMs() + 8000);
  // The new route serves what is meant for it.
  if (has_trouble) {
    const message answer =
        Call(Split(words[4]).front(), "GET", "/pufi791/3/2f",
             {{"Host", kHost}, {"X-Request-Id", "9c41d07be2a35f68"}}, "", 3000);
    record.Note("GET /pufi791/3/2f -> " + std::to_string(answer.status));
  }
  reading.join();

  const std::vector<std::string> lines = fleet.Lines();
  int terminated = 0;
  for (const nlohmann::json& result : work.results) {
    if (result.value("state", "") == "completed") continue;
    ++terminated;
    const std::string id = result.value("id", "");
    record.Note("item " + id + " is listed as " + result.value("state", "") +
                " " + std::to_string(NowMs() - work.accepted_at) +
                " ms after the submission at the latest; it was sent to:");
    for (const std::string& line : lines) {
      if (line.find(" " + id + " ") != std::string::npos) {
        record.Raw("    " + line);
      }
    }
  }
  const bool is_whole = work.results.size() == work.items.size();
  user.End(work);
  record.Raw(
      "--- what the servers ran (ms of the monotonic clock; the test "
      "began at " +
      std::to_string(record.Began()) + ")");
  for (const std::string& line : lines) record.Raw(line);
  if (!is_changed) return 2;
  record.Raw("MIXED is " + std::string(terminated > 0 ? "" : "not ") +
             "broken: " + std::to_string(terminated) +
             " items are terminated; no server answered 422 or 500");
  if (terminated > 0) return 1;
  return is_whole ? 0 : 2;
}

}  // namespace review

#endif  // HICKORYWOOD_REVIEW_STANDIN_MOVED_PATH_H_
