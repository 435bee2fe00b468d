#ifndef HICKORYWOOD_ENTRY_STEP_GATEWAY_H_
#define HICKORYWOOD_ENTRY_STEP_GATEWAY_H_

// Forwards trainers' calls about steps to the leader that stores the steps.

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <string>

#include "core/clock.h"
#include "fleet/protocol.h"
#include "net/listener.h"
#include "peering/leader_caller.h"
#include "steps/task_stream.h"

namespace hickorywood::entry {

class step_gateway {
 public:
  // `decode_memory`: bytes that decoding a submission may take.
  step_gateway(const core::runtime_clock& clock, const fleet::protocol& wire,
               peering::leader_caller& caller, size_t decode_memory);

  // `customer`: on whose behalf the caller acts; empty: none.
  boost::asio::awaitable<void> Open(net::exchange& call,
                                    steps::accepted_route route,
                                    std::string customer);
  // `input` must not be an other_call.
  boost::asio::awaitable<void> Serve(net::exchange& call,
                                     fleet::step_call input,
                                     std::string customer);

 private:
  boost::asio::awaitable<net::response> Read(fleet::read_results_call input,
                                             std::string customer);
  boost::asio::awaitable<net::response> ReadTask(fleet::read_task_call input,
                                                 std::string customer);
  boost::asio::awaitable<net::response> End(fleet::end_step_call input,
                                            std::string customer);
  // Sends the tasks, and releases each of them once it was sent. The attempts
  // of one part are repeated like those of any call.
  boost::asio::awaitable<peering::envelope> SendInParts(
      steps::submission& input);
  // Returns whether the part was stored. It is cleared then.
  boost::asio::awaitable<bool> SendPart(steps::staged_part& part,
                                        core::time_point deadline,
                                        peering::envelope& failure);
  net::response FailureOf(const peering::envelope& answer) const;

  const core::runtime_clock& clock_;
  const fleet::protocol& wire_;
  peering::leader_caller& caller_;
  const size_t decode_memory_;
};

}  // namespace hickorywood::entry

#endif  // HICKORYWOOD_ENTRY_STEP_GATEWAY_H_
