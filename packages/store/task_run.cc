#include "store/task_run.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorywood::store {
namespace {

template <typename Item>
void Append(std::vector<Item>& list, std::vector<Item>& further) {
  list.insert(list.end(), std::make_move_iterator(further.begin()),
              std::make_move_iterator(further.end()));
}

}  // namespace

bool IsOutdated(const run_order& order, const fleet::view& held) {
  if (order.config == 0) return false;  // from a leader that does not state it
  if (held.config.version > order.config) return true;
  if (held.version < order.lists) return false;
  return std::none_of(held.endpoints.begin(), held.endpoints.end(),
                      [&order](const fleet::endpoint& item) {
                        return item.incarnation == order.incarnation &&
                               item.state != fleet::endpoint_state::kDraining;
                      });
}

const char* RunOutcomeName(run_outcome how) {
  switch (how) {
    case run_outcome::kComplete:
      return "complete";
    case run_outcome::kFailed:
      return "failed";
    case run_outcome::kImpossible:
      return "impossible";
    case run_outcome::kNotRun:
      return "not_run";
    case run_outcome::kUnexpected:
      return "unexpected";
    case run_outcome::kBroken:
      return "broken";
    case run_outcome::kUnusable:
      return "unusable";
    case run_outcome::kMoved:
      return "moved";
  }
  return "broken";
}

void Merge(run_report& earlier, run_report later) {
  earlier.has_head = earlier.has_head || later.has_head;
  if (later.weights_version != 0) {
    earlier.weights_version = later.weights_version;
  }
  if (later.pace != 0) earlier.pace = later.pace;
  Append(earlier.data, later.data);
  earlier.span_ms += later.span_ms;
  earlier.spanned += later.spanned;
  if (!later.versions.empty()) earlier.versions = std::move(later.versions);
  earlier.is_over = later.is_over;
  earlier.how = later.how;
  earlier.has_invalid_response = later.has_invalid_response;
}

}  // namespace hickorywood::store
