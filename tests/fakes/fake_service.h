#ifndef HICKORYWOOD_TESTS_FAKES_FAKE_SERVICE_H_
#define HICKORYWOOD_TESTS_FAKES_FAKE_SERVICE_H_

// A simulated plain service. It counts how often each call ran and misbehaves
// on request.

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/json.h"
#include "transport/http_server.h"

namespace hickorywood::fakes {

struct service_behaviour {
  int64_t delay_ms = 0;
  bool freezes_after_read = false;  // runs the call and never responds
  bool says_not_run = false;
  bool echoes_wrong_id = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_behaviour, delay_ms,
                                                freezes_after_read,
                                                says_not_run, echoes_wrong_id)

struct service_state {
  std::map<std::string, int64_t> runs;  // by "METHOD path body"
  int64_t calls = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_state, runs, calls)

class fake_service {
 public:
  // `crash_text` is a text in the target of a call that crashes the process;
  // empty: none.
  explicit fake_service(std::string id, std::string crash_text = "")
      : id_(std::move(id)), crash_text_(std::move(crash_text)) {}

  void Handle(const std::shared_ptr<transport::http_exchange>& exchange);

 private:
  void Run(const std::shared_ptr<transport::http_exchange>& exchange);

  const std::string id_;
  const std::string crash_text_;
  std::mutex mutex_;
  service_behaviour behaviour_;  // guarded by mutex_
  service_state state_;          // guarded by mutex_
  std::vector<std::shared_ptr<transport::http_exchange>>
      frozen_;  // guarded by mutex_
};

}  // namespace hickorywood::fakes

#endif  // HICKORYWOOD_TESTS_FAKES_FAKE_SERVICE_H_
