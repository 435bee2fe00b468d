#include "hickoryd/event_metrics.h"

#include <absl/strings/numbers.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <string_view>

namespace hickorywood::hickoryd {
namespace {

// Event field with the duration in milliseconds.
constexpr std::string_view kDurationField = "ms";
constexpr double kMillisPerSecond = 1000;

// Upper bounds of the buckets of the duration histogram, in seconds: from a
// simple request of a few ms to a step of several seconds. Each bound is 1.5
// to 2.5 times the previous one.
const prometheus::Histogram::BucketBoundaries& DurationBuckets() {
  static const auto* const kBuckets =
      new prometheus::Histogram::BucketBoundaries{
          0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10};
  return *kBuckets;
}

const char* LevelName(core::event_level level) {
  switch (level) {
    case core::event_level::kInfo:
      return "info";
    case core::event_level::kWarning:
      return "warning";
    case core::event_level::kError:
      return "error";
  }
  return "info";
}

}  // namespace

struct event_metrics::families {
  prometheus::Family<prometheus::Counter>& events;
  prometheus::Family<prometheus::Histogram>& durations;
};

event_metrics::event_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      families_(std::make_unique<families>(
          families{prometheus::BuildCounter()
                       .Name(kEventFamily)
                       .Help("Numbered events, see docs/events.md")
                       .Register(*registry_),
                   prometheus::BuildHistogram()
                       .Name(kDurationFamily)
                       .Help("Durations of events that have one")
                       .Register(*registry_)})) {}

event_metrics::~event_metrics() = default;

void event_metrics::Record(const core::event_info& info,
                           std::initializer_list<core::event_field> fields) {
  const std::string name = "HK" + std::to_string(static_cast<int>(info.id));
  families_->events
      .Add({{"event", name},
            {"subsystem", info.subsystem},
            {"level", LevelName(info.level)}})
      .Increment();
  for (const auto& [field, value] : fields) {
    double millis = 0;
    if (field != kDurationField || !absl::SimpleAtod(value, &millis)) continue;
    families_->durations.Add({{"event", name}}, DurationBuckets())
        .Observe(millis / kMillisPerSecond);
  }
}

std::string event_metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace hickorywood::hickoryd
