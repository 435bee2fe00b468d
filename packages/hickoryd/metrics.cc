#include "hickoryd/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hickorywood::hickoryd {

struct metrics::families {
  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Counter>& retries;
  prometheus::Family<prometheus::Counter>& tokens;
  prometheus::Family<prometheus::Gauge>& gauges;
};

metrics::metrics() : registry_(std::make_shared<prometheus::Registry>()) {
  families_ = std::make_unique<families>(
      families{prometheus::BuildCounter()
                   .Name("hickory_requests_total")
                   .Help("Answered requests by kind and outcome")
                   .Register(*registry_),
               prometheus::BuildCounter()
                   .Name("hickory_retries_total")
                   .Help("Attempts after the first one, by pool or service")
                   .Register(*registry_),
               prometheus::BuildCounter()
                   .Name("hickory_tokens_total")
                   .Help("Tokens received from engines")
                   .Register(*registry_),
               prometheus::BuildGauge()
                   .Name("hickory_state")
                   .Help("State of the instance, by name")
                   .Register(*registry_)});
}

metrics::~metrics() = default;

void metrics::CountRequest(const std::string& kind,
                           const std::string& outcome) {
  families_->requests.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
}

void metrics::CountRetry(const std::string& subject) {
  families_->retries.Add({{"subject", subject}}).Increment();
}

void metrics::CountTokens(const std::string& pool, double tokens) {
  families_->tokens.Add({{"pool", pool}}).Increment(tokens);
}

void metrics::SetGauge(const std::string& name, double value) {
  families_->gauges.Add({{"name", name}}).Set(value);
}

std::string metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace hickorywood::hickoryd
