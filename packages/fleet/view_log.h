#ifndef HICKORYWOOD_FLEET_VIEW_LOG_H_
#define HICKORYWOOD_FLEET_VIEW_LOG_H_

// What the control leader has told the other processes so far, and at which
// count each item of it changed. A process that holds an earlier version of the
// same term gets only what changed since: with 1,000 endpoints the whole list
// is 200 KB, and each of 100 processes would be sent it for every endpoint that
// comes or goes. Plain data and functions.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/view.h"

namespace hickorywood::fleet {

template <typename Item>
struct told_item {
  Item item;
  uint64_t changed_at = 0;  // count of the list
};

struct view_log {
  uint64_t term = 0;
  // Endpoints, warnings and members, which every process is told.
  uint64_t count = 1;
  std::map<std::string, told_item<endpoint>> endpoints;  // by incarnation
  // Endpoints that are gone, in the order in which they went.
  std::vector<told_item<std::string>> gone;
  std::map<std::string, told_item<request_warning>> warnings;  // by digest
  std::vector<told_item<std::string>> lifted;  // digests, as they went
  // Changes are known from this count on; who holds less gets the lists whole.
  uint64_t complete_from = 0;
  view_members members;
  uint64_t members_changed_at = 0;
  // Weights, which only stores are told.
  uint64_t weights_count = 1;
  std::map<std::pair<std::string, std::string>, told_item<engine_weights_entry>>
      weights;  // by incarnation and model
};

// Starts anew: a leader's first version of a term. Who held a version of
// another term gets everything whole.
void BeginTerm(view_log& log, uint64_t term);

// Take what is to be told now. True when it differs from what was told before.
bool TellEndpoints(view_log& log, const std::vector<endpoint>& endpoints);
bool TellWarnings(view_log& log, const std::vector<request_warning>& warnings);
bool TellMembers(view_log& log, const view_members& members);
bool TellWeights(view_log& log,
                 const std::vector<engine_weights_entry>& weights);

// Whether there is anything that the asker does not hold, its configuration
// left aside.
bool HasNews(const view_log& log, const view_request& input);

// The answer to `input`, without the configuration.
view_update MakeUpdate(const view_log& log, const view_request& input);

}  // namespace hickorywood::fleet

#endif  // HICKORYWOOD_FLEET_VIEW_LOG_H_
