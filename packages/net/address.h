#ifndef HICKORYWOOD_NET_ADDRESS_H_
#define HICKORYWOOD_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace hickorywood::net {

// Parses "IP:PORT". Returns nothing and sets the last reason (kInvalid) if
// `text` has another form. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& text);

// Sets the options of one socket: small writes are sent without delay, and the
// connection fails when sent bytes stay unacknowledged for too long. A peer
// that lost power acknowledges nothing; without the limit its connection hangs
// for many minutes.
void TuneSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_ADDRESS_H_
