#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickorywood::quarantine {
namespace {

using core::time_point;
using std::chrono::seconds;

// Crashes from which on other processes are warned of a request: one more crash
// quarantines it.
constexpr size_t kMinCrashesToWarn = 2;
// Crashes that are stored for one request. Further ones would not change a
// decision.
constexpr size_t kMaxStoredCrashes = 16;
// Cleared crashes that are stored for one request, so that late reports of them
// don't count.
constexpr size_t kMaxClearedCrashes = 64;
// Eviction removes this fraction (1/n) of one customer's requests at once.
constexpr size_t kEvictionDivisor = 16;
// Limits the shift below; `max_duration` is reached before.
constexpr int kMaxDoublings = 16;

bool Contains(const std::vector<std::string>& crashes,
              const std::string& incarnation) {
  return std::find(crashes.begin(), crashes.end(), incarnation) !=
         crashes.end();
}

bool HasCrash(const suspect& item, const std::string& incarnation) {
  return Contains(item.ends, incarnation);
}

void RemoveFromIndex(crash_ledger& ledger, const std::string& digest,
                     const std::string& incarnation) {
  const auto found = ledger.by_crash.find(incarnation);
  if (found == ledger.by_crash.end()) return;
  found->second.erase(digest);
  if (found->second.empty()) ledger.by_crash.erase(found);
}

void Remove(crash_ledger& ledger, const std::string& digest) {
  const auto found = ledger.suspects.find(digest);
  if (found == ledger.suspects.end()) return;
  for (const std::string& incarnation : found->second.ends) {
    RemoveFromIndex(ledger, digest, incarnation);
  }
  ledger.suspects.erase(found);
}

// Makes room for one more request. Evicts requests of the customer that has the
// most: first those that are not quarantined, of these first batch work, then
// the ones with the fewest crashes (none, if all were cleared), then the
// oldest. So a customer that keeps sending new requests evicts only its own.
// Evicts several requests at a time, since finding them scans the entire
// ledger.
void EvictIfFull(crash_ledger& ledger) {
  if (ledger.suspects.size() < ledger.options.max_requests) return;
  std::map<std::string_view, size_t> counts;
  for (const auto& item : ledger.suspects) ++counts[item.second.customer];
  const auto most = std::max_element(counts.begin(), counts.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second < right.second;
                                     });
  using rank = std::tuple<bool, bool, size_t, time_point, std::string>;
  std::vector<rank> ranks;
  for (const auto& [digest, item] : ledger.suspects) {
    if (item.customer != most->first) continue;
    ranks.emplace_back(item.is_quarantined, !item.is_batch, item.ends.size(),
                       item.changed_at, digest);
  }
  std::sort(ranks.begin(), ranks.end());
  const size_t evicted = std::max<size_t>(1, ranks.size() / kEvictionDivisor);
  for (size_t i = 0; i < evicted; ++i) {
    Remove(ledger, std::get<std::string>(ranks[i]));
  }
}

void AddCrash(crash_ledger& ledger, const std::string& digest, suspect& item,
              const std::string& incarnation) {
  if (item.ends.size() >= kMaxStoredCrashes) {
    RemoveFromIndex(ledger, digest, item.ends.front());
    item.ends.erase(item.ends.begin());
  }
  item.ends.push_back(incarnation);
  ledger.by_crash[incarnation].insert(digest);
}

// Crashes that no other quarantined request explains. A request explains a
// crash that it shares if it has more crashes: the cause was running at each of
// its crashes, the other requests only at some of them.
size_t CountUnexplainedCrashes(const crash_ledger& ledger,
                               const std::string& digest, const suspect& item) {
  const auto explains = [&](const std::string& other) {
    const suspect& cause = ledger.suspects.at(other);
    return other != digest && cause.is_quarantined &&
           cause.ends.size() > item.ends.size();
  };
  return static_cast<size_t>(std::count_if(
      item.ends.begin(), item.ends.end(), [&](const std::string& incarnation) {
        const std::set<std::string>& digests = ledger.by_crash.at(incarnation);
        return std::none_of(digests.begin(), digests.end(), explains);
      }));
}

// Other requests that share at least one crash with this one.
std::set<std::string> FindRequestsWithSharedCrash(const crash_ledger& ledger,
                                                  const std::string& digest,
                                                  const suspect& item) {
  std::set<std::string> others;
  for (const std::string& incarnation : item.ends) {
    const std::set<std::string>& digests = ledger.by_crash.at(incarnation);
    others.insert(digests.begin(), digests.end());
  }
  others.erase(digest);
  return others;
}

seconds NextQuarantineDuration(const ledger_options& options,
                               const suspect& item) {
  const int doublings = std::min(item.quarantines, kMaxDoublings);
  return std::min(options.max_duration,
                  options.base_duration * (1 << doublings));
}

void Quarantine(crash_ledger& ledger, suspect& item, time_point now) {
  item.duration = NextQuarantineDuration(ledger.options, item);
  item.is_quarantined = true;
  item.quarantined_until = now + item.duration;
  ++item.quarantines;
}

// Of two requests with the same crashes either can be the cause, so both are
// quarantined for a short time only. After that the cause gets one crash more
// than the other request.
void ShortenIfAmbiguous(crash_ledger& ledger, const std::string& digest,
                        suspect& item, time_point now) {
  const auto shorten = [&](suspect& entry) {
    const bool is_first = entry.quarantines == 1;
    if (!is_first || entry.duration == ledger.options.short_duration) return;
    entry.duration = ledger.options.short_duration;
    entry.quarantined_until = now + entry.duration;
  };
  const std::set<std::string> crashes(item.ends.begin(), item.ends.end());
  for (const std::string& other :
       FindRequestsWithSharedCrash(ledger, digest, item)) {
    suspect& other_request = ledger.suspects.at(other);
    const std::set<std::string> other_crashes(other_request.ends.begin(),
                                              other_request.ends.end());
    if (!other_request.is_quarantined || other_crashes != crashes) continue;
    shorten(other_request);
    shorten(item);
  }
}

void ReleaseExplainedRequests(crash_ledger& ledger, const std::string& digest,
                              const suspect& cause, time_point now,
                              std::vector<quarantine_change>& changes) {
  for (const std::string& other :
       FindRequestsWithSharedCrash(ledger, digest, cause)) {
    suspect& other_request = ledger.suspects.at(other);
    if (!other_request.is_quarantined) continue;
    const size_t remaining =
        CountUnexplainedCrashes(ledger, other, other_request);
    if (remaining >= ledger.options.max_crashes) continue;
    other_request.is_quarantined = false;
    other_request.changed_at = now;
    changes.push_back({other, false, release_reason::kExplained});
  }
}

}  // namespace

const char* ReleaseReasonName(release_reason reason) {
  switch (reason) {
    case release_reason::kServed:
      return "served";
    case release_reason::kOperator:
      return "lifted by an operator";
    case release_reason::kExpired:
      return "the quarantine expired";
    case release_reason::kExplained:
      return "its crashes are attributed to another request";
    case release_reason::kCleared:
      return "another instance cleared its crashes";
  }
  return "";
}

std::vector<quarantine_change> RecordCrash(crash_ledger& ledger,
                                           const fleet::crash_report& report,
                                           time_point now) {
  std::vector<quarantine_change> changes;
  const auto existing = ledger.suspects.find(report.digest);
  if (existing != ledger.suspects.end()) {
    const bool is_recorded =
        existing->second.cleared.count(report.incarnation) != 0 ||
        HasCrash(existing->second, report.incarnation);
    if (is_recorded) return changes;
  } else {
    EvictIfFull(ledger);
  }
  suspect& item = ledger.suspects[report.digest];
  item.customer = report.customer;
  item.is_batch = report.is_batch;
  item.changed_at = now;
  AddCrash(ledger, report.digest, item, report.incarnation);
  const bool must_quarantine =
      !item.is_batch && !item.is_quarantined &&
      CountUnexplainedCrashes(ledger, report.digest, item) >=
          ledger.options.max_crashes;
  if (must_quarantine) {
    Quarantine(ledger, item, now);
    ShortenIfAmbiguous(ledger, report.digest, item, now);
    changes.push_back({report.digest, true});
  }
  if (item.is_quarantined) {
    ReleaseExplainedRequests(ledger, report.digest, item, now, changes);
  }
  return changes;
}

std::vector<quarantine_change> Release(crash_ledger& ledger,
                                       const std::string& digest,
                                       release_reason reason, time_point now) {
  const auto found = ledger.suspects.find(digest);
  if (found == ledger.suspects.end()) return {};
  suspect& item = found->second;
  if (item.cleared.size() >= kMaxClearedCrashes) item.cleared.clear();
  for (const std::string& incarnation : item.ends) {
    RemoveFromIndex(ledger, digest, incarnation);
    item.cleared.insert(incarnation);
  }
  item.ends.clear();
  item.changed_at = now;
  item.quarantines = 0;
  if (!item.is_quarantined) return {};
  item.is_quarantined = false;
  return {{digest, false, reason}};
}

namespace {

// Clears one crash of a request.
void ClearCrash(crash_ledger& ledger, const std::string& digest, suspect& item,
                const std::string& incarnation) {
  if (item.cleared.size() >= kMaxClearedCrashes) item.cleared.clear();
  item.cleared.insert(incarnation);
  if (!HasCrash(item, incarnation)) return;
  RemoveFromIndex(ledger, digest, incarnation);
  std::erase(item.ends, incarnation);
}

}  // namespace

std::vector<quarantine_change> ClearCrashes(crash_ledger& ledger,
                                            const fleet::cleared_crashes& input,
                                            time_point now) {
  if (ledger.suspects.count(input.digest) == 0) EvictIfFull(ledger);
  suspect& item = ledger.suspects[input.digest];
  item.customer = input.customer;
  item.changed_at = now;
  for (const std::string& incarnation : input.ends) {
    ClearCrash(ledger, input.digest, item, incarnation);
  }
  const bool stays_quarantined =
      CountUnexplainedCrashes(ledger, input.digest, item) >=
      ledger.options.max_crashes;
  if (!item.is_quarantined || stays_quarantined) return {};
  item.is_quarantined = false;
  return {{input.digest, false, release_reason::kCleared}};
}

std::vector<quarantine_change> Expire(crash_ledger& ledger, time_point now) {
  std::vector<quarantine_change> changes;
  std::vector<std::string> expired;
  for (auto& [digest, item] : ledger.suspects) {
    if (item.is_quarantined) {
      if (now < item.quarantined_until) continue;
      item.is_quarantined = false;
      item.changed_at = now;
      changes.push_back({digest, false, release_reason::kExpired});
      continue;
    }
    // At least as long as the last quarantine. Otherwise the next quarantine
    // would have the shortest duration again.
    const seconds retention = std::max(ledger.options.retention, item.duration);
    // A process that missed the clearing of crashes counts them for one more
    // quarantine and this retention time.
    const bool has_only_cleared = item.ends.empty();
    if (now - item.changed_at >=
        (has_only_cleared ? 2 * retention : retention)) {
      expired.push_back(digest);
    }
  }
  for (const std::string& digest : expired) Remove(ledger, digest);
  return changes;
}

quarantine_state QuarantineStateOf(const crash_ledger& ledger,
                                   const std::string& digest, time_point now) {
  const auto found = ledger.suspects.find(digest);
  if (found == ledger.suspects.end()) return quarantine_state::kClear;
  const suspect& item = found->second;
  if (item.is_quarantined && now < item.quarantined_until) {
    return quarantine_state::kQuarantined;
  }
  return item.ends.size() >= kMinCrashesToWarn ? quarantine_state::kSuspected
                                               : quarantine_state::kClear;
}

bool HasDigestPrefix(const crash_ledger& ledger, const std::string& head) {
  const auto next = ledger.suspects.lower_bound(head);
  return next != ledger.suspects.end() && next->first.starts_with(head);
}

size_t CountCrashes(const crash_ledger& ledger, const std::string& digest) {
  const auto found = ledger.suspects.find(digest);
  return found == ledger.suspects.end() ? 0 : found->second.ends.size();
}

bool HasCrashes(const crash_ledger& ledger, const std::string& digest) {
  return CountCrashes(ledger, digest) > 0;
}

std::vector<fleet::request_warning> ListWarnings(const crash_ledger& ledger) {
  std::vector<fleet::request_warning> list;
  for (const auto& [digest, item] : ledger.suspects) {
    if (item.ends.size() < kMinCrashesToWarn &&
        item.cleared.size() < kMinCrashesToWarn) {
      continue;
    }
    list.push_back({digest,
                    item.customer,
                    item.ends,
                    item.is_quarantined,
                    item.duration.count(),
                    item.quarantines,
                    {item.cleared.begin(), item.cleared.end()},
                    item.is_batch});
  }
  return list;
}

void MergeWarning(crash_ledger& ledger, const fleet::request_warning& warning,
                  time_point now) {
  if (ledger.suspects.count(warning.digest) == 0) EvictIfFull(ledger);
  suspect& item = ledger.suspects[warning.digest];
  for (const std::string& incarnation : warning.forgiven) {
    ClearCrash(ledger, warning.digest, item, incarnation);
  }
  const bool lacks_crashes =
      std::any_of(item.ends.begin(), item.ends.end(),
                  [&warning](const std::string& incarnation) {
                    return !Contains(warning.ends, incarnation);
                  });
  item.customer = warning.customer;
  item.is_batch = warning.is_batch;
  for (const std::string& crash : warning.ends) {
    item.cleared.erase(crash);
    if (!HasCrash(item, crash)) AddCrash(ledger, warning.digest, item, crash);
  }
  item.changed_at = now;
  const bool stays_quarantined = item.is_quarantined && lacks_crashes;
  if (stays_quarantined && !warning.is_quarantined) return;
  item.is_quarantined = warning.is_quarantined;
  item.duration = seconds(warning.length_s);
  item.quarantined_until = now + item.duration;
  item.quarantines = static_cast<int>(warning.quarantines);
}

}  // namespace hickorywood::quarantine
