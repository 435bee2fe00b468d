#include "net/connection_pool.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "core/events.h"
#include "core/reason.h"
#include "net/address.h"

namespace hickorywood::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using core::time_point;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttp11 = 11;
constexpr uint32_t kAnswerHeaderBytes = 64 * 1024;

class pooled_connection : public connection {
 public:
  pooled_connection(asio::io_context& loop, std::string address)
      : address_(std::move(address)), stream_(loop) {}

  awaitable<bool> Connect(tcp::endpoint where, time_point deadline) {
    stream_.expires_at(deadline);
    const auto [failure] = co_await stream_.async_connect(where, kNoThrow);
    is_refused_ = failure == asio::error::connection_refused;
    if (failure) co_return Fail(failure);
    TuneSocket(stream_.socket());
    co_return true;
  }

  const std::string& Address() const { return address_; }
  bool IsReused() const override { return is_reused_; }
  bool IsRefused() const { return is_refused_; }
  const std::string& Error() const override { return error_; }

  awaitable<bool> Write(const request& output, time_point deadline) override {
    http::request<http::string_body> message;
    message.version(kHttp11);
    message.method_string(output.method);
    message.target(output.target);
    for (const header& item : output.headers) {
      message.insert(item.name, item.value);
    }
    if (!Has(output.headers, "Host")) message.set(http::field::host, address_);
    message.body() = output.body;
    const bool has_body = !output.body.empty() || output.method == "POST" ||
                          output.method == "PUT" || output.method == "PATCH";
    if (has_body) message.content_length(output.body.size());
    stream_.expires_at(deadline);
    const auto [failure, count] =
        co_await http::async_write(stream_, message, kNoThrow);
    if (failure) co_return Fail(failure);
    co_return true;
  }

  awaitable<bool> ReadHead(response& head, time_point deadline) override {
    parser_.emplace();
    parser_->header_limit(kAnswerHeaderBytes);
    parser_->body_limit(boost::none);
    stream_.expires_at(deadline);
    const auto [failure, count] =
        co_await http::async_read_header(stream_, buffer_, *parser_, kNoThrow);
    if (failure) co_return Fail(failure);
    const auto& message = parser_->get();
    head.status = static_cast<int>(message.result_int());
    head.headers.clear();
    for (const auto& field : message) {
      head.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    co_return true;
  }

  awaitable<body_state> ReadSome(std::string& piece,
                                 time_point deadline) override {
    if (parser_->is_done()) co_return Take(piece);
    SetDeadline(deadline);
    const auto [failure, count] =
        co_await http::async_read_some(stream_, buffer_, *parser_, kNoThrow);
    if (failure) {
      Fail(failure);
      co_return body_state::kBroken;
    }
    co_return Take(piece);
  }

  // Whether another request may go over it.
  bool IsReusable() {
    if (!parser_ || !parser_->is_done() || !parser_->get().keep_alive()) {
      return false;
    }
    // Bytes after a whole answer belong to no request.
    return buffer_.size() == 0 && IsQuiet();
  }

  // False when the other side has closed it or has sent anything.
  bool IsQuiet() {
    char byte = 0;
    const ssize_t count = recv(stream_.socket().native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void MarkReused() { is_reused_ = true; }

 private:
  // No deadline needs no timer, and a stream has many reads.
  void SetDeadline(time_point deadline) {
    if (deadline == time_point::max()) {
      stream_.expires_never();
    } else {
      stream_.expires_at(deadline);
    }
  }

  body_state Take(std::string& piece) {
    std::string& body = parser_->get().body();
    piece += body;
    body.clear();
    return parser_->is_done() ? body_state::kEnd : body_state::kMore;
  }

  bool Fail(error_code failure) {
    error_ = failure.message();
    return false;
  }

  const std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string error_;
  bool is_reused_ = false;
  bool is_refused_ = false;
};

struct idle_connection {
  std::unique_ptr<pooled_connection> item;
  time_point since{};
};

}  // namespace

struct connection_pool::impl {
  impl(asio::io_context& io, pool_options settings)
      : loop(io), options(settings) {}

  std::unique_ptr<pooled_connection> TakeIdle(const std::string& address) {
    const auto found = idle.find(address);
    if (found == idle.end()) return nullptr;
    const time_point now = std::chrono::steady_clock::now();
    while (!found->second.empty()) {
      idle_connection candidate = std::move(found->second.back());
      found->second.pop_back();
      const bool is_fresh = now - candidate.since < options.idle_limit;
      if (is_fresh && candidate.item->IsQuiet()) {
        return std::move(candidate.item);
      }
    }
    idle.erase(found);
    return nullptr;
  }

  asio::io_context& loop;
  const pool_options options;
  std::map<std::string, std::deque<idle_connection>> idle;
};

connection_pool::connection_pool(asio::io_context& loop, pool_options options)
    : impl_(std::make_shared<impl>(loop, options)) {}

connection_pool::~connection_pool() = default;

awaitable<std::unique_ptr<connection>> connection_pool::Acquire(
    const std::string& address, time_point deadline, bool needs_fresh) {
  const std::shared_ptr<impl> state = impl_;
  std::unique_ptr<pooled_connection> made;
  if (!needs_fresh) made = state->TakeIdle(address);
  if (made) {
    made->MarkReused();
    co_return made;
  }
  const auto where = ParseAddress(address);
  if (!where) co_return nullptr;
  made = std::make_unique<pooled_connection>(state->loop, address);
  const bool is_open = co_await made->Connect(*where, deadline);
  if (!is_open) {
    core::SetLastReason(core::reason_code::kUnavailable, made->Error());
    co_return nullptr;
  }
  co_return made;
}

awaitable<connect_outcome> connection_pool::Probe(const std::string& address,
                                                  time_point deadline) {
  const std::shared_ptr<impl> state = impl_;
  const auto where = ParseAddress(address);
  if (!where) co_return connect_outcome::kNoAnswer;
  pooled_connection made(state->loop, address);
  const bool is_open = co_await made.Connect(*where, deadline);
  if (is_open) co_return connect_outcome::kConnected;
  co_return made.IsRefused() ? connect_outcome::kRefused
                             : connect_outcome::kNoAnswer;
}

void connection_pool::Release(std::unique_ptr<connection> used) {
  auto* const item = static_cast<pooled_connection*>(used.release());
  std::unique_ptr<pooled_connection> held(item);
  if (item == nullptr || !item->IsReusable()) return;
  std::deque<idle_connection>& waiting = impl_->idle[item->Address()];
  if (waiting.size() >= impl_->options.idle_per_address) waiting.pop_front();
  waiting.push_back({std::move(held), std::chrono::steady_clock::now()});
}

void connection_pool::Forget(const std::string& address) {
  impl_->idle.erase(address);
}

namespace {

// Reads answers until the one that is expected. False: none came whole.
awaitable<bool> ReadExpected(connection& from, const std::string& address,
                             const call_options& options, call_result& result) {
  for (;;) {
    const bool has_head =
        co_await from.ReadHead(result.answer, options.deadline);
    if (!has_head) co_return false;
    result.answer.body.clear();
    body_state state = body_state::kMore;
    while (state == body_state::kMore) {
      state = co_await from.ReadSome(result.answer.body, options.deadline);
      if (result.answer.body.size() > options.body_limit) co_return false;
    }
    if (state == body_state::kBroken) co_return false;
    const std::string_view mark =
        Find(result.answer.headers, options.expected.name);
    const bool is_other = !options.expected.name.empty() && !mark.empty() &&
                          mark != options.expected.value;
    if (!is_other) co_return true;
    core::LogEvent(core::event_id::kForeignAnswer,
                   {{"request", options.expected.value},
                    {"found", std::string(mark)},
                    {"status", std::to_string(result.answer.status)},
                    {"address", address},
                    {"reused", from.IsReused() ? "true" : "false"}});
  }
}

}  // namespace

awaitable<call_result> Call(connection_pool& pool, const std::string& address,
                            const request& input, const call_options& options) {
  call_result result;
  std::unique_ptr<connection> open = co_await pool.Acquire(
      address, options.connect_deadline, options.needs_fresh);
  if (!open) {
    result.error = core::LastReason().text;
    co_return result;
  }
  result.how = progress::kMaybeSent;
  bool is_whole = co_await open->Write(input, options.deadline);
  if (is_whole) {
    is_whole = co_await ReadExpected(*open, address, options, result);
  }
  if (!is_whole) {
    result.answer = response{.status = 0};
    result.error = open->Error();
    result.is_timeout = std::chrono::steady_clock::now() >= options.deadline;
    co_return result;
  }
  result.how = progress::kAnswered;
  pool.Release(std::move(open));
  co_return result;
}

}  // namespace hickorywood::net
