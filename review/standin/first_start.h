// Case 3: one core machine loses its disk right after the first start of all.
#ifndef HICKORYWOOD_REVIEW_STANDIN_FIRST_START_H_
#define HICKORYWOOD_REVIEW_STANDIN_FIRST_START_H_

#include <string>
#include <vector>

#include "fleet.h"
#include "http.h"
#include "trainer.h"

namespace review {

// Many times ack_ms (4 s), contact_ms (3 s), sync_s (4.4) and recover_s (12).
constexpr int64_t kFirstStartMs = 60000;

// Returns 1 if no order was acknowledged and no request served in all the time.
inline int RunFirstStart(const std::vector<std::string>& words,
                         const std::string& program) {
  recorder record(words[1]);
  server_fleet fleet(program, words[2], words[3], record);
  trainer user(Split(words[4]), Split(words[3]), record);
  size_t number = 0;
  for (const std::string& address : Split(words[5])) {
    fleet.Add(address, ++number % 2 == 0 ? "hall-forth" : "hall-clyde");
  }
  const std::string model = "daka510000";
  const int64_t end = NowMs() + kFirstStartMs;
  const bool is_acknowledged =
      user.Operate("/v1/config/put", Configuration(1, model), end);
  batch work;
  work.id = "7c41e09b52d6a3f8";
  for (int i = 0; i < 8; ++i) {
    const std::string place = std::to_string(i);
    work.items.push_back(
        {"item-" + place, "g1", "/pufi791/1", "seed=" + place + " events=10"});
  }
  const bool is_accepted =
      user.Submit(work, "/pufi791/7c41e0", model, NowMs() + 10000);
  if (is_accepted) user.Read(work, work.accepted_at + 12000);
  const bool is_served = work.results.size() == work.items.size();
  record.Raw(std::string("order acknowledged: ") +
             (is_acknowledged ? "yes" : "no") +
             ", requests served: " + (is_served ? "yes" : "no"));
  return is_acknowledged || is_served ? 0 : 1;
}

}  // namespace review

#endif  // HICKORYWOOD_REVIEW_STANDIN_FIRST_START_H_
