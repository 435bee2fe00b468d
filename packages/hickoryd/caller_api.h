#ifndef HICKORYWOOD_HICKORYD_CALLER_API_H_
#define HICKORYWOOD_HICKORYD_CALLER_API_H_

// The routes of the caller listener, for callers, trainers, endpoints and
// operators. docs/api.md lists them with their responses.

#include <functional>
#include <string>
#include <vector>

#include "hickoryd/api_reply.h"
#include "hickoryd/parts.h"

namespace hickorywood::hickoryd {

class caller_api {
 public:
  // `begin_drain` starts a planned stop of this instance.
  caller_api(instance_parts parts, std::function<void()> begin_drain);

  void Handle(const exchange_ptr& exchange);

 private:
  enum class required_role { kAnyone, kOperators, kEndpoints, kTrainers };
  using path_parts = std::vector<std::string>;
  struct route {
    std::string method;  // "*": any
    path_parts pattern;  // ":name" matches one part, "**" the rest
    required_role who = required_role::kAnyone;
    std::function<void(const exchange_ptr&, const path_parts&)> handle;
  };

  void AddRoute(
      const std::string& method, const std::string& pattern, required_role who,
      std::function<void(const exchange_ptr&, const path_parts&)> handle);
  void AddPlatformRoutes();
  void AddTrafficRoutes();
  void AddOperatorRoutes();
  bool CheckAccess(const exchange_ptr& exchange, required_role who);
  bool RejectIfDraining(const exchange_ptr& exchange);

  void Announce(const exchange_ptr& exchange);
  void CallService(const exchange_ptr& exchange, const std::string& service);
  void Generate(const exchange_ptr& exchange, const std::string& pool);
  void BeginGeneration(const exchange_ptr& exchange, generation_request request,
                       bool is_stream);
  void OpenStep(const exchange_ptr& exchange, const std::string& pool);
  void Pull(const exchange_ptr& exchange, const std::string& pool,
            const std::string& step);
  void PublishWeights(const exchange_ptr& exchange, const std::string& pool);
  void SubmitConfiguration(const exchange_ptr& exchange);
  void ShowConfiguration(const exchange_ptr& exchange);
  void ExcludeSite(const exchange_ptr& exchange, const std::string& site,
                   bool is_excluded);
  void Bootstrap(const exchange_ptr& exchange);
  void ShowStatus(const exchange_ptr& exchange);
  void ShowBurn(const exchange_ptr& exchange);
  void Explain(const exchange_ptr& exchange, const std::string& request_id);
  void ShowSnapshot(const exchange_ptr& exchange);

  instance_parts parts_;
  std::function<void()> begin_drain_;
  std::vector<route> routes_;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_CALLER_API_H_
