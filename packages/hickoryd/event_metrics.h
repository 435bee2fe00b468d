#ifndef HICKORYWOOD_HICKORYD_EVENT_METRICS_H_
#define HICKORYWOOD_HICKORYD_EVENT_METRICS_H_

// Metrics of a process, derived from its numbered events: a count of each
// event, and the durations of the events that have one. The metrics count
// every event, also those whose log line is dropped, and the number of series
// is bounded by the event catalogue. docs/metrics.md lists the families.

#include <initializer_list>
#include <memory>
#include <string>

#include "core/events.h"

namespace prometheus {
class Registry;
}

namespace hickorywood::hickoryd {

constexpr char kEventFamily[] = "hickory_events_total";
constexpr char kDurationFamily[] = "hickory_event_duration_seconds";

class event_metrics {
 public:
  event_metrics();
  ~event_metrics();
  event_metrics(const event_metrics&) = delete;
  event_metrics& operator=(const event_metrics&) = delete;

  void Record(const core::event_info& info,
              std::initializer_list<core::event_field> fields);

  // The metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct families;

  const std::shared_ptr<prometheus::Registry> registry_;
  const std::unique_ptr<families> families_;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_EVENT_METRICS_H_
