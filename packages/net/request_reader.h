#ifndef HICKORYWOOD_NET_REQUEST_READER_H_
#define HICKORYWOOD_NET_REQUEST_READER_H_

// Reads one request of a connection. Every byte is charged to the memory budget
// before it is received.

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/message.h"
#include "net/request_memory.h"

namespace hickorywood::net {

// Limits of one request.
struct request_limits {
  uint32_t header_bytes = 0;
  uint64_t body_bytes = 0;
};

// A body in one string. Above kLargeBodyBytes the string gets its final
// capacity at once, because growing copies it and needs both copies. Pages that
// are not written yet take no memory.
// NOLINTBEGIN(readability-identifier-naming): names that Beast requires
struct request_body {
  static constexpr size_t kLargeBodyBytes = 1024UL * 1024;

  struct value_type {
    std::string bytes;
    uint64_t limit = 0;
  };

  static uint64_t size(const value_type& body) { return body.bytes.size(); }

  class reader {
   public:
    template <bool is_request, class fields>
    reader(boost::beast::http::header<is_request, fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<uint64_t>& length,
              boost::system::error_code& failure) {
      length_ = length;
      failure = {};
    }

    template <class buffers>
    size_t put(const buffers& received, boost::system::error_code& failure) {
      failure = {};
      const size_t count = boost::beast::buffer_bytes(received);
      Reserve(body_.bytes.size() + count);
      for (const auto piece : boost::beast::buffers_range_ref(received)) {
        body_.bytes.append(static_cast<const char*>(piece.data()),
                           piece.size());
      }
      return count;
    }

    void finish(boost::system::error_code& failure) { failure = {}; }

   private:
    void Reserve(size_t size) {
      std::string& bytes = body_.bytes;
      if (size <= bytes.capacity()) return;
      if (size > kLargeBodyBytes) {
        bytes.reserve(std::max<size_t>(size, length_.value_or(body_.limit)));
      } else {
        bytes.reserve(std::max(size, 2 * bytes.capacity()));
      }
    }

    value_type& body_;
    boost::optional<uint64_t> length_;
  };
};
// NOLINTEND(readability-identifier-naming)

class request_reader {
 public:
  using parser = boost::beast::http::request_parser<request_body>;

  // The stream has a deadline, and `buffer` holds the first bytes.
  request_reader(boost::beast::tcp_stream& stream,
                 boost::beast::flat_buffer& buffer, memory_charge& charge,
                 const request_limits& limits);

  // Errors: those of the stream and of the parser; no_buffer_space when the
  // memory for the request is not available.
  boost::asio::awaitable<boost::system::error_code> ReadHead();
  boost::asio::awaitable<boost::system::error_code> ReadBody();

  const parser& Parser() const { return parser_; }
  // Length of the body that the head states; 0: none, or a chunked body.
  uint64_t StatedBytes() const { return stated_bytes_; }
  // The request without its body, after its head was read.
  request Head() const;
  // The request after its body was read. Its memory stays charged.
  request Release();

 private:
  boost::asio::awaitable<boost::system::error_code> Receive(size_t size);
  size_t NextReadSize() const;
  boost::system::error_code Parse();
  boost::system::error_code ChargeFields();
  boost::system::error_code CheckFraming(bool is_incomplete) const;
  int64_t HeldBytes(size_t more) const;

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buffer_;
  memory_charge& charge_;
  const request_limits limits_;
  parser parser_;
  size_t head_bytes_ = 0;
  size_t fields_ = 0;
  uint64_t stated_bytes_ = 0;
  uint64_t body_bytes_ = 0;  // received after the head, with their framing
  size_t last_read_ = 0;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_REQUEST_READER_H_
