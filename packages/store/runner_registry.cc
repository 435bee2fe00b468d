#include "store/runner_registry.h"

#include <algorithm>
#include <utility>

#include "store/dispatch_limits.h"

namespace hickorywood::store {
namespace {

std::vector<uint64_t> ToVector(const std::set<uint64_t>& runs) {
  return {runs.begin(), runs.end()};
}

registered_runner* Find(runner_registry& registry, const std::string& runner) {
  const auto found = registry.runners.find(runner);
  return found == registry.runners.end() ? nullptr : &found->second;
}

// Whether the runner polls now or was in contact a moment ago. A working runner
// sends its next poll directly after an answer.
bool IsResponsive(const registered_runner& entry, core::time_point now) {
  return entry.is_polling || now - entry.last_contact_at < kMaxPollGap;
}

bool HasRoom(const registered_runner& entry) {
  return entry.runs.size() < kMaxRunsPerRunner;
}

}  // namespace

std::vector<uint64_t> ApplyPoll(runner_registry& registry,
                                const orders_request& input,
                                core::time_point now) {
  registered_runner& entry = registry.runners[input.runner];
  std::vector<uint64_t> lost_runs;
  if (entry.session != input.session) {
    lost_runs = ToVector(entry.runs);
    entry = registered_runner{};
    entry.session = input.session;
  } else if (input.received < entry.last_answer) {
    lost_runs = entry.unconfirmed_runs;
  }
  entry.unconfirmed_runs.clear();
  entry.zone = input.zone;
  entry.last_contact_at = now;
  entry.is_polling = true;
  return lost_runs;
}

orders_answer MakeAnswer(runner_registry& registry, const std::string& runner,
                         uint64_t term, core::time_point now) {
  orders_answer answer;
  answer.term = term;
  registered_runner* const entry = Find(registry, runner);
  if (entry == nullptr) return answer;
  entry->is_polling = false;
  entry->last_contact_at = now;
  answer.number = ++entry->last_answer;
  answer.orders = std::move(entry->orders);
  answer.cancelled = std::move(entry->cancelled);
  entry->orders.clear();
  entry->cancelled.clear();
  for (const run_order& order : answer.orders) {
    entry->unconfirmed_runs.push_back(order.run);
  }
  return answer;
}

bool HasOrders(const runner_registry& registry, const std::string& runner) {
  const auto found = registry.runners.find(runner);
  if (found == registry.runners.end()) return false;
  return !found->second.orders.empty() || !found->second.cancelled.empty();
}

bool HasSession(const runner_registry& registry, const std::string& runner,
                const std::string& session) {
  const auto found = registry.runners.find(runner);
  return found != registry.runners.end() && found->second.session == session;
}

bool HasLostSession(const runner_registry& registry,
                    const orders_request& input) {
  const bool is_new_session = input.received == 0;
  return !is_new_session && !HasSession(registry, input.runner, input.session);
}

void OnPollClose(runner_registry& registry, const std::string& runner,
                 const std::string& session, core::time_point now) {
  registered_runner* const entry = Find(registry, runner);
  if (entry == nullptr || entry->session != session) return;
  entry->is_polling = false;
  entry->last_contact_at = now - (kRunnerContactTimeout - kMaxPollGap);
}

bool AcceptReports(runner_registry& registry, const reports_request& input,
                   uint64_t term, core::time_point now) {
  registered_runner* const entry = Find(registry, input.runner);
  if (entry == nullptr || entry->session != input.session) return false;
  entry->last_contact_at = now;
  const bool is_next = input.term == term && input.number == entry->reports + 1;
  if (!is_next) return false;
  entry->reports = input.number;
  return true;
}

std::vector<uint64_t> RemoveRunner(runner_registry& registry,
                                   const std::string& runner) {
  const auto found = registry.runners.find(runner);
  if (found == registry.runners.end()) return {};
  std::vector<uint64_t> lost_runs = ToVector(found->second.runs);
  registry.runners.erase(found);
  return lost_runs;
}

std::map<std::string, std::vector<uint64_t>> RemoveUnreachable(
    runner_registry& registry, core::time_point now) {
  std::vector<std::string> unreachable;
  for (const auto& [runner, entry] : registry.runners) {
    const bool is_unreachable =
        !entry.is_polling &&
        now - entry.last_contact_at > kRunnerContactTimeout;
    if (is_unreachable) unreachable.push_back(runner);
  }
  std::map<std::string, std::vector<uint64_t>> lost_runs;
  for (const std::string& runner : unreachable) {
    lost_runs[runner] = RemoveRunner(registry, runner);
  }
  return lost_runs;
}

std::optional<std::string> ChooseRunner(const runner_registry& registry,
                                        const std::string& zone,
                                        core::time_point now) {
  const std::pair<const std::string, registered_runner>* best = nullptr;
  const auto rank = [&zone](const registered_runner& entry) {
    return std::pair(entry.zone == zone, entry.runs.size());
  };
  for (const auto& item : registry.runners) {
    const registered_runner& entry = item.second;
    if (!IsResponsive(entry, now) || !HasRoom(entry)) continue;
    if (best == nullptr || rank(entry) > rank(best->second)) best = &item;
  }
  if (best == nullptr) return std::nullopt;
  return best->first;
}

void AddOrder(runner_registry& registry, const std::string& runner,
              run_order order) {
  registered_runner* const entry = Find(registry, runner);
  if (entry == nullptr) return;
  entry->runs.insert(order.run);
  entry->orders.push_back(std::move(order));
}

void CancelRun(runner_registry& registry, const std::string& runner,
               uint64_t run) {
  registered_runner* const entry = Find(registry, runner);
  if (entry == nullptr) return;
  // A run whose order was not sent need not be cancelled at the runner.
  const size_t removed =
      std::erase_if(entry->orders,
                    [run](const run_order& order) { return order.run == run; });
  if (removed == 0) entry->cancelled.push_back(run);
}

void RemoveEndedRun(runner_registry& registry, const std::string& runner,
                    uint64_t run) {
  registered_runner* const entry = Find(registry, runner);
  if (entry != nullptr) entry->runs.erase(run);
}

}  // namespace hickorywood::store
