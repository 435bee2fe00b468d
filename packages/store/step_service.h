#ifndef HICKORYWOOD_STORE_STEP_SERVICE_H_
#define HICKORYWOOD_STORE_STEP_SERVICE_H_

// The service that the leader of a data group offers to other processes: it
// accepts steps, returns their results, and retires stores. Each method returns
// kNotLeader if this instance does not hold a live lease.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "core/clock.h"
#include "group/group_host.h"
#include "net/event.h"
#include "peering/messages.h"
#include "store/step_state.h"
#include "store/task_memory.h"

namespace hickorywood::store {

struct step_service_options {
  // Time from the submission of a step after which it is removed if it has
  // ended.
  std::chrono::milliseconds step_retention{120000};
  // The same for a step that has not ended.
  std::chrono::milliseconds open_step_retention{600000};
  // Minimum number of stores that must remain when a store is retired.
  size_t min_stores = 3;
  // Memory that the tasks of all steps may take, bytes.
  size_t task_budget = 64UL * 1024 * 1024;
};

class step_service {
 public:
  step_service(boost::asio::io_context& loop, const core::runtime_clock& clock,
               group::group_host& group, const step_state& state,
               step_service_options options);

  void Start();
  boost::asio::awaitable<peering::envelope> Handle(std::string method,
                                                   std::string payload);
  // Called when the replicated state changed, or when this instance started or
  // stopped leading.
  void OnChange();

 private:
  using answer = boost::asio::awaitable<peering::envelope>;

  // Returns the step if it exists and belongs to this customer. The callers of
  // other customers don't learn that it exists.
  const steps::step* FindStep(const std::string& id,
                              const std::string& customer) const;
  // Returns the reply to a submission whose step exists already.
  std::optional<peering::envelope> FindOpened(
      const steps::submission& input) const;
  // Whether the tasks of all steps leave memory for `bytes` of further ones.
  bool HasMemoryFor(size_t bytes, task_source source);
  answer OpenStep(std::string payload);
  answer StageTasks(std::string payload);
  answer OpenStagedStep(std::string payload);
  bool ReadOutputs(const std::string& step, steps::result_page& page);
  answer ReadResults(std::string payload);
  answer ReadTask(std::string payload);
  answer EndStep(std::string payload);
  answer Retire(std::string payload);
  answer ReadRetirement(std::string payload);

  answer CommitCall(std::string name, std::string payload);
  boost::asio::awaitable<void> RunMaintenanceLoop();
  boost::asio::awaitable<void> RemoveOldSteps();
  size_t StoresWithout(const std::string& node) const;
  peering::envelope NotLeader() const;

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  group::group_host& group_;
  const step_state& state_;
  const step_service_options options_;
  task_memory task_memory_;
  core::time_point task_memory_until_{};  // when its use is summed up again
  net::event changed_;
};

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_STEP_SERVICE_H_
