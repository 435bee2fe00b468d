#ifndef HICKORYWOOD_TRANSPORT_HTTP_CLIENT_H_
#define HICKORYWOOD_TRANSPORT_HTTP_CLIENT_H_

// HTTP requests over libcurl, all on one dedicated thread. Callbacks run on
// that thread and must only pass the result on.

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
  // The header that identifies the request in the request and in its response;
  // empty if it has no id.
  http_header name;
  std::string body;
  milliseconds connect_timeout{500};
  // 0: none; the callers of streams run their own progress timers.
  milliseconds total_timeout{0};
  // Sends the request exactly once, on a dedicated connection that is closed
  // afterwards. On a reused connection that turns out to be closed libcurl
  // sends a request again by itself, including POST.
  bool is_single_shot = false;
  // Does not reuse idle connections: they may have become unresponsive together
  // with the one that timed out.
  bool needs_fresh_connection = false;
  // Only opens and closes a connection; on success the result is kAnswered
  // without a status.
  bool only_connects = false;
  // Receives the body in pieces. If it is not set, the body is collected in the
  // response, up to `max_body_bytes`.
  std::function<void(std::string_view)> on_data;
  size_t max_body_bytes = 32UL * 1024 * 1024;
  // Called once, when the status of a streamed response is known.
  std::function<void(int status)> on_status;
};

// How far a request progressed.
enum class delivery {
  kNotSent,    // no byte of it was sent
  kMaybeSent,  // it may have arrived; no complete response
  kAnswered,   // a complete response was received
};

struct http_response {
  delivery how = delivery::kNotSent;
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
  bool is_timeout = false;
  // The server sent bytes that are no valid response. It is running then.
  bool is_invalid = false;
  std::string error;

  // The value of a header, or empty. Names are compared case-insensitively.
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
  // Cancels the active requests; the completion of each one is called.
  void Stop();

  // Starts a request and returns its id. `done` is called once, also after
  // Cancel().
  uint64_t Send(http_request request, completion done);

  // Closes the connection of an active request, so that the server detects it.
  void Cancel(uint64_t id);

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::transport

#endif  // HICKORYWOOD_TRANSPORT_HTTP_CLIENT_H_
