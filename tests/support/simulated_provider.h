#ifndef HICKORYWOOD_TESTS_SUPPORT_SIMULATED_PROVIDER_H_
#define HICKORYWOOD_TESTS_SUPPORT_SIMULATED_PROVIDER_H_

// Simulated provider of the platform within the test's process: it accepts
// reports of usage and refuses those with an older fencing token.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/listener.h"

namespace hickorywood::testing {

class simulated_provider {
 public:
  // Counts of the requests that began to run in a window, by customer.
  using counts = std::map<std::string, uint64_t>;

  simulated_provider();
  ~simulated_provider();
  simulated_provider(const simulated_provider&) = delete;
  simulated_provider& operator=(const simulated_provider&) = delete;

  std::string Address() const;
  // The next `times` reports are accepted, but get no response.
  void LoseResponses(int times);
  // All accepted reports of each window, in the order of their arrival.
  std::map<int64_t, std::vector<counts>> Reports();

 private:
  boost::asio::awaitable<void> Serve(net::exchange& call);

  boost::asio::io_context loop_;
  net::listener listening_;
  std::mutex mutex_;
  std::map<int64_t, std::vector<counts>> reports_;
  uint64_t highest_token_ = 0;
  int responses_to_lose_ = 0;
  std::thread thread_;  // declared last because it uses the members above
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_SIMULATED_PROVIDER_H_
