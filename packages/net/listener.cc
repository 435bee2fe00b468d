#include "net/listener.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <set>
#include <utility>

#include "core/clock.h"
#include "core/events.h"
#include "core/reason.h"
#include "net/address.h"
#include "net/read_buffer.h"
#include "net/request_reader.h"

namespace hickorywood::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
// Time limit of one write to a caller, after which the connection is closed: a
// caller that reads nothing must not occupy the memory of its answer
// indefinitely.
constexpr std::chrono::seconds kWriteTimeout{20};
// The same while the memory for callers is short.
constexpr std::chrono::seconds kBoundedStallTimeout{5};
// Time within which the body of a request must arrive.
constexpr std::chrono::seconds kBodyTimeout{20};
// Time for which a connection is read after the answer to a request that was
// not read to its end. Closing it earlier would reset it, and the caller would
// not see the answer.
constexpr std::chrono::seconds kLingerTime{1};
// Time after which the memory of some requests is free again.
constexpr char kRetryAfterSeconds[] = "1";
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
// Pause after a failed accept (no free file descriptor), which avoids a busy
// loop.
constexpr std::chrono::milliseconds kAcceptPause{50};
// Maximum number of connections that are served from one turn of the loop on. A
// busy process that accepts fewer than arrive during a turn has a queue full of
// connections whose callers have given up.
constexpr size_t kNewConnectionsPerTurn = 8;
// The same with those that are closed at once since their callers have left.
constexpr size_t kAcceptsPerTurn = 64;
// Maximum number of idle connections that are examined to find one to close.
constexpr int kMaxIdleChecks = 16;
// Minimum interval between two log lines about refused connections, or about
// refused requests.
constexpr std::chrono::seconds kRefusalLogInterval{1};
constexpr unsigned kHttp11 = 11;

// One connection of a caller.
struct session : std::enable_shared_from_this<session> {
  session(tcp::socket socket, std::shared_ptr<request_memory> process_memory)
      : stream(std::move(socket)), memory(std::move(process_memory)) {
    ++memory->connections;
  }
  ~session() { --memory->connections; }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  // Releases the memory of a request or an answer that is being transferred.
  void Yield() {
    if (is_writing) {
      stream.close();
    } else {
      stream.cancel();
    }
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  const std::shared_ptr<request_memory> memory;
  memory_charge* charge = nullptr;  // of the current request
  bool is_writing = false;
  bool is_lingering = false;
  // Bytes of its last request that may still arrive and are not read.
  uint64_t unread_bytes = 0;
};

// The connections that wait for a request, the longest idle first.
class idle_list {
 public:
  // Lists a connection for as long as it exists.
  class entry {
   public:
    entry(idle_list& owner, session& item)
        : owner_(owner),
          position_(owner.sessions_.insert(owner.sessions_.end(), &item)) {}
    ~entry() { owner_.sessions_.erase(position_); }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

   private:
    idle_list& owner_;
    const std::list<session*>::iterator position_;
  };

  // Closes the longest idle connection whose caller has sent nothing. Returns
  // it; nullptr: there is none.
  session* CloseOldest();
  void CloseAll();

 private:
  std::list<session*> sessions_;
};

bool HasReceived(session& connection) {
  char byte = 0;
  return recv(connection.stream.socket().native_handle(), &byte, 1,
              MSG_PEEK | MSG_DONTWAIT) > 0;
}

session* idle_list::CloseOldest() {
  for (int i = 0; i < kMaxIdleChecks && !sessions_.empty(); ++i) {
    session* const item = sessions_.front();
    // It is listed until its coroutine ends or reads the request.
    sessions_.splice(sessions_.end(), sessions_, sessions_.begin());
    const bool is_idle = item->stream.socket().is_open() && !HasReceived(*item);
    if (!is_idle) continue;
    item->stream.close();
    return item;
  }
  return nullptr;
}

void idle_list::CloseAll() {
  for (session* const item : sessions_) item->stream.close();
}

// Whether the caller has closed its side of the connection and has sent nothing
// more before.
bool HasClosed(session& connection) {
  char byte = 0;
  const ssize_t count = recv(connection.stream.socket().native_handle(), &byte,
                             1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN);
}

// Whether the caller has closed its side of a new connection, also if its
// request waits to be read.
bool IsAbandoned(tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

class session_exchange : public exchange {
 public:
  session_exchange(session& connection, request input, bool keeps_alive,
                   const listener_options& options)
      : connection_(connection),
        request_(std::move(input)),
        keeps_alive_(keeps_alive),
        options_(options) {
    connection_.charge->Enter(holder_state::kServing);
  }

  const request& Request() const override { return request_; }
  void ReleaseBody() override { request_.body = shared_text(); }
  std::string RemoteAddress() const override {
    error_code failure;
    const auto caller = connection_.stream.socket().remote_endpoint(failure);
    return failure ? std::string() : caller.address().to_string();
  }
  bool IsAnswered() const { return is_answered_; }
  bool KeepsAlive() const { return keeps_alive_; }
  void Close() { keeps_alive_ = false; }

  awaitable<void> Reply(response answer) override {
    http::response<http::string_body> output;
    FillHead(output, answer);
    output.body() = std::move(answer.body);
    output.prepare_payload();
    http::response_serializer<http::string_body> serializer(output);
    const size_t size = output.body().size();
    const write_scope scope(connection_, size);
    size_t written = 0;
    error_code failure;
    const auto limit = std::chrono::steady_clock::now() + kWriteTimeout;
    while (!serializer.is_done() && !failure) {
      connection_.stream.expires_at(
          std::min(limit, std::chrono::steady_clock::now() + StallTimeout()));
      const auto [problem, count] = co_await http::async_write_some(
          connection_.stream, serializer, kNoThrow);
      failure = problem;
      written += count;
      connection_.charge->Advance(static_cast<int64_t>(count));
    }
    is_answered_ = true;
    if (failure) keeps_alive_ = false;
    const bool is_stalled = failure == beast::error::timeout;
    if (is_stalled && options_.on_stall) {
      options_.on_stall(size - std::min(size, written));
    }
  }

  awaitable<void> BeginStream(response head) override {
    http::response<http::empty_body> output;
    FillHead(output, head);
    output.chunked(true);
    http::response_serializer<http::empty_body> serializer(output);
    is_answered_ = true;
    is_stream_open_ = true;
    connection_.stream.expires_after(kWriteTimeout);
    const auto [failure, count] = co_await http::async_write_header(
        connection_.stream, serializer, kNoThrow);
    if (failure) FailStream();
  }

  awaitable<void> WriteStream(std::string piece) override {
    if (!is_stream_open_ || piece.empty()) co_return;
    const write_scope scope(connection_, piece.size());
    connection_.stream.expires_after(kWriteTimeout);
    const auto [failure, count] = co_await asio::async_write(
        connection_.stream, http::make_chunk(asio::buffer(piece)), kNoThrow);
    if (failure) FailStream();
  }

  awaitable<void> EndStream() override {
    if (!is_stream_open_) co_return;
    is_stream_open_ = false;
    connection_.stream.expires_after(kWriteTimeout);
    const auto [failure, count] = co_await asio::async_write(
        connection_.stream, http::make_chunk_last(), kNoThrow);
    if (failure) keeps_alive_ = false;
  }

  bool IsStreamOpen() const { return is_stream_open_; }

 private:
  // Charges the bytes of an answer while they are written.
  class write_scope {
   public:
    write_scope(session& connection, size_t bytes)
        : connection_(connection), bytes_(static_cast<int64_t>(bytes)) {
      connection_.is_writing = true;
      connection_.charge->Set(connection_.charge->Bytes() + bytes_);
      connection_.charge->Enter(holder_state::kWriting);
    }
    ~write_scope() {
      connection_.is_writing = false;
      connection_.charge->Set(connection_.charge->Bytes() - bytes_);
      connection_.charge->Enter(holder_state::kServing);
    }
    write_scope(const write_scope&) = delete;
    write_scope& operator=(const write_scope&) = delete;

   private:
    session& connection_;
    const int64_t bytes_;
  };

  template <typename Message>
  void FillHead(Message& output, const response& answer) const {
    output.version(kHttp11);
    output.result(static_cast<unsigned>(answer.status));
    for (const header& item : answer.headers) {
      output.insert(item.name, item.value);
    }
    output.keep_alive(keeps_alive_);
  }

  std::chrono::milliseconds StallTimeout() const {
    const auto time = options_.stall_timeout ? options_.stall_timeout()
                                             : std::chrono::milliseconds(0);
    if (time.count() > 0) return time;
    const bool is_short = IsAboveBound(options_.memory->budget);
    return is_short ? kBoundedStallTimeout : kWriteTimeout;
  }

  void FailStream() {
    is_stream_open_ = false;
    keeps_alive_ = false;
  }

  session& connection_;
  request request_;
  bool keeps_alive_;
  const listener_options& options_;
  bool is_answered_ = false;
  bool is_stream_open_ = false;
};

// Completes when the caller has closed its side of the connection.
awaitable<void> WaitForClose(session& connection, session_exchange& one,
                             int unread_bytes) {
  tcp::socket& socket = connection.stream.socket();
  const auto [failure] =
      co_await socket.async_wait(tcp::socket::wait_read, kNoThrow);
  if (failure) co_return;
  if (HasClosed(connection)) co_return;
  // The next request has already arrived, and a close can't be detected without
  // reading that request. Waits until it is cancelled.
  const bool has_memory =
      connection.charge->GrowIfFree(connection.charge->Bytes() + unread_bytes);
  if (!has_memory) one.Close();
  asio::steady_timer never(co_await asio::this_coro::executor);
  never.expires_at(asio::steady_timer::time_point::max());
  co_await never.async_wait(kNoThrow);
}

// The status with which a request that can't be read is answered; 0 when no
// answer is possible.
int StatusOfReadError(error_code failure) {
  if (failure == asio::error::no_buffer_space) return kUnavailable;
  if (failure == http::error::body_limit) return kTooLarge;
  if (failure == http::error::header_limit ||
      failure == http::error::buffer_overflow) {
    return 431;
  }
  const bool is_malformed =
      failure.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      failure != http::error::end_of_stream &&
      failure != http::error::partial_message;
  return is_malformed ? 400 : 0;
}

}  // namespace

struct listener::impl : std::enable_shared_from_this<listener::impl> {
  impl(asio::io_context& io, listener_options settings, handler work)
      : loop(io),
        options(WithMemory(std::move(settings))),
        handle(std::move(work)),
        acceptor(io) {}

  static listener_options WithMemory(listener_options options) {
    if (!options.memory) options.memory = MakeRequestMemory(0);
    return options;
  }

  bool Start();
  awaitable<void> Accept();
  void AcceptWaiting();
  void Add(tcp::socket socket);
  bool IsFull() const;
  bool CloseLongestIdle();
  bool CloseLongestStalled();
  void LogRefusal();
  void LogShortage(const session& connection);
  awaitable<void> Serve(std::shared_ptr<session> connection);
  awaitable<bool> ServeOne(session& connection);
  awaitable<bool> WaitForRequest(session& connection,
                                 const caller_limits& limits);
  awaitable<void> ReplyUnread(session& connection, error_code failure,
                              const caller_limits& limits);
  awaitable<std::optional<request>> Read(session& connection,
                                         const caller_limits& limits,
                                         bool& keeps_alive);
  awaitable<error_code> ReadWithin(session& connection, request_reader& reader,
                                   const caller_limits& limits);
  awaitable<void> Linger(session& connection);
  awaitable<bool> Answer(session& connection, session_exchange& one);

  asio::io_context& loop;
  const listener_options options;
  const handler handle;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<session>> sessions;
  idle_list idle;
  size_t in_flight = 0;
  size_t refused = 0;  // connections since the last log line about it
  core::time_point next_refusal_log{};
  size_t unread = 0;  // requests refused since the last log line about it
  core::time_point next_shortage_log{};
  // What is received to be discarded.
  std::array<char, kMaxReadBytes> discarded{};
  bool is_draining = false;
  bool is_closed = false;
};

bool listener::impl::Start() {
  const auto parsed_address = ParseAddress(options.address);
  if (!parsed_address) return false;
  error_code failure;
  acceptor.open(parsed_address->protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) acceptor.bind(*parsed_address, failure);
  if (!failure) {
    // Connections inherit it. Without it, a busy process only holds more.
    error_code ignored;
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(options.receive_buffer_bytes),
        ignored);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (!failure) acceptor.non_blocking(true, failure);
  if (failure) {
    core::SetLastReason(
        core::reason_code::kIo,
        "can't listen on " + options.address + ": " + failure.message());
    return false;
  }
  asio::co_spawn(
      loop, [self = shared_from_this()] { return self->Accept(); },
      asio::detached);
  return true;
}

awaitable<void> listener::impl::Accept() {
  while (!is_closed) {
    auto [failure, socket] = co_await acceptor.async_accept(kNoThrow);
    if (is_closed) co_return;
    if (failure) {
      // Without a free descriptor, others give theirs to new callers.
      if (!CloseLongestIdle()) CloseLongestStalled();
      asio::steady_timer pause(loop, kAcceptPause);
      co_await pause.async_wait(kNoThrow);
      continue;
    }
    Add(std::move(socket));
    AcceptWaiting();
  }
}

// Accepts further connections that have already arrived. A failure recurs in
// the next asynchronous accept.
void listener::impl::AcceptWaiting() {
  size_t served = 1;
  for (size_t i = 1; i < kAcceptsPerTurn && served < kNewConnectionsPerTurn;
       ++i) {
    error_code failure;
    tcp::socket socket = acceptor.accept(failure);
    if (failure) return;
    if (options.skips_abandoned && IsAbandoned(socket)) continue;
    Add(std::move(socket));
    ++served;
  }
}

void listener::impl::Add(tcp::socket socket) {
  if (IsFull() && !CloseLongestIdle() && !CloseLongestStalled()) {
    LogRefusal();
    return;
  }
  TuneSocket(socket);
  auto connection =
      std::make_shared<session>(std::move(socket), options.memory);
  sessions.insert(connection);
  asio::co_spawn(
      loop,
      [self = shared_from_this(), connection] {
        return self->Serve(connection);
      },
      [self = shared_from_this(), connection](const std::exception_ptr&) {
        self->sessions.erase(connection);
      });
}

bool listener::impl::IsFull() const {
  return sessions.size() >= options.max_connections ||
         options.memory->connections >= MaxConnections(options.memory->budget);
}

// Closes the connection that has been idle for longest. Returns false if none
// is idle.
bool listener::impl::CloseLongestIdle() {
  session* const closed = idle.CloseOldest();
  if (closed != nullptr) sessions.erase(closed->shared_from_this());
  return closed != nullptr;
}

// Closes a connection that is only read for its caller to see an answer, or the
// one whose transfer has been stalled for longest. Returns false if there is
// none.
bool listener::impl::CloseLongestStalled() {
  std::shared_ptr<session> longest;
  core::milliseconds time{0};
  for (const std::shared_ptr<session>& item : sessions) {
    const auto stalled =
        item->charge != nullptr ? item->charge->StalledFor() : std::nullopt;
    const auto rank = item->is_lingering ? core::milliseconds::max() : stalled;
    if (!rank || *rank <= time) continue;
    longest = item;
    time = *rank;
  }
  if (!longest) return false;
  longest->stream.close();
  sessions.erase(longest);
  return true;
}

// The log line about a request that is refused for lack of memory.
void listener::impl::LogShortage(const session& connection) {
  ++unread;
  const core::time_point now = std::chrono::steady_clock::now();
  if (now < next_shortage_log) return;
  const memory_budget& budget = options.memory->budget;
  core::LogEvent(core::event_id::kRequestsNotRead,
                 {{"address", options.address},
                  {"requests", std::to_string(unread)},
                  {"bytes", std::to_string(connection.charge->Bytes())},
                  {"held", std::to_string(budget.total)},
                  {"limit", std::to_string(LimitOf(budget))}});
  unread = 0;
  next_shortage_log = now + kRefusalLogInterval;
}

void listener::impl::LogRefusal() {
  ++refused;
  const core::time_point now = std::chrono::steady_clock::now();
  if (now < next_refusal_log) return;
  core::LogEvent(core::event_id::kConnectionsRefused,
                 {{"address", options.address},
                  {"open", std::to_string(sessions.size())},
                  {"answering", std::to_string(in_flight)},
                  {"refused", std::to_string(refused)}});
  refused = 0;
  next_refusal_log = now + kRefusalLogInterval;
}

awaitable<void> listener::impl::Serve(std::shared_ptr<session> connection) {
  for (;;) {
    const bool may_continue = co_await ServeOne(*connection);
    if (!may_continue) break;
  }
  error_code ignored;
  connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  if (connection->unread_bytes > 0) {
    co_await Linger(*connection);
  }
  connection->stream.close();
}

// Waits for the first byte of a request, for at most the idle timeout. The
// header timeout starts when that byte arrives.
awaitable<bool> listener::impl::WaitForRequest(session& connection,
                                               const caller_limits& limits) {
  if (connection.buffer.size() > 0) co_return true;
  if (is_closed) co_return false;
  const idle_list::entry listed(idle, connection);
  connection.stream.expires_after(limits.idle_timeout);
  const auto [failure, count] = co_await connection.stream.async_read_some(
      connection.buffer.prepare(4096), kNoThrow);
  if (failure) co_return false;
  connection.buffer.commit(count);
  co_return true;
}

// Reads the head and the body.
awaitable<error_code> listener::impl::ReadWithin(session& connection,
                                                 request_reader& reader,
                                                 const caller_limits& limits) {
  connection.stream.expires_after(limits.header_timeout);
  const error_code head_failure = co_await reader.ReadHead();
  if (head_failure) co_return head_failure;
  const request_reader::parser& parser = reader.Parser();
  if (options.customer) {
    connection.charge->Assign(options.customer(reader.Head()));
  }
  const auto needed =
      connection.charge->Bytes() + static_cast<int64_t>(reader.StatedBytes());
  // What can't be read is rejected before it is sent.
  if (!connection.charge->MayFit(needed)) {
    co_return asio::error::no_buffer_space;
  }
  connection.stream.expires_after(kBodyTimeout);
  const bool expects_continue =
      beast::iequals(parser.get()[http::field::expect], "100-continue");
  if (expects_continue) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(connection.stream,
                               asio::buffer(kContinue.data(), kContinue.size()),
                               kNoThrow);
  }
  co_return co_await reader.ReadBody();
}

// Reads a request and answers it if that fails; then returns nothing.
awaitable<std::optional<request>> listener::impl::Read(
    session& connection, const caller_limits& limits, bool& keeps_alive) {
  error_code failure;
  {
    request_reader reader(connection.stream, connection.buffer,
                          *connection.charge,
                          {limits.header_bytes, limits.body_bytes});
    failure = co_await ReadWithin(connection, reader, limits);
    if (!failure) {
      keeps_alive = reader.Parser().get().keep_alive() && !is_draining;
      co_return reader.Release();
    }
  }
  if (failure == asio::error::no_buffer_space) LogShortage(connection);
  connection.buffer.clear();
  connection.buffer.shrink_to_fit();
  connection.charge->Set(0);
  co_await ReplyUnread(connection, failure, limits);
  co_return std::nullopt;
}

awaitable<bool> listener::impl::ServeOne(session& connection) {
  const caller_limits limits = options.limits();
  const bool has_bytes = co_await WaitForRequest(connection, limits);
  if (!has_bytes) co_return false;
  memory_charge charge(options.memory, options.is_internal,
                       [&connection] { connection.Yield(); });
  connection.charge = &charge;
  const struct charge_guard {
    session& connection;
    ~charge_guard() { connection.charge = nullptr; }
  } guard{connection};
  bool keeps_alive = false;
  std::optional<request> input = co_await Read(connection, limits, keeps_alive);
  if (!input) co_return false;
  if (options.skips_abandoned && HasClosed(connection)) co_return false;
  session_exchange one(connection, std::move(*input), keeps_alive, options);
  ++in_flight;
  const bool may_continue = co_await Answer(connection, one);
  --in_flight;
  co_return may_continue;
}

// Runs the handler until it finishes or the caller disconnects. Returns true
// when the connection can carry another request.
awaitable<bool> listener::impl::Answer(session& connection,
                                       session_exchange& one) {
  using asio::experimental::awaitable_operators::operator||;
  connection.stream.expires_never();
  bool has_failed = false;
  try {
    const auto winner =
        co_await (handle(one) ||
                  WaitForClose(connection, one, options.receive_buffer_bytes));
    if (winner.index() == 1) co_return false;
  } catch (const std::exception& failure) {
    has_failed = true;
    core::SetLastReason(core::reason_code::kIo, failure.what());
  }
  if (has_failed || one.IsStreamOpen()) co_return false;
  if (!one.IsAnswered()) co_return false;
  co_return one.KeepsAlive() && !is_closed;
}

// Answers a request that was not read to its end.
awaitable<void> listener::impl::ReplyUnread(session& connection,
                                            error_code failure,
                                            const caller_limits& limits) {
  response answer;
  answer.status = StatusOfReadError(failure);
  if (answer.status == 0) co_return;
  if (answer.status == kTooLarge && options.on_too_large) {
    answer = options.on_too_large();
  }
  if (answer.status == kUnavailable) {
    answer.headers = {{"Retry-After", kRetryAfterSeconds}};
    if (options.on_memory_shortage) answer = options.on_memory_shortage();
  }
  session_exchange one(connection, request{}, false, options);
  co_await one.Reply(std::move(answer));
  connection.unread_bytes = limits.body_bytes;
}

// Receives and discards what the caller still sends.
awaitable<void> listener::impl::Linger(session& connection) {
  connection.is_lingering = true;
  connection.stream.expires_after(kLingerTime);
  while (connection.unread_bytes > 0) {
    const auto [failure, count] = co_await connection.stream.async_read_some(
        asio::buffer(discarded), kNoThrow);
    if (failure) co_return;
    connection.unread_bytes -=
        std::min<uint64_t>(connection.unread_bytes, count);
  }
}

listener::listener(asio::io_context& loop, listener_options options,
                   handler handle)
    : impl_(std::make_shared<impl>(loop, std::move(options),
                                   std::move(handle))) {}

listener::~listener() { StopAccepting(); }

bool listener::Start() { return impl_->Start(); }

void listener::BeginDrain() { impl_->is_draining = true; }

void listener::StopAccepting() {
  impl_->is_closed = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->idle.CloseAll();
}

uint16_t listener::Port() const {
  error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

size_t listener::InFlight() const { return impl_->in_flight; }

size_t listener::Connections() const { return impl_->sessions.size(); }

}  // namespace hickorywood::net
