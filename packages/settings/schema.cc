#include "settings/schema.h"

namespace hickorywood::settings {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kMillisPerHour = 3600 * kMillisPerSecond;
constexpr double kMillisPerDay = 24 * kMillisPerHour;
constexpr double kGibibyte = 1024.0 * 1024 * 1024;

}  // namespace

const std::vector<setting_info>& InstanceSchema() {
  using type = value_type;
  static const auto* const kSchema = new std::vector<setting_info>{
      {"instance.id", type::kName, nullptr, 0, 0,
       "Name of this instance, unique in the fleet."},
      {"instance.site", type::kName, nullptr, 0, 0,
       "Site that the instance belongs to."},
      {"instance.zone", type::kName, nullptr, 0, 0,
       "Availability zone of the instance."},
      {"listen.callers", type::kAddress, nullptr, 0, 0,
       "Address for callers, endpoints and operators. Port 0 takes a free "
       "one."},
      {"listen.peers", type::kAddress, nullptr, 0, 0,
       "Address for the system's own links."},
      {"listen.threads", type::kInteger, "4", 1, 64,
       "Accepted for existing files: each listener has one thread."},
      {"data_folder", type::kText, "", 0, 0,
       "Folder for the control state. Needed by control instances only; empty "
       "for the others."},
      {"ports_file", type::kText, "", 0, 0,
       "File that receives the ports taken, one `name=port` a line. Empty: "
       "none."},
      {"peers.*.address", type::kAddress, nullptr, 0, 0,
       "Peer address of another instance."},
      {"peers.*.site", type::kName, nullptr, 0, 0, "Site of that instance."},
      {"peers.*.zone", type::kName, nullptr, 0, 0,
       "Availability zone of that instance."},
      {"peers.*.control", type::kFlag, "false", 0, 0,
       "Whether it is a control instance."},
      {"tokens.operators", type::kText, "", 0, 0,
       "File with the operators' token. Empty: none required."},
      {"tokens.endpoints", type::kText, "", 0, 0,
       "File with the token of announcements and orders."},
      {"tokens.trainers", type::kText, "", 0, 0,
       "File with the token of trainers and callers."},
      {"tokens.peers", type::kText, "", 0, 0,
       "File with the token of the system's own links."},
      {"consensus.election_timeout", type::kDuration, "400ms", 50,
       60 * kMillisPerSecond,
       "Minimum election timeout: time without a message of the leader."},
      {"consensus.heartbeat", type::kDuration, "80ms", 5, 10 * kMillisPerSecond,
       "Time between a leader's messages to an idle follower."},
      {"consensus.leader_lease", type::kDuration, "300ms", 20,
       60 * kMillisPerSecond,
       "How long a leader may act after a confirmation by a quorum. Less than "
       "the election timeout."},
      {"consensus.snapshot_every", type::kInteger, "10000", 10, 1e7,
       "Log entries between two snapshots."},
      {"consensus.configuration_lease", type::kDuration, "1500ms", 100,
       60 * kMillisPerSecond,
       "How long an instance may serve its configuration revision without "
       "renewal."},
      {"limits.memory_mb", type::kInteger, "1024", 64, 1024 * 1024,
       "Memory that the process may use, MB. Requests and answers of each "
       "listener use up to a fifth of it, and connections a tenth."},
      {"limits.request_bytes", type::kInteger, "8388608", 1024, kGibibyte,
       "Maximum size of a request, in bytes."},
      {"limits.held_body_bytes", type::kInteger, "268435456", 1024,
       64 * kGibibyte,
       "Maximum size of sample bodies and step prompts in memory, in bytes."},
      {"limits.control_queue", type::kInteger, "20000", 10, 1e6,
       "Maximum number of tasks that wait for the control thread; beyond it, "
       "requests are rejected."},
      {"drain.limit", type::kDuration, "30s", 0, kMillisPerDay,
       "How long a planned stop waits for requests in flight."},
      {"drain.notice", type::kDuration, "1s", 0, kMillisPerHour,
       "How long a planned stop reports \"not ready\" before it refuses new "
       "work."},
  };
  return *kSchema;
}

const std::vector<setting_info>& FleetSchema() {
  using type = value_type;
  static const auto* const kSchema = new std::vector<setting_info>{
      {"pools.*.model", type::kName, nullptr, 0, 0,
       "Model that the pool's engines serve."},
      {"pools.*.staleness_bound", type::kInteger, nullptr, 0, 1000,
       "How many weight versions a delivered sample may lie behind its "
       "trainer."},
      {"pools.*.weights_deadline", type::kDuration, "60s", 1000, kMillisPerHour,
       "Time within which each healthy engine has a published version."},
      {"pools.*.engine_concurrency", type::kInteger, "16", 1, 4096,
       "Maximum number of concurrent requests per engine of the pool."},
      {"pools.*.queue_wait", type::kDuration, "2s", 0, kMillisPerHour,
       "Maximum expected wait at which a generation is accepted."},
      {"pools.*.swap_floor", type::kNumber, "0.5", 0, 1,
       "Share of the pool's engines that keeps serving during a weight swap."},
      {"pools.*.progress_timeout", type::kDuration, "5s", 50, kMillisPerHour,
       "Maximum time without progress of an engine's stream; then the "
       "generation is sent to another engine."},
      {"pools.*.hedge_after", type::kNumber, "2.5", 1, 100,
       "A sample is hedged once it runs this many times the median duration of "
       "its step."},
      {"pools.*.hedge_token_budget", type::kNumber, "0.05", 0, 1,
       "Share of a step's tokens that hedged copies may generate in addition."},
      {"pools.*.sites", type::kTextList, "", 0, 0,
       "Sites that have the pool. Empty: every site."},
      {"services.*.timeout", type::kDuration, "5s", 10, kMillisPerHour,
       "Time within which the service answers a call."},
      {"services.*.non_idempotent", type::kTextList, "", 0, 0,
       "Routes that may not be repeated: `METHOD /path-prefix`."},
      {"services.*.endpoint_concurrency", type::kInteger, "64", 1, 65536,
       "Maximum number of concurrent calls per endpoint of the service."},
      {"services.*.sites", type::kTextList, "", 0, 0,
       "Sites that have the service. Empty: every site."},
      {"trainers.*.weight", type::kInteger, "1", 1, 1000,
       "Share of the engines under contention."},
      {"trainers.*.pool", type::kName, nullptr, 0, 0,
       "Pool that the trainer draws from."},
      {"routing.retry_budget", type::kNumber, "0.1", 0, 1,
       "Retries allowed as a share of successful requests, per pool or "
       "service."},
      {"routing.ejection_failures", type::kInteger, "3", 1, 1000,
       "Consecutive failures after which an endpoint is ejected."},
      {"routing.ejection_time", type::kDuration, "5s", 100, kMillisPerHour,
       "How long an endpoint stays ejected before it is tried again."},
      {"routing.ejection_floor", type::kNumber, "0.5", 0, 1,
       "Minimum share of the endpoints that is never ejected."},
      {"routing.connect_timeout", type::kDuration, "500ms", 10,
       60 * kMillisPerSecond,
       "Time within which a connection to an endpoint is established."},
      {"claims.retention", type::kDuration, "24h", 60 * kMillisPerSecond,
       30 * kMillisPerDay,
       "How long the outcome of a non-idempotent call is stored."},
      {"claims.maximum", type::kInteger, "100000", 10, 1e7,
       "Maximum number of stored claims; beyond it, new non-idempotent calls "
       "are rejected."},
      {"claims.answer_bytes", type::kInteger, "65536", 0, 1 << 20,
       "Maximum size of a recorded answer; for a larger one only the outcome "
       "is stored."},
      {"weights.orders_per_second", type::kNumber, "50", 0.01, 1e5,
       "Maximum number of swap orders started per second in total, to protect "
       "the weight store from overload."},
      {"weights.order_timeout", type::kDuration, "30s", 100, kMillisPerHour,
       "Time after which an order that an engine does not report as done is "
       "sent again."},
      {"objectives.trainer_idle_share", type::kNumber, "0.05", 0, 1,
       "Share of trainer time that may be spent waiting for samples."},
      {"objectives.staleness_versions", type::kNumber, "1", 0, 1000,
       "Versions behind the trainer up to which a sample counts as fresh."},
      {"objectives.fresh_share", type::kNumber, "0.99", 0, 1,
       "Share of samples that must be fresh."},
      {"objectives.steps_on_time_share", type::kNumber, "0.99", 0, 1,
       "Share of steps that must be complete by their deadline."},
      {"objectives.acknowledgement_time", type::kDuration, "500ms", 1,
       kMillisPerHour,
       "Time within which a plain service's call should be answered."},
      {"objectives.acknowledgement_share", type::kNumber, "0.99", 0, 1,
       "Share of plain calls that must be answered in that time."},
  };
  return *kSchema;
}

const char* TypeName(value_type type) {
  switch (type) {
    case value_type::kText:
      return "text";
    case value_type::kName:
      return "name";
    case value_type::kInteger:
      return "integer";
    case value_type::kNumber:
      return "number";
    case value_type::kFlag:
      return "true or false";
    case value_type::kDuration:
      return "duration";
    case value_type::kAddress:
      return "address";
    case value_type::kTextList:
      return "list of text";
  }
  return "text";
}

}  // namespace hickorywood::settings
