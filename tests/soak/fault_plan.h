#ifndef HICKORYWOOD_TESTS_SOAK_FAULT_PLAN_H_
#define HICKORYWOOD_TESTS_SOAK_FAULT_PLAN_H_

// The faults of one soak, drawn from a seed before it starts.

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace hickorywood::testing {

enum class fault_kind {
  kKill,      // SIGKILL, and a start
  kStop,      // SIGTERM, and a start once it has ended
  kFreeze,    // SIGSTOP for `time`
  kLoseDisk,  // SIGKILL, an empty disk, and a start
  kReplace,   // an endpoint ends, another one comes
  kPowerCut,  // all instances are killed at once, `node` loses its disk
};

struct fault {
  fault_kind kind = fault_kind::kKill;
  std::string node;
  std::chrono::milliseconds pause{0};  // before it
  std::chrono::milliseconds time{0};   // until the node is back
};
std::ostream& operator<<(std::ostream& out, const fault& input);

// Faults that come one after the other. Series run side by side; within one,
// the next fault waits until the one before is borne.
struct fault_series {
  std::string name;
  std::vector<fault> faults;
};

// One series for the stores, the control instances, the entries, the endpoints,
// and power cuts of them all.
std::vector<fault_series> DrawFaults(uint64_t seed,
                                     std::chrono::milliseconds length);

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SOAK_FAULT_PLAN_H_
