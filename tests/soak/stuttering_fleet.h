#ifndef HICKORYWOOD_TESTS_SOAK_STUTTERING_FLEET_H_
#define HICKORYWOOD_TESTS_SOAK_STUTTERING_FLEET_H_

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

#include "support/stuttering_server.h"

namespace hickorywood::testing {

class stuttering_fleet {
 public:
  explicit stuttering_fleet(uint64_t seed);
  ~stuttering_fleet();
  stuttering_fleet(const stuttering_fleet&) = delete;
  stuttering_fleet& operator=(const stuttering_fleet&) = delete;

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
  net::stutter RandomScript();
  net::scripted_answer Answer(endpoint& self, const net::request& input,
                              bool is_second);
  void OnLoop(const std::function<void()>& work);

  boost::asio::io_context loop_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  const std::vector<net::stutter> scripts_ = net::AllStutters();
  std::map<std::string, std::shared_ptr<endpoint>> endpoints_;
  std::map<std::string, int> runs_;
  int started_ = 0;
  std::thread thread_;  // declared last because it uses the members above
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SOAK_STUTTERING_FLEET_H_
