#ifndef HICKORYWOOD_ROUTING_ADMISSION_H_
#define HICKORYWOOD_ROUTING_ADMISSION_H_

// Decides which queued request starts next, and rejects requests immediately
// whose expected wait is too long.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace hickorywood::routing {

using core::milliseconds;
using core::time_point;

enum class traffic_class { kInteractive, kRollout };

// One request that waits for an endpoint.
struct waiting_request {
  uint64_t id = 0;
  std::string trainer;  // the trainer whose share the request uses
  traffic_class kind = traffic_class::kRollout;
  int64_t cost = 1;  // expected tokens
  time_point arrived_at{};
};

// Weighted fair queueing with one queue per trainer: when a trainer sends more
// requests than its share, only its own requests wait longer. Interactive
// requests start before rollouts.
struct fair_queue {
  struct trainer_queue {
    std::deque<waiting_request> waiting;
    double finish = 0;  // virtual finish time of the last started request
    int64_t weight = 1;
  };
  std::map<std::string, trainer_queue> trainer_queues;  // by trainer
  std::deque<waiting_request> interactive;
  double virtual_time = 0;
  size_t size = 0;
};

void SetWeight(fair_queue& queue, const std::string& trainer, int64_t weight);
void Push(fair_queue& queue, const waiting_request& request);

// Removes and returns the request to start next. Returns nothing if the queue
// is empty.
std::optional<waiting_request> Pop(fair_queue& queue);

// Returns a popped request to the head of its queue when no endpoint has
// capacity for it.
void PutBack(fair_queue& queue, const waiting_request& request);

// Removes a request whose caller has disconnected. Returns false when it is not
// in the queue.
bool Remove(fair_queue& queue, uint64_t id);

// Rate at which requests of a pool complete, measured by this instance.
struct completion_rate {
  double per_second = 0;  // smoothed; 0: not measured yet
  time_point window_start{};
  int64_t in_window = 0;
};

void RecordCompletion(completion_rate& rate, time_point now);

// Expected wait of a request that arrives now with `ahead` requests before it.
milliseconds ExpectedWait(const completion_rate& rate, size_t ahead);

struct admission_decision {
  bool is_admitted = false;
  milliseconds retry_after{0};  // of a rejected request
};

// Rejects the request when its expected wait is longer than `limit`.
admission_decision Admit(const completion_rate& rate, size_t ahead,
                         milliseconds limit);

}  // namespace hickorywood::routing

#endif  // HICKORYWOOD_ROUTING_ADMISSION_H_
