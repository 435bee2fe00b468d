#ifndef HICKORYWOOD_CONTROLLER_VIEW_PUBLISHER_H_
#define HICKORYWOOD_CONTROLLER_VIEW_PUBLISHER_H_

// Tells every other process of this leader's view: each asks, and its answer is
// held back until there is news for it. News of endpoints and of weights is
// gathered for a while that grows with the number of processes that follow; a
// configuration goes out at once, whatever else changes.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "core/clock.h"
#include "fleet/view.h"
#include "fleet/view_log.h"
#include "net/event.h"

namespace hickorywood::controller {

// Where the view comes from, asked for what is true now.
struct view_sources {
  std::function<std::vector<fleet::endpoint>()> endpoints;
  std::function<std::vector<fleet::request_warning>()> warnings;
  std::function<fleet::view_members()> members;
  std::function<std::vector<fleet::engine_weights_entry>()> weights;
  std::function<const fleet::configuration&()> config;
};

// How long news is gathered where `followers` processes are told of it.
core::milliseconds GatherTime(size_t followers);

class view_publisher {
 public:
  view_publisher(boost::asio::io_context& loop,
                 const core::runtime_clock& clock, view_sources sources);

  void Start();
  // This instance leads from now on, under `term`: all is told anew. Until
  // `complete_at` others may know more than it does, and a process that holds
  // nothing is not told yet.
  void BeginTerm(uint64_t term, core::time_point complete_at);

  // Something of that kind changed.
  void NoteEndpoints();
  void NoteWarnings();
  void NoteMembers();
  void NoteWeights();
  void NoteConfiguration();

  // This instance leads no more: what waits is answered at once.
  void Interrupt();

  // The encoded update for a process, once there is news for it or its time
  // has passed.
  boost::asio::awaitable<std::string> Answer(fleet::view_request input);

 private:
  // One kind of news: whether some waits to be told, and since when none was.
  struct gathering {
    bool is_due = false;
    core::time_point told_at{};
    // Processes that wait for it now. Shared with those that wait: at the end
    // of the process their frames go after this object.
    std::shared_ptr<size_t> followers = std::make_shared<size_t>(0);
    net::event due;
    net::event told;  // wakes those processes
  };

  using teller = std::function<bool()>;

  boost::asio::awaitable<void> KeepTelling(gathering& news, teller tell);
  void Note(gathering& news);
  bool TellLists();
  bool TellWeights();
  bool HasNews(const fleet::view_request& input) const;
  const std::string& Encoded(fleet::view_request input);
  void Wake(gathering& news);

  boost::asio::io_context& loop_;
  const core::runtime_clock& clock_;
  const view_sources sources_;
  fleet::view_log log_;
  gathering lists_;    // endpoints, warnings and members, for every process
  gathering weights_;  // for stores, which follow the lists too
  uint64_t interruptions_ = 0;
  core::time_point complete_at_{};
  // Answers made since the last change. Most processes hold the same version,
  // and encoding is what an answer costs.
  using answer_key = std::tuple<uint64_t, uint64_t, uint64_t, uint64_t, bool>;
  std::map<answer_key, std::string> answers_;
};

}  // namespace hickorywood::controller

#endif  // HICKORYWOOD_CONTROLLER_VIEW_PUBLISHER_H_
