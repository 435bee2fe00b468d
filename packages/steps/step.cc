#include "steps/step.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/ids.h"
#include "core/reason.h"

namespace hickorywood::steps {
namespace {

void LeaveOnDisk(task_result& item) {
  if (item.index == 0 || item.output.empty()) return;
  item.bytes_on_disk = item.output.size();
  item.hash_on_disk = core::Hash64(item.output);
  // An assignment would keep the memory.
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

bool OpenStep(step_book& book, submission input, int64_t now_ms,
              uint64_t index) {
  const std::string id = input.id;
  step fresh;
  fresh.input = std::move(input);
  fresh.opened_ms = now_ms;
  fresh.opened_index = index;
  return book.emplace(id, std::move(fresh)).second;
}

bool HasResult(const step& where, uint32_t task) {
  return std::any_of(
      where.results.begin(), where.results.end(),
      [task](const task_result& item) { return item.task == task; });
}

size_t AddResults(step_book& book, const std::string& id,
                  std::vector<task_result> results, uint64_t index) {
  const auto found = book.find(id);
  if (found == book.end()) return 0;
  step& where = found->second;
  size_t taken = 0;
  for (task_result& item : results) {
    const bool is_known = item.task < where.input.tasks.size();
    if (!is_known || HasResult(where, item.task)) continue;
    where.progress.erase(item.task);
    // Nothing is run any more, and it would be held until the step is
    // forgotten.
    where.input.tasks[item.task].request.reset();
    item.index = index;
    where.results.push_back(std::move(item));
    ++taken;
  }
  return taken;
}

void AddProgress(step_book& book, const std::string& id,
                 std::vector<task_progress> progress) {
  const auto found = book.find(id);
  if (found == book.end() || found->second.is_ended) return;
  step& where = found->second;
  for (task_progress& item : progress) {
    const bool is_known = item.task < where.input.tasks.size();
    if (!is_known || HasResult(where, item.task)) continue;
    if (item.after == 0) {
      where.progress[item.task] = std::move(item.text);
      continue;
    }
    generated_text& known = where.progress[item.task];
    if (known.events != item.after) continue;
    known.events = item.text.events;
    known.versions = std::move(item.text.versions);
    known.is_whole = item.text.is_whole;
    std::move(item.text.data.begin(), item.text.data.end(),
              std::back_inserter(known.data));
  }
}

bool EndStep(step_book& book, const std::string& id) {
  const auto found = book.find(id);
  if (found == book.end()) return false;
  step& where = found->second;
  where.is_ended = true;
  where.progress.clear();
  for (task& item : where.input.tasks) item.request.reset();
  return true;
}

void LeaveOldOutputs(step_book& book, size_t budget) {
  std::vector<step*> ended;
  for (auto& item : book) {
    if (item.second.is_ended) ended.push_back(&item.second);
  }
  std::sort(ended.begin(), ended.end(),
            [](const step* left, const step* right) {
              return left->opened_index > right->opened_index;
            });
  size_t bytes = 0;
  for (step* where : ended) {
    for (const task_result& item : where->results) bytes += item.output.size();
    if (bytes <= budget) continue;
    for (task_result& item : where->results) LeaveOnDisk(item);
  }
}

bool TakeOutput(task_result& item, std::string output) {
  const bool is_left_one = output.size() == item.bytes_on_disk &&
                           core::Hash64(output) == item.hash_on_disk;
  if (!is_left_one) {
    core::SetLastReason(
        core::reason_code::kCorrupt,
        "entry " + std::to_string(item.index) + " does not hold the output");
    return false;
  }
  item.output = std::move(output);
  return true;
}

void ForgetSteps(step_book& book, int64_t limit_ms, int64_t oldest_ms) {
  std::erase_if(book, [&](const auto& item) {
    const step& where = item.second;
    return where.opened_ms < (where.is_ended ? limit_ms : oldest_ms);
  });
}

result_page ReadPage(const step& where, uint64_t after, size_t page_bytes) {
  result_page page;
  page.total = where.input.tasks.size();
  page.next = after;
  size_t bytes = 0;
  while (page.next < where.results.size()) {
    const task_result& item = where.results[page.next];
    bytes += item.output.size() + item.bytes_on_disk;
    if (!page.results.empty() && bytes > page_bytes) break;
    page.results.push_back(item);
    page.ids.push_back(where.input.tasks[item.task].id);
    ++page.next;
  }
  return page;
}

}  // namespace hickorywood::steps
