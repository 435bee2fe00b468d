#include "routing/request_sender.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "core/events.h"
#include "net/call.h"
#include "net/event.h"
#include "net/spawn.h"

namespace hickorywood::routing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;

// Share of a route's latency objective after which a second copy of an
// idempotent request is sent. Few answers take that long in normal operation,
// and enough of the objective remains for the copy.
constexpr double kHedgeDelayShare = 0.5;
constexpr milliseconds kMinHedgeDelay{20};
// Maximum size of an answer: the usual limit of what callers may send.
constexpr size_t kMaxAnswerBytes = 32UL * 1024 * 1024;
// Delay for a route without an objective.
constexpr milliseconds kDefaultHedgeDelay{500};

milliseconds Since(time_point start, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - start);
}

milliseconds HedgeDelay(const fleet::route& route) {
  if (route.objective_ms <= 0) return kDefaultHedgeDelay;
  const milliseconds delay(static_cast<int64_t>(
      kHedgeDelayShare * static_cast<double>(route.objective_ms)));
  return std::max(delay, kMinHedgeDelay);
}

// Describes why an attempt returned no usable answer.
std::string DescribeFailure(const net::call_result& call,
                            const fleet::answer_marks& marks) {
  if (call.how != net::progress::kAnswered) return call.error;
  if (marks.is_not_run) return "the endpoint did not run the request";
  return "the answer does not contain the mark of the endpoint";
}

}  // namespace

double DrawShare() {
  static thread_local std::mt19937_64 random{std::random_device()()};
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// The result of one attempt.
struct request_sender::attempt_result {
  core::boot_time_point sent_at{};
  bool is_cancelled = false;
  bool may_have_run = false;
  bool is_usable = false;  // complete and marked by its endpoint
  net::response answer;
};

// The attempts of one request.
struct request_sender::send_state {
  send_terms terms;
  std::string service;
  time_point hedge_at{};
  std::set<std::string> tried;
  std::vector<attempt_result> results;  // not processed yet
  std::vector<net::cancel_signal> cancels;
  int running = 0;
  std::multiset<core::boot_time_point> running_since;  // running attempts
  // When the first of the finished attempts that may have run was sent.
  std::optional<core::boot_time_point> began_at;
  int may_have_run = 0;  // finished attempts
  int refusals = 0;
  int failed_answers = 0;
  std::optional<net::response> best;  // usable answer so far
  std::string problem;
  bool is_suspected = false;
  size_t crashes = 0;
  std::optional<milliseconds> quarantined_for;
  net::event changed;

  void CancelAll() {
    for (const net::cancel_signal& signal : cancels) net::Cancel(signal);
  }

  // Attempts that are still running count as run: hardly any are rejected as
  // late as that.
  void ReportRun() const {
    if (!terms.on_run) return;
    std::optional<core::boot_time_point> first = began_at;
    if (!running_since.empty()) {
      const core::boot_time_point oldest = *running_since.begin();
      first = std::min(first.value_or(oldest), oldest);
    }
    if (first) terms.on_run(*first);
  }
};

request_sender::request_sender(asio::io_context& loop,
                               const core::runtime_clock& clock,
                               net::connection_pool& pool,
                               const fleet::protocol& wire,
                               const fleet::view& view,
                               quarantine::crash_detector& crashes,
                               std::string own_zone)
    : loop_(loop),
      clock_(clock),
      pool_(pool),
      wire_(wire),
      view_(view),
      crashes_(crashes),
      own_zone_(std::move(own_zone)) {}

void request_sender::OnEndpoints(const fleet::view_update& update) {
  if (update.lists == fleet::list_part::kNone) return;
  if (update.lists == fleet::list_part::kAll) {
    std::set<std::string> listed;
    for (const fleet::endpoint& item : view_.endpoints) {
      listed.insert(item.incarnation);
    }
    std::vector<std::string> gone;
    for (const auto& item : addresses_) {
      if (listed.count(item.first) == 0) gone.push_back(item.first);
    }
    for (const std::string& incarnation : gone) OnRemoved(incarnation);
  }
  for (const std::string& incarnation : update.gone) OnRemoved(incarnation);
  for (const fleet::endpoint& item : update.endpoints) {
    addresses_[item.incarnation] = item.address;
    removed_.erase(item.incarnation);
  }
  std::erase_if(removed_, [this](const std::string& incarnation) {
    return RemoveIfIdle(loads_, incarnation);
  });
}

// Connections to a terminated incarnation are dead, or lead to the incarnation
// that replaced it.
void request_sender::OnRemoved(const std::string& incarnation) {
  const auto found = addresses_.find(incarnation);
  if (found == addresses_.end()) return;
  pool_.CloseIdle(found->second);
  addresses_.erase(found);
  removed_.insert(incarnation);
}

bool request_sender::MayStart(const send_state& state) const {
  if (clock_.Now() >= state.terms.deadline) return false;
  if (state.refusals > kMaxRefusals) return false;
  const int count = state.running + state.may_have_run;
  if (count >= state.terms.route.max_attempts) return false;
  if (state.quarantined_for || (state.is_suspected && count > 0)) return false;
  const bool may_repeat =
      state.terms.route.kind == fleet::route_kind::kIdempotent;
  return may_repeat || count == 0;
}

bool request_sender::IsSendable(
    send_state& state, const quarantine::request_identity& identity) const {
  const quarantine::quarantine_decision decision = crashes_.Check(identity);
  state.is_suspected =
      decision.state == quarantine::quarantine_state::kSuspected;
  state.crashes = decision.crashes;
  if (decision.state != quarantine::quarantine_state::kQuarantined) {
    return true;
  }
  state.quarantined_for = decision.remaining;
  state.problem = "endpoints crash while running this request; it is held back";
  LogEvent(event_id::kRequestRefused,
           {{"request", state.terms.id},
            {"digest", decision.digest},
            {"reason", state.problem},
            {"ms", std::to_string(decision.remaining.count())}});
  return false;
}

awaitable<send_outcome> request_sender::Send(const net::request& input,
                                             const send_terms& terms) {
  const auto state = std::make_shared<send_state>();
  // Cancels the attempts when this coroutine frame is destroyed: after an
  // answer, at the deadline, or when the caller has disconnected.
  struct canceller {
    std::shared_ptr<send_state> owner;
    ~canceller() {
      owner->ReportRun();
      owner->CancelAll();
    }
  };
  const canceller guard{state};
  state->terms = terms;
  state->service = terms.service;
  if (state->service.empty()) {
    state->service = std::string(fleet::DrawService(terms.route, DrawShare()));
  }
  quarantine::request_identity identity = quarantine::IdentityOf(input);
  identity.is_batch = terms.is_batch;
  for (;;) {
    const bool is_time = state->running == 0 || clock_.Now() >= state->hedge_at;
    const bool is_due = is_time && MayStart(*state);
    // Crashes during earlier attempts may have changed the quarantine state, so
    // MayStart() is evaluated again.
    if (is_due && IsSendable(*state, identity) && MayStart(*state)) {
      StartAttempt(state, input);
    }
    if (state->running == 0) break;
    const bool may_hedge = MayStart(*state) && clock_.Now() < state->hedge_at;
    co_await state->changed.WaitUntil(
        may_hedge ? std::min(terms.deadline, state->hedge_at) : terms.deadline);
    ProcessResults(*state, identity);
    const bool has_final_answer = state->best && state->best->status < 500;
    if (has_final_answer || clock_.Now() >= terms.deadline) break;
  }
  send_outcome outcome;
  outcome.answer = std::move(state->best);
  outcome.service = state->service;
  outcome.may_have_run = state->may_have_run > 0 || state->running > 0;
  outcome.is_late = clock_.Now() >= terms.deadline;
  outcome.failed_answers = state->failed_answers;
  outcome.refusals = state->refusals;
  outcome.endpoints = state->tried.size();
  outcome.problem = state->problem;
  outcome.crashes = state->crashes;
  outcome.quarantined_for = state->quarantined_for;
  co_return outcome;
}

// Returns the endpoint that was chosen for the first attempt, or nullptr.
const fleet::endpoint* request_sender::FirstEndpoint(
    const send_state& state) const {
  if (state.terms.first_endpoint.empty() || !state.tried.empty()) {
    return nullptr;
  }
  const auto found =
      std::find_if(view_.endpoints.begin(), view_.endpoints.end(),
                   [&state](const fleet::endpoint& item) {
                     return item.incarnation == state.terms.first_endpoint &&
                            item.service == state.service &&
                            item.state == fleet::endpoint_state::kReady;
                   });
  return found == view_.endpoints.end() ? nullptr : &*found;
}

bool request_sender::StartAttempt(const std::shared_ptr<send_state>& state,
                                  const net::request& input) {
  choice_input choice;
  choice.endpoints = &view_.endpoints;
  choice.service = state->service;
  choice.own_zone = own_zone_;
  choice.excluded = &state->tried;
  choice.now = clock_.Now();
  choice.seed = choice_seed_;
  const fleet::endpoint* target = FirstEndpoint(*state);
  if (target == nullptr) target = ChooseEndpoint(loads_, choice);
  if (target == nullptr) {
    state->problem = "no further endpoint is available";
    state->hedge_at = time_point::max();
    return false;
  }
  state->tried.insert(target->incarnation);
  state->hedge_at = clock_.Now() + HedgeDelay(state->terms.route);
  ++state->running;
  const core::boot_time_point sent_at = clock_.BootNow();
  state->running_since.insert(sent_at);
  state->cancels.push_back(net::MakeCancelSignal());
  const std::string incarnation = target->incarnation;
  fleet::dispatch_terms terms;
  terms.time_left = Since(clock_.Now(), state->terms.deadline);
  terms.endpoint = target->name;
  terms.customer = state->terms.customer;
  RecordSent(loads_, incarnation);
  net::SpawnCancellable(
      loop_, Attempt(state, *target, wire_.EncodeDispatch(input, terms)),
      state->cancels.back(),
      [this, state, incarnation, sent_at](const std::exception_ptr& failure,
                                          attempt_result result) {
        RecordFinished(loads_, incarnation);
        state->running_since.erase(state->running_since.find(sent_at));
        result.sent_at = sent_at;
        result.is_cancelled = result.is_cancelled || failure != nullptr;
        --state->running;
        state->results.push_back(std::move(result));
        state->changed.Notify();
      });
  return true;
}

awaitable<request_sender::attempt_result> request_sender::Attempt(
    std::shared_ptr<send_state> state, fleet::endpoint target,
    net::request output) {
  const time_point started = clock_.Now();
  net::call_options options;
  options.connect_deadline =
      std::min(state->terms.deadline, started + kConnectTimeout);
  options.deadline = state->terms.deadline;
  // A reused connection can turn out to be dead after the request was
  // written; it is then unknown whether the endpoint ran the request.
  options.needs_fresh =
      state->terms.route.kind != fleet::route_kind::kIdempotent;
  options.expected = wire_.RequestIdHeader(state->terms.id);
  options.body_limit = kMaxAnswerBytes;
  net::call_result call =
      co_await net::Call(pool_, target.address, output, options);
  const time_point now = clock_.Now();
  attempt_result result;
  const fleet::answer_marks marks = wire_.DecodeMarks(call.answer);
  const bool is_complete = call.how == net::progress::kAnswered;
  const bool is_success = call.answer.status / 100 == 2;
  if (is_complete && marks.is_not_run) {
    RecordFullRejection(loads_, target.incarnation, now);
  } else if (is_complete && (marks.IsSigned() || !is_success)) {
    result.may_have_run = true;
    result.is_usable = marks.IsSigned();
    RecordAnswer(loads_, target.incarnation, Since(started, now), marks.load,
                 now);
  } else {
    result.may_have_run = call.how != net::progress::kNotSent;
    RecordFailure(loads_, target.incarnation, now);
    // The attempt was cancelled locally when the caller disconnected or another
    // copy was answered first; the endpoint did not break the connection then.
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    const bool is_cancelled =
        cancellation.cancelled() != asio::cancellation_type::none;
    const bool is_abandoned = call.is_timeout || is_cancelled;
    quarantine::request_identity identity = quarantine::IdentityOf(output);
    identity.is_batch = state->terms.is_batch;
    // An endpoint that sent an invalid response did not crash.
    const bool may_have_crashed = result.may_have_run && !call.is_invalid;
    if (may_have_crashed && !is_abandoned) {
      crashes_.RecordBrokenConnection(identity, target);
    } else if (may_have_crashed && !state->best) {
      crashes_.RecordAbandoned(identity, target);
    }
  }
  if (!result.is_usable) {
    LogEvent(event_id::kAttemptFailed,
             {{"request", state->terms.id},
              {"endpoint", target.incarnation},
              {"status", std::to_string(call.answer.status)},
              {"may_have_run", result.may_have_run ? "true" : "false"},
              {"reason", DescribeFailure(call, marks)},
              {"ms", std::to_string(Since(started, now).count())}});
  }
  result.answer = std::move(call.answer);
  co_return result;
}

void request_sender::ProcessResults(
    send_state& state, const quarantine::request_identity& identity) {
  std::vector<attempt_result> results = std::move(state.results);
  state.results.clear();
  for (attempt_result& result : results) {
    if (result.is_cancelled) continue;
    if (result.may_have_run) {
      ++state.may_have_run;
      state.began_at =
          std::min(state.began_at.value_or(result.sent_at), result.sent_at);
    } else {
      ++state.refusals;
    }
    if (!result.is_usable) continue;
    crashes_.RecordServed(identity);
    if (result.answer.status == 500) ++state.failed_answers;
    // An answer with a 5xx status is used only when no better answer arrives.
    const bool is_better = !state.best || result.answer.status < 500;
    if (!is_better) continue;
    result.answer.headers = net::EndToEnd(result.answer.headers);
    state.best = std::move(result.answer);
  }
}

}  // namespace hickorywood::routing
