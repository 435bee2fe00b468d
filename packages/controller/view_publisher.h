#ifndef HICKORYWOOD_CONTROLLER_VIEW_PUBLISHER_H_
#define HICKORYWOOD_CONTROLLER_VIEW_PUBLISHER_H_

// Sends the view of this leader to every other process. Each process requests
// it, and the response is delayed until the view has changed for that process.
// Changes of endpoints and of weights are collected for a time that grows with
// the number of followers; a new configuration is sent at once.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/clock.h"
#include "fleet/view.h"
#include "fleet/view_log.h"
#include "net/event.h"
#include "net/slot_queue.h"

namespace hickorywood::controller {

// Number of processes that get an answer in one turn of the loop, some
// milliseconds of work. The consensus messages of the leader wait for the rest
// of a turn; a thousand answers take longer than its followers wait for it.
constexpr size_t kAnswersPerTurn = 32;

// The sources of the current view.
struct view_sources {
  // Record the changes since the last call, or since the term began. Return
  // true when there are any.
  std::function<bool(fleet::view_log&)> update_endpoints;
  std::function<bool(fleet::view_log&)> update_weights;
  std::function<std::vector<fleet::request_warning>()> warnings;
  std::function<fleet::view_members()> members;
  std::function<const fleet::configuration&()> config;
  // Number of processes that requested a view recently.
  std::function<size_t()> followers;
};

// The versions of the lists from which on a change is in them, by scope.
struct published_lists {
  uint64_t all = 0;
  uint64_t plain = 0;
};

struct view_answer {
  std::string encoded;  // a fleet::view_update
  // To be held until the answer has been sent; empty: a small answer.
  std::shared_ptr<net::slot_queue::slot> send_slot;
};

// How soon a change has to be published.
enum class urgency {
  kLow,   // an endpoint joined or changed: it may be used a little later
  kHigh,  // an endpoint must get no new work, or somebody waits for the change
};

// How long changes are collected when `followers` processes receive them, which
// then visit all `endpoints`.
core::milliseconds GatherTime(size_t followers, size_t endpoints,
                              urgency level);

class view_publisher {
 public:
  view_publisher(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, view_sources sources);

  void Start();
  // Begins a term of this leader, which had the view `followed` before.
  // Processes with another view receive the complete one. Until `complete_at`
  // this leader may lack changes that other processes have, and a process
  // without a view gets no response.
  void BeginTerm(uint64_t term, core::time_point complete_at,
                 const fleet::view& followed);

  // Schedules the publication of the changed part.
  void OnEndpointsChanged(urgency level);
  // Publishes the list of endpoints before the next view is sent.
  void PublishEndpoints();
  void OnWarningsChanged();
  void OnMembersChanged();
  void OnWeightsChanged();
  void OnConfigurationChanged();

  // Waits until the changes of the lists so far are published. Returns their
  // version, of this term; nothing: they were not published by `until`.
  boost::asio::awaitable<std::optional<published_lists>> AwaitPublished(
      core::time_point until);
  // The version of this term's lists that a process has; 0: it has lists of
  // another term or of another scope.
  uint64_t KnownCount(const fleet::view_request& input) const;

  // Handles the end of leadership: all waiting requests are answered at once.
  void Interrupt();

  // Returns the encoded update for a process, once there are changes for it or
  // its wait time has passed. Complete lists also wait for a slot.
  boost::asio::awaitable<view_answer> Answer(fleet::view_request input);

 private:
  // One kind of changes, and the processes that wait for them.
  struct update_channel {
    bool has_changes = false;
    urgency level = urgency::kLow;  // the highest one of the changes
    core::time_point published_at{};
    net::event changed;
    net::event published;  // wakes the waiting processes
  };

  using publish_function = std::function<bool()>;
  using follower_function = std::function<size_t()>;

  boost::asio::awaitable<void> RunPublishLoop(update_channel& channel,
                                              publish_function publish,
                                              follower_function followers);
  void ScheduleUpdate(update_channel& channel, urgency level);
  bool UpdateLists();
  bool UpdateWeights();
  bool HasChangesFor(const fleet::view_request& input) const;
  // Whether the answer is one of the large ones that many processes may request
  // at once.
  bool NeedsSlot(const fleet::view_request& input) const;
  const std::string& EncodedUpdate(fleet::view_request input);
  const std::string& EncodedCompleteUpdate(const fleet::view_request& input);
  std::string MakeUpdate(const fleet::view_request& input) const;
  void AddConfiguration(const fleet::view_request& input,
                        fleet::view_update& update) const;
  void RecordConfiguration();
  void Wake(update_channel& channel);
  boost::asio::awaitable<void> RunReportLoop();
  void Notify(const net::event& published);

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  const view_sources sources_;
  fleet::view_log log_;
  update_channel lists_;  // endpoints, warnings and members, for every process
  update_channel weights_;  // for stores, which also follow the lists
  // Number of processes that wait for weights now. Shared with the waiting
  // coroutines: at shutdown their frames are destroyed after this object.
  std::shared_ptr<size_t> weight_followers_ = std::make_shared<size_t>(0);
  uint64_t interruptions_ = 0;
  core::time_point complete_at_{};
  // The latest configurations, by version. Most processes have one of them, and
  // receive only the changes since.
  std::map<uint64_t, fleet::configuration> recent_configs_;
  // Responses encoded since the last change. Most processes have the same
  // version, and encoding is the main cost of a response.
  using answer_key = std::tuple<uint64_t, uint64_t, uint64_t, uint64_t,
                                fleet::view_scope, bool, bool>;
  std::map<answer_key, std::string> answers_;
  // Encoded answers with complete lists and without weights, for a while after
  // they were made; by scope, held configuration and whether its changes are
  // accepted.
  struct complete_answer {
    std::string update;
    core::time_point made_at{};
  };
  // What was sent since the last report in the log.
  struct sent_views {
    size_t publications = 0;
    size_t answers = 0;
    size_t complete = 0;
    size_t bytes = 0;
  };
  sent_views sent_;
  using complete_key = std::tuple<fleet::view_scope, uint64_t, bool>;
  std::map<complete_key, complete_answer> complete_answers_;
  std::map<fleet::view_scope, net::slot_queue> complete_slots_;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_VIEW_PUBLISHER_H_
