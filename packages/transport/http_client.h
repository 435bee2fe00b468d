#ifndef HICKORYWOOD_TRANSPORT_HTTP_CLIENT_H_
#define HICKORYWOOD_TRANSPORT_HTTP_CLIENT_H_

// HTTP requests over libcurl, all on one thread of their own. Callbacks run on
// that thread and must only hand the result on.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hickorywood::transport {

using std::chrono::milliseconds;

struct http_header {
  std::string name;
  std::string value;
};

struct http_request {
  std::string method = "POST";
  std::string url;  // "http://IP:PORT/path"
  std::vector<http_header> headers;
  // The header by which the request and its answer name the request; empty: it
  // has no name.
  http_header name;
  std::string body;
  milliseconds connect_timeout{500};
  milliseconds total_timeout{
      0};  // 0: none; streams have progress timers of their own
  // Opens a connection of its own and closes it afterwards. libcurl sends a
  // request again by itself when a reused connection turns out to be dead, POST
  // included; on a connection of its own a request is sent once.
  bool is_single_shot = false;
  // Leaves the idle connections alone: they may have gone silent with the one
  // that timed out.
  bool needs_fresh_connection = false;
  // Only opens a connection and closes it again: answered, without a status.
  bool only_connects = false;
  // Receives the body piece by piece; without it the body is collected in the
  // response.
  std::function<void(std::string_view)> on_data;
  // Called once the status of a streamed answer is known.
  std::function<void(int status)> on_status;
};

// How far a request got.
enum class delivery {
  kNotSent,    // no byte of it left this process
  kMaybeSent,  // it may have arrived; there is no whole answer
  kAnswered,   // a whole answer was received
};

struct http_response {
  delivery how = delivery::kNotSent;
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
  bool is_timeout = false;
  std::string error;

  // The value of a header, or empty. Names compare without case.
  std::string Header(const std::string& name) const;
};

class http_client {
 public:
  using completion = std::function<void(http_response)>;

  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  void Start();
  // Cancels what is under way; each completion is called.
  void Stop();

  // Starts a request and returns its id. `done` is called once, also after
  // Cancel().
  uint64_t Send(http_request request, completion done);

  // Closes the connection of a request that is under way, so that the other
  // side notices.
  void Cancel(uint64_t id);

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::transport

#endif  // HICKORYWOOD_TRANSPORT_HTTP_CLIENT_H_
