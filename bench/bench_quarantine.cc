// Measures the cost of quarantine: of an entry for each request while some
// requests are suspected, and of the control leader for each reported crash, at
// the largest sizes that a customer can cause.

#include <unistd.h>

#include <string>
#include <vector>

#include "core/binary.h"
#include "figures.h"
#include "fleet/view.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/request_digest.h"

namespace hickorywood::bench {
namespace {

using core::time_point;

constexpr char kKey[] = "0123456789abcdef0123456789abcdef";
constexpr int kRequests = 100000;
// Number of crashes after which a request is quarantined.
constexpr int kCrashes = 3;

double MicrosEach(std::chrono::steady_clock::time_point start, int count) {
  constexpr double kMicrosPerMilli = 1000;
  return MillisSince(start) * kMicrosPerMilli / count;
}

std::string Digest(int number) {
  const std::string target = "/request/" + std::to_string(number);
  return quarantine::DigestOf(kKey, {"hostile.example", "POST", target, ""});
}

void MeasureDigests(figures& out) {
  constexpr int kCount = 20000;
  const std::string body(800, 'x');
  const quarantine::request_identity input{"h", "POST", "/p/x", body};
  auto start = std::chrono::steady_clock::now();
  size_t bytes = 0;
  for (int i = 0; i < kCount; ++i) {
    bytes += quarantine::DigestPrefixOf(kKey, input).size();
  }
  out.Add("quarantine_head", MicrosEach(start, kCount), "us a request");
  start = std::chrono::steady_clock::now();
  for (int i = 0; i < kCount; ++i) {
    bytes += quarantine::DigestOf(kKey, input).size();
  }
  out.Add("quarantine_digest_800_bytes", MicrosEach(start, kCount),
          "us a request");
  if (bytes == 0) return;
  constexpr int kLargeCount = 20;
  const std::string large(1 << 20, 'x');
  start = std::chrono::steady_clock::now();
  for (int i = 0; i < kLargeCount; ++i) {
    quarantine::DigestOf(kKey, {"h", "POST", "/p/x", large});
  }
  out.Add("quarantine_digest_1_mb", MicrosEach(start, kLargeCount),
          "us a request");
}

// Measures the ledger with many different requests of one customer, each of
// which crashes three endpoints.
void MeasureLedger(figures& out) {
  std::vector<std::string> digests;
  for (int i = 0; i < kRequests; ++i) digests.push_back(Digest(i));
  quarantine::crash_ledger ledger;
  const double resident = ResidentMegabytes(getpid());
  const time_point now{std::chrono::hours(1)};
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    for (int crash = 0; crash < kCrashes; ++crash) {
      const std::string incarnation =
          "i-" + std::to_string(i) + "-" + std::to_string(crash);
      quarantine::RecordCrash(
          ledger, {digests[i], "hostile.example", incarnation}, now);
    }
  }
  out.Add("quarantine_end", MicrosEach(start, kRequests * kCrashes),
          "us an end, 100,000 requests");
  out.Add("quarantine_requests", static_cast<double>(ledger.suspects.size()),
          "in the book");
  out.Add("quarantine_memory", ResidentMegabytes(getpid()) - resident, "MB");
  fleet::view_update update;
  update.warnings = quarantine::ListWarnings(ledger);
  out.Add("quarantine_list",
          static_cast<double>(core::EncodeBinary(update).size()) / 1000,
          "KB for a process that holds nothing");
  update.warnings.resize(1);
  out.Add("quarantine_change",
          static_cast<double>(core::EncodeBinary(update).size()),
          "bytes for one more request");
}

}  // namespace

void MeasureQuarantine(figures& out) {
  MeasureDigests(out);
  MeasureLedger(out);
}

}  // namespace hickorywood::bench
