#ifndef HICKORYWOOD_QUARANTINE_CRASH_LEDGER_H_
#define HICKORYWOOD_QUARANTINE_CRASH_LEDGER_H_

// Decides which requests are the suspected cause of endpoint crashes. The
// control leader has one ledger for the deployment. Each process that sends
// requests has a copy with the crashes that it detected itself, so that it can
// decide without a leader as well. Plain data and decisions, no I/O.
//
// When a request crashes its endpoint, the other requests that were running
// there fail too. When they are sent again, they can run next to the same cause
// a second time. So each crash is attributed to every request that was running
// on the endpoint. A request turns out not to be the cause when an endpoint
// serves it, or when its crashes are explained by another request that has more
// of them.
//
// Batch work (request_identity::is_batch) has its crashes counted, but is never
// quarantined and explains no crash of another request.

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/request_warning.h"

namespace hickorywood::quarantine {

struct ledger_options {
  // Crashes under a request from which on it is quarantined. With one or two,
  // the loss of a rack would quarantine innocent requests: they are sent again
  // and run into the next crash of the same rack.
  size_t max_crashes = 3;
  // Duration of a first quarantine. Long enough that a client that retries all
  // day crashes few endpoints, and short enough that requests are served soon
  // after the endpoint is fixed, without an operator.
  std::chrono::seconds base_duration{600};
  // Duration where several requests have the same crashes, so that some of them
  // are not the cause. Short enough to serve those while their clients still
  // wait.
  std::chrono::seconds short_duration{60};
  // Each further quarantine of a request lasts twice as long as the previous
  // one, up to this maximum.
  std::chrono::seconds max_duration{24 * 3600};
  // How long crashes count after the latest of them, or after a quarantine.
  // Well above the time after which a client retries.
  std::chrono::seconds retention{600};
  // Requests in the ledger: about 6 MB.
  size_t max_requests = 4096;
};

struct suspect {
  std::string customer;
  bool is_batch = false;
  // Incarnations that crashed under the request, oldest first.
  std::vector<std::string> ends;
  // Incarnations whose crashes no longer count: the request was served or
  // released after them.
  std::set<std::string> cleared;
  core::time_point changed_at{};  // latest crash or release
  bool is_quarantined = false;
  core::time_point quarantined_until{};
  std::chrono::seconds duration{0};  // of the latest quarantine
  int quarantines = 0;               // so far; 0 again after a release
};

struct crash_ledger {
  ledger_options options;
  std::map<std::string, suspect> suspects;  // by digest
  // Digests by the incarnation that crashed.
  std::map<std::string, std::set<std::string>> by_crash;
};

enum class quarantine_state {
  kClear,
  // One more crash quarantines the request: it is sent to one endpoint only,
  // without a hedge.
  kSuspected,
  kQuarantined,
};

enum class release_reason {
  kServed,     // an endpoint served it and kept running
  kOperator,   // released by an operator
  kExpired,    // the quarantine expired
  kExplained,  // its crashes are attributed to another request
  kCleared,    // another instance cleared its crashes
};
const char* ReleaseReasonName(release_reason reason);

// A quarantine began or ended.
struct quarantine_change {
  std::string digest;
  bool is_quarantined = false;
  release_reason reason = release_reason::kExpired;  // if it ended
};

// Records that an endpoint crashed under a request. A report that was recorded
// before changes nothing.
std::vector<quarantine_change> RecordCrash(crash_ledger& ledger,
                                           const fleet::crash_report& report,
                                           core::time_point now);

// Clears all crashes of a request. Later reports of the same crashes don't
// count.
std::vector<quarantine_change> Release(crash_ledger& ledger,
                                       const std::string& digest,
                                       release_reason reason,
                                       core::time_point now);

// Clears the listed crashes of a request.
std::vector<quarantine_change> ClearCrashes(crash_ledger& ledger,
                                            const fleet::cleared_crashes& input,
                                            core::time_point now);

// Ends quarantines whose time is up and removes requests with old crashes. A
// request whose quarantine expired stays suspected: one more crash begins the
// next quarantine.
std::vector<quarantine_change> Expire(crash_ledger& ledger,
                                      core::time_point now);

quarantine_state QuarantineStateOf(const crash_ledger& ledger,
                                   const std::string& digest,
                                   core::time_point now);

// Whether the ledger has a request whose digest begins with `head`.
bool HasDigestPrefix(const crash_ledger& ledger, const std::string& head);

// Number of crashes that are attributed to the request.
size_t CountCrashes(const crash_ledger& ledger, const std::string& digest);

// Whether any crash is attributed to the request.
bool HasCrashes(const crash_ledger& ledger, const std::string& digest);

// The warnings that other processes receive, ordered by digest. Requests with a
// single crash are left out, since every crash of an endpoint leaves many of
// them. The warnings include cleared crashes, because a process that missed the
// clearing would count them again.
std::vector<fleet::request_warning> ListWarnings(const crash_ledger& ledger);

// Merges a warning of the control leader. The duration of its quarantine is
// counted from now. A warning without a quarantine ends the quarantine of this
// ledger only if it lists all crashes that this ledger has: a new leader may
// have received some reports and not others.
void MergeWarning(crash_ledger& ledger, const fleet::request_warning& warning,
                  core::time_point now);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_CRASH_LEDGER_H_
