#include "group/leader_calls.h"

#include <utility>

#include "core/binary.h"
#include "core/reason.h"

namespace hickorywood::group {

using peering::call_outcome;
using peering::envelope;

envelope Done(std::string payload) {
  return {call_outcome::kDone, "", "", std::move(payload)};
}

envelope Refused(std::string reason) {
  return {call_outcome::kRefused, "", std::move(reason), ""};
}

envelope Malformed() { return Refused(core::LastReason().text); }

envelope NotLeader(const group_host& host) {
  envelope answer;
  answer.outcome = call_outcome::kNotLeader;
  const std::string& leader = host.KnownLeader();
  if (leader != host.OwnAddress()) answer.leader = leader;
  return answer;
}

envelope HandleAnnouncement(group_host& host, const std::string& payload) {
  const auto hint = core::DecodeBinary<peering::join_hint>(payload);
  if (!hint) return Malformed();
  host.OnLeaderAnnounced(*hint);
  return Done();
}

boost::asio::awaitable<envelope> CommitCall(group_host& host, std::string name,
                                            std::string payload) {
  envelope answer;
  if (!host.HasEnoughVoters()) {
    answer.reason = "too few instances have a copy of the state";
    co_return answer;
  }
  const auto result = co_await host.Commit(std::move(name), std::move(payload));
  if (!result.was_proposed) co_return NotLeader(host);
  answer.outcome =
      result.is_committed ? call_outcome::kDone : call_outcome::kUnknown;
  if (!result.is_committed) {
    answer.reason = "leadership ended before the commit was confirmed";
  }
  co_return answer;
}

}  // namespace hickorywood::group
