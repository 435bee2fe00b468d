#ifndef HICKORYWOOD_HICKORYD_MEMBERSHIP_SERVICE_H_
#define HICKORYWOOD_HICKORYD_MEMBERSHIP_SERVICE_H_

// Maintains the endpoint table, exchanges it with other instances, renews the
// configuration lease, and publishes the routing view. Runs on the control
// thread.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/view.h"
#include "hickoryd/context.h"
#include "hickoryd/leader_client.h"
#include "membership/exchange.h"

namespace hickorywood::hickoryd {

class membership_service {
 public:
  membership_service(instance_context& context, leader_client& leader);

  // Schedules the exchange rounds and the lease renewal. Call before the
  // control loop starts.
  void Start();

  // Applies an announcement from an endpoint. False with the reason when it is
  // rejected.
  bool Announce(const membership::announcement& input);

  membership::exchange_message AnswerExchange(
      const membership::exchange_message& request);

  const membership::endpoint_table& Table() const { return exchange_.table; }
  const control::serving_view& View() const { return view_; }

  // Releases the lease before a planned stop; no work is admitted afterwards.
  void ReleaseLease();

 private:
  membership::instance_info SelfInfo() const;
  void RunRound();
  void ExchangeWith(const std::string& peer);
  void HandleTableChanges(const std::vector<std::string>& changed);
  void ExpireEndpoints();
  void RenewLease();
  void ApplyView(core::boot_time_point sent_at,
                 const std::optional<control::view_reply>& reply);
  bool IsSiteUnreachable(core::time_point now) const;
  void Publish();

  instance_context& context_;
  leader_client& leader_;
  membership::exchange_state exchange_;
  control::serving_view view_;
  std::optional<settings::site_config> config_;
  core::boot_time_point lease_until_{};
  bool is_released_ = false;
  bool is_renewing_ = false;
  bool was_lease_live_ = false;
  bool needs_publish_ = true;
  bool is_round_due_ = false;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_MEMBERSHIP_SERVICE_H_
