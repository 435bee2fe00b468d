#ifndef HICKORYWOOD_TESTS_SUPPORT_STAND_IN_ENDPOINTS_H_
#define HICKORYWOOD_TESTS_SUPPORT_STAND_IN_ENDPOINTS_H_

// Endpoints as the platform has them, within the test's process: plain services
// that echo, and engines that stream events. They refuse requests for another
// incarnation, take orders and report.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/listener.h"

namespace hickorywood::testing {

class stand_in_endpoints {
 public:
  stand_in_endpoints();
  ~stand_in_endpoints();
  stand_in_endpoints(const stand_in_endpoints&) = delete;
  stand_in_endpoints& operator=(const stand_in_endpoints&) = delete;

  // Starts an endpoint of `service` and returns its incarnation.
  std::string Start(const std::string& service);
  // The body of its next heartbeat.
  std::string HeartbeatOf(const std::string& incarnation);
  std::vector<std::string> Incarnations();

  // Time that a plain request takes.
  void SetWorkTime(std::chrono::milliseconds time);
  // Time between two events of a stream.
  void SetEventTime(std::chrono::milliseconds time);
  // Each stream breaks off once, after this many events.
  void BreakStreamsAfter(int events);

  // Requests with this body take their endpoint down: all its connections break
  // and nothing listens there until it is back, at the same address under a new
  // incarnation, after a while.
  void CrashOnBody(const std::string& body);
  // Engines send so many events of such a request before they end.
  void CrashAfterEvents(int events);
  // Endpoints that ended so.
  int Crashes();
  // Endpoints that run now.
  size_t Running();

  // The next plain requests of these ids get a failed answer, so often each.
  void FailPlain(const std::string& request_id, int times);

  // How often a request of this id was run.
  int RunsOf(const std::string& request_id);

  // Reward requests whose body names a task that no stream had ended yet.
  int EarlyRewards();

  static constexpr int kEvents = 20;  // of each stream
  // The whole output of a task, as trainers read it.
  static std::string OutputOf(const std::string& request_id);
  // The events of its stream from `first` on, as they are sent.
  static std::string StreamOf(const std::string& request_id, int first);
  static std::string Heartbeat(const std::string& service,
                               const std::string& address, int64_t version,
                               int sequence);

 private:
  struct endpoint;

  std::shared_ptr<endpoint> Open(const std::string& service,
                                 const std::string& address);
  bool IsCrashing(const net::request& input);
  // Ends `self` and starts its successor later.
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
  void NoteRun(const std::string& request_id);

  boost::asio::io_context loop_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<endpoint>> endpoints_;
  std::map<std::string, int> runs_;
  std::map<std::string, bool> was_broken_;
  std::map<std::string, int> failures_left_;  // by request
  std::set<std::string> whole_texts_;         // by task
  std::string crash_body_;                    // empty: no request crashes
  int crash_after_ = 0;                       // events
  int crashes_ = 0;
  int started_ = 0;
  int early_rewards_ = 0;
  std::chrono::milliseconds work_time_{1};
  std::chrono::milliseconds event_time_{2};
  int break_after_ = 0;
  std::thread thread_;  // last: it uses all of the above
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_STAND_IN_ENDPOINTS_H_
