#include "routing/admission.h"

#include <algorithm>

namespace hickorywood::routing {
namespace {

constexpr milliseconds kRateWindow{500};
constexpr double kRateSmoothing = 0.3;
// Requests that may wait while no completion rate has been measured.
constexpr size_t kMaxWaitingWithoutRate = 64;
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kRetryAfterWithoutRate{1000};

bool RemoveFrom(std::deque<waiting_request>& waiting, uint64_t id) {
  const auto found =
      std::find_if(waiting.begin(), waiting.end(),
                   [id](const waiting_request& item) { return item.id == id; });
  if (found == waiting.end()) return false;
  waiting.erase(found);
  return true;
}

double Share(const waiting_request& request,
             const fair_queue::trainer_queue& trainer_queue) {
  return static_cast<double>(request.cost) /
         static_cast<double>(trainer_queue.weight);
}

}  // namespace

void SetWeight(fair_queue& queue, const std::string& trainer, int64_t weight) {
  queue.trainer_queues[trainer].weight = std::max<int64_t>(1, weight);
}

void Push(fair_queue& queue, const waiting_request& request) {
  ++queue.size;
  if (request.kind == traffic_class::kInteractive) {
    queue.interactive.push_back(request);
    return;
  }
  fair_queue::trainer_queue& trainer_queue =
      queue.trainer_queues[request.trainer];
  // A trainer that was idle starts at the current virtual time and gets no
  // credit for its idle time.
  if (trainer_queue.waiting.empty()) {
    trainer_queue.finish = std::max(trainer_queue.finish, queue.virtual_time);
  }
  trainer_queue.waiting.push_back(request);
}

std::optional<waiting_request> Pop(fair_queue& queue) {
  if (queue.size == 0) return std::nullopt;
  --queue.size;
  if (!queue.interactive.empty()) {
    const waiting_request next = queue.interactive.front();
    queue.interactive.pop_front();
    return next;
  }
  fair_queue::trainer_queue* first = nullptr;
  for (auto& [trainer, trainer_queue] : queue.trainer_queues) {
    if (trainer_queue.waiting.empty()) continue;
    if (first == nullptr || trainer_queue.finish < first->finish) {
      first = &trainer_queue;
    }
  }
  const waiting_request next = first->waiting.front();
  first->waiting.pop_front();
  queue.virtual_time = std::max(queue.virtual_time, first->finish);
  first->finish += Share(next, *first);
  return next;
}

void PutBack(fair_queue& queue, const waiting_request& request) {
  ++queue.size;
  if (request.kind == traffic_class::kInteractive) {
    queue.interactive.push_front(request);
    return;
  }
  fair_queue::trainer_queue& trainer_queue =
      queue.trainer_queues[request.trainer];
  trainer_queue.waiting.push_front(request);
  trainer_queue.finish -= Share(request, trainer_queue);
}

bool Remove(fair_queue& queue, uint64_t id) {
  bool removed = RemoveFrom(queue.interactive, id);
  for (auto item = queue.trainer_queues.begin();
       !removed && item != queue.trainer_queues.end(); ++item) {
    removed = RemoveFrom(item->second.waiting, id);
  }
  if (removed) --queue.size;
  return removed;
}

void RecordCompletion(completion_rate& rate, time_point now) {
  if (rate.window_start == time_point{}) rate.window_start = now;
  ++rate.in_window;
  const auto elapsed = now - rate.window_start;
  if (elapsed < kRateWindow) return;
  const double measured = static_cast<double>(rate.in_window) /
                          std::chrono::duration<double>(elapsed).count();
  rate.per_second =
      rate.per_second == 0
          ? measured
          : rate.per_second + kRateSmoothing * (measured - rate.per_second);
  rate.window_start = now;
  rate.in_window = 0;
}

milliseconds ExpectedWait(const completion_rate& rate, size_t ahead) {
  if (rate.per_second <= 0) return milliseconds(0);
  constexpr double kMillisPerSecond = 1000;
  return milliseconds(static_cast<int64_t>(
      kMillisPerSecond * static_cast<double>(ahead) / rate.per_second));
}

admission_decision Admit(const completion_rate& rate, size_t ahead,
                         milliseconds limit) {
  if (rate.per_second <= 0) {
    const bool has_room = ahead < kMaxWaitingWithoutRate;
    return {has_room, has_room ? milliseconds(0) : kRetryAfterWithoutRate};
  }
  const milliseconds wait = ExpectedWait(rate, ahead);
  if (wait <= limit) return {true, milliseconds(0)};
  return {false, std::max(kMinRetryAfter, wait - limit)};
}

}  // namespace hickorywood::routing
