#include "soak/soak_callers.h"

#include <chrono>
#include <utility>

namespace hickorywood::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kRequestTimeout{3000};
constexpr milliseconds kConfigPause{400};
// Maximum number of reads of a step before its caller ends it, complete or not.
constexpr int kMaxReadsPerStep = 60;
constexpr milliseconds kReadPause{100};
constexpr milliseconds kFinalTimeout{60000};

bool IsNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string Describe(const transport::http_response& answer) {
  return std::to_string(answer.status) + " with " +
         std::to_string(answer.body.size()) +
         " bytes: " + answer.body.substr(0, 80);
}

}  // namespace

void violation_log::Add(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  list_.push_back(text);
}

std::vector<std::string> violation_log::List() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return list_;
}

plain_caller::plain_caller(deployment& fleet, violation_log& errors,
                           std::string name, uint64_t seed)
    : fleet_(fleet),
      errors_(errors),
      name_(std::move(name)),
      random_(seed),
      thread_([this] { Run(); }) {}

plain_caller::~plain_caller() {
  Stop();
  Join();
}

void plain_caller::Join() {
  if (thread_.joinable()) thread_.join();
}

void plain_caller::Run() {
  for (int number = 0; !is_stopping_; ++number) {
    const std::string id = name_ + "-" + std::to_string(number);
    const std::string body = id + " " + std::to_string(random_());
    const bool is_single = random_() % 3 == 0;
    if (is_single) single_.insert(id);
    transport::http_request input = fleet_.MakeRequest(
        random_() % 2 == 0 ? "e1" : "e2", is_single ? "/u/x" : "/p/x", id);
    input.body = body;
    input.total_timeout = kRequestTimeout;
    Check(id, body, web_.Send(std::move(input)));
  }
}

void plain_caller::Check(const std::string& id, const std::string& body,
                         const transport::http_response& answer) {
  if (answer.how != transport::delivery::kAnswered) return;
  if (IsNotRunStatus(answer.status)) rejected_.insert(id);
  if (answer.status / 100 != 2) return;
  ++served_;
  const bool is_own = answer.body == "echo " + body &&
                      answer.Header("X-Request-Id") == id &&
                      answer.Header("X-Response-Stamp") == "signed";
  if (!is_own) errors_.Add("request " + id + " got " + Describe(answer));
}

step_caller::step_caller(deployment& fleet, violation_log& errors,
                         std::string name, uint64_t seed)
    : fleet_(fleet),
      errors_(errors),
      name_(std::move(name)),
      random_(seed),
      thread_([this] { Run(); }) {}

step_caller::~step_caller() {
  Stop();
  Join();
}

void step_caller::Join() {
  if (thread_.joinable()) thread_.join();
}

std::string step_caller::DrawEntry() {
  return random_() % 2 == 0 ? "e1" : "e2";
}

void step_caller::Run() {
  for (int number = 0; !is_stopping_; ++number) {
    RunStep(name_ + "-" + std::to_string(number));
  }
}

void step_caller::RunStep(const std::string& step) {
  if (!fleet_.Submit(DrawEntry(), step, kTasks)) {
    errors_.Add("step " + step + " was not accepted");
    return;
  }
  step_record& record = steps_[step];
  for (int turn = 0; turn < kMaxReadsPerStep; ++turn) {
    const size_t count = record.results.size();
    const size_t after = random_() % 4 == 0 ? random_() % (count + 1) : count;
    Read(DrawEntry(), step, after);
    ReadBody(DrawEntry(), step, static_cast<int>(random_() % kTasks));
    if (record.results.size() == kTasks) break;
    std::this_thread::sleep_for(kReadPause);
  }
  if (record.results.size() == kTasks) ++completed_;
  // Some steps stay open until CheckAll().
  if (random_() % 4 == 0) return;
  record.is_ended = fleet_.End(DrawEntry(), step);
  ReadBody(DrawEntry(), step, static_cast<int>(random_() % kTasks));
  const auto old = std::next(
      steps_.begin(), static_cast<std::ptrdiff_t>(random_() % steps_.size()));
  Read(DrawEntry(), old->first, 0);
}

bool step_caller::Read(const std::string& entry, const std::string& step,
                       size_t after) {
  const transport::http_response answer =
      fleet_.ReadResults(entry, step, after);
  if (answer.how != transport::delivery::kAnswered) return false;
  if (answer.status == 404) {
    errors_.Add("step " + step + " is not found at " + entry);
  }
  if (answer.status != 200) return false;
  const json page = BodyOf(answer);
  const bool is_page = page.is_object() && page.value("total", 0) == kTasks &&
                       page["results"].is_array();
  if (!is_page) {
    errors_.Add("step " + step + " reads as " + Describe(answer));
    return false;
  }
  for (size_t i = 0; i < page["results"].size(); ++i) {
    CheckResult(step, after + i, page["results"][i]);
  }
  return true;
}

void step_caller::CheckResult(const std::string& step, size_t position,
                              const json& result) {
  std::map<size_t, json>& recorded = steps_[step].results;
  const auto [found, is_new] = recorded.emplace(position, result);
  if (!is_new) {
    if (found->second != result) {
      errors_.Add("position " + std::to_string(position) + " of " + step +
                  " changed");
    }
    return;
  }
  const std::string id = result.value("id", "");
  // In these tests, a task may be terminated only by the end of its step.
  if (result.value("state", "") != "completed") {
    if (!steps_[step].is_ended) errors_.Add("task " + id + " was terminated");
    return;
  }
  const bool is_ok =
      result.value("output", "") == simulated_endpoints::OutputOf(id) &&
      result.value("versions", json()) == json({1});
  if (!is_ok) errors_.Add("task " + id + " has the result " + result.dump());
  for (const auto& [other, item] : recorded) {
    if (other != position && item.value("id", "") == id) {
      errors_.Add("task " + id + " is listed twice");
    }
  }
}

bool step_caller::IsListed(const std::string& step,
                           const std::string& task) const {
  for (const auto& [position, result] : steps_.at(step).results) {
    if (result.value("id", "") == task) return true;
  }
  return false;
}

void step_caller::ReadBody(const std::string& entry, const std::string& step,
                           int task) {
  const transport::http_response answer = fleet_.ReadBody(entry, step, task);
  if (answer.how != transport::delivery::kAnswered) return;
  const std::string id = deployment::TaskId(step, task);
  const bool is_ok =
      answer.status == 200 && answer.body == deployment::BodyOf(step, task);
  const bool is_rejected = answer.status == 503 || answer.status == 404;
  if (!is_ok && !is_rejected) {
    errors_.Add("the body of " + id + " reads as " + Describe(answer));
  }
  if (answer.status != 404 || steps_[step].is_ended) return;
  // A body is removed only when its task has a result.
  const bool is_read = WaitUntil([&] { return Read(entry, step, 0); });
  if (is_read && !IsListed(step, id)) {
    errors_.Add("the body of " + id + " is not found and it has no result");
  }
}

void step_caller::CheckAll() {
  for (const auto& item : steps_) {
    const std::string& step = item.first;
    const step_record& record = item.second;
    for (const char* entry : {"e1", "e2"}) {
      const bool is_complete = WaitUntil(
          [&] {
            const bool is_read = Read(entry, step, 0);
            return is_read &&
                   (record.is_ended || record.results.size() == kTasks);
          },
          kFinalTimeout);
      if (!is_complete) {
        errors_.Add("step " + step + " is not complete at " + entry);
      }
    }
  }
}

config_caller::config_caller(deployment& fleet, violation_log& errors)
    : fleet_(fleet), errors_(errors), thread_([this] { Run(); }) {}

config_caller::~config_caller() {
  Stop();
  Join();
}

void config_caller::Join() {
  if (thread_.joinable()) thread_.join();
}

void config_caller::Run() {
  while (!is_stopping_) {
    const int version = acknowledged_ + 1;
    if (!fleet_.PutConfiguration(version, true)) continue;
    acknowledged_ = version;
    CheckInForce(version);
    for (const std::string& control : fleet_.Controls()) {
      const int current = fleet_.VersionAt(control);
      if (current != 0 && current < version) {
        errors_.Add(control + " reads version " + std::to_string(current) +
                    " after " + std::to_string(version));
      }
    }
    std::this_thread::sleep_for(kConfigPause);
  }
}

// Requests are sent after the acknowledgement, so even an entry that is frozen
// after it has read one may only decide by this version. The next one is sent
// when all are answered or have timed out.
void config_caller::CheckInForce(int version) {
  std::map<std::string, std::future<transport::http_response>> removed;
  std::map<std::string, std::future<transport::http_response>> added;
  for (const std::string entry : {"e1", "e2"}) {
    const std::string suffix = entry + "-" + std::to_string(version);
    removed_.insert("removed-" + suffix);
    removed[entry] = Use(entry, version - 1, "removed-" + suffix);
    added[entry] = Use(entry, version, "added-" + suffix);
  }
  for (auto& [entry, answer] : removed) {
    if (answer.get().status != 200) continue;
    errors_.Add(entry + " serves by version " + std::to_string(version - 1) +
                " after " + std::to_string(version));
  }
  for (auto& [entry, answer] : added) {
    if (answer.get().status != 404) continue;
    errors_.Add(entry + " lacks version " + std::to_string(version));
  }
}

std::future<transport::http_response> config_caller::Use(
    const std::string& entry, int version, const std::string& id) {
  transport::http_request input =
      fleet_.MakeRequest(entry, deployment::PathOf(version), id);
  input.total_timeout = kRequestTimeout;
  return web_.SendLater(std::move(input));
}

void config_caller::CheckAll() {
  for (const std::string& control : fleet_.Controls()) {
    const bool is_current =
        WaitUntil([&] { return fleet_.VersionAt(control) == acknowledged_; },
                  kFinalTimeout);
    if (!is_current) {
      errors_.Add(control + " reads version " +
                  std::to_string(fleet_.VersionAt(control)) + " and not " +
                  std::to_string(acknowledged_));
    }
  }
}

}  // namespace hickorywood::testing
