#ifndef HICKORYWOOD_TESTS_FAKES_FAKE_ENGINE_H_
#define HICKORYWOOD_TESTS_FAKES_FAKE_ENGINE_H_

// A simulated model engine. It uses continuous batching with a step time that
// grows with the batch, streams chunks with their weights version, accepts
// orders, and misbehaves on request.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/json.h"
#include "transport/http_server.h"

namespace hickorywood::fakes {

// Kinds of misbehaviour of the engine, set over HTTP.
struct engine_behaviour {
  int64_t cut_after_tokens =
      -1;  // closes the stream after this many tokens, once per request
  bool omits_version = false;  // omits the weights version from chunks
  bool echoes_wrong_id = false;
  bool goes_silent = false;  // streams send nothing more, connections stay open
  bool only_comments = false;  // streams send comments and no text
  bool swap_fails = false;  // a swap takes its normal time and changes nothing
  int64_t announced_version = -1;  // announced in place of the real version
  double slow_factor = 1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_behaviour, only_comments,
                                                cut_after_tokens, omits_version,
                                                echoes_wrong_id, goes_silent,
                                                swap_fails, announced_version,
                                                slow_factor)

struct engine_options {
  double step_base_ms = 2;  // time of one decoding step with an empty batch
  double step_per_request_ms = 0.05;
  int64_t chunk_tokens = 8;
  int64_t max_running = 32;
  int64_t max_queued = 256;
  int64_t mean_tokens = 64;  // mean of the heavy-tailed output lengths
  int64_t swap_ms = 100;
  bool honours_fencing = true;
  int64_t version = 1;
  std::string
      crash_text;  // text in a prompt that crashes the process; empty: none
};

// State and counters of the engine, read by tests over HTTP.
struct engine_state {
  int64_t version = 0;
  bool is_swapping = false;
  int64_t running = 0;
  int64_t queued = 0;
  int64_t started = 0;       // accepted requests
  int64_t disconnected = 0;  // requests whose caller disconnected
  int64_t tokens = 0;        // generated tokens
  int64_t orders_taken = 0;
  int64_t orders_refused = 0;  // rejected because of an old fencing token
  uint64_t highest_fence = 0;
  std::vector<int64_t> versions_loaded;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_state, version,
                                                is_swapping, running, queued,
                                                started, disconnected, tokens,
                                                orders_taken, orders_refused,
                                                highest_fence, versions_loaded)

class fake_engine {
 public:
  explicit fake_engine(engine_options options);
  ~fake_engine();

  void Handle(const std::shared_ptr<transport::http_exchange>& exchange);
  engine_state State();
  int64_t AnnouncedVersion();

 private:
  struct sequence {
    std::shared_ptr<transport::http_exchange> exchange;
    std::string id;
    std::string prompt;
    int64_t produced = 0;  // including resumed tokens
    int64_t length = 0;
    int64_t priority = 0;
    int64_t prefill_steps = 0;
    std::string pending_text;
    int64_t pending_tokens = 0;
    int64_t pending_version = 0;
    std::atomic<bool> is_disconnected{false};
  };
  using sequence_ptr = std::shared_ptr<sequence>;

  void Run();
  void Step(std::vector<sequence_ptr>& batch);
  void Flush(const sequence_ptr& item, const std::string& finish_reason);
  void AcceptCompletion(
      const std::shared_ptr<transport::http_exchange>& exchange);
  void AcceptOrder(const std::shared_ptr<transport::http_exchange>& exchange);
  void FinishSwapIfDue();

  const engine_options options_;
  std::mutex mutex_;
  std::condition_variable wake_;
  engine_behaviour behaviour_;          // guarded by mutex_
  engine_state state_;                  // guarded by mutex_
  std::list<sequence_ptr> queue_;       // guarded by mutex_
  std::vector<sequence_ptr> running_;   // guarded by mutex_
  std::set<uint64_t> cached_prefixes_;  // guarded by mutex_
  int64_t swap_target_ = 0;
  std::chrono::steady_clock::time_point swap_done_at_{};
  bool stopping_ = false;
  std::thread thread_;
};

// Returns the number of output tokens of request `id`. It is the same for each
// attempt at a sample, and heavy-tailed over all samples.
int64_t LengthOf(const std::string& id, const std::string& prompt, int64_t mean,
                 int64_t limit);

}  // namespace hickorywood::fakes

#endif  // HICKORYWOOD_TESTS_FAKES_FAKE_ENGINE_H_
