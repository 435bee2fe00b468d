#include "entry/relay.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "core/events.h"
#include "net/event.h"
#include "net/spawn.h"

namespace hickorywood::entry {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;

constexpr milliseconds kConnectTimeout{500};
// Share of a route's objective after which a second copy of an idempotent
// request is sent. Few answers take that long when all is well, and enough of
// the objective is left for the copy.
constexpr double kHedgeShare = 0.5;
constexpr milliseconds kShortestHedge{20};
// Where a route names no objective.
constexpr milliseconds kDefaultHedge{500};
// Attempts that endpoints did not run and that count for nothing else. Bounds
// how long a request knocks on full endpoints.
constexpr int kMostRefusals = 4;
// When all endpoints are full a place is free after about one request.
constexpr milliseconds kRetryAfter{100};

double Draw() {
  static thread_local std::mt19937_64 random{std::random_device()()};
  return std::uniform_real_distribution<double>(0, 1)(random);
}

milliseconds Since(time_point start, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - start);
}

milliseconds HedgeDelay(const fleet::route& where) {
  if (where.objective_ms <= 0) return kDefaultHedge;
  const milliseconds delay(static_cast<int64_t>(
      kHedgeShare * static_cast<double>(where.objective_ms)));
  return std::max(delay, kShortestHedge);
}

}  // namespace

// How one attempt ended.
struct relay::attempt_result {
  std::string incarnation;
  bool is_cancelled = false;
  bool may_have_run = false;
  bool is_usable = false;  // the endpoint's own whole answer
  net::response answer;
};

// The attempts of one request.
struct relay::race {
  fleet::route where;
  std::string service;
  std::string id;
  time_point started{};
  time_point deadline{};
  time_point hedge_at{};
  std::set<std::string> tried;
  std::vector<attempt_result> results;  // not looked at yet
  std::vector<net::cancel_signal> cancels;
  int running = 0;
  int may_have_run = 0;  // ended attempts
  int refusals = 0;
  std::optional<net::response> best;  // usable answer so far
  std::string last_problem;
  net::event changed;

  void CancelAll() {
    for (const net::cancel_signal& signal : cancels) net::Cancel(signal);
  }
};

relay::relay(asio::io_context& loop, const core::runtime_clock& clock,
             net::connection_pool& pool, const fleet::protocol& wire,
             const fleet::view& view, std::string own_zone)
    : loop_(loop),
      clock_(clock),
      pool_(pool),
      wire_(wire),
      view_(view),
      own_zone_(std::move(own_zone)) {}

void relay::OnEndpoints() { KeepOnly(book_, view_.endpoints); }

time_point relay::DeadlineOf(const net::request& input,
                             const fleet::route& where) const {
  milliseconds left(where.timeout_ms);
  const auto asked = wire_.TimeLeft(input);
  if (asked) left = std::min(left, *asked);
  return clock_.Now() + left;
}

awaitable<void> relay::Serve(net::exchange& call, fleet::route where) {
  if (where.kind == fleet::route_kind::kStream) {
    co_await ServeStream(call, where);
    co_return;
  }
  net::response answer = co_await RunRace(call.Request(), where);
  co_await call.Reply(std::move(answer));
}

bool relay::MayStart(const race& state) const {
  if (clock_.Now() >= state.deadline) return false;
  if (state.refusals > kMostRefusals) return false;
  const int count = state.running + state.may_have_run;
  if (count >= state.where.max_attempts) return false;
  const bool may_repeat = state.where.kind == fleet::route_kind::kIdempotent;
  return may_repeat || count == 0;
}

awaitable<net::response> relay::RunRace(const net::request& input,
                                        const fleet::route& where) {
  const auto state = std::make_shared<race>();
  // Ends the attempts with this frame: at an answer, at the deadline, or when
  // the caller is gone.
  struct canceller {
    std::shared_ptr<race> owner;
    ~canceller() { owner->CancelAll(); }
  };
  const canceller guard{state};
  state->where = where;
  state->service = std::string(fleet::DrawService(where, Draw()));
  state->id = wire_.RequestId(input);
  state->started = clock_.Now();
  state->deadline = DeadlineOf(input, where);
  for (;;) {
    const bool is_time = state->running == 0 || clock_.Now() >= state->hedge_at;
    if (is_time && MayStart(*state)) StartAttempt(state, input);
    if (state->running == 0) break;
    const bool may_hedge = MayStart(*state) && clock_.Now() < state->hedge_at;
    co_await state->changed.WaitUntil(
        may_hedge ? std::min(state->deadline, state->hedge_at)
                  : state->deadline);
    TakeResults(*state);
    const bool is_over = state->best && state->best->status < 500;
    if (is_over || clock_.Now() >= state->deadline) break;
  }
  net::response answer = state->best ? std::move(*state->best) : GiveUp(*state);
  LogEvent(event_id::kRequestAnswered,
           {{"request", state->id},
            {"route", where.name},
            {"service", state->service},
            {"status", std::to_string(answer.status)},
            {"endpoints", std::to_string(state->tried.size())},
            {"refusals", std::to_string(state->refusals)},
            {"ms", std::to_string(Since(state->started, clock_.Now()).count())},
            {"configuration", std::to_string(view_.config.version)}});
  co_return answer;
}

bool relay::StartAttempt(const std::shared_ptr<race>& state,
                         const net::request& input) {
  choice_input choice;
  choice.endpoints = &view_.endpoints;
  choice.service = state->service;
  choice.own_zone = own_zone_;
  choice.excluded = &state->tried;
  choice.now = clock_.Now();
  const fleet::endpoint* target = ChooseEndpoint(book_, choice);
  if (target == nullptr) {
    state->last_problem = "no endpoint is left to try";
    state->hedge_at = time_point::max();
    return false;
  }
  state->tried.insert(target->incarnation);
  state->hedge_at = clock_.Now() + HedgeDelay(state->where);
  ++state->running;
  state->cancels.push_back(net::MakeCancelSignal());
  const std::string incarnation = target->incarnation;
  fleet::dispatch_terms terms;
  terms.time_left = Since(clock_.Now(), state->deadline);
  terms.incarnation = incarnation;
  NoteSent(book_, incarnation);
  net::SpawnCancellable(
      loop_, Attempt(state, *target, wire_.EncodeDispatch(input, terms)),
      state->cancels.back(),
      [this, state, incarnation](const std::exception_ptr& failure,
                                 attempt_result result) {
        NoteOver(book_, incarnation);
        result.is_cancelled = result.is_cancelled || failure != nullptr;
        --state->running;
        state->results.push_back(std::move(result));
        state->changed.Notify();
      });
  return true;
}

awaitable<relay::attempt_result> relay::Attempt(std::shared_ptr<race> state,
                                                fleet::endpoint target,
                                                net::request output) {
  const time_point started = clock_.Now();
  net::call_options options;
  options.connect_deadline =
      std::min(state->deadline, started + kConnectTimeout);
  options.deadline = state->deadline;
  // A reused connection can turn out dead after the request was written, and
  // then nobody knows whether it ran.
  options.needs_fresh = state->where.kind != fleet::route_kind::kIdempotent;
  options.expected = wire_.RequestIdHeader(state->id);
  net::call_result call =
      co_await net::Call(pool_, target.address, output, options);
  const time_point now = clock_.Now();
  attempt_result result;
  result.incarnation = target.incarnation;
  const fleet::answer_marks marks = wire_.DecodeMarks(call.answer);
  const bool is_whole = call.how == net::progress::kAnswered;
  const bool is_success = call.answer.status / 100 == 2;
  if (is_whole && marks.is_not_run) {
    NoteFull(book_, target.incarnation, now);
  } else if (is_whole && (marks.is_signed || !is_success)) {
    result.may_have_run = true;
    result.is_usable = marks.is_signed;
    NoteAnswer(book_, target.incarnation, Since(started, now), marks.load, now);
  } else {
    result.may_have_run = call.how != net::progress::kNotSent;
    NoteFailure(book_, target.incarnation, now);
  }
  if (!result.is_usable) {
    LogEvent(event_id::kAttemptFailed,
             {{"request", state->id},
              {"endpoint", target.incarnation},
              {"status", std::to_string(call.answer.status)},
              {"may_have_run", result.may_have_run ? "true" : "false"},
              {"reason", call.error},
              {"ms", std::to_string(Since(started, now).count())}});
  }
  result.answer = std::move(call.answer);
  co_return result;
}

void relay::TakeResults(race& state) {
  std::vector<attempt_result> results = std::move(state.results);
  state.results.clear();
  for (attempt_result& result : results) {
    if (result.is_cancelled) continue;
    if (result.may_have_run) {
      ++state.may_have_run;
    } else {
      ++state.refusals;
    }
    if (!result.is_usable) continue;
    // The endpoint's own failure is handed on only when nothing better comes.
    const bool is_better = !state.best || result.answer.status < 500;
    if (!is_better) continue;
    result.answer.headers = net::EndToEnd(result.answer.headers);
    state.best = std::move(result.answer);
  }
}

// The answer when no endpoint gave one. "Not run" is said only when that is
// certain.
net::response relay::GiveUp(const race& state) const {
  const bool is_late = clock_.Now() >= state.deadline;
  const bool may_have_run = state.may_have_run > 0 || state.running > 0;
  if (!may_have_run) {
    const std::string reason = state.last_problem.empty()
                                   ? "no endpoint could take the request"
                                   : state.last_problem;
    return wire_.EncodeFailure(503, reason, kRetryAfter);
  }
  return wire_.EncodeFailure(is_late ? 504 : 502,
                             "no whole answer came from an endpoint",
                             std::nullopt);
}

awaitable<void> relay::ServeStream(net::exchange& call,
                                   const fleet::route& where) {
  const net::request& input = call.Request();
  const time_point deadline = DeadlineOf(input, where);
  const std::string service(fleet::DrawService(where, Draw()));
  std::set<std::string> tried;
  for (int attempt = 0; attempt <= kMostRefusals; ++attempt) {
    choice_input choice{&view_.endpoints, service, own_zone_, &tried,
                        clock_.Now()};
    const fleet::endpoint* found = ChooseEndpoint(book_, choice);
    if (found == nullptr) break;
    const fleet::endpoint target = *found;
    tried.insert(target.incarnation);
    std::unique_ptr<net::connection> open = co_await pool_.Acquire(
        target.address, clock_.Now() + kConnectTimeout, true);
    if (!open) {
      NoteFailure(book_, target.incarnation, clock_.Now());
      continue;
    }
    fleet::dispatch_terms terms;
    terms.time_left = Since(clock_.Now(), deadline);
    terms.incarnation = target.incarnation;
    net::response head;
    const net::request output = wire_.EncodeDispatch(input, terms);
    bool is_open = co_await open->Write(output, deadline);
    if (is_open) {
      is_open = co_await open->ReadHead(head, deadline);
    }
    if (!is_open) {
      NoteFailure(book_, target.incarnation, clock_.Now());
      co_await call.Reply(
          wire_.EncodeFailure(502, "the endpoint gave no answer", {}));
      co_return;
    }
    if (wire_.DecodeMarks(head).is_not_run) {
      NoteFull(book_, target.incarnation, clock_.Now());
      continue;
    }
    head.headers = net::EndToEnd(head.headers);
    co_await call.BeginStream(std::move(head));
    net::body_state state = net::body_state::kMore;
    while (state == net::body_state::kMore) {
      std::string piece;
      state = co_await open->ReadSome(piece, deadline);
      co_await call.WriteStream(std::move(piece));
    }
    if (state == net::body_state::kEnd) {
      co_await call.EndStream();
      pool_.Release(std::move(open));
    }
    co_return;
  }
  co_await call.Reply(wire_.EncodeFailure(
      503, "no endpoint could take the request", kRetryAfter));
}

}  // namespace hickorywood::entry
