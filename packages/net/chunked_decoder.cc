#include "net/chunked_decoder.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <utility>

#include "core/reason.h"
#include "net/response_rules.h"

namespace hickorywood::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// The parser decodes only bodies that follow a head.
constexpr std::string_view kHead =
    "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n";
// Maximum size of a chunk header, and of the last chunk with the trailers.
constexpr size_t kMaxFramingBytes = 64UL * 1024;

bool Reject(std::string problem) {
  core::SetLastReason(core::reason_code::kInvalid, std::move(problem));
  return false;
}

}  // namespace

struct chunked_decoder::impl {
  impl() {
    error_code failure;
    parser.body_limit(boost::none);
    parser.put(boost::asio::buffer(kHead.data(), kHead.size()), failure);
  }

  http::response_parser<http::string_body> parser;
  std::string pending;  // received and not parsed yet
  bool has_excess = false;
};

chunked_decoder::chunked_decoder() : impl_(std::make_unique<impl>()) {}

chunked_decoder::~chunked_decoder() = default;

bool chunked_decoder::Decode(std::string_view received, std::string& body) {
  auto& [parser, pending, has_excess] = *impl_;
  if (parser.is_done()) {
    has_excess = has_excess || !received.empty();
    return true;
  }
  pending.append(received);
  std::string_view rest = pending;
  bool needs_more = false;
  while (!rest.empty() && !needs_more && !parser.is_done()) {
    error_code failure;
    const size_t used =
        parser.put(boost::asio::buffer(rest.data(), rest.size()), failure);
    needs_more = failure == http::error::need_more;
    if (failure && !needs_more) return Reject(failure.message());
    // The parser consumes the last chunk and the trailers at once.
    if (parser.is_done() && !IsValidLastChunk(rest.substr(0, used))) {
      return false;
    }
    rest.remove_prefix(used);
  }
  body += parser.get().body();
  parser.get().body().clear();
  pending.erase(0, pending.size() - rest.size());
  has_excess = parser.is_done() && !pending.empty();
  if (!needs_more) return true;
  if (pending.size() > kMaxFramingBytes) {
    return Reject("the framing of a chunk is too long");
  }
  return IsValidIncompleteChunk(pending);
}

bool chunked_decoder::IsComplete() const { return impl_->parser.is_done(); }

bool chunked_decoder::HasExcess() const { return impl_->has_excess; }

}  // namespace hickorywood::net
