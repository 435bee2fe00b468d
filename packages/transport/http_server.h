#ifndef HICKORYWOOD_TRANSPORT_HTTP_SERVER_H_
#define HICKORYWOOD_TRANSPORT_HTTP_SERVER_H_

// An HTTP listener with its own thread. Handlers run on that thread and receive
// an exchange that they may answer later and from any thread.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace hickorywood::transport {

// A request and the means to answer it. Only the first response is sent; later
// ones are ignored.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  virtual const std::string& Method() const = 0;
  virtual const std::string& Path() const = 0;  // without the query
  virtual const std::string& Body() const = 0;
  virtual std::string Query(const std::string& name) const = 0;
  // The value of a header of the request, or empty.
  virtual std::string Header(const std::string& name) const = 0;
  virtual std::string Target() const = 0;  // path with the query
  virtual std::vector<http_header> Headers() const = 0;
  virtual std::string RemoteAddress() const = 0;

  virtual void Reply(int status, const std::vector<http_header>& headers,
                     const std::string& content_type,
                     const std::string& body) = 0;

  // A streamed response: BeginStream once, then WriteStream, then EndStream.
  virtual void BeginStream(int status, const std::vector<http_header>& headers,
                           const std::string& content_type) = 0;
  virtual void WriteStream(const std::string& piece) = 0;
  virtual void EndStream() = 0;

  // `on_disconnect` is called once, on any thread, if the caller closes the
  // connection before the response.
  virtual void OnDisconnect(std::function<void()> on_disconnect) = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

struct listener_options {
  std::string address;  // "IP:PORT"; port 0 selects a free port
  size_t request_bytes = 8 * 1024 * 1024;
  // Memory of the process that this listener is given, bytes; 0: not bounded.
  int64_t memory_bytes = 0;
};

class http_server {
 public:
  http_server(listener_options options, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Returns false and sets the last reason if the address can't be bound.
  bool Start();
  // Stops accepting requests. Does not wait for requests in flight; the owner
  // drains them first.
  void Stop();

  uint16_t Port() const;
  // The number of exchanges that are not answered yet.
  int64_t InFlight() const;

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::transport

#endif  // HICKORYWOOD_TRANSPORT_HTTP_SERVER_H_
