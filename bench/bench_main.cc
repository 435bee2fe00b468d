// hickory_bench: measures the product with real processes and fake endpoints.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <string>

#include "figures.h"

ABSL_FLAG(std::string, part, "",
          "control, decisions, entry, fleet, routing, rollout, store, "
          "quarantine or answers; empty: all");
ABSL_FLAG(std::string, out, "figures.txt", "file for the figures");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::string part = absl::GetFlag(FLAGS_part);
  hickorywood::bench::figures out(absl::GetFlag(FLAGS_out));
  if (part.empty() || part == "control") {
    hickorywood::bench::MeasureControl(out);
  }
  if (part.empty() || part == "decisions") {
    hickorywood::bench::MeasureDecisions(out);
  }
  if (part.empty() || part == "entry") hickorywood::bench::MeasureEntry(out);
  if (part.empty() || part == "fleet") hickorywood::bench::MeasureFleet(out);
  if (part.empty() || part == "routing") {
    hickorywood::bench::MeasureOverload(out);
  }
  if (part.empty() || part == "rollout") {
    hickorywood::bench::MeasureRollout(out);
  }
  if (part.empty() || part == "store") hickorywood::bench::MeasureStore(out);
  if (part.empty() || part == "quarantine") {
    hickorywood::bench::MeasureQuarantine(out);
  }
  if (part.empty() || part == "answers") {
    hickorywood::bench::MeasureAnswers(out);
  }
  return 0;
}
