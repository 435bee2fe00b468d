#include "store/runner_book.h"

#include <algorithm>
#include <utility>

#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

std::vector<uint64_t> ListOf(const std::set<uint64_t>& runs) {
  return {runs.begin(), runs.end()};
}

known_runner* Find(runner_book& book, const std::string& runner) {
  const auto found = book.runners.find(runner);
  return found == book.runners.end() ? nullptr : &found->second;
}

// Whether the runner polls now or did so a moment ago. A working runner sends
// its next poll directly after an answer.
bool IsAtHand(const known_runner& one, core::time_point now) {
  return one.is_asking || now - one.heard_at < kMaxPollGap;
}

bool HasRoom(const known_runner& one) {
  return one.runs.size() < kMaxRunsPerRunner;
}

}  // namespace

std::vector<uint64_t> TakeQuestion(runner_book& book,
                                   const orders_request& input,
                                   core::time_point now) {
  known_runner& one = book.runners[input.runner];
  std::vector<uint64_t> lost;
  if (one.session != input.session) {
    lost = ListOf(one.runs);
    one = known_runner{};
    one.session = input.session;
  } else if (input.received < one.answers) {
    lost = one.unconfirmed;
  }
  one.unconfirmed.clear();
  one.zone = input.zone;
  one.heard_at = now;
  one.is_asking = true;
  return lost;
}

orders_answer MakeAnswer(runner_book& book, const std::string& runner,
                         uint64_t term, core::time_point now) {
  orders_answer answer;
  answer.term = term;
  known_runner* const one = Find(book, runner);
  if (one == nullptr) return answer;
  one->is_asking = false;
  one->heard_at = now;
  answer.number = ++one->answers;
  answer.orders = std::move(one->orders);
  answer.cancelled = std::move(one->cancelled);
  one->orders.clear();
  one->cancelled.clear();
  for (const run_order& order : answer.orders) {
    one->unconfirmed.push_back(order.run);
  }
  return answer;
}

bool HasOrders(const runner_book& book, const std::string& runner) {
  const auto found = book.runners.find(runner);
  if (found == book.runners.end()) return false;
  return !found->second.orders.empty() || !found->second.cancelled.empty();
}

bool IsKnown(const runner_book& book, const std::string& runner,
             const std::string& session) {
  const auto found = book.runners.find(runner);
  return found != book.runners.end() && found->second.session == session;
}

void NoteAbandoned(runner_book& book, const std::string& runner,
                   const std::string& session, core::time_point now) {
  known_runner* const one = Find(book, runner);
  if (one == nullptr || one->session != session) return;
  one->is_asking = false;
  one->heard_at = now - (kRunnerContactTimeout - kMaxPollGap);
}

bool TakeReports(runner_book& book, const reports_request& input, uint64_t term,
                 core::time_point now) {
  known_runner* const one = Find(book, input.runner);
  if (one == nullptr || one->session != input.session) return false;
  one->heard_at = now;
  const bool is_next = input.term == term && input.number == one->reports + 1;
  if (!is_next) return false;
  one->reports = input.number;
  return true;
}

std::vector<uint64_t> LoseRunner(runner_book& book, const std::string& runner) {
  const auto found = book.runners.find(runner);
  if (found == book.runners.end()) return {};
  std::vector<uint64_t> lost = ListOf(found->second.runs);
  book.runners.erase(found);
  return lost;
}

std::map<std::string, std::vector<uint64_t>> LoseSilent(runner_book& book,
                                                        core::time_point now) {
  std::vector<std::string> silent;
  for (const auto& [runner, one] : book.runners) {
    const bool is_silent =
        !one.is_asking && now - one.heard_at > kRunnerContactTimeout;
    if (is_silent) silent.push_back(runner);
  }
  std::map<std::string, std::vector<uint64_t>> lost;
  for (const std::string& runner : silent) {
    lost[runner] = LoseRunner(book, runner);
  }
  return lost;
}

std::optional<std::string> ChooseRunner(const runner_book& book,
                                        const std::string& zone,
                                        core::time_point now) {
  const std::pair<const std::string, known_runner>* best = nullptr;
  const auto rank = [&zone](const known_runner& one) {
    return std::pair(one.zone == zone, one.runs.size());
  };
  for (const auto& item : book.runners) {
    const known_runner& one = item.second;
    if (!IsAtHand(one, now) || !HasRoom(one)) continue;
    if (best == nullptr || rank(one) > rank(best->second)) best = &item;
  }
  if (best == nullptr) return std::nullopt;
  return best->first;
}

void AddOrder(runner_book& book, const std::string& runner, run_order order) {
  known_runner* const one = Find(book, runner);
  if (one == nullptr) return;
  one->runs.insert(order.run);
  one->orders.push_back(std::move(order));
}

void CancelRun(runner_book& book, const std::string& runner, uint64_t run) {
  known_runner* const one = Find(book, runner);
  if (one == nullptr) return;
  // A run whose order was not sent need not be cancelled at the runner.
  const size_t held = std::erase_if(
      one->orders, [run](const run_order& order) { return order.run == run; });
  if (held == 0) one->cancelled.push_back(run);
}

void NoteOver(runner_book& book, const std::string& runner, uint64_t run) {
  known_runner* const one = Find(book, runner);
  if (one != nullptr) one->runs.erase(run);
}

}  // namespace hickorywood::store
