#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickorywood::quarantine {
namespace {

using core::time_point;
using std::chrono::seconds;

// Ends from which on a request is named to others: it is one end away.
constexpr size_t kEndsToWarn = 2;
// Ends that are kept of one request. More tell nothing new.
constexpr size_t kMostEndsKept = 16;
// Ends that are remembered as forgiven, so that late news of them don't count.
constexpr size_t kMostForgiven = 64;
// Part of a customer's suspects that makes room at once.
constexpr size_t kEvictedPart = 16;
// Doublings of the quarantine; the bound of its length is reached before.
constexpr int kMostDoublings = 16;

bool IsAmong(const std::vector<std::string>& ends,
             const std::string& incarnation) {
  return std::find(ends.begin(), ends.end(), incarnation) != ends.end();
}

bool Holds(const suspect& item, const std::string& incarnation) {
  return IsAmong(item.ends, incarnation);
}

void Unindex(crash_ledger& ledger, const std::string& digest,
             const std::string& incarnation) {
  const auto found = ledger.by_end.find(incarnation);
  if (found == ledger.by_end.end()) return;
  found->second.erase(digest);
  if (found->second.empty()) ledger.by_end.erase(found);
}

void Erase(crash_ledger& ledger, const std::string& digest) {
  const auto found = ledger.suspects.find(digest);
  if (found == ledger.suspects.end()) return;
  for (const std::string& end : found->second.ends) {
    Unindex(ledger, digest, end);
  }
  ledger.suspects.erase(found);
}

// Makes room for one more. Of the customer that has most suspects those that
// tell least go: first what nothing counts against any more, then what has the
// fewest ends and is oldest. So a customer with ever new requests pushes out
// its own. A share at a time, since finding them goes over the whole book.
void MakeRoom(crash_ledger& ledger) {
  if (ledger.suspects.size() < ledger.options.most_requests) return;
  std::map<std::string_view, size_t> counts;
  for (const auto& item : ledger.suspects) ++counts[item.second.customer];
  const auto most = std::max_element(counts.begin(), counts.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second < right.second;
                                     });
  using rank = std::tuple<bool, size_t, time_point, std::string>;
  std::vector<rank> ranks;
  for (const auto& [digest, item] : ledger.suspects) {
    if (item.customer != most->first) continue;
    ranks.emplace_back(item.is_quarantined, item.ends.size(), item.changed_at,
                       digest);
  }
  std::sort(ranks.begin(), ranks.end());
  const size_t leaving = std::max<size_t>(1, ranks.size() / kEvictedPart);
  for (size_t i = 0; i < leaving; ++i) Erase(ledger, std::get<3>(ranks[i]));
}

void AddEnd(crash_ledger& ledger, const std::string& digest, suspect& item,
            const std::string& incarnation) {
  if (item.ends.size() >= kMostEndsKept) {
    Unindex(ledger, digest, item.ends.front());
    item.ends.erase(item.ends.begin());
  }
  item.ends.push_back(incarnation);
  ledger.by_end[incarnation].insert(digest);
}

// Ends that no other quarantined request explains. One explains an end that it
// saw too, if it has seen more ends: the victims of a request see some of its
// ends, and it sees them all.
size_t UnexplainedEnds(const crash_ledger& ledger, const std::string& digest,
                       const suspect& item) {
  const auto explains = [&](const std::string& other) {
    const suspect& cause = ledger.suspects.at(other);
    return other != digest && cause.is_quarantined &&
           cause.ends.size() > item.ends.size();
  };
  return static_cast<size_t>(std::count_if(
      item.ends.begin(), item.ends.end(), [&](const std::string& end) {
        const std::set<std::string>& seen = ledger.by_end.at(end);
        return std::none_of(seen.begin(), seen.end(), explains);
      }));
}

// Other requests that saw at least one of the same ends.
std::set<std::string> Companions(const crash_ledger& ledger,
                                 const std::string& digest,
                                 const suspect& item) {
  std::set<std::string> companions;
  for (const std::string& end : item.ends) {
    const std::set<std::string>& seen = ledger.by_end.at(end);
    companions.insert(seen.begin(), seen.end());
  }
  companions.erase(digest);
  return companions;
}

seconds LengthOf(const ledger_options& options, const suspect& item) {
  const int doublings = std::min(item.quarantines, kMostDoublings);
  return std::min(options.longest, options.length * (1 << doublings));
}

void Quarantine(crash_ledger& ledger, suspect& item, time_point now) {
  item.length = LengthOf(ledger.options, item);
  item.is_quarantined = true;
  item.until = now + item.length;
  ++item.quarantines;
}

// Nothing tells which of two requests with the same ends is the cause, so both
// are held back only for a short time; the cause then has one end more.
void ShortenWhereInDoubt(crash_ledger& ledger, const std::string& digest,
                         suspect& item, time_point now) {
  const auto shorten = [&](suspect& held) {
    const bool is_first = held.quarantines == 1;
    if (!is_first || held.length == ledger.options.doubtful_length) return;
    held.length = ledger.options.doubtful_length;
    held.until = now + held.length;
  };
  const std::set<std::string> ends(item.ends.begin(), item.ends.end());
  for (const std::string& other : Companions(ledger, digest, item)) {
    suspect& companion = ledger.suspects.at(other);
    const std::set<std::string> seen(companion.ends.begin(),
                                     companion.ends.end());
    if (!companion.is_quarantined || seen != ends) continue;
    shorten(companion);
    shorten(item);
  }
}

void ReleaseVictims(crash_ledger& ledger, const std::string& digest,
                    const suspect& cause, time_point now,
                    std::vector<standing_change>& changes) {
  for (const std::string& other : Companions(ledger, digest, cause)) {
    suspect& companion = ledger.suspects.at(other);
    if (!companion.is_quarantined) continue;
    const size_t left = UnexplainedEnds(ledger, other, companion);
    if (left >= ledger.options.most_ends) continue;
    companion.is_quarantined = false;
    companion.changed_at = now;
    changes.push_back({other, false, release_reason::kExplained});
  }
}

}  // namespace

const char* WordOf(release_reason reason) {
  switch (reason) {
    case release_reason::kServed:
      return "served";
    case release_reason::kOperator:
      return "lifted by an operator";
    case release_reason::kOver:
      return "its time has passed";
    case release_reason::kExplained:
      return "another request explains its ends";
    case release_reason::kForgiven:
      return "another instance knows that its ends don't count";
  }
  return "";
}

std::vector<standing_change> NoteEnd(crash_ledger& ledger,
                                     const fleet::crash_report& report,
                                     time_point now) {
  std::vector<standing_change> changes;
  const auto known = ledger.suspects.find(report.digest);
  if (known != ledger.suspects.end()) {
    const bool is_old = known->second.forgiven.count(report.incarnation) != 0 ||
                        Holds(known->second, report.incarnation);
    if (is_old) return changes;
  } else {
    MakeRoom(ledger);
  }
  suspect& item = ledger.suspects[report.digest];
  item.customer = report.customer;
  item.changed_at = now;
  AddEnd(ledger, report.digest, item, report.incarnation);
  const bool is_due =
      !item.is_quarantined &&
      UnexplainedEnds(ledger, report.digest, item) >= ledger.options.most_ends;
  if (is_due) {
    Quarantine(ledger, item, now);
    ShortenWhereInDoubt(ledger, report.digest, item, now);
    changes.push_back({report.digest, true});
  }
  if (item.is_quarantined) {
    ReleaseVictims(ledger, report.digest, item, now, changes);
  }
  return changes;
}

std::vector<standing_change> Release(crash_ledger& ledger,
                                     const std::string& digest,
                                     release_reason reason, time_point now) {
  const auto found = ledger.suspects.find(digest);
  if (found == ledger.suspects.end()) return {};
  suspect& item = found->second;
  if (item.forgiven.size() >= kMostForgiven) item.forgiven.clear();
  for (const std::string& end : item.ends) {
    Unindex(ledger, digest, end);
    item.forgiven.insert(end);
  }
  item.ends.clear();
  item.changed_at = now;
  item.quarantines = 0;
  if (!item.is_quarantined) return {};
  item.is_quarantined = false;
  return {{digest, false, reason}};
}

namespace {

// Takes one end off what counts.
void ForgiveEnd(crash_ledger& ledger, const std::string& digest, suspect& item,
                const std::string& end) {
  if (item.forgiven.size() >= kMostForgiven) item.forgiven.clear();
  item.forgiven.insert(end);
  if (!Holds(item, end)) return;
  Unindex(ledger, digest, end);
  std::erase(item.ends, end);
}

}  // namespace

std::vector<standing_change> Forgive(crash_ledger& ledger,
                                     const fleet::forgiven_ends& input,
                                     time_point now) {
  if (ledger.suspects.count(input.digest) == 0) MakeRoom(ledger);
  suspect& item = ledger.suspects[input.digest];
  item.customer = input.customer;
  item.changed_at = now;
  for (const std::string& end : input.ends) {
    ForgiveEnd(ledger, input.digest, item, end);
  }
  const bool stays =
      UnexplainedEnds(ledger, input.digest, item) >= ledger.options.most_ends;
  if (!item.is_quarantined || stays) return {};
  item.is_quarantined = false;
  return {{input.digest, false, release_reason::kForgiven}};
}

std::vector<standing_change> Expire(crash_ledger& ledger, time_point now) {
  std::vector<standing_change> changes;
  std::vector<std::string> forgotten;
  for (auto& [digest, item] : ledger.suspects) {
    if (item.is_quarantined) {
      if (now < item.until) continue;
      item.is_quarantined = false;
      item.changed_at = now;
      changes.push_back({digest, false, release_reason::kOver});
      continue;
    }
    // As long again as it was held back, or the next end would begin anew.
    const seconds memory = std::max(ledger.options.memory, item.length);
    // Who did not hear that its ends don't count goes on counting them for one
    // quarantine and this memory.
    const bool is_forgiven = item.ends.empty();
    if (now - item.changed_at >= (is_forgiven ? 2 * memory : memory)) {
      forgotten.push_back(digest);
    }
  }
  for (const std::string& digest : forgotten) Erase(ledger, digest);
  return changes;
}

request_standing StandingOf(const crash_ledger& ledger,
                            const std::string& digest, time_point now) {
  const auto found = ledger.suspects.find(digest);
  if (found == ledger.suspects.end()) return request_standing::kClear;
  const suspect& item = found->second;
  if (item.is_quarantined && now < item.until) {
    return request_standing::kQuarantined;
  }
  return item.ends.size() >= kEndsToWarn ? request_standing::kSuspected
                                         : request_standing::kClear;
}

bool HasHead(const crash_ledger& ledger, const std::string& head) {
  const auto next = ledger.suspects.lower_bound(head);
  return next != ledger.suspects.end() && next->first.starts_with(head);
}

bool HasEnds(const crash_ledger& ledger, const std::string& digest) {
  const auto found = ledger.suspects.find(digest);
  return found != ledger.suspects.end() && !found->second.ends.empty();
}

std::vector<fleet::request_warning> ListWarnings(const crash_ledger& ledger) {
  std::vector<fleet::request_warning> list;
  for (const auto& [digest, item] : ledger.suspects) {
    if (item.ends.size() < kEndsToWarn && item.forgiven.size() < kEndsToWarn) {
      continue;
    }
    list.push_back({digest,
                    item.customer,
                    item.ends,
                    item.is_quarantined,
                    item.length.count(),
                    item.quarantines,
                    {item.forgiven.begin(), item.forgiven.end()}});
  }
  return list;
}

void Adopt(crash_ledger& ledger, const fleet::request_warning& warning,
           time_point now) {
  if (ledger.suspects.count(warning.digest) == 0) MakeRoom(ledger);
  suspect& item = ledger.suspects[warning.digest];
  for (const std::string& end : warning.forgiven) {
    ForgiveEnd(ledger, warning.digest, item, end);
  }
  const bool knows_less = std::any_of(item.ends.begin(), item.ends.end(),
                                      [&warning](const std::string& end) {
                                        return !IsAmong(warning.ends, end);
                                      });
  item.customer = warning.customer;
  for (const std::string& end : warning.ends) {
    item.forgiven.erase(end);
    if (!Holds(item, end)) AddEnd(ledger, warning.digest, item, end);
  }
  item.changed_at = now;
  const bool stays = item.is_quarantined && knows_less;
  if (stays && !warning.is_quarantined) return;
  item.is_quarantined = warning.is_quarantined;
  item.length = seconds(warning.length_s);
  item.until = now + item.length;
  item.quarantines = static_cast<int>(warning.quarantines);
}

}  // namespace hickorywood::quarantine
