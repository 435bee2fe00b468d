#include "entry/relay.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <set>
#include <utility>

#include "core/events.h"
#include "net/call.h"
#include "net/event.h"
#include "net/spawn.h"
#include "steps/event_text.h"

namespace hickorywood::entry {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using core::event_id;
using core::LogEvent;
using core::milliseconds;
using core::time_point;

// When all endpoints are full, a slot is free after about one request duration.
constexpr milliseconds kRetryAfter{100};

// Status for a quarantined request: it was not run and must not be retried now.
// 503 would attribute the failure to the service and cause immediate retries.
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

milliseconds Since(time_point start, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - start);
}

}  // namespace

relay::relay(asio::io_context& loop, const core::runtime_clock& clock,
             net::connection_pool& pool, const fleet::protocol& wire,
             const fleet::view& view, quarantine::crash_detector& crashes,
             std::string own_zone, usage_recorder count_usage)
    : clock_(clock),
      pool_(pool),
      wire_(wire),
      view_(view),
      crashes_(crashes),
      sender_(loop, clock, pool, wire, view, crashes, std::move(own_zone)),
      count_usage_(std::move(count_usage)) {}

void relay::OnEndpoints(const fleet::view_update& update) {
  sender_.OnEndpoints(update);
}

time_point relay::DeadlineOf(const net::request& input,
                             const fleet::route& route) const {
  milliseconds left(route.timeout_ms);
  const auto requested = wire_.TimeLeft(input);
  if (requested) left = std::min(left, *requested);
  return clock_.Now() + left;
}

awaitable<void> relay::Serve(net::exchange& call, fleet::route route,
                             std::optional<std::string> customer) {
  if (route.kind == fleet::route_kind::kStream) {
    co_await ServeStream(call, route, std::move(customer));
    co_return;
  }
  net::response answer =
      co_await Answer(call.Request(), route, std::move(customer));
  co_await call.Reply(std::move(answer));
}

awaitable<net::response> relay::Answer(const net::request& input,
                                       const fleet::route& route,
                                       std::optional<std::string> customer) {
  const time_point started = clock_.Now();
  routing::send_terms terms;
  terms.route = route;
  terms.id = wire_.RequestId(input);
  terms.deadline = DeadlineOf(input, route);
  if (customer) {
    terms.on_run = [this, name = *customer](core::boot_time_point began_at) {
      count_usage_(name, began_at);
    };
  }
  terms.customer = std::move(customer);
  place_client* const client = places();
  place leased;
  if (client != nullptr) {
    leased = co_await AcquirePlace(*client, terms);
  }
  if (leased.how == place::state::kRefused) {
    co_return RefuseWithoutPlace(terms, leased);
  }
  const held_place held(client, std::move(leased));
  routing::send_outcome outcome = co_await sender_.Send(input, terms);
  net::response answer = outcome.answer ? std::move(*outcome.answer)
                                        : MakeFailureResponse(outcome);
  LogEvent(event_id::kRequestAnswered,
           {{"request", terms.id},
            {"customer", terms.customer.value_or("")},
            {"route", route.name},
            {"service", outcome.service},
            {"status", std::to_string(answer.status)},
            {"endpoints", std::to_string(outcome.endpoints)},
            {"refusals", std::to_string(outcome.refusals)},
            {"ms", std::to_string(Since(started, clock_.Now()).count())},
            {"configuration", std::to_string(view_.config.version)},
            {"lists", fleet::VersionText(view_.version)}});
  co_return answer;
}

awaitable<place> relay::AcquirePlace(place_client& client,
                                     routing::send_terms& terms) {
  terms.service =
      std::string(fleet::DrawService(terms.route, routing::DrawShare()));
  place_terms input;
  input.service = terms.service;
  input.customer = terms.customer.value_or("");
  input.priority = terms.route.priority;
  for (const fleet::customer& item : view_.config.customers) {
    const bool has_priority = item.name == input.customer && item.priority >= 0;
    if (has_priority) input.priority = item.priority;
  }
  input.deadline = terms.deadline;
  input.run_limit = milliseconds(terms.route.timeout_ms);
  place leased = co_await client.Acquire(std::move(input));
  terms.first_endpoint = leased.incarnation;
  co_return leased;
}

net::response relay::RefuseWithoutPlace(const routing::send_terms& terms,
                                        const place& refused) const {
  LogEvent(event_id::kPlaceRefused,
           {{"request", terms.id},
            {"customer", terms.customer.value_or("")},
            {"service", refused.service},
            {"wait_ms", std::to_string(refused.retry_after.count())}});
  return wire_.EncodeFailure(kUnavailable,
                             "no place at an endpoint is free in time",
                             std::max(refused.retry_after, kRetryAfter));
}

// Encodes the failure when no endpoint returned a usable answer. The failure
// states that the request was not run only when that is certain.
net::response relay::MakeFailureResponse(
    const routing::send_outcome& outcome) const {
  if (!outcome.may_have_run && outcome.quarantined_for) {
    return wire_.EncodeFailure(kTooManyRequests, outcome.problem,
                               outcome.quarantined_for);
  }
  if (!outcome.may_have_run) {
    const std::string reason = outcome.problem.empty()
                                   ? "no endpoint could accept the request"
                                   : outcome.problem;
    return wire_.EncodeFailure(503, reason, kRetryAfter);
  }
  return wire_.EncodeFailure(outcome.is_late ? 504 : 502,
                             "no complete answer was received from an endpoint",
                             std::nullopt);
}

// A request at an endpoint. Unless it was settled, the destructor records it as
// abandoned: its caller has disconnected, or its deadline has passed.
class relay::open_request {
 public:
  open_request(quarantine::crash_detector& crashes,
               quarantine::request_identity input, fleet::endpoint target)
      : crashes_(crashes), input_(input), target_(std::move(target)) {}
  ~open_request() {
    if (!is_settled_) crashes_.RecordAbandoned(input_, target_);
  }
  open_request(const open_request&) = delete;
  open_request& operator=(const open_request&) = delete;

  void Settle() { is_settled_ = true; }
  void SettleBroken() {
    is_settled_ = true;
    crashes_.RecordBrokenConnection(input_, target_);
  }

 private:
  quarantine::crash_detector& crashes_;
  const quarantine::request_identity input_;
  const fleet::endpoint target_;
  bool is_settled_ = false;
};

// Returns whether this process ended the answer early, because the caller
// disconnected or the deadline has passed.
bool relay::IsEndedLocally(const asio::cancellation_state& state,
                           time_point deadline) const {
  return clock_.Now() >= deadline ||
         state.cancelled() != asio::cancellation_type::none;
}

// Result of starting a stream at an endpoint.
struct relay::stream_start {
  enum class outcome {
    kNotSent,
    kNotRun,    // the endpoint reports that it did not run the request
    kNoAnswer,  // no answer to this request with the endpoint's mark
    kAnswered,  // `head` was read from `from`
  };
  outcome how = outcome::kNoAnswer;
  std::unique_ptr<net::connection> from;
  net::response head;
};

awaitable<relay::stream_start> relay::StartStream(
    const net::request& input, const fleet::endpoint& target,
    time_point deadline, std::optional<std::string> customer) {
  stream_start stream;
  net::acquire_terms connection;
  // A reused connection can turn out to be dead after the request was written.
  connection.needs_fresh = true;
  connection.request_id = wire_.RequestId(input);
  stream.from = co_await pool_.Acquire(target.address,
                                       clock_.Now() + routing::kConnectTimeout,
                                       std::move(connection));
  if (!stream.from) {
    stream.how = stream_start::outcome::kNotSent;
    co_return stream;
  }
  fleet::dispatch_terms terms;
  terms.time_left = Since(clock_.Now(), deadline);
  terms.endpoint = target.name;
  terms.customer = std::move(customer);
  const net::request output = wire_.EncodeDispatch(input, terms);
  const bool is_written = co_await stream.from->Write(output, deadline);
  if (!is_written) co_return stream;
  const net::header id = wire_.RequestIdHeader(wire_.RequestId(input));
  const bool has_head =
      co_await net::ReadOwnHead(*stream.from, id, deadline, stream.head);
  if (!has_head) co_return stream;
  const fleet::answer_marks marks = wire_.DecodeMarks(stream.head);
  if (marks.is_not_run) {
    stream.how = stream_start::outcome::kNotRun;
  } else if (marks.IsSigned()) {
    stream.how = stream_start::outcome::kAnswered;
  }
  co_return stream;
}

void relay::LogFailedStream(const net::request& input,
                            const fleet::endpoint& target,
                            const std::string& reason) const {
  LogEvent(event_id::kAttemptFailed, {{"request", wire_.RequestId(input)},
                                      {"endpoint", target.incarnation},
                                      {"may_have_run", "true"},
                                      {"reason", reason}});
}

awaitable<void> relay::ServeStream(net::exchange& call,
                                   const fleet::route& route,
                                   std::optional<std::string> customer) {
  const net::request& input = call.Request();
  const time_point deadline = DeadlineOf(input, route);
  const std::string service(fleet::DrawService(route, routing::DrawShare()));
  routing::endpoint_load_table& loads = sender_.Loads();
  std::set<std::string> tried;
  const quarantine::request_identity identity = quarantine::IdentityOf(input);
  const quarantine::quarantine_decision decision = crashes_.Check(identity);
  if (decision.state == quarantine::quarantine_state::kQuarantined) {
    const std::string reason = "endpoints crash while running this request";
    LogEvent(event_id::kRequestRefused, {{"request", wire_.RequestId(input)},
                                         {"digest", decision.digest},
                                         {"reason", reason}});
    co_await call.Reply(
        wire_.EncodeFailure(kTooManyRequests, reason, decision.remaining));
    co_return;
  }
  for (int attempt = 0; attempt <= routing::kMaxRefusals; ++attempt) {
    const routing::choice_input choice{&view_.endpoints,  service,
                                       sender_.OwnZone(), &tried,
                                       clock_.Now(),      sender_.ChoiceSeed()};
    const fleet::endpoint* chosen = routing::ChooseEndpoint(loads, choice);
    if (chosen == nullptr) break;
    const fleet::endpoint target = *chosen;
    tried.insert(target.incarnation);
    open_request open(crashes_, identity, target);
    const core::boot_time_point sent_at = clock_.BootNow();
    stream_start stream =
        co_await StartStream(input, target, deadline, customer);
    if (stream.how == stream_start::outcome::kNotSent) {
      routing::RecordFailure(loads, target.incarnation, clock_.Now());
      open.Settle();
      continue;
    }
    if (stream.how == stream_start::outcome::kNotRun) {
      routing::RecordFullRejection(loads, target.incarnation, clock_.Now());
      open.Settle();
      continue;
    }
    if (customer) count_usage_(*customer, sent_at);
    if (stream.how == stream_start::outcome::kNoAnswer) {
      routing::RecordFailure(loads, target.incarnation, clock_.Now());
      const auto cancellation = co_await asio::this_coro::cancellation_state;
      if (stream.from->HasInvalidResponse()) {
        LogFailedStream(input, target, stream.from->Error());
        open.Settle();
      } else if (!IsEndedLocally(cancellation, deadline)) {
        open.SettleBroken();
      }
      co_await call.Reply(
          wire_.EncodeFailure(502, "the endpoint sent no valid answer", {}));
      co_return;
    }
    stream.head.headers = net::EndToEnd(stream.head.headers);
    co_await call.BeginStream(std::move(stream.head));
    net::body_state state = net::body_state::kMore;
    steps::event_meter meter;
    while (state == net::body_state::kMore) {
      std::string piece;
      state = co_await stream.from->ReadSome(piece, deadline);
      if (!steps::AddPiece(meter, piece)) {
        LogFailedStream(input, target,
                        "the endpoint sends bytes that are no events");
        routing::RecordFailure(loads, target.incarnation, clock_.Now());
        state = net::body_state::kBroken;
        break;
      }
      co_await call.WriteStream(std::move(piece));
    }
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (stream.from->HasInvalidResponse()) {
      LogFailedStream(input, target, stream.from->Error());
      routing::RecordFailure(loads, target.incarnation, clock_.Now());
      open.Settle();
    } else if (state == net::body_state::kBroken &&
               !IsEndedLocally(cancellation, deadline)) {
      open.SettleBroken();
    }
    if (state == net::body_state::kEnd) {
      open.Settle();
      crashes_.RecordServed(identity);
      co_await call.EndStream();
      pool_.Release(std::move(stream.from));
    }
    co_return;
  }
  co_await call.Reply(wire_.EncodeFailure(
      503, "no endpoint could accept the request", kRetryAfter));
}

}  // namespace hickorywood::entry
