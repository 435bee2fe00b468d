#ifndef HICKORYWOOD_STORE_REMOTE_RUNNER_H_
#define HICKORYWOOD_STORE_REMOTE_RUNNER_H_

// Runs tasks on this store for the leader of the data group, which is another
// one: asks it for orders, and tells it what comes of them.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/event.h"
#include "peering/leader_caller.h"
#include "store/runner_book.h"
#include "store/task_runner.h"

namespace hickorywood::store {

struct remote_runner_options {
  std::string address;  // peer address of this store
  std::string zone;
};

class remote_runner {
 public:
  // `is_leader`: whether this store leads, and needs no orders.
  remote_runner(boost::asio::io_context& loop, const core::runtime_clock& clock,
                net::connection_pool& pool, const fleet::protocol& wire,
                peering::leader_caller& leader, remote_runner_options options,
                std::function<bool()> is_leader);

  void Start();
  // The process stops: nothing more runs here.
  void Stop();

 private:
  boost::asio::awaitable<void> KeepAsking();
  boost::asio::awaitable<void> KeepReporting();
  boost::asio::awaitable<void> KeepWatching();
  void TakeAnswer(orders_answer answer);
  void StartWaiting();
  bool HasRuns() const { return runs_.Running() > 0 || !waiting_.empty(); }
  void TakeReport(run_report report);
  std::vector<run_report> TakeNews();
  // Ends all runs and begins a new session.
  void StartAnew();

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  peering::leader_caller& leader_;
  const remote_runner_options options_;
  const std::function<bool()> is_leader_;
  task_runner runs_;
  std::deque<run_order> waiting_;  // to start, as engines answer
  std::string session_;
  uint64_t term_ = 0;      // of the leader whose runs these are
  uint64_t received_ = 0;  // number of its last answer
  uint64_t reported_ = 0;
  core::time_point heard_at_{};          // the leader
  std::map<uint64_t, run_report> news_;  // by run
  bool has_ends_ = false;        // `news_` has some that the leader waits for
  core::time_point news_due_{};  // of runs that are not over
  net::event has_news_;
  bool is_stopped_ = false;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_REMOTE_RUNNER_H_
