#include "net/address.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

#include "core/reason.h"

namespace hickorywood::net {
namespace {

// Maximum time for which sent bytes may stay unacknowledged. It is well above a
// round trip between regions with one retransmission.
constexpr int kMaxUnacknowledgedMs = 4000;

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& text) {
  const size_t colon = text.rfind(':');
  boost::system::error_code failure;
  uint16_t port = 0;
  if (colon != std::string::npos) {
    const auto address =
        boost::asio::ip::make_address(text.substr(0, colon), failure);
    const char* const end = text.data() + text.size();
    const auto [rest, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    if (!failure && error == std::errc() && rest == end) {
      return boost::asio::ip::tcp::endpoint(address, port);
    }
  }
  return core::Fail(core::reason_code::kInvalid,
                    "'" + text + "' is not IP:PORT");
}

void TuneSocket(boost::asio::ip::tcp::socket& socket) {
  // A failure is ignored: without no_delay, small writes are only slower.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kMaxUnacknowledgedMs, sizeof(kMaxUnacknowledgedMs));
}

}  // namespace hickorywood::net
