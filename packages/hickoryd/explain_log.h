#ifndef HICKORYWOOD_HICKORYD_EXPLAIN_LOG_H_
#define HICKORYWOOD_HICKORYD_EXPLAIN_LOG_H_

// A bounded log of recent decisions by request id: where each request was sent
// and why, and why it was rejected. Used by `hickoryctl explain`. Safe from any
// thread.

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace hickorywood::hickoryd {

struct explain_line {
  int64_t at_ms = 0;  // wall time
  std::string instance;
  std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(explain_line, at_ms, instance,
                                                text)

class explain_log {
 public:
  explain_log(const core::runtime_clock& clock, std::string instance);

  void Add(const std::string& request_id, std::string text);
  std::vector<explain_line> Find(const std::string& request_id) const;

 private:
  const core::runtime_clock& clock_;
  const std::string instance_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<explain_line>> lines_;  // guarded by mutex_
  std::deque<std::string> order_;  // guarded by mutex_; oldest first
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_EXPLAIN_LOG_H_
