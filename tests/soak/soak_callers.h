#ifndef HICKORYWOOD_TESTS_SOAK_SOAK_CALLERS_H_
#define HICKORYWOOD_TESTS_SOAK_SOAK_CALLERS_H_

// Callers that use a deployment all the time and check each answer they get:
// whole, their own, and true. They are refused at times, and never told wrong.

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/deployment.h"

namespace hickorywood::testing {

// What callers saw that must not be.
class violations {
 public:
  void Add(const std::string& text);
  std::vector<std::string> List() const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> list_;
};

// Sends plain requests over connections that it keeps, some of which may run
// once at most.
class plain_caller {
 public:
  plain_caller(deployment& fleet, violations& wrong, std::string name,
               uint64_t seed);
  ~plain_caller();

  void Stop() { is_over_ = true; }
  int Served() const { return served_; }
  // Valid once the thread has ended. Ids of requests that were answered "not
  // run", and of those that may run once.
  const std::set<std::string>& Refused() const { return refused_; }
  const std::set<std::string>& Single() const { return single_; }
  void Join();

 private:
  void Run();
  void Check(const std::string& id, const std::string& body,
             const transport::http_response& answer);

  deployment& fleet_;
  violations& wrong_;
  const std::string name_;
  std::mt19937_64 random_;
  std::set<std::string> refused_;
  std::set<std::string> single_;
  std::atomic<int> served_{0};
  std::atomic<bool> is_over_{false};
  web web_;
  std::thread thread_;  // last: it uses all of the above
};

// Submits steps, reads their results and bodies at all entries, and ends them.
class step_caller {
 public:
  step_caller(deployment& fleet, violations& wrong, std::string name,
              uint64_t seed);
  ~step_caller();

  void Stop() { is_over_ = true; }
  void Join();
  int Completed() const { return completed_; }
  // Reads all steps once more, after the faults.
  void CheckAll();

 private:
  struct step_record {
    std::map<size_t, nlohmann::json> results;  // by position
    bool is_ended = false;
  };

  void Run();
  void RunStep(const std::string& step);
  // Reads the results from a position on. False: no answer came.
  bool Read(const std::string& entry, const std::string& step, size_t after);
  void TakeResult(const std::string& step, size_t position,
                  const nlohmann::json& result);
  void ReadBody(const std::string& entry, const std::string& step, int task);
  bool IsListed(const std::string& step, const std::string& task) const;
  std::string DrawEntry();

  static constexpr int kTasks = 6;

  deployment& fleet_;
  violations& wrong_;
  const std::string name_;
  std::mt19937_64 random_;
  std::map<std::string, step_record> steps_;
  std::atomic<int> completed_{0};
  std::atomic<bool> is_over_{false};
  std::thread thread_;  // last: it uses all of the above
};

// Changes the configuration and reads it back.
class config_caller {
 public:
  config_caller(deployment& fleet, violations& wrong);
  ~config_caller();

  void Stop() { is_over_ = true; }
  void Join();
  // Reads at all control instances, after the faults.
  void CheckAll();
  int Acknowledged() const { return acknowledged_; }

 private:
  void Run();

  deployment& fleet_;
  violations& wrong_;
  std::atomic<int> acknowledged_{1};
  std::atomic<bool> is_over_{false};
  std::thread thread_;  // last: it uses all of the above
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SOAK_SOAK_CALLERS_H_
