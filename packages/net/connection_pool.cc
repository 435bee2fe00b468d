#include "net/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/reason.h"
#include "net/address.h"
#include "net/read_buffer.h"
#include "net/response_rules.h"

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
constexpr uint32_t kMaxAnswerHeaderBytes = 64 * 1024;
// Maximum length that an answer may state. The parser allocates a body of that
// length before the first byte of it arrives.
constexpr uint64_t kMaxStatedBytes = 64UL * 1024 * 1024;
// Bytes that are received and not parsed yet: a head, or the framing of a
// chunked body, whose extensions and trailers could have any length.
constexpr size_t kMaxBufferedBytes = 2UL * kMaxAnswerHeaderBytes;
// Interim responses before one final response. Endpoints send one at most.
constexpr int kMaxInterimResponses = 8;

// Reads "timeout=15" in the value of a Keep-Alive header.
std::optional<std::chrono::seconds> ParseKeepAlive(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const size_t start = value.find(kName);
  if (start == std::string_view::npos) return std::nullopt;
  value.remove_prefix(start + kName.size());
  int seconds = 0;
  const auto [end, failure] =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (failure != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

class pooled_connection : public connection {
 public:
  pooled_connection(asio::io_context& loop, std::string address)
      : address_(std::move(address)), stream_(loop) {}

  awaitable<bool> Connect(tcp::endpoint target, time_point deadline) {
    stream_.expires_at(deadline);
    const auto [failure] = co_await stream_.async_connect(target, kNoThrow);
    is_refused_ = failure == asio::error::connection_refused;
    if (failure) co_return Fail(failure);
    TuneSocket(stream_.socket());
    co_return true;
  }

  const std::string& Address() const override { return address_; }
  bool IsReused() const override { return is_reused_; }
  bool IsRefused() const { return is_refused_; }
  const std::string& Error() const override { return error_; }
  void SetError(std::string why) override { error_ = std::move(why); }
  void MarkIdentified() override { is_identified_ = true; }
  bool IsFramed() const override {
    return head_.framing != body_framing::kConnection;
  }
  bool HasInvalidResponse() const override { return is_invalid_; }

  bool HasCarried(const std::string& request_id) const {
    const uint64_t hash = core::Hash64(request_id);
    return std::find(carried_.begin(), carried_.end(), hash) != carried_.end();
  }
  void RecordCarried(const std::string& request_id) {
    carried_.push_back(core::Hash64(request_id));
  }
  size_t Carried() const { return carried_.size(); }

  awaitable<bool> Write(const request& output, time_point deadline) override {
    // Refers to the body without copying it.
    http::request<http::span_body<const char>> message;
    message.version(kHttp11);
    message.method_string(output.method);
    message.target(output.target);
    for (const header& item : output.headers) {
      message.insert(item.name, item.value);
    }
    if (!Has(output.headers, "Host")) message.set(http::field::host, address_);
    const std::string& body = output.body;
    message.body() = {body.data(), body.size()};
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
    is_identified_ = false;
    stream_.expires_at(deadline);
    int responses = 0;
    do {
      if (++responses > kMaxInterimResponses) {
        error_ = "the peer sends interim responses without end";
        co_return false;
      }
      const bool is_valid = co_await ReadAnyHead();
      if (!is_valid) co_return false;
    } while (IsInterim(head_));
    const auto length = parser_->content_length();
    if (length && *length > kMaxStatedBytes) {
      error_ = "the answer states a length above the limit";
      co_return false;
    }
    if (length) ReserveForBody(buffer_, *length);
    head.status = head_.status;
    head.headers = std::move(head_.headers);
    co_return true;
  }

  awaitable<body_state> ReadSome(std::string& piece,
                                 time_point deadline) override {
    if (is_invalid_ || parser_->is_done()) co_return MoveBody(piece);
    SetDeadline(deadline);
    for (;;) {
      const size_t unparsed = buffer_.size();
      ParseReceived();
      const bool has_progress =
          is_invalid_ || parser_->is_done() || buffer_.size() < unparsed;
      if (has_progress) co_return MoveBody(piece);
      const auto count = co_await Receive();
      if (!count) co_return body_state::kBroken;
      GrowForBody(buffer_, *count);
    }
  }

  // Whether the connection can carry another request.
  bool IsReusable() {
    if (!is_identified_ || is_invalid_ || !parser_ || !parser_->is_done() ||
        !parser_->get().keep_alive()) {
      return false;
    }
    // Bytes after a complete answer belong to no request.
    return buffer_.size() == 0 && IsOpenWithoutData();
  }

  // Returns false when the peer has closed the connection or has sent bytes
  // that were not read.
  bool IsOpenWithoutData() {
    char byte = 0;
    const ssize_t count = recv(stream_.socket().native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void ReleaseMemory() { ReleaseCapacity(buffer_); }
  void MarkReused() { is_reused_ = true; }

  // The idle timeout that the peer stated with its latest answer.
  std::optional<std::chrono::seconds> StatedIdleTimeout() const {
    const auto field = parser_->get().find(http::field::keep_alive);
    if (field == parser_->get().end()) return std::nullopt;
    return ParseKeepAlive(field->value());
  }

 private:
  std::string_view Received() const {
    const auto bytes = buffer_.data();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
  }

  // Receives some bytes and returns their number. At the end of the connection
  // it returns 0 if that completes the response.
  awaitable<std::optional<size_t>> Receive() {
    const size_t size = beast::read_size(buffer_, kMaxReadBytes);
    if (size == 0) {
      Reject(error_code(http::error::buffer_overflow).message());
      co_return std::nullopt;
    }
    auto [failure, count] =
        co_await stream_.async_read_some(buffer_.prepare(size), kNoThrow);
    buffer_.commit(count);
    if (failure == asio::error::eof) {
      failure = http::error::end_of_stream;
      if (parser_->got_some()) parser_->put_eof(failure);
    }
    if (failure) {
      Fail(failure);
      co_return std::nullopt;
    }
    co_return count;
  }

  // Reads the head of a final or an interim response.
  awaitable<bool> ReadAnyHead() {
    parser_.emplace();
    parser_->header_limit(kMaxAnswerHeaderBytes);
    parser_->body_limit(boost::none);
    head_ = {};
    size_t checked = 0;  // bytes of the buffer whose lines were added to head_
    for (;;) {
      if (!AddReceivedLines(checked)) {
        co_return Reject(core::LastReason().text);
      }
      error_code failure;
      const size_t used =
          buffer_.size() > 0 ? parser_->put(buffer_.data(), failure) : 0;
      buffer_.consume(used);
      checked -= std::min(checked, used);
      if (parser_->is_header_done()) co_return true;
      if (failure && failure != http::error::need_more) {
        co_return Reject(failure.message());
      }
      const auto count = co_await Receive();
      if (!count) co_return false;
    }
  }

  // Adds the complete lines after the first `checked` bytes of the buffer.
  // Returns false if the response is not valid.
  bool AddReceivedLines(size_t& checked) {
    std::string_view rest = Received().substr(checked);
    while (!head_.is_complete) {
      const size_t end = rest.find('\n');
      if (end == std::string_view::npos) break;
      if (!AddHeadLine(head_, rest.substr(0, end + 1))) return false;
      checked += end + 1;
      rest.remove_prefix(end + 1);
    }
    return true;
  }

  // A read without a deadline starts no timer, because a stream has many reads.
  void SetDeadline(time_point deadline) {
    if (deadline == time_point::max()) {
      stream_.expires_never();
    } else {
      stream_.expires_at(deadline);
    }
  }

  // Parses the chunks that were received together: each read takes a turn of
  // the loop. It doesn't wait for the rest of a chunk, because the events
  // before it are delivered at once.
  void ParseReceived() {
    while (!is_invalid_ && buffer_.size() > 0 && !parser_->is_done()) {
      error_code failure;
      const size_t used = parser_->put(buffer_.data(), failure);
      if (failure == http::error::need_more) {
        buffer_.consume(used);
        const bool is_valid =
            !parser_->chunked() || IsValidIncompleteChunk(Received());
        if (!is_valid) Reject(core::LastReason().text);
        return;
      }
      // The parser consumes the last chunk and the trailers at once.
      const bool is_last_chunk = parser_->chunked() && parser_->is_done();
      if (failure) {
        Reject(failure.message());
      } else if (is_last_chunk &&
                 !IsValidLastChunk(Received().substr(0, used))) {
        Reject(core::LastReason().text);
      }
      buffer_.consume(used);
    }
  }

  // Bytes that precede invalid ones are returned before the failure.
  body_state MoveBody(std::string& piece) {
    std::string& body = parser_->get().body();
    const bool is_empty = body.empty();
    piece += body;
    body.clear();
    if (is_invalid_) {
      return is_empty ? body_state::kBroken : body_state::kMore;
    }
    return parser_->is_done() ? body_state::kEnd : body_state::kMore;
  }

  // The connection is not used again after an invalid response.
  bool Reject(std::string problem) {
    error_ = std::move(problem);
    is_invalid_ = true;
    return false;
  }

  bool Fail(error_code failure) {
    error_ = failure.message();
    return false;
  }

  const std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxBufferedBytes};
  std::optional<http::response_parser<http::string_body>> parser_;
  response_head head_;  // of the response that was read last
  std::string error_;
  bool is_invalid_ = false;
  std::vector<uint64_t> carried_;  // hashes of the request ids
  bool is_identified_ = false;
  bool is_reused_ = false;
  bool is_refused_ = false;
};

struct idle_connection {
  std::unique_ptr<pooled_connection> item;
  time_point usable_until{};
};

}  // namespace

struct connection_pool::impl {
  impl(asio::io_context& io, pool_options settings)
      : loop(io), options(settings) {}

  // Returns the most recently used idle connection that may carry the request.
  // Connections that were examined and are no longer usable are closed.
  std::unique_ptr<pooled_connection> AcquireIdle(
      const std::string& address, const std::string& request_id) {
    const auto found = idle.find(address);
    if (found == idle.end()) return nullptr;
    std::deque<idle_connection>& waiting = found->second;
    const time_point now = std::chrono::steady_clock::now();
    std::unique_ptr<pooled_connection> selected;
    for (size_t i = waiting.size(); i > 0 && !selected; --i) {
      const auto candidate =
          waiting.begin() + static_cast<std::ptrdiff_t>(i - 1);
      const bool is_usable =
          now < candidate->usable_until && candidate->item->IsOpenWithoutData();
      if (is_usable && candidate->item->HasCarried(request_id)) continue;
      if (is_usable) selected = std::move(candidate->item);
      waiting.erase(candidate);
    }
    if (waiting.empty()) idle.erase(found);
    return selected;
  }

  std::chrono::milliseconds IdleLimitOf(const pooled_connection& item) const {
    const auto stated = item.StatedIdleTimeout();
    if (!stated) return options.idle_limit;
    const std::chrono::milliseconds timeout = *stated;
    return std::max(timeout - options.idle_margin, timeout / 2);
  }

  asio::io_context& loop;
  const pool_options options;
  std::map<std::string, std::deque<idle_connection>> idle;
};

connection_pool::connection_pool(asio::io_context& loop, pool_options options)
    : impl_(std::make_shared<impl>(loop, options)) {}

connection_pool::~connection_pool() = default;

awaitable<std::unique_ptr<connection>> connection_pool::Acquire(
    std::string address, time_point deadline, acquire_terms terms) {
  const std::shared_ptr<impl> state = impl_;
  std::unique_ptr<pooled_connection> acquired;
  const bool needs_fresh = terms.needs_fresh || terms.request_id.empty();
  if (!needs_fresh) acquired = state->AcquireIdle(address, terms.request_id);
  if (acquired) {
    acquired->MarkReused();
    acquired->RecordCarried(terms.request_id);
    co_return acquired;
  }
  const auto parsed_address = ParseAddress(address);
  if (!parsed_address) co_return nullptr;
  acquired = std::make_unique<pooled_connection>(state->loop, address);
  const bool is_open = co_await acquired->Connect(*parsed_address, deadline);
  if (!is_open) {
    core::SetLastReason(core::reason_code::kUnavailable, acquired->Error());
    co_return nullptr;
  }
  acquired->RecordCarried(terms.request_id);
  co_return acquired;
}

awaitable<connect_outcome> connection_pool::Probe(const std::string& address,
                                                  time_point deadline) {
  const std::shared_ptr<impl> state = impl_;
  const auto parsed_address = ParseAddress(address);
  if (!parsed_address) co_return connect_outcome::kNoAnswer;
  pooled_connection probe(state->loop, address);
  const bool is_open = co_await probe.Connect(*parsed_address, deadline);
  if (is_open) co_return connect_outcome::kConnected;
  co_return probe.IsRefused() ? connect_outcome::kRefused
                              : connect_outcome::kNoAnswer;
}

void connection_pool::Release(std::unique_ptr<connection> used) {
  auto* const item = static_cast<pooled_connection*>(used.release());
  std::unique_ptr<pooled_connection> owner(item);
  const bool is_pooled =
      item != nullptr && item->IsReusable() &&
      item->Carried() < impl_->options.requests_per_connection;
  if (!is_pooled) return;
  item->ReleaseMemory();
  std::deque<idle_connection>& waiting = impl_->idle[item->Address()];
  if (waiting.size() >= impl_->options.idle_per_address) waiting.pop_front();
  const time_point usable_until =
      std::chrono::steady_clock::now() + impl_->IdleLimitOf(*item);
  waiting.push_back({std::move(owner), usable_until});
}

void connection_pool::CloseIdle(const std::string& address) {
  impl_->idle.erase(address);
}

}  // namespace hickorywood::net
