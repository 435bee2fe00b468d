#ifndef HICKORYWOOD_HICKORYD_CALL_QUARANTINE_H_
#define HICKORYWOOD_HICKORYD_CALL_QUARANTINE_H_

// Quarantines requests of the native API that crash endpoints. Each instance
// records the crashes that it detects, reports them to all other instances, and
// decides from its own records and the reports that it received. Runs on the
// traffic thread.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/request_warning.h"
#include "hickoryd/context.h"
#include "membership/endpoint_table.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/quarantine_decision.h"
#include "quarantine/request_digest.h"

namespace hickorywood::hickoryd {

// The update that one instance sends to another.
struct quarantine_update {
  // Crashes and releases that the sender observed since its last update.
  fleet::crash_update seen;
  // Connections that broke while a request ran. Whether the endpoint crashed is
  // confirmed later, and the request may be retried before that.
  std::vector<fleet::crash_report> doubts;
  bool wants_all = false;  // the sender has just started

  bool IsEmpty() const {
    return !wants_all && seen.reports.empty() && seen.served.empty() &&
           doubts.empty();
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(quarantine_update, seen, doubts,
                                                wants_all)

// The response to an update with `wants_all`.
struct quarantine_list {
  std::vector<fleet::request_warning> warnings;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(quarantine_list, warnings)

class call_quarantine {
 public:
  static constexpr char kUpdatePath[] = "/peer/v1/quarantine";

  explicit call_quarantine(instance_context& context);

  // Schedules the timers. Call before the traffic loop starts.
  void Start();

  quarantine::quarantine_decision Check(
      const quarantine::request_identity& input) const;

  // The connection to `target` broke before the response to a request was
  // complete. It counts as a crash until the crash is confirmed or
  // `kConfirmationTime` has passed.
  void RecordBrokenConnection(const quarantine::request_identity& input,
                              const membership::announcement& target);
  // The request timed out, so no response from `target` is expected any more. A
  // crash that is detected soon afterwards is attributed to the request.
  void RecordAbandoned(const quarantine::request_identity& input,
                       const membership::announcement& target);
  // An endpoint answered the request and did not crash.
  void RecordServed(const quarantine::request_identity& input);

  // Applies the update of another instance.
  quarantine_list ApplyUpdate(const quarantine_update& input);

 private:
  // An endpoint that returned no complete response, and the requests that were
  // running on it.
  struct broken_endpoint {
    membership::announcement target;
    std::vector<fleet::crash_report> running_requests;
    int probes_left = 0;
    core::time_point probe_at{};
    core::time_point watched_until{};
  };
  // The update that is still to be sent to another instance.
  struct outbox {
    quarantine_update next;
    bool is_calling = false;
  };

  // Starts probing `target`. False when the endpoint is no longer in the
  // routing view, for example after it announced its departure; it may then
  // terminate at any time.
  bool Watch(const fleet::crash_report& suspected_request,
             const membership::announcement& target);
  void AddUnconfirmed(const fleet::crash_report& report);
  void ExpireUnconfirmedCrashes();
  // The confirmed and unconfirmed crashes of a request, by incarnation.
  std::set<std::string> CrashesOf(const std::string& digest) const;
  static void AddRunningRequest(broken_endpoint& entry,
                                fleet::crash_report suspected_request);
  void CheckBrokenEndpoints();
  void SendProbe(const std::string& incarnation, broken_endpoint& entry);
  void HandleProbeResult(const std::string& incarnation,
                         const transport::http_response& response);
  void OnCrashConfirmed(const std::string& incarnation);
  void ApplyServed(const std::string& digest);
  void QueueForAll(const quarantine_update& update);
  void SendQueuedUpdates();
  void SendUpdate(const std::string& peer);
  void HandleUpdateReply(const std::string& peer,
                         const quarantine_update& sent_update,
                         const transport::http_response& response);
  void Expire();

  instance_context& context_;
  const std::string key_;  // of the request digests
  quarantine::crash_ledger ledger_;
  std::map<std::string, broken_endpoint> broken_endpoints_;  // by incarnation
  // Unconfirmed crashes: by request digest, the incarnations whose connections
  // broke and the time until which each counts.
  std::map<std::string, std::map<std::string, core::time_point>> unconfirmed_;
  std::map<std::string, outbox> outboxes_;  // by instance
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_CALL_QUARANTINE_H_
