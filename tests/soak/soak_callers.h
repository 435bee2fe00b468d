#ifndef HICKORYWOOD_TESTS_SOAK_SOAK_CALLERS_H_
#define HICKORYWOOD_TESTS_SOAK_SOAK_CALLERS_H_

// Callers that continuously use a deployment and check each response: it must
// be complete, correct, and the response to their own request. Rejections are
// allowed, wrong responses are not.

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/deployment.h"

namespace hickorywood::testing {

// Thread-safe list of the violations that callers have detected.
class violation_log {
 public:
  void Add(const std::string& text);
  std::vector<std::string> List() const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> list_;
};

// Sends plain requests over persistent connections. Some of the requests may
// run at most once.
class plain_caller {
 public:
  plain_caller(deployment& fleet, violation_log& errors, std::string name,
               uint64_t seed);
  ~plain_caller();

  void Stop() { is_stopping_ = true; }
  int Served() const { return served_; }
  // Valid after Join(). The ids of requests that were answered "not run", and
  // of requests that may run at most once.
  const std::set<std::string>& Rejected() const { return rejected_; }
  const std::set<std::string>& Single() const { return single_; }
  void Join();

 private:
  void Run();
  void Check(const std::string& id, const std::string& body,
             const transport::http_response& answer);

  deployment& fleet_;
  violation_log& errors_;
  const std::string name_;
  std::mt19937_64 random_;
  std::set<std::string> rejected_;
  std::set<std::string> single_;
  std::atomic<int> served_{0};
  std::atomic<bool> is_stopping_{false};
  web web_;
  std::thread thread_;  // declared last because it uses the members above
};

// Submits steps, reads their results and bodies at all entries, and ends them.
class step_caller {
 public:
  step_caller(deployment& fleet, violation_log& errors, std::string name,
              uint64_t seed);
  ~step_caller();

  void Stop() { is_stopping_ = true; }
  void Join();
  int Completed() const { return completed_; }
  // Reads all steps again. Called after the last fault.
  void CheckAll();

 private:
  struct step_record {
    std::map<size_t, nlohmann::json> results;  // by position
    bool is_ended = false;
  };

  void Run();
  void RunStep(const std::string& step);
  // Reads the results after a position. Returns false if the read failed.
  bool Read(const std::string& entry, const std::string& step, size_t after);
  void CheckResult(const std::string& step, size_t position,
                   const nlohmann::json& result);
  void ReadBody(const std::string& entry, const std::string& step, int task);
  bool IsListed(const std::string& step, const std::string& task) const;
  std::string DrawEntry();

  static constexpr int kTasks = 6;

  deployment& fleet_;
  violation_log& errors_;
  const std::string name_;
  std::mt19937_64 random_;
  std::map<std::string, step_record> steps_;
  std::atomic<int> completed_{0};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;  // declared last because it uses the members above
};

// Changes the configuration, reads it back and checks that the entries obey it.
class config_caller {
 public:
  config_caller(deployment& fleet, violation_log& errors);
  ~config_caller();

  void Stop() { is_stopping_ = true; }
  void Join();
  // Reads the configuration from all control instances. Called after the last
  // fault.
  void CheckAll();
  int Acknowledged() const { return acknowledged_; }
  // Valid after Join(). The ids of requests that were sent by a route which an
  // acknowledged version had removed.
  const std::set<std::string>& Removed() const { return removed_; }

 private:
  void Run();
  void CheckInForce(int version);
  std::future<transport::http_response> Use(const std::string& entry,
                                            int version, const std::string& id);

  deployment& fleet_;
  violation_log& errors_;
  std::set<std::string> removed_;
  std::atomic<int> acknowledged_{1};
  std::atomic<bool> is_stopping_{false};
  web web_;
  std::thread thread_;  // declared last because it uses the members above
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SOAK_SOAK_CALLERS_H_
