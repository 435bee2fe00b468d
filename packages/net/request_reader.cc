#include "net/request_reader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "net/read_buffer.h"

namespace hickorywood::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using boost::system::error_code;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
// Bytes of chunk headers that a body may have for each of its own bytes, in
// addition to the header limit. A chunk of one byte has five.
constexpr uint64_t kFramingPerBodyByte = 8;
// Memory of the parser and of the coroutines of a request.
constexpr size_t kRequestBytes = 4UL * 1024;
// Memory of one header field beside its text: its nodes in the parser, and the
// names and values that handlers get. A field may have three bytes of text.
constexpr size_t kFieldBytes = 256;

// The parser has checked the field. GCC 12 reports its own optional length as
// uninitialized when sanitizers are on.
uint64_t LengthOf(const http::request<request_body>& head) {
  const std::string_view text = head[http::field::content_length];
  uint64_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

// Number of lines before the first empty line; 0 if that was not received.
size_t CountLines(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  const std::string_view bytes(static_cast<const char*>(data.data()),
                               data.size());
  const size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) return 0;
  const std::string_view lines = bytes.substr(0, end);
  return 1 + static_cast<size_t>(std::count(lines.begin(), lines.end(), '\n'));
}

}  // namespace

request_reader::request_reader(boost::beast::tcp_stream& stream,
                               boost::beast::flat_buffer& buffer,
                               memory_charge& charge,
                               const request_limits& limits)
    : stream_(stream), buffer_(buffer), charge_(charge), limits_(limits) {
  parser_.header_limit(limits.header_bytes);
  parser_.body_limit(limits.body_bytes);
  parser_.get().body().limit = limits.body_bytes;
  buffer_.max_size(std::max<size_t>(2UL * limits.header_bytes, kMaxReadBytes));
}

int64_t request_reader::HeldBytes(size_t more) const {
  return static_cast<int64_t>(
      kRequestBytes + head_bytes_ + fields_ * kFieldBytes +
      parser_.get().body().bytes.size() +
      std::max(buffer_.capacity(), buffer_.size() + more));
}

awaitable<error_code> request_reader::Receive(size_t size) {
  const size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) co_return http::error::buffer_overflow;
  size = std::min(size, room);
  if (!charge_.Grow(HeldBytes(size))) co_return asio::error::no_buffer_space;
  const auto [failure, count] =
      co_await stream_.async_read_some(buffer_.prepare(size), kNoThrow);
  // The charge may have had to yield while the bytes arrived.
  if (charge_.IsEnding()) co_return asio::error::no_buffer_space;
  if (failure) co_return failure;
  buffer_.commit(count);
  last_read_ = count;
  charge_.Set(HeldBytes(0));
  charge_.Advance(static_cast<int64_t>(count));
  co_return error_code();
}

// The parser allocates the fields of a head at once, when all were received.
error_code request_reader::ChargeFields() {
  fields_ = CountLines(buffer_);
  if (fields_ == 0) return {};
  if (!charge_.Grow(HeldBytes(0))) return asio::error::no_buffer_space;
  charge_.Set(HeldBytes(0));
  return {};
}

awaitable<error_code> request_reader::ReadHead() {
  parser_.eager(false);
  for (;;) {
    if (fields_ == 0) {
      if (const error_code problem = ChargeFields()) co_return problem;
    }
    error_code failure;
    const size_t used = parser_.put(buffer_.data(), failure);
    buffer_.consume(used);
    head_bytes_ += used;
    if (parser_.is_header_done()) {
      stated_bytes_ = LengthOf(parser_.get());
      co_return error_code();
    }
    if (failure && failure != http::error::need_more) co_return failure;
    const bool is_empty = buffer_.size() == 0 || failure;
    if (!is_empty) continue;
    // A long head gets its final buffer at once, because growing in steps
    // fragments the memory of many connections.
    const size_t room = limits_.header_bytes -
                        std::min<size_t>(limits_.header_bytes, buffer_.size());
    const error_code problem =
        co_await Receive(std::max(room, kKeptBufferBytes));
    if (problem) co_return problem;
  }
}

// Most of a body of a known length arrives in few reads. The reads of any other
// body grow with what has arrived.
size_t request_reader::NextReadSize() const {
  if (stated_bytes_ == 0) {
    return std::clamp(2 * last_read_, kKeptBufferBytes, kMaxReadBytes);
  }
  const uint64_t received = parser_.get().body().bytes.size();
  const uint64_t left = stated_bytes_ - std::min(stated_bytes_, received);
  return static_cast<size_t>(std::clamp<uint64_t>(left, 1, kMaxReadBytes));
}

// Trailers and chunk extensions count towards no other limit.
error_code request_reader::CheckFraming(bool is_incomplete) const {
  if (!parser_.chunked()) return {};
  // What the parser leaves in the buffer is an incomplete line or trailer
  // section.
  const bool is_too_long =
      is_incomplete && buffer_.size() > limits_.header_bytes;
  const uint64_t body = parser_.get().body().bytes.size();
  const bool is_too_much =
      body_bytes_ - body > limits_.header_bytes + kFramingPerBodyByte * body;
  if (is_too_long || is_too_much) return http::error::header_limit;
  return {};
}

error_code request_reader::Parse() {
  error_code failure;
  const size_t used = parser_.put(buffer_.data(), failure);
  buffer_.consume(used);
  body_bytes_ += used;
  const bool is_incomplete = failure == http::error::need_more;
  if (failure && !is_incomplete) return failure;
  return CheckFraming(is_incomplete);
}

awaitable<error_code> request_reader::ReadBody() {
  parser_.eager(true);
  if (!parser_.is_done() && buffer_.size() > 0) {
    if (const error_code failure = Parse()) co_return failure;
  }
  while (!parser_.is_done()) {
    const error_code problem = co_await Receive(NextReadSize());
    if (problem) co_return problem;
    if (const error_code failure = Parse()) co_return failure;
  }
  ReleaseCapacity(buffer_);
  // The trailers of a chunked body are further fields.
  const auto& fields = parser_.get();
  fields_ = std::max(fields_, static_cast<size_t>(
                                  std::distance(fields.begin(), fields.end())));
  if (!charge_.Grow(HeldBytes(0))) co_return asio::error::no_buffer_space;
  charge_.Set(HeldBytes(0));
  co_return error_code();
}

request request_reader::Head() const {
  const http::request<request_body>& input = parser_.get();
  request converted;
  converted.method = std::string(input.method_string());
  converted.target = std::string(input.target());
  for (const auto& field : input) {
    converted.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return converted;
}

request request_reader::Release() {
  request converted = Head();
  converted.body = shared_text(std::move(parser_.get().body().bytes));
  return converted;
}

}  // namespace hickorywood::net
