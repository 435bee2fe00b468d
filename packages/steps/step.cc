#include "steps/step.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/ids.h"
#include "core/reason.h"

namespace hickorywood::steps {
namespace {

void ReleaseOutput(task_result& item) {
  if (item.index == 0 || item.output.empty()) return;
  item.bytes_on_disk = item.output.size();
  item.hash_on_disk = core::Hash64(item.output);
  // Assigning an empty string would keep the allocated memory.
  std::string().swap(item.output);
}

}  // namespace

void to_json(nlohmann::json& tree, const task& input) {
  tree =
      input.request ? nlohmann::json(*input.request) : nlohmann::json::object();
  tree["id"] = input.id;
  tree["group"] = input.group;
  tree["tokens"] = input.tokens;
}

void from_json(const nlohmann::json& tree, task& output) {
  output.id = tree.value("id", "");
  output.group = tree.value("group", "");
  output.tokens = tree.value("tokens", int64_t{0});
  output.request.reset();
  if (tree.contains("path")) output.request = tree.get<task_request>();
}

size_t MemoryOf(const task& input) {
  size_t bytes = sizeof(task) + input.id.capacity() + input.group.capacity();
  if (!input.request) return bytes;
  const task_request& request = *input.request;
  const reward_request& reward = request.reward;
  bytes += request.path.capacity() + request.body.capacity() +
           reward.id.capacity() + reward.host.capacity() +
           reward.path.capacity() + reward.body.capacity();
  for (const net::header& item : request.headers) {
    bytes += sizeof(item) + item.name.capacity() + item.value.capacity();
  }
  return bytes;
}

bool OpenStep(step_table& table, submission input, int64_t now_ms,
              uint64_t index) {
  const std::string id = input.id;
  step opened;
  opened.input = std::move(input);
  opened.opened_ms = now_ms;
  opened.opened_index = index;
  return table.emplace(id, std::move(opened)).second;
}

bool MayAccess(const step& owner, const std::string& customer) {
  return owner.input.customer.empty() || owner.input.customer == customer;
}

bool HasResult(const step& owner, uint32_t task) {
  return std::any_of(
      owner.results.begin(), owner.results.end(),
      [task](const task_result& item) { return item.task == task; });
}

size_t AddResults(step_table& table, const std::string& id,
                  std::vector<task_result> results, uint64_t index) {
  const auto found = table.find(id);
  if (found == table.end()) return 0;
  step& owner = found->second;
  size_t added = 0;
  for (task_result& item : results) {
    const bool is_valid = item.task < owner.input.tasks.size();
    if (!is_valid || HasResult(owner, item.task)) continue;
    owner.progress.erase(item.task);
    owner.failures.erase(item.task);
    // The task will not run again, and the request would stay in memory until
    // the step is removed.
    owner.input.tasks[item.task].request.reset();
    item.index = index;
    owner.results.push_back(std::move(item));
    ++added;
  }
  return added;
}

void AddProgress(step_table& table, const std::string& id,
                 std::vector<task_progress> progress) {
  const auto found = table.find(id);
  if (found == table.end() || found->second.is_ended) return;
  step& owner = found->second;
  for (task_progress& item : progress) {
    const bool is_valid = item.task < owner.input.tasks.size();
    if (!is_valid || HasResult(owner, item.task)) continue;
    if (item.after == 0) {
      owner.progress[item.task] = std::move(item.text);
      continue;
    }
    generated_text& existing = owner.progress[item.task];
    if (existing.events != item.after) continue;
    existing.events = item.text.events;
    existing.versions = std::move(item.text.versions);
    existing.is_whole = item.text.is_whole;
    std::move(item.text.data.begin(), item.text.data.end(),
              std::back_inserter(existing.data));
  }
}

void RecordFailures(step_table& table, const std::string& id,
                    const std::vector<failed_attempts>& failures) {
  const auto found = table.find(id);
  if (found == table.end() || found->second.is_ended) return;
  step& owner = found->second;
  for (const failed_attempts& item : failures) {
    const bool is_valid = item.task < owner.input.tasks.size();
    if (!is_valid || HasResult(owner, item.task)) continue;
    failed_attempts& known = owner.failures[item.task];
    known.task = item.task;
    known.runs = std::max(known.runs, item.runs);
    known.reward_calls = std::max(known.reward_calls, item.reward_calls);
  }
}

bool EndStep(step_table& table, const std::string& id) {
  const auto found = table.find(id);
  if (found == table.end()) return false;
  step& owner = found->second;
  owner.is_ended = true;
  owner.progress.clear();
  owner.failures.clear();
  for (task& item : owner.input.tasks) item.request.reset();
  return true;
}

void EvictOldOutputs(step_table& table, size_t budget) {
  std::vector<step*> ended;
  for (auto& item : table) {
    if (item.second.is_ended) ended.push_back(&item.second);
  }
  std::sort(ended.begin(), ended.end(),
            [](const step* left, const step* right) {
              return left->opened_index > right->opened_index;
            });
  size_t bytes = 0;
  for (step* owner : ended) {
    for (const task_result& item : owner->results) bytes += item.output.size();
    if (bytes <= budget) continue;
    for (task_result& item : owner->results) ReleaseOutput(item);
  }
}

bool RestoreOutput(task_result& item, std::string output) {
  const bool is_unchanged = output.size() == item.bytes_on_disk &&
                            core::Hash64(output) == item.hash_on_disk;
  if (!is_unchanged) {
    core::SetLastReason(
        core::reason_code::kCorrupt,
        "entry " + std::to_string(item.index) + " does not contain the output");
    return false;
  }
  item.output = std::move(output);
  return true;
}

void RemoveSteps(step_table& table, int64_t limit_ms, int64_t oldest_ms) {
  std::erase_if(table, [&](const auto& item) {
    const step& owner = item.second;
    return owner.opened_ms < (owner.is_ended ? limit_ms : oldest_ms);
  });
}

result_page ReadPage(const step& owner, uint64_t after, size_t page_bytes) {
  result_page page;
  page.total = owner.input.tasks.size();
  page.next = after;
  size_t bytes = 0;
  while (page.next < owner.results.size()) {
    const task_result& item = owner.results[page.next];
    bytes += item.output.size() + item.bytes_on_disk;
    if (!page.results.empty() && bytes > page_bytes) break;
    page.results.push_back(item);
    page.ids.push_back(owner.input.tasks[item.task].id);
    ++page.next;
  }
  return page;
}

}  // namespace hickorywood::steps
