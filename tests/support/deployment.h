#ifndef HICKORYWOOD_TESTS_SUPPORT_DEPLOYMENT_H_
#define HICKORYWOOD_TESTS_SUPPORT_DEPLOYMENT_H_

// A whole deployment of real processes that find each other by seeds: control
// instances, stores and entries, each on a loopback address of its own, before
// stand-in endpoints.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/process.h"
#include "support/stand_in_endpoints.h"
#include "support/web.h"

namespace hickorywood::testing {

// The program under test.
std::string ProgramPath();

class deployment {
 public:
  deployment();
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Starts everything, puts configuration 1 in force and waits until the
  // entries are ready. False when that does not happen.
  bool Start();

  void StartNode(const std::string& id);
  void KillNode(const std::string& id);
  // Whether the process that runs now has logged that it started.
  bool HasStarted(const std::string& id) const;
  // Starts the control instance that Start() leaves out: empty, in a group that
  // was founded before.
  void StartSpareControl();
  // Kills all that runs, removes the data folder of `wiped`, and starts it all
  // again.
  void CutPower(const std::string& wiped);
  // Storage identities under which a store or a control instance has voted so
  // far, as the logs of its group list the voters.
  size_t IdentitiesOf(const std::string& node) const;
  // Whether `id` is in the latest list of voters in the log of `teller`.
  bool IsVoter(const std::string& teller, const std::string& id) const;
  // Removes the data folder of a stopped instance.
  void LoseDisk(const std::string& id);
  process& Node(const std::string& id) { return *nodes_.at(id).running; }
  bool IsReady(const std::string& entry);
  // Endpoints beside the stand-ins: the bodies of their next heartbeats, by
  // incarnation. Set before Start().
  std::function<std::map<std::string, std::string>()> more_heartbeats;

  // Sends it to the control instances in turn until one takes it.
  bool PutConfiguration(int version, bool with_plain_route);
  // What a control instance says is in force; 0: it can't tell.
  int VersionAt(const std::string& control);

  // The requests that a control instance says are held back or suspected.
  nlohmann::json Quarantine(const std::string& control);
  bool Lift(const std::string& control, const std::string& digest);

  // A request to an entry that names itself, without a body.
  transport::http_request MakeRequest(const std::string& entry,
                                      const std::string& path,
                                      const std::string& request_id) const;
  transport::http_response Plain(const std::string& entry,
                                 const std::string& request_id);
  transport::http_response PlainWithBody(const std::string& entry,
                                         const std::string& request_id,
                                         const std::string& body);
  // The caller leaves after `patience`. `path` is that of a route: "/p/x" of
  // plain requests, "/q/x" of streams.
  transport::http_response Impatient(const std::string& entry,
                                     const std::string& path,
                                     const std::string& request_id,
                                     const std::string& body,
                                     std::chrono::milliseconds patience);
  // A request that engines answer by a series of events.
  transport::http_response Stream(const std::string& entry,
                                  const std::string& request_id,
                                  const std::string& body);
  std::future<transport::http_response> PlainLater(
      const std::string& entry, const std::string& request_id);
  // Submits a step of `tasks` tasks until it is accepted. The body of the task
  // `crashing` is kCrashBody.
  bool Submit(const std::string& entry, const std::string& step, int tasks,
              bool with_rewards = false, int crashing = -1);
  // Ends a step until that is acknowledged.
  bool End(const std::string& entry, const std::string& step);
  // All results of a step as one entry lists them, once there are `count`.
  nlohmann::json WaitForResults(const std::string& entry,
                                const std::string& step, size_t count);

  // The results of a step from a position on, as one entry answers.
  transport::http_response ReadResults(const std::string& entry,
                                       const std::string& step, size_t after);
  // The body of a task as one entry answers it.
  transport::http_response ReadBody(const std::string& entry,
                                    const std::string& step, int task);

  static constexpr char kSpareControl[] = "c4";
  // Of requests that take down what runs them, once the stand-ins are told.
  static constexpr char kCrashBody[] = "crash";
  static std::string TaskId(const std::string& step, int task);
  // The body that a task is submitted with; it holds every byte value.
  static std::string BodyOf(const std::string& step, int task);
  static std::string RewardId(const std::string& step, int task);
  const std::vector<std::string>& Stores() const { return stores_; }
  const std::vector<std::string>& Controls() const { return controls_; }
  stand_in_endpoints& Endpoints() { return endpoints_; }
  web& Web() { return web_; }
  std::string LogOf(const std::string& id) const {
    return folder_ + "/" + id + ".log";
  }

 private:
  struct node {
    std::string role;
    std::string ip;
    std::unique_ptr<process> running;
    bool was_started = false;
    std::uintmax_t logged = 0;  // bytes of its log before the latest start
    bool is_up = false;
  };

  void AddNode(const std::string& id, const std::string& role);
  std::vector<std::string> GroupOf(const std::string& id) const;
  std::string Address(const std::string& id, int port) const;
  transport::http_request MakePlain(const std::string& entry,
                                    const std::string& request_id,
                                    const std::string& body) const;
  void SendHeartbeats();

  const std::string folder_;
  int peers_port_ = 0;
  int callers_port_ = 0;
  int control_port_ = 0;
  int ready_port_ = 0;
  std::map<std::string, node> nodes_;
  std::vector<std::string> stores_;
  std::vector<std::string> controls_;
  stand_in_endpoints endpoints_;
  web web_;
  std::atomic<bool> is_over_{false};
  std::thread heartbeats_;
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_DEPLOYMENT_H_
