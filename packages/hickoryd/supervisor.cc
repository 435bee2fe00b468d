#include "hickoryd/supervisor.h"

#include <utility>

#include "core/events.h"
#include "core/reason.h"

namespace hickorywood::hickoryd {

using core::event_id;
using core::LogEvent;

supervisor::supervisor(std::string name, const core::runtime_clock& clock)
    : name_(std::move(name)), clock_(clock) {}

void supervisor::Add(child_spec child) {
  running_child fresh;
  fresh.spec = std::move(child);
  children_.push_back(std::move(fresh));
}

void supervisor::AddTree(const std::shared_ptr<supervisor>& tree,
                         int restart_limit) {
  child_spec child;
  child.name = tree->name_;
  child.start = [tree] { return tree->Start(); };
  child.stop = [tree] { tree->Stop(); };
  child.is_healthy = [tree] { return tree->Check(); };
  child.restart_limit = restart_limit;
  Add(std::move(child));
}

bool supervisor::Start() { return StartFrom(0); }

void supervisor::Stop() { StopFrom(0); }

bool supervisor::StartFrom(size_t first) {
  for (size_t i = first; i < children_.size(); ++i) {
    running_child& child = children_[i];
    if (!child.spec.start()) {
      LogEvent(event_id::kChildRestartLimitReached,
               {{"parent", name_},
                {"child", child.spec.name},
                {"reason", core::LastReason().text}});
      StopFrom(0);
      return false;
    }
    child.is_running = true;
  }
  return true;
}

void supervisor::StopFrom(size_t first) {
  for (size_t i = children_.size(); i > first; --i) {
    running_child& child = children_[i - 1];
    if (!child.is_running) continue;
    child.spec.stop();
    child.is_running = false;
  }
}

bool supervisor::MayRestart(running_child& child) {
  const core::time_point now = clock_.Now();
  while (!child.restarts.empty() &&
         now - child.restarts.front() > child.spec.restart_window) {
    child.restarts.pop_front();
  }
  if (child.restarts.size() >= static_cast<size_t>(child.spec.restart_limit)) {
    return false;
  }
  child.restarts.push_back(now);
  return true;
}

bool supervisor::Check() {
  for (size_t i = 0; i < children_.size(); ++i) {
    running_child& child = children_[i];
    if (!child.spec.is_healthy || child.spec.is_healthy()) continue;
    if (!MayRestart(child)) {
      LogEvent(event_id::kChildRestartLimitReached,
               {{"parent", name_}, {"child", child.spec.name}});
      return false;
    }
    LogEvent(event_id::kChildRestarted,
             {{"parent", name_}, {"child", child.spec.name}});
    StopFrom(i);
    if (!StartFrom(i)) return false;
  }
  return true;
}

}  // namespace hickorywood::hickoryd
