#ifndef HICKORYWOOD_TESTS_SUPPORT_SIMULATED_ENDPOINTS_H_
#define HICKORYWOOD_TESTS_SUPPORT_SIMULATED_ENDPOINTS_H_

// Simulated endpoints of the platform within the test's process: plain services
// that echo requests, and engines that stream events. They reject requests for
// another incarnation, accept orders and send reports.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/listener.h"

namespace hickorywood::testing {

class simulated_endpoints {
 public:
  // `prefix`: of the incarnations, which differ between several of these.
  explicit simulated_endpoints(std::string prefix = "i");
  ~simulated_endpoints();
  simulated_endpoints(const simulated_endpoints&) = delete;
  simulated_endpoints& operator=(const simulated_endpoints&) = delete;

  // Starts an endpoint of `service` and returns its incarnation.
  std::string Start(const std::string& service);
  // Returns the body of the endpoint's next heartbeat; empty if the endpoint
  // has terminated.
  std::string HeartbeatOf(const std::string& incarnation);
  std::vector<std::string> Incarnations();

  // Sets the processing time of a plain request.
  void SetWorkTime(std::chrono::milliseconds time);
  // Sets the time between two events of a stream.
  void SetEventTime(std::chrono::milliseconds time);
  // Interrupts each stream once, after this many events.
  void BreakStreamsAfter(int events);

  // Requests with this body crash the endpoint that runs them: it stops
  // listening and drops its requests. It restarts after some time at the same
  // address under a new incarnation.
  void CrashOnBody(const std::string& body);
  // Sets the number of events that engines send for a crashing request before
  // they crash.
  void CrashAfterEvents(int events);
  // Sets the total number of crashes, after which requests with that body are
  // served like any other.
  void LimitCrashes(int crashes);
  // Crashes all endpoints of `service`.
  void CrashAll(const std::string& service);
  // The number of crashes so far.
  int Crashes();
  // The number of running endpoints.
  size_t Running();

  // Lets the next `times` requests with this id fail with status 500. A stream
  // fails after the time of an event.
  void Fail(const std::string& request_id, int times);

  // The number of times that a request with this id was run.
  int RunsOf(const std::string& request_id);

  // The customer of a request with this id, as its endpoint received it; empty:
  // none.
  std::string CustomerOf(const std::string& request_id);
  // The number of requests that arrived with their caller's key.
  int KeysSeen();

  // The number of reward requests that arrived before the stream of their task
  // was complete.
  int EarlyRewards();

  static constexpr int kEvents = 20;  // number of events in each stream
  // The complete output of a task in the format that trainers read.
  static std::string OutputOf(const std::string& request_id);
  // The events of a task's stream from `first` on, as sent on the wire.
  static std::string StreamOf(const std::string& request_id, int first);
  static std::string Heartbeat(const std::string& service,
                               const std::string& address, int64_t version,
                               int sequence);

 private:
  struct endpoint;

  std::shared_ptr<endpoint> Open(const std::string& service,
                                 const std::string& address);
  bool IsCrashing(const net::request& input);
  // Crashes `self` and restarts it after the down time.
  void Crash(const std::shared_ptr<endpoint>& self);
  boost::asio::awaitable<void> CrashSoon(std::shared_ptr<endpoint> self,
                                         std::chrono::milliseconds time);
  boost::asio::awaitable<void> Restart(std::string service,
                                       std::string address);
  boost::asio::awaitable<void> Serve(std::shared_ptr<endpoint> self,
                                     net::exchange& call);
  boost::asio::awaitable<void> ServePlain(std::shared_ptr<endpoint> self,
                                          net::exchange& call);
  boost::asio::awaitable<void> ServeStream(std::shared_ptr<endpoint> self,
                                           net::exchange& call);
  void CountRun(const net::request& input);

  const std::string prefix_;
  boost::asio::io_context loop_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<endpoint>> endpoints_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> customers_;  // by request
  int keys_seen_ = 0;
  std::map<std::string, bool> was_interrupted_;
  std::map<std::string, int> failures_left_;  // by request
  std::set<std::string> complete_ids_;        // by task
  std::string crash_body_;                    // empty: no request crashes
  int crash_after_ = 0;                       // number of events
  int max_crashes_ = std::numeric_limits<int>::max();
  int crashes_ = 0;
  int started_ = 0;
  int early_rewards_ = 0;
  std::chrono::milliseconds work_time_{1};
  std::chrono::milliseconds event_time_{2};
  int break_after_ = 0;
  std::thread thread_;  // declared last because it uses the members above
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_SIMULATED_ENDPOINTS_H_
