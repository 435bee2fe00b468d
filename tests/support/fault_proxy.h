#ifndef HICKORYWOOD_TESTS_SUPPORT_FAULT_PROXY_H_
#define HICKORYWOOD_TESTS_SUPPORT_FAULT_PROXY_H_

// A TCP proxy on loopback that injects faults. All links share one thread.

#include <chrono>
#include <cstdint>
#include <memory>

namespace hickorywood::testing {

enum class link_fault {
  kNone,
  kCut,        // closes all connections and refuses new ones
  kBlackhole,  // accepts connections and keeps them open, but forwards no data
  kBlackholeExisting,  // connections that are open now forward no data any
                       // more; new connections work
  kDropResponses,      // forwards requests and drops the responses
};

class fault_proxy {
 public:
  fault_proxy();
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  // Adds a link and returns its port. Connections are refused until the link
  // has a target.
  uint16_t AddLink();
  void SetTarget(uint16_t link, uint16_t target_port);
  void SetFault(uint16_t link, link_fault fault);
  // Delays each piece of data by this time.
  void SetDelay(uint16_t link, std::chrono::milliseconds delay);

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_FAULT_PROXY_H_
