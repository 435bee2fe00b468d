#ifndef HICKORYWOOD_NET_ADDRESS_H_
#define HICKORYWOOD_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace hickorywood::net {

// Reads "IP:PORT". Empty with reason kInvalid otherwise; names are not looked
// up.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& text);

// Sets what each connection of the system has: no delay of small writes, and an
// end after silence. A peer without power answers nothing; without the limit
// its connection hangs for many minutes.
void TuneSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_ADDRESS_H_
