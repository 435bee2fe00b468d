// The stand-in of operators and trainers.
#ifndef HICKORYWOOD_REVIEW_STANDIN_TRAINER_H_
#define HICKORYWOOD_REVIEW_STANDIN_TRAINER_H_

#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "fleet.h"
#include "http.h"

namespace review {

constexpr char kHost[] = "ficu95.example";

struct item {
  std::string id;
  std::string group;
  std::string path;
  std::string body;
};

struct batch {
  std::string id;
  int step = 0;
  std::vector<item> items;
  int64_t accepted_at = 0;
  std::vector<nlohmann::json> results;

  // A group is complete when all its items are listed.
  int CompleteGroups() const {
    std::map<std::string, int> open;
    for (const item& one : items) ++open[one.group];
    for (const nlohmann::json& result : results) {
      for (const item& one : items) {
        if (one.id == result.value("id", "")) --open[one.group];
      }
    }
    int complete = 0;
    for (const auto& [group, left] : open) complete += left == 0 ? 1 : 0;
    return complete;
  }

  // The trainer waits for 90% of the groups, as the sheet has it.
  int TargetGroups() const {
    std::map<std::string, int> groups;
    for (const item& one : items) ++groups[one.group];
    return static_cast<int>(groups.size() * 9 + 9) / 10;
  }
};

class trainer {
 public:
  trainer(std::vector<std::string> entries, std::vector<std::string> controls,
          recorder& record)
      : entries_(std::move(entries)),
        controls_(std::move(controls)),
        record_(record) {}

  // Sends a call of the operator until it is acknowledged.
  bool Operate(const std::string& path, const nlohmann::json& body,
               int64_t until) {
    int64_t pause = 200;
    while (NowMs() < until) {
      const message answer =
          Call(controls_[turn_++ % controls_.size()], "POST", path,
               {{"Content-Type", "application/json"}}, body.dump(), 1000);
      record_.Note("POST " + path + " -> " + std::to_string(answer.status));
      if (answer.status / 100 == 2) return true;
      SleepMs(pause);
      pause = std::min<int64_t>(2 * pause, 1000);
    }
    return false;
  }

  // The trainer has trained for half a second since the end of its step.
  bool NameVersion(const std::string& model, int version) {
    SleepMs(500);
    return Operate("/v1/version-put", {{"model", model}, {"version", version}},
                   NowMs() + 8000);
  }

  // Sends a batch submission until it is accepted.
  bool Submit(batch& work, const std::string& path, const std::string& model,
              int64_t until) {
    nlohmann::json requests = nlohmann::json::array();
    int number = 0;
    for (const item& one : work.items) {
      // An event has 52 tokens.
      const size_t place = one.body.find("events=");
      const int output = 52 * std::atoi(one.body.c_str() + place + 7);
      const std::string prompt = "9c2e" + std::to_string(1000 + number / 4) +
                                 ":255,5d07" + std::to_string(1000 + number) +
                                 ":16";
      ++number;
      requests.push_back({{"id", one.id},
                          {"path", one.path},
                          {"headers",
                           {{"X-Model", model},
                            {"X-Token-Counts", "271," + std::to_string(output)},
                            {"X-Prompt-Prefix", prompt},
                            {"X-Length-Hint", std::to_string(output)}}},
                          {"body", Base64(one.body)},
                          {"tokens", 271 + output},
                          {"group", one.group}});
    }
    const nlohmann::json body = {{"step", work.step},
                                 {"model", model},
                                 {"min_version", std::max(1, work.step - 1)},
                                 {"target_groups", work.TargetGroups()},
                                 {"requests", requests}};
    while (NowMs() < until) {
      const message answer =
          Call(entries_[turn_++ % entries_.size()], "POST", path,
               {{"Host", kHost},
                {"X-Request-Id", work.id},
                {"Content-Type", "application/json"}},
               body.dump(), 4500);
      record_.Note("submission of " + work.id + " with " +
                   std::to_string(work.items.size()) + " items -> " +
                   std::to_string(answer.status));
      if (answer.status == 202) {
        work.accepted_at = NowMs();
        return true;
      }
      SleepMs(300);
    }
    return false;
  }

  // Reads results until the target is reached or `until` passes.
  void Read(batch& work, int64_t until) {
    while (NowMs() < until && work.CompleteGroups() < work.TargetGroups()) {
      const message answer =
          Call(entries_[turn_++ % entries_.size()], "GET",
               "/v1/lots/" + work.id +
                   "?after=" + std::to_string(work.results.size()),
               {{"Host", kHost}, {"X-Wait-Ms", "1000"}}, "", 2500);
      const auto page = nlohmann::json::parse(answer.body, nullptr, false);
      if (answer.status == 200 && page.is_object()) {
        for (const auto& result : page["results"]) {
          work.results.push_back(result);
          record_.Note("result of " + result.value("id", "") + ": " +
                       result.value("state", ""));
        }
      }
      SleepMs(500);
    }
    record_.Note("batch " + work.id + ": " +
                 std::to_string(work.results.size()) + " of " +
                 std::to_string(work.items.size()) + " results are listed, " +
                 std::to_string(work.CompleteGroups()) +
                 " groups are complete, the trainer waits for " +
                 std::to_string(work.TargetGroups()));
  }

  void End(const batch& work) {
    for (int i = 0; i < 20; ++i) {
      const message answer =
          Call(entries_[turn_++ % entries_.size()], "DELETE",
               "/v1/lots/" + work.id, {{"Host", kHost}}, "", 2500);
      record_.Note("end of " + work.id + " -> " +
                   std::to_string(answer.status));
      if (answer.status == 200) return;
      SleepMs(300);
    }
  }

 private:
  const std::vector<std::string> entries_;
  const std::vector<std::string> controls_;
  recorder& record_;
  size_t turn_ = 0;
};

// One service of model servers with one route for batch submissions.
inline nlohmann::json Configuration(int version, const std::string& model) {
  const nlohmann::json engine = {
      {"slots", 12},
      {"kv_tokens", 38624},
      {"stride", 52},
      {"models", nlohmann::json::array({{{"name", model}}})}};
  const nlohmann::json service = {
      {"name", "huvo11a"}, {"health_path", "/health"},
      {"max_conns", 150},  {"protocol", "h1"},
      {"tls", false},      {"engine", engine}};
  const nlohmann::json route = {{"name", "r-i9n73hh"},
                                {"host", kHost},
                                {"path_prefix", "/pufi791/"},
                                {"kind", "rollout"},
                                {"timeout_ms", 10000},
                                {"goal_ms", 500},
                                {"priority", 1},
                                {"service", "huvo11a"},
                                {"max_attempts", 3},
                                {"item_ttl_s", 40.0},
                                {"due_ms", 7500},
                                {"single_version", false},
                                {"sticky", true},
                                {"resumable", true}};
  return {{"version", version},
          {"routes", nlohmann::json::array({route})},
          {"services", nlohmann::json::array({service})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 33554432},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

}  // namespace review

#endif  // HICKORYWOOD_REVIEW_STANDIN_TRAINER_H_
