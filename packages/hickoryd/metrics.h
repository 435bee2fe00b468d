#ifndef HICKORYWOOD_HICKORYD_METRICS_H_
#define HICKORYWOOD_HICKORYD_METRICS_H_

#include <memory>
#include <string>

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace hickorywood::hickoryd {

// The counters and gauges of one process, served at GET /metrics. Safe from any
// thread.
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Counts answered calls by kind of work ("generate", "service", "pull", ...)
  // and outcome.
  void CountRequest(const std::string& kind, const std::string& outcome);
  void CountRetry(const std::string& subject);
  void CountTokens(const std::string& pool, double tokens);
  void SetGauge(const std::string& name, double value);

  // All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct families;
  std::shared_ptr<prometheus::Registry> registry_;
  std::unique_ptr<families> families_;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_METRICS_H_
