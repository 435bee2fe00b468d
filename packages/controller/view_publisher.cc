#include "controller/view_publisher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "core/binary.h"

namespace hickorywood::controller {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::milliseconds;
using core::time_point;

constexpr milliseconds kLongestWait{5000};
// An answer takes the leader about a tenth of a millisecond. So with this much
// for each process that is told, a tenth of its time at most goes into news,
// however many endpoints come and go.
constexpr milliseconds kGatherEach{1};
// Well below the second or two in which a leaving endpoint gets no new work.
constexpr milliseconds kLongestGather{400};

// Counts a process while it waits for news.
class counted {
 public:
  explicit counted(std::shared_ptr<size_t> count) : count_(std::move(count)) {
    ++*count_;
  }
  ~counted() { --*count_; }
  counted(const counted&) = delete;
  counted& operator=(const counted&) = delete;

 private:
  const std::shared_ptr<size_t> count_;
};

}  // namespace

milliseconds GatherTime(size_t followers) {
  const milliseconds time = kGatherEach * static_cast<int64_t>(followers);
  return std::min(time, kLongestGather);
}

view_publisher::view_publisher(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               view_sources sources)
    : loop_(loop), clock_(clock), sources_(std::move(sources)) {}

void view_publisher::Start() {
  asio::co_spawn(loop_, KeepTelling(lists_, [this] { return TellLists(); }),
                 asio::detached);
  asio::co_spawn(loop_, KeepTelling(weights_, [this] { return TellWeights(); }),
                 asio::detached);
}

void view_publisher::BeginTerm(uint64_t term, time_point complete_at) {
  fleet::BeginTerm(log_, term);
  complete_at_ = complete_at;
  TellLists();
  TellWeights();
  Wake(lists_);
}

void view_publisher::Interrupt() {
  ++interruptions_;
  Wake(lists_);
}

void view_publisher::NoteEndpoints() { Note(lists_); }

void view_publisher::NoteWarnings() { Note(lists_); }

void view_publisher::NoteMembers() { Note(lists_); }

void view_publisher::NoteWeights() { Note(weights_); }

void view_publisher::NoteConfiguration() { Wake(lists_); }

void view_publisher::Note(gathering& news) {
  news.is_due = true;
  news.due.Notify();
}

void view_publisher::Wake(gathering& news) {
  answers_.clear();
  // Stores follow both, and wait for the weights.
  if (&news == &lists_) lists_.told.Notify();
  weights_.told.Notify();
}

awaitable<void> view_publisher::KeepTelling(gathering& news, teller tell) {
  for (;;) {
    if (!news.is_due) {
      co_await news.due.WaitUntil(time_point::max());
      continue;
    }
    const time_point next = news.told_at + GatherTime(*news.followers);
    while (clock_.Now() < next) {
      co_await net::Sleep(std::chrono::ceil<milliseconds>(next - clock_.Now()));
    }
    news.is_due = false;
    if (!tell()) continue;
    news.told_at = clock_.Now();
    Wake(news);
  }
}

bool view_publisher::TellLists() {
  const bool has_endpoints = fleet::TellEndpoints(log_, sources_.endpoints());
  const bool has_warnings = fleet::TellWarnings(log_, sources_.warnings());
  const bool has_members = fleet::TellMembers(log_, sources_.members());
  return has_endpoints || has_warnings || has_members;
}

bool view_publisher::TellWeights() {
  return fleet::TellWeights(log_, sources_.weights());
}

bool view_publisher::HasNews(const fleet::view_request& input) const {
  return sources_.config().version > input.held_config ||
         fleet::HasNews(log_, input);
}

awaitable<std::string> view_publisher::Answer(fleet::view_request input) {
  const milliseconds wait = std::min(milliseconds(input.wait_ms), kLongestWait);
  const time_point until = clock_.Now() + wait;
  const counted follower(lists_.followers);
  std::optional<counted> store;
  if (input.wants_weights) store.emplace(weights_.followers);
  net::event& told = input.wants_weights ? weights_.told : lists_.told;
  const uint64_t interruptions = interruptions_;
  const bool holds_nothing = input.held.term == 0;
  while (holds_nothing && clock_.Now() < complete_at_ &&
         interruptions == interruptions_) {
    co_await told.WaitUntil(complete_at_);
  }
  while (!HasNews(input) && clock_.Now() < until &&
         interruptions == interruptions_) {
    co_await told.WaitUntil(until);
  }
  co_return Encoded(std::move(input));
}

const std::string& view_publisher::Encoded(fleet::view_request input) {
  // Of another term nothing counts, so all who held one are answered alike.
  if (input.held.term != log_.term) {
    input.held = {};
    input.held_weights = 0;
  }
  const answer_key key(input.held.term, input.held.count, input.held_weights,
                       input.held_config, input.wants_weights);
  const auto known = answers_.find(key);
  if (known != answers_.end()) return known->second;
  fleet::view_update update = fleet::MakeUpdate(log_, input);
  const fleet::configuration& config = sources_.config();
  update.has_config = config.version > input.held_config;
  if (update.has_config) update.config = config;
  return answers_[key] = core::EncodeBinary(update);
}

}  // namespace hickorywood::controller
