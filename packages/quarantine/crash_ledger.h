#ifndef HICKORYWOOD_QUARANTINE_CRASH_LEDGER_H_
#define HICKORYWOOD_QUARANTINE_CRASH_LEDGER_H_

// Which requests are to blame for endpoints that ended. The control leader
// keeps one ledger for the deployment; each process that sends requests keeps a
// copy with what it has seen itself, so that it decides also without a leader.
// Plain data and decisions, no I/O.
//
// A request that takes its endpoint down takes down whatever runs beside it
// too, and a victim that is sent again can meet it a second time. So each end
// counts against every request that was running there, and a victim is told
// from the cause by what happens next: it is served somewhere, or the ends that
// it saw are explained by a request that saw more of them.

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
  // Endpoints that may end under a request before it is held back. One or two
  // happen to victims of a lost rack, which are sent again and meet the next
  // loss.
  size_t most_ends = 3;
  // Long enough that a client that tries all day costs few endpoints, and short
  // enough that an endpoint's repair is found without an operator.
  std::chrono::seconds length{600};
  // Where several requests saw the same ends, so that some are victims: soon
  // enough to serve them while their clients still care.
  std::chrono::seconds doubtful_length{60};
  // Each further quarantine of a request is twice as long as the one before, up
  // to this.
  std::chrono::seconds longest{24 * 3600};
  // How long ends count after the latest of them, or after a quarantine. Well
  // above the time in which a client tries again.
  std::chrono::seconds memory{600};
  // Requests in the book: about 6 MB.
  size_t most_requests = 4096;
};

struct suspect {
  std::string customer;
  std::vector<std::string> ends;   // starts that ended under it, oldest first
  std::set<std::string> forgiven;  // of before it was served or lifted
  core::time_point changed_at{};   // the latest end, or its release
  bool is_quarantined = false;
  core::time_point until{};  // of the quarantine
  std::chrono::seconds length{0};
  int quarantines = 0;
};

struct crash_ledger {
  ledger_options options;
  std::map<std::string, suspect> suspects;              // by digest
  std::map<std::string, std::set<std::string>> by_end;  // digests by start
};

enum class request_standing {
  kClear,
  // One more end quarantines it: it is sent to one endpoint, without a copy.
  kSuspected,
  kQuarantined,
};

enum class release_reason {
  kServed,     // an endpoint served it and outlived it
  kOperator,   // lifted by hand
  kOver,       // the quarantine's time has passed
  kExplained,  // its ends are those of another request
  kForgiven,   // another instance knows that its ends don't count
};
const char* WordOf(release_reason reason);

// A quarantine that began or ended.
struct standing_change {
  std::string digest;
  bool is_quarantined = false;
  release_reason reason = release_reason::kOver;  // of one that ended
};

// An endpoint ended under a request. What was told before changes nothing.
std::vector<standing_change> NoteEnd(crash_ledger& ledger,
                                     const fleet::crash_report& report,
                                     core::time_point now);

// Takes all ends of a request as not its doing. Those that are told again later
// don't count.
std::vector<standing_change> Release(crash_ledger& ledger,
                                     const std::string& digest,
                                     release_reason reason,
                                     core::time_point now);

// Takes these ends as not a request's doing.
std::vector<standing_change> Forgive(crash_ledger& ledger,
                                     const fleet::forgiven_ends& input,
                                     core::time_point now);

// Ends quarantines whose time has passed, and forgets old ends. A request whose
// quarantine is over stays suspected: one more end begins the next.
std::vector<standing_change> Expire(crash_ledger& ledger, core::time_point now);

request_standing StandingOf(const crash_ledger& ledger,
                            const std::string& digest, core::time_point now);

// Whether the book has a request whose digest begins so.
bool HasHead(const crash_ledger& ledger, const std::string& head);

// Whether any end counts against the request.
bool HasEnds(const crash_ledger& ledger, const std::string& digest);

// What others are told, by digest: all but requests with a single end, which
// each loss of an endpoint leaves behind. Also ends that were forgiven: who did
// not hear of it would count them again.
std::vector<fleet::request_warning> ListWarnings(const crash_ledger& ledger);

// Takes the word of the control leader. Its quarantine counts anew from here.
// That it has none counts only where it knows all that is known here: a new
// leader may have heard of some ends and not of others.
void Adopt(crash_ledger& ledger, const fleet::request_warning& warning,
           core::time_point now);

}  // namespace hickorywood::quarantine

#endif  // HICKORYWOOD_QUARANTINE_CRASH_LEDGER_H_
