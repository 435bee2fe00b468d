#ifndef HICKORYWOOD_TESTS_SOAK_FAULT_PLAN_H_
#define HICKORYWOOD_TESTS_SOAK_FAULT_PLAN_H_

// The faults of one soak test, generated from a seed before the test starts.

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace hickorywood::testing {

enum class fault_kind {
  kKill,      // SIGKILL, then restart
  kStop,      // SIGTERM, then restart after the process has exited
  kFreeze,    // SIGSTOP for `time`, then SIGCONT
  kLoseDisk,  // SIGKILL, removal of the data folder, then restart
  kReplace,   // an endpoint terminates and a new one starts
  kPowerCut,  // all instances are killed and restarted; `node` loses its disk
};

struct fault {
  fault_kind kind = fault_kind::kKill;
  std::string node;
  std::chrono::milliseconds pause{0};  // before the fault
  std::chrono::milliseconds time{0};   // until the node is restarted or resumed
};
std::ostream& operator<<(std::ostream& out, const fault& input);

// A sequence of faults. Series run concurrently; within a series, the next
// fault starts only after the system has recovered from the previous one.
struct fault_series {
  std::string name;
  std::vector<fault> faults;
};

// Generates one series each for the stores, the control instances, the entries
// and the endpoints, and one of power cuts of all instances.
std::vector<fault_series> GenerateFaults(uint64_t seed,
                                         std::chrono::milliseconds length);

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SOAK_FAULT_PLAN_H_
