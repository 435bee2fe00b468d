// The stores that the control leader knows, and the quarantine of requests.

#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "access/configuration_lease.h"
#include "controller/leader_service.h"
#include "core/binary.h"
#include "core/events.h"
#include "group/leader_calls.h"
#include "quarantine/quarantine_log.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;
using group::Done;
using group::Malformed;
using peering::call_outcome;
using peering::envelope;

// A store that requested no view for this long is removed from the list. The
// time is well above the duration of an election, so that a new leader does not
// remove any store.
constexpr std::chrono::seconds kStoreLifetime{20};
constexpr milliseconds kRetireTimeout{700};

}  // namespace

void leader_service::RecordStore(const fleet::view_request& input) {
  if (input.address.empty()) return;
  store_record& entry = stores_[input.instance];
  const bool is_new = entry.address != input.address;
  entry = {input.address, input.vacant_storage, clock_.Now()};
  if (is_new) {
    LogEvent(event_id::kStoreJoined,
             {{"instance", input.instance}, {"address", input.address}});
    views_.OnMembersChanged();
  }
  FoundDataGroup();
}

std::vector<consensus::member> leader_service::FirstDataVoters() const {
  std::vector<consensus::member> voters;
  const time_point oldest = clock_.Now() - access::kContactLease;
  for (const auto& [instance, entry] : stores_) {
    if (entry.last_request_at < oldest) continue;
    const bool is_in_group = entry.vacant_storage.empty();
    if (is_in_group) return {};
    voters.push_back({entry.address, entry.vacant_storage});
  }
  if (voters.size() < group_.SpreadVoters()) return {};
  voters.resize(group_.SpreadVoters());
  return voters;
}

// The data group begins with all the voters that it needs, so that it never
// depends on one disk. There may be one group, so the choice is committed.
void leader_service::FoundDataGroup() {
  const bool may_choose =
      !state_.IsDataGroupFounded() && !is_founding_ && group_.HasEnoughVoters();
  if (!may_choose) return;
  found_data_group_command command;
  command.voters = FirstDataVoters();
  if (command.voters.empty()) return;
  is_founding_ = true;
  asio::co_spawn(
      loop_, CommitCall(kFoundDataGroupCommand, core::EncodeBinary(command)),
      [this](const std::exception_ptr& /*failure*/,
             const envelope& /*answer*/) { is_founding_ = false; });
}

void leader_service::ExpireStores() {
  const time_point now = clock_.Now();
  const size_t removed = std::erase_if(stores_, [now](const auto& item) {
    return now - item.second.last_request_at > kStoreLifetime;
  });
  if (removed > 0) views_.OnMembersChanged();
}

awaitable<envelope> leader_service::Retire(std::string method,
                                           std::string payload) {
  const auto input = core::DecodeBinary<peering::named_item>(payload);
  if (!input) co_return Malformed();
  const auto found = stores_.find(input->name);
  if (found == stores_.end()) {
    co_return envelope{call_outcome::kNotFound, "", "no such store", ""};
  }
  envelope answer = co_await stores_caller_.Call(
      std::move(method), peering::EncodeName(found->second.address),
      clock_.Now() + kRetireTimeout, kRetireTimeout);
  LogEvent(event_id::kRetirementRequested,
           {{"instance", input->name}, {"reason", answer.reason}});
  co_return answer;
}

void leader_service::OnQuarantineChanges(
    const std::vector<quarantine::quarantine_change>& changes) {
  quarantine::LogQuarantineChanges(crashes_, changes);
  views_.OnWarningsChanged();
}

awaitable<envelope> leader_service::HandleCrashUpdate(std::string payload) {
  const auto input = core::DecodeBinary<fleet::crash_update>(payload);
  if (!input) co_return Malformed();
  const time_point now = clock_.Now();
  for (const fleet::crash_report& report : input->reports) {
    OnQuarantineChanges(quarantine::RecordCrash(crashes_, report, now));
  }
  for (const fleet::cleared_crashes& item : input->forgiven) {
    OnQuarantineChanges(quarantine::ClearCrashes(crashes_, item, now));
  }
  for (const std::string& digest : input->served) {
    OnQuarantineChanges(quarantine::Release(
        crashes_, digest, quarantine::release_reason::kServed, now));
  }
  co_return Done();
}

awaitable<envelope> leader_service::Lift(std::string payload) {
  const auto input = core::DecodeBinary<peering::named_item>(payload);
  if (!input) co_return Malformed();
  if (!quarantine::HasCrashes(crashes_, input->name)) {
    co_return envelope{call_outcome::kNotFound, "", "no such request", ""};
  }
  OnQuarantineChanges(quarantine::Release(crashes_, input->name,
                                          quarantine::release_reason::kOperator,
                                          clock_.Now()));
  co_return Done();
}

}  // namespace hickorywood::controller
