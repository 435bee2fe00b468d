#ifndef HICKORYWOOD_HICKORYD_SUPERVISOR_H_
#define HICKORYWOOD_HICKORYD_SUPERVISOR_H_

// The supervisor tree of the process. A supervisor starts its children in order
// and stops them in reverse. A child that fails is restarted together with the
// children after it, up to a limit per window. Past the limit the supervisor
// itself fails; at the root the process exits instead of running degraded.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hickorywood::hickoryd {

struct child_spec {
  std::string name;
  // Returns false and sets the last reason if the child fails to start.
  std::function<bool()> start;
  std::function<void()> stop;
  std::function<bool()> is_healthy;  // empty: always
  int restart_limit = 3;             // within restart_window
  core::milliseconds restart_window{60000};
};

class supervisor {
 public:
  supervisor(std::string name, const core::runtime_clock& clock);

  void Add(child_spec child);
  // Adds another supervisor as a child.
  void AddTree(const std::shared_ptr<supervisor>& tree, int restart_limit);

  // Starts all children. If one fails to start, stops those started before it
  // and returns false.
  bool Start();
  void Stop();

  // Restarts children that are not healthy. False once a child has exceeded its
  // restart limit.
  bool Check();

 private:
  struct running_child {
    child_spec spec;
    std::deque<core::time_point> restarts;
    bool is_running = false;
  };

  bool StartFrom(size_t first);
  void StopFrom(size_t first);
  bool MayRestart(running_child& child);

  const std::string name_;
  const core::runtime_clock& clock_;
  std::vector<running_child> children_;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_SUPERVISOR_H_
