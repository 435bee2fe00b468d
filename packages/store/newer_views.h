#ifndef HICKORYWOOD_STORE_NEWER_VIEWS_H_
#define HICKORYWOOD_STORE_NEWER_VIEWS_H_

// What the leader knows of views that are newer than its own, from orders that
// runners returned. An order by the same view would be returned again, so the
// leader waits for its own copy. Without that it repeated 3,000 orders a second
// and had no processor time left to receive the copy. Plain data and functions.

#include <cstdint>
#include <map>
#include <string>

#include "fleet/view.h"
#include "store/task_run.h"

namespace hickorywood::store {

struct newer_views {
  uint64_t config = 0;  // newest configuration of a runner
  // The lists in which an engine is draining or is not listed; by incarnation.
  std::map<std::string, fleet::view_version> left_in;
};

// Records the report of an order to `incarnation` that was returned, if `held`,
// the view of the leader, lacks the reason. Other reports change nothing.
void RecordReturn(newer_views& newer, const run_report& report,
                  const std::string& incarnation, const fleet::view& held);

// Removes what `held` contains.
void RemoveKnown(newer_views& newer, const fleet::view& held);

// Whether orders by `held` are carried out, as far as is known.
bool MayOrder(const newer_views& newer, const fleet::view& held);

// Whether an engine has left according to newer lists than those of the leader.
bool HasLeft(const newer_views& newer, const std::string& incarnation);

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_NEWER_VIEWS_H_
