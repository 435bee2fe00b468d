#ifndef HICKORYWOOD_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define HICKORYWOOD_TESTS_SUPPORT_SCRIPTED_SERVER_H_

// A server on plain sockets that answers each request with bytes of the test,
// which need not be HTTP. It leaves its connections open, unless the bytes have
// no other end.

#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "net/message.h"

namespace hickorywood::testing {

struct scripted_response {
  std::string name;  // of a test case, in CamelCase
  std::string bytes;
  // Closes the connection after the response.
  bool closes = false;
  // Stops listening before the response.
  bool stops = false;
};
std::ostream& operator<<(std::ostream& out, const scripted_response& response);

class scripted_server {
 public:
  // Returns the response to a request. Called on the thread of the server.
  using responder = std::function<scripted_response(const net::request&)>;

  explicit scripted_server(responder respond);
  ~scripted_server();
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  std::string Address() const;
  // Number of received requests and of accepted connections.
  int Requests() const;
  int Connections() const;
  // Number of connections that the peer has closed or reset.
  int Closed() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_SCRIPTED_SERVER_H_
