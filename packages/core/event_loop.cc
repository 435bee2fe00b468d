#include "core/event_loop.h"

#include <utility>

namespace hickorywood::core {
namespace {

constexpr milliseconds kMaxWait{50};

}  // namespace

event_loop::event_loop(const runtime_clock& clock, size_t capacity)
    : clock_(clock), capacity_(capacity) {}

event_loop::~event_loop() { Stop(); }

void event_loop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void event_loop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

bool event_loop::Post(task work) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_ || queue_.size() >= capacity_) return false;
    queue_.push_back(std::move(work));
  }
  wake_.notify_one();
  return true;
}

void event_loop::After(milliseconds delay, task work) {
  timers_.emplace(clock_.Now() + delay, std::move(work));
}

void event_loop::Every(milliseconds period, task work) {
  After(period, [this, period, work = std::move(work)] {
    work();
    Every(period, work);
  });
}

void event_loop::OnIdle(task work) { on_idle_ = std::move(work); }

size_t event_loop::Depth() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return queue_.size();
}

void event_loop::RunDueTimers() {
  const time_point now = clock_.Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    task work = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    work();
  }
}

void event_loop::Run() {
  for (;;) {
    std::deque<task> batch;
    bool stop = false;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (queue_.empty() && !stopping_) {
        milliseconds wait = kMaxWait;
        if (!timers_.empty()) {
          const auto until_timer = std::chrono::ceil<milliseconds>(
              timers_.begin()->first - clock_.Now());
          wait = std::max(milliseconds(0), std::min(wait, until_timer));
        }
        wake_.wait_for(lock, wait);
      }
      batch.swap(queue_);
      stop = stopping_;
    }
    for (task& work : batch) work();
    RunDueTimers();
    if (on_idle_) on_idle_();
    if (stop && batch.empty()) return;
  }
}

}  // namespace hickorywood::core
