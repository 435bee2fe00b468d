#ifndef HICKORYWOOD_CORE_EVENT_LOOP_H_
#define HICKORYWOOD_CORE_EVENT_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "core/clock.h"

namespace hickorywood::core {

// A single thread that owns some state and runs tasks in order. Other threads
// submit work with Post() and never access the state directly, so the state
// needs no lock.
class event_loop {
 public:
  using task = std::function<void()>;

  // `capacity` is the maximum number of queued tasks; Post() rejects further
  // tasks.
  event_loop(const runtime_clock& clock, size_t capacity);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  void Start();
  // Runs the queued tasks, then joins the thread. Later calls of Post() are
  // rejected.
  void Stop();

  // Returns false if the queue is full or the loop is stopping; the task is not
  // run in this case.
  bool Post(task work);

  // Runs `work` on the loop after `delay`. Must be called on the loop's thread.
  void After(milliseconds delay, task work);
  // Runs `work` on the loop every `period` until the loop stops. Must be called
  // before Start().
  void Every(milliseconds period, task work);
  // Sets a callback that runs on the loop after each batch of tasks, for
  // example to sync storage once per batch.
  void OnIdle(task work);

  // Number of queued tasks.
  size_t Depth() const;

 private:
  void Run();
  void RunDueTimers();

  const runtime_clock& clock_;
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<task> queue_;
  bool stopping_ = false;
  std::multimap<time_point, task>
      timers_;  // used only by the loop's thread after Start()
  task on_idle_;
  std::thread thread_;
};

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_EVENT_LOOP_H_
