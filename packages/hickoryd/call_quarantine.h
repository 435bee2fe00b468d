#ifndef HICKORYWOOD_HICKORYD_CALL_QUARANTINE_H_
#define HICKORYWOOD_HICKORYD_CALL_QUARANTINE_H_

// Holds back requests of the own interface that take endpoints down. Each
// instance notes the ends that it sees, tells all others, and decides by what
// it has heard. On the traffic thread.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/request_warning.h"
#include "hickoryd/context.h"
#include "membership/endpoint_table.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/request_digest.h"
#include "quarantine/verdict.h"

namespace hickorywood::hickoryd {

// What an instance tells another one.
struct quarantine_news {
  fleet::crash_news seen;  // by itself, since it last told
  // Connections that broke under a request. Whether the endpoints ended shows
  // later, and the request can be back before that.
  std::vector<fleet::crash_report> doubts;
  bool wants_all = false;  // it has just started

  bool IsEmpty() const {
    return !wants_all && seen.reports.empty() && seen.served.empty() &&
           doubts.empty();
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(quarantine_news, seen, doubts,
                                                wants_all)

// The answer, to one that wants all.
struct quarantine_list {
  std::vector<fleet::request_warning> warnings;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(quarantine_list, warnings)

class call_quarantine {
 public:
  static constexpr char kNewsPath[] = "/peer/v1/quarantine";

  explicit call_quarantine(instance_context& context);

  // Schedules the timers. Call before the traffic loop starts.
  void Start();

  quarantine::verdict Check(const quarantine::request_identity& input) const;

  // The connection to `target` broke under a request before its answer was
  // whole. Until it shows whether the endpoint has ended it counts as an end.
  void NoteBroken(const quarantine::request_identity& input,
                  const membership::announcement& target);
  // No answer from `target` is waited for any more. An end that shows soon
  // counts against the request.
  void NoteSilent(const quarantine::request_identity& input,
                  const membership::announcement& target);
  // An endpoint answered the request and goes on.
  void NoteServed(const quarantine::request_identity& input);

  // Takes what another instance has seen.
  quarantine_list Take(const quarantine_news& input);

 private:
  // An endpoint that gave no whole answer, and the requests that it ran.
  struct broken_endpoint {
    membership::announcement target;
    std::vector<fleet::crash_report> victims;
    int probes_left = 0;
    core::time_point probe_at{};
    core::time_point give_up_at{};
  };
  // What another instance is yet to be told.
  struct outbox {
    quarantine_news next;
    bool is_calling = false;
  };

  // False: the endpoint said that it leaves, and may end at any time.
  bool Watch(const fleet::crash_report& victim,
             const membership::announcement& target);
  void Doubt(const fleet::crash_report& report);
  void ForgetDoubts();
  // Ends and doubts of a request.
  std::set<std::string> EndsOf(const std::string& digest) const;
  static void AddVictim(broken_endpoint& entry, fleet::crash_report victim);
  void CheckBroken();
  void Probe(const std::string& incarnation, broken_endpoint& entry);
  void TakeProbe(const std::string& incarnation,
                 const transport::http_response& response);
  void NoteEnded(const std::string& incarnation);
  void TakeServed(const std::string& digest);
  void TellAll(const quarantine_news& news);
  void TellWaiting();
  void Tell(const std::string& peer);
  void TakeReply(const std::string& peer, const quarantine_news& told,
                 const transport::http_response& response);
  void Expire();

  instance_context& context_;
  const std::string key_;  // of the digests
  quarantine::crash_ledger ledger_;
  std::map<std::string, broken_endpoint> broken_;  // by incarnation
  // Starts whose connections broke, and until when they count, by digest.
  std::map<std::string, std::map<std::string, core::time_point>> doubts_;
  std::map<std::string, outbox> outboxes_;  // by instance
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_CALL_QUARANTINE_H_
