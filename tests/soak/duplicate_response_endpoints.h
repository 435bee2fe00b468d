#ifndef HICKORYWOOD_TESTS_SOAK_DUPLICATE_RESPONSE_ENDPOINTS_H_
#define HICKORYWOOD_TESTS_SOAK_DUPLICATE_RESPONSE_ENDPOINTS_H_

// Endpoints that send two responses, in a random way for each request. The
// content of the responses is the same as that of the simulated endpoints of a
// deployment.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "support/duplicate_response_server.h"

namespace hickorywood::testing {

class duplicate_response_endpoints {
 public:
  explicit duplicate_response_endpoints(uint64_t seed);
  ~duplicate_response_endpoints();
  duplicate_response_endpoints(const duplicate_response_endpoints&) = delete;
  duplicate_response_endpoints& operator=(const duplicate_response_endpoints&) =
      delete;

  void Start(const std::string& service);
  // Terminates an endpoint of the service with all its connections and starts a
  // new one.
  void Replace(const std::string& service);
  // Returns the bodies of the next heartbeats, by incarnation.
  std::map<std::string, std::string> Heartbeats();
  // Returns the number of times that a request with this id was run.
  int RunsOf(const std::string& request_id);

 private:
  struct endpoint;

  void Open(const std::string& service);
  net::duplicate_response RandomScript();
  net::scripted_answer Answer(endpoint& self, const net::request& input,
                              bool is_second);
  void OnLoop(const std::function<void()>& work);

  boost::asio::io_context loop_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  const std::vector<net::duplicate_response> scripts_ =
      net::AllDuplicateResponses();
  std::map<std::string, std::shared_ptr<endpoint>> endpoints_;
  std::map<std::string, int> runs_;
  int started_ = 0;
  std::thread thread_;  // declared last because it uses the members above
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SOAK_DUPLICATE_RESPONSE_ENDPOINTS_H_
